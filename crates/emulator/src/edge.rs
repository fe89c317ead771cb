//! Where the emulated platform meets a balancer: what reaches a balancer and what it does, free of text and sockets.
//!
//! [`crate`]'s world speaks these words; the driver in virtual time hands them to decision modules, the driver on
//! sockets writes and reads them as lines. All delays of the network lie on the world's side: what is handed to a
//! balancer has arrived, and what it does has just left it.

use shorewharf_units::Micros;

/// Place of a balancer in the day's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BalancerId(pub u32);

/// Place of a node in the day's list: the same machine across restarts of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// One connection of a client to a balancer; never used again. Also the id that its `OPEN` line carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// One connection of a balancer to a node; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// What a first line asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLine {
    /// The connection, which is also the id in the line.
    pub conn: ConnId,
    /// The flow's key, the same at each try and return of one client.
    pub key: u64,
    /// Place of the class.
    pub class: u32,
    /// Place of the tenant.
    pub tenant: u32,
    /// The group; 0 for none.
    pub group: u64,
    /// How long this try waits for its answer, from when the line was sent.
    pub patience: Micros,
    /// A guess at the load, in work a second.
    pub hint: Option<f64>,
    /// It is a repeat, and clients mark them.
    pub retry: bool,
    /// It comes again after a break or a move.
    pub again: bool,
    /// The node where it stood before the run.
    pub home: Option<NodeId>,
}

/// How a side ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It finished its sending.
    Fin,
    /// The connection broke.
    Reset,
}

/// What a node says on a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeMessage {
    /// `UP`: the connection stands; the receipt names node and connection.
    Up,
    /// `BUSY`: turned away unseen.
    Busy,
    /// `ERR`: failed.
    Err,
    /// `MOVE`: it sends the client away.
    Move,
    /// `BYE`: served to its end.
    Bye,
    /// `LOAD`: the connection's load, microseconds of work a second.
    Load(f64),
    /// `LOAD` with the other figure: milliseconds that a message takes here.
    Delay(f64),
    /// The answer to a line of the client's.
    Reply,
    /// `PONG`: the answer to a probe.
    Pong,
    /// A line that means nothing (wrong answers, as a fault).
    Junk,
}

/// How a node's machine meets connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// It takes them.
    #[default]
    Open,
    /// It refuses them: no process runs, or it holds all that it takes.
    Refused,
    /// They never come up, and those that are open carry nothing.
    Silent,
    /// They come up, and nothing is said on them.
    Mute,
}

/// An entry of the list as it is told to one balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    /// The node.
    pub node: NodeId,
    /// Its state.
    pub stage: Stage,
    /// When its process started last; none for before the day.
    pub born: Option<Micros>,
}

/// A node's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Takes connections.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// What a client gets as its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The `UP` line of the node on this link.
    Up(LinkId),
    /// `BUSY`, with a time to come back if above 0.
    Busy(Micros),
    /// `ERR`.
    Err,
    /// `MOVE`.
    Move,
    /// An `UP` line that no node made for this connection: served with what was never served (sockets only).
    Forged,
    /// A line that is no answer: the try has failed (sockets only).
    Other,
}

/// What reaches a balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum ToBalancer {
    /// Its process begins, with the list that it knew last (which may be old) and a seed.
    Start {
        /// For random numbers; new with each start.
        seed: u64,
        /// The list as it had it last.
        known: Vec<Listed>,
    },
    /// Its process is killed: nothing of it is left.
    Kill,
    /// A planned end begins (SIGTERM).
    Terminate,
    /// Its configuration has been replaced (SIGHUP); with `moved`, discovery is at another address from now on.
    Reload {
        /// Discovery has moved.
        moved: bool,
    },
    /// A client's connection has come with this first line. `left` of its patience is left.
    Asked {
        /// What it asks for.
        ask: RequestLine,
        /// What is left of its patience, from now.
        left: Micros,
    },
    /// A client's line on a standing connection.
    ClientLine(ConnId),
    /// A client has ended its connection.
    ClientEnded(ConnId, End),
    /// A link has come up, at the network's level.
    LinkUp(LinkId),
    /// A link could not be made.
    LinkFailed(LinkId),
    /// A node says something on a link.
    NodeSays(LinkId, NodeMessage),
    /// A node has ended a link.
    NodeEnded(LinkId, End),
    /// News of the list: all of it or changes.
    List {
        /// Servers that are not named are gone.
        full: bool,
        /// The entries.
        entries: Vec<Listed>,
    },
    /// A call failed or the watch broke.
    ListFailed,
}

/// What a balancer does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FromBalancer {
    /// It answers a client.
    Answer(ConnId, Answer),
    /// It ends a client's connection.
    EndClient(ConnId, End),
    /// It begins a link to a node, to carry this client's connection; with `LinkUp` its first line goes out at once
    /// in virtual time, by [`FromBalancer::Forward`] on sockets.
    Link {
        /// The link's new number.
        link: LinkId,
        /// The node.
        node: NodeId,
        /// The client it is for; none for a probe.
        conn: Option<ConnId>,
    },
    /// The first line goes out on a link that is up (or as soon as it is), with what is left of the wait.
    Forward {
        /// The link.
        link: LinkId,
        /// What the balancer tells the node that it will wait.
        patience: Micros,
    },
    /// A probe goes out on a link that is up (or as soon as it is).
    Probe(LinkId),
    /// It ends a link.
    EndLink(LinkId, End),
    /// It calls for a watch on the list.
    Watch,
    /// It passes a client's line on to its node, or a node's to its client (sockets only).
    Pass(LinkId),
    /// It has answered that it is ready: the front may deal clients out to it.
    Ready,
    /// Its watch on the list has ended, by its own doing or because discovery has moved on from it.
    Unwatch,
    /// Its machine has refused a client's connection (sockets only).
    Refused(ConnId),
    /// It has sent a node a first line in a form that no client sent: the run is void (sockets only).
    Syntax(NodeId),
    /// Its process has ended by itself.
    Exited,
}
