//! The interface between the emulated platform and a balancer: what reaches a balancer and what it does,
//! independent of text and sockets.
//!
//! The world in [`crate`] exchanges these messages with balancers. The driver in virtual time passes them to
//! decision modules; the driver on sockets writes and parses them as lines. All network delays are on the
//! world's side: a message to a balancer has already arrived, and an action of a balancer has only just left
//! it.

use shorewharf_units::Micros;

/// Index of a balancer in the day's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BalancerId(pub u32);

/// Index of a node in the day's list. It stays the same when the node's process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// Identifies one connection of a client to a balancer. It is never reused, and is also the id in the
/// connection's `OPEN` line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Identifies one connection of a balancer to a node. It is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// The request in the first line of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLine {
    /// The connection, which is also the id in the line.
    pub conn: ConnId,
    /// The client's key, the same in all its attempts and reconnects.
    pub key: u64,
    /// Index of the class.
    pub class: u32,
    /// Index of the tenant.
    pub tenant: u32,
    /// The group; 0 for none.
    pub group: u64,
    /// How long the client waits for the answer, from when it sent the line.
    pub timeout: Micros,
    /// The client's estimate of its load, in seconds of work per second.
    pub hint: Option<f64>,
    /// Whether the line is marked as a retry; only set on days whose clients mark retries.
    pub retry: bool,
    /// Whether the client connects again after its connection was lost or migrated, or after a failed
    /// attempt.
    pub is_reconnect: bool,
    /// The node on which the connection was established before the run.
    pub previous_node: Option<NodeId>,
}

/// How a side ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Orderly, after all data was sent.
    Fin,
    /// By a reset.
    Reset,
}

/// A message of a node on a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeMessage {
    /// `UP`: the connection is established. On sockets the line names the node and the connection.
    Up,
    /// `BUSY`: the request is rejected without any work on it.
    Busy,
    /// `ERR`: the request has failed.
    Err,
    /// `MOVE`: the client is to reconnect elsewhere.
    Move,
    /// `BYE`: the connection was served to its end.
    Bye,
    /// `LOAD`: the connection's load, in microseconds of work per second.
    Load(f64),
    /// `LOAD` with the message delay: milliseconds that a message takes on this node.
    Delay(f64),
    /// The answer to a client's line.
    Reply,
    /// `PONG`: the answer to a probe.
    Pong,
    /// A line that is not part of the protocol; sent under the wrong-answers fault.
    Junk,
}

/// How a node's machine reacts to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// It accepts and answers them.
    #[default]
    Open,
    /// It refuses them, because no process is listening or a network fault refuses them.
    Refused,
    /// New connections are never established, and established ones carry no data.
    Silent,
    /// Connections are accepted, and nothing is sent on them.
    Mute,
}

/// An entry of the endpoint list as sent to one balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    /// The node.
    pub node: NodeId,
    /// Its state.
    pub stage: Stage,
    /// When its process last started; `None` if that was before the day.
    pub started_at: Option<Micros>,
}

/// A node's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Accepts connections.
    Ready,
    /// Serves the connections that it has and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// The answer that a client receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The `UP` line of the node on this link.
    Up(LinkId),
    /// `BUSY`, with a retry-after time in microseconds if above 0.
    Busy(Micros),
    /// `ERR`.
    Err,
    /// `MOVE`.
    Move,
    /// An `UP` line that no node sent for this connection (sockets only).
    Forged,
    /// A line that is not an answer; the attempt has failed (sockets only).
    Other,
}

/// An input of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum ToBalancer {
    /// The balancer's process starts.
    Start {
        /// Seed of its random numbers, different at each start.
        seed: u64,
        /// The endpoint list that it received last, which may be out of date.
        known: Vec<Listed>,
    },
    /// The process is killed, and its state and connections are lost.
    Kill,
    /// A planned shutdown begins (SIGTERM).
    Terminate,
    /// The configuration was replaced (SIGHUP).
    Reload {
        /// Whether discovery has moved to another address with this change.
        moved: bool,
    },
    /// A client has connected and sent its first line.
    Request {
        /// The request in the line.
        request: RequestLine,
        /// The time until the client gives up.
        remaining: Micros,
    },
    /// A client's line on an established connection.
    ClientLine(ConnId),
    /// A client has ended its connection.
    ClientEnded(ConnId, End),
    /// A link is established at the transport level.
    LinkUp(LinkId),
    /// A link could not be established.
    LinkFailed(LinkId),
    /// A node sends a message on a link.
    NodeMessage(LinkId, NodeMessage),
    /// A node has ended a link.
    NodeEnded(LinkId, End),
    /// An update of the endpoint list.
    List {
        /// Whether this is the whole list, so that nodes without an entry are gone.
        full: bool,
        /// The entries: all of them, or those that changed.
        entries: Vec<Listed>,
    },
    /// A call to discovery failed, or the watch was closed.
    ListFailed,
}

/// An action of a balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FromBalancer {
    /// Answers a client.
    Answer(ConnId, Answer),
    /// Ends a client's connection.
    EndClient(ConnId, End),
    /// Opens a link to a node, for a client's connection or a probe. In virtual time the first line is sent
    /// with the link; on sockets [`FromBalancer::Forward`] sends it.
    Link {
        /// The id of the new link.
        link: LinkId,
        /// The node.
        node: NodeId,
        /// The client's connection; `None` for a probe.
        conn: Option<ConnId>,
    },
    /// Sends the first line on a link once the link is established.
    Forward {
        /// The link.
        link: LinkId,
        /// How long the balancer tells the node that it will wait.
        timeout: Micros,
    },
    /// Sends a probe on a link once the link is established.
    Probe(LinkId),
    /// Ends a link.
    EndLink(LinkId, End),
    /// Starts a watch of the endpoint list.
    Watch,
    /// Relays a line between a client and its node (sockets only).
    Pass(LinkId),
    /// Reports ready: the front may assign clients to this balancer.
    Ready,
    /// The watch of the endpoint list has ended, closed by the balancer or because discovery has moved.
    Unwatch,
    /// The balancer's machine has refused a client's connection (sockets only).
    ConnectionRefused(ConnId),
    /// The balancer has sent a node a first line in a form that no client sent, which makes the run invalid
    /// (sockets only).
    MalformedRequest(NodeId),
    /// The process has exited by itself.
    Exited,
}
