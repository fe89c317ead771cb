//! The module's interface: everything that goes into [`crate::policy::Balancer`] and comes out of it.
//!
//! Times are seconds on the caller's clock, which only goes forward. Ids carry no meaning.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A server, the same at every proxy and across restarts of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A client's request for a connection; a client's own retry carries a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Safe to repeat and to refuse at will.
    Idempotent,
    /// Repeats are dropped by the servers of a scope, for so many seconds after the first send.
    Keyed(DeduplicationScope, f64),
    /// Must not be repeated unless no earlier attempt can have run.
    NonIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Set-up within this time earns full worth.
    pub latency_objective: f64,
    /// Worth of a request or second, in the operator's units.
    pub priority_weight: f64,
    /// What repeating it may do.
    pub idempotency: Idempotency,
    /// A message on an open connection is wanted within this time.
    pub message_latency_objective: f64,
}

/// What the weights in the server list mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// Nothing: all the same.
    Uniform,
    /// The size, exactly or roughly.
    Capacity,
    /// The size, lowered by the load some time ago.
    LoadAdjusted,
}

/// What an instance is told once, at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This proxy's number, from 0.
    pub instance_index: u64,
    /// How many proxies there are.
    pub instance_count: f64,
    /// This proxy's zone.
    pub zone: u32,
    /// How many zones there are.
    pub zone_count: f64,
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Open connections over all proxies within each tenant's share; empty where unknown.
    pub tenant_connection_quotas: Vec<f64>,
    /// New connections a second over all proxies within each tenant's share; empty where unknown.
    pub tenant_rate_quotas: Vec<f64>,
    /// The registry must be asked; else it pushes.
    pub polls_discovery: bool,
    /// Asking at least this often counts as keeping up.
    pub poll_interval: f64,
    /// A server starts at this share of its capacity or more.
    pub cold_capacity_ratio: f64,
    /// A server is warm after this at the latest.
    pub warm_up_time: f64,
    /// A cold server falls over when sent more than this multiple of its capacity.
    pub overload_ratio: f64,
    /// For so long.
    pub overload_window: f64,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// A connection not made within this time has failed.
    pub connect_timeout: f64,
    /// The longest wait that a refused client honours.
    pub max_retry_after: f64,
    /// Whether refused clients are told a wait.
    pub sends_retry_after: bool,
    /// Whether probes are allowed.
    pub may_probe: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Connections pass through and may reach another proxy.
    pub is_pass_through: bool,
    /// How long a server keeps a connection whose packets have stopped (pass-through only).
    pub parked_connection_timeout: f64,
    /// Connections come in groups that share work on a server.
    pub has_groups: bool,
    /// What list weights mean.
    pub weight_kind: WeightKind,
    /// Price of a zone crossing per first try, in parts of the whole result.
    pub zone_crossing_cost: f64,
    /// Price of moving a client, per first try, in parts of the whole result.
    pub migration_cost: f64,
    /// Events come at most this often.
    pub tick: f64,
}

/// A server's state as the registry lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes clients.
    Ready,
    /// Finishing its work; nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of a server list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell: servers that share which keys they have seen.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its weight, see [`WeightKind`].
    pub weight: f64,
    /// When its process last started; 0 for long past.
    pub started_at: f64,
}

/// A request as it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// The client's key; 0 for none.
    pub key: u64,
    /// The client stops waiting at this time.
    pub deadline: f64,
    /// Expected load in work a second, where a hint came along.
    pub load: Option<f64>,
    /// The group it belongs to; 0 for none.
    pub group: u64,
    /// Packets of an open connection that another proxy carried before.
    pub is_mid_flow: bool,
    /// The client comes again after a break, a move or a failed try.
    pub is_returning: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server failed; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// Cancelled or moved; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What other proxies hold at one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteLoad {
    /// Load of their connections, as work a second in the unit of list weights.
    pub load: f64,
    /// How many connections.
    pub connections: f64,
    /// The groups of which they hold any: the lower halves of their ids.
    pub groups: BTreeSet<u32>,
}

/// What happens to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The instance starts; comes once, first.
    Start,
    /// The registry's list: the whole of it, or changes.
    EndpointList {
        /// Servers missing from the list are gone.
        is_complete: bool,
        /// The list is this instance's own old copy rather than news.
        is_cached: bool,
        /// The entries.
        entries: Arc<[ServerEntry]>,
    },
    /// A registry call failed or the subscription broke.
    DiscoveryFailed,
    /// A client asks for a connection.
    RequestReceived(Request),
    /// A connection that already stands through this proxy at its start.
    ConnectionRestored(Request, ServerId),
    /// The connection of an attempt stands.
    Established {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// A connection's load is now so much work a second.
    LoadChanged {
        /// The request.
        request: RequestId,
        /// Work a second.
        load: f64,
    },
    /// Messages at a server take so many seconds now.
    MessageDelay {
        /// The server.
        server: ServerId,
        /// Seconds that a message takes.
        delay: f64,
    },
    /// An estimate beside the module: what a server bears now.
    CapacityEstimated {
        /// The server.
        server: ServerId,
        /// Load of this proxy's that it bears: work a second in the unit of list weights, what it costs to hold
        /// connections and their groups included.
        load: f64,
        /// Set-ups of this proxy's a second while it is cold.
        setup_rate: f64,
    },
    /// The same estimate: mean load of a standing connection, for those whose own is not known.
    MeanLoadEstimated(f64),
    /// What other proxies hold at each server by now, as they told it; none where too few of them are heard of. It is told
    /// several times a second.
    RemoteLoadsUpdated(Option<Arc<BTreeMap<ServerId, RemoteLoad>>>),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Which attempt, from 0.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// The client has its final answer.
        is_answered: bool,
        /// The server's load over its capacity, where a report came along.
        load_ratio: Option<f64>,
    },
    /// Nobody waits for this request any more.
    ClientLeft(RequestId),
    /// A timer has come.
    TimerFired(u64),
    /// A probe ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// The server's load over its capacity, where a report came along.
        load_ratio: Option<f64>,
    },
}

/// What an instance wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a server.
    BeginAttempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// The attempt's time-out from now.
        timeout: f64,
    },
    /// Final answer: not served, and harmless to try again.
    Reject {
        /// The request.
        request: RequestId,
        /// Advice to the client; 0 for none.
        retry_after: f64,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// Ask a connected client to come again.
    Migrate(RequestId),
    /// Wake this instance after so long.
    SetTimer {
        /// From now.
        after: f64,
        /// Comes back as given.
        token: u64,
    },
    /// Check a server.
    Probe(ServerId),
    /// Ask the registry for a standing subscription.
    Subscribe,
    /// A line for the operators' journal.
    Log(String),
}
