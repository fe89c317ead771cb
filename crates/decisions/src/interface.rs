//! The interface of the decisions: everything that goes into a balancer and comes out of it.
//!
//! Times are seconds on the caller's clock, which never goes back. Loads are work a second in the unit of
//! list weights.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A server, the same at every instance and across restarts of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A client's request for a connection. A client's own retry is a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// The servers that share the idempotency keys they have seen, and drop repeated requests by them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Harmless to repeat and to reject.
    Idempotent,
    /// Carries an idempotency key: the servers of a scope drop repeats for this many seconds after the first
    /// attempt.
    Keyed(DeduplicationScope, f64),
    /// Must not be repeated unless no earlier attempt can have run.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// A set-up within this many seconds counts in full.
    pub latency_objective: f64,
    /// The weight of a request, in the operator's units.
    pub priority_weight: f64,
    /// What repeating a request may do.
    pub idempotency: Idempotency,
    /// A message on an established connection is wanted within this many seconds.
    pub message_latency_objective: f64,
}

/// What the weights of the endpoint list mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// Nothing: all servers count alike.
    Uniform,
    /// The capacity, exactly or roughly.
    Capacity,
    /// The capacity, lowered by the load of some time ago.
    LoadAdjusted,
}

/// The settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance's index, from 0.
    pub instance_index: u64,
    /// How many instances there are.
    pub instance_count: f64,
    /// This instance's zone.
    pub zone: u32,
    /// How many zones there are.
    pub zone_count: f64,
    /// Request classes by index.
    pub classes: Vec<RequestClass>,
    /// By tenant, the connections that it may hold at all instances together; empty where that is not known.
    pub tenant_connection_quotas: Vec<f64>,
    /// By tenant, its new connections a second at all instances together; empty where that is not known.
    pub tenant_rate_quotas: Vec<f64>,
    /// Discovery has to be polled; else it pushes.
    pub polls_discovery: bool,
    /// Polling at least this often, in seconds, counts as keeping up.
    pub poll_interval: f64,
    /// A server starts with at least this share of its capacity.
    pub cold_capacity_ratio: f64,
    /// A server is warm after this many seconds at the latest.
    pub warm_up_time: f64,
    /// A warming server fails when it is sent more than this multiple of its capacity ...
    pub overload_ratio: f64,
    /// ... for this many seconds.
    pub overload_window: f64,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// A connection that is not made within this many seconds has failed.
    pub connect_timeout: f64,
    /// The longest wait, in seconds, that a rejected client keeps.
    pub max_retry_after: f64,
    /// Whether rejected clients are told a wait.
    pub sends_retry_after: bool,
    /// Whether probes are allowed.
    pub may_probe: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether packets pass through, so that a connection may reach another instance.
    pub is_pass_through: bool,
    /// How long, in seconds, a server keeps a connection whose packets have stopped (pass-through only).
    pub parked_connection_timeout: f64,
    /// Whether connections come in groups that share work on a server.
    pub has_groups: bool,
    /// What list weights mean.
    pub weight_kind: WeightKind,
    /// Cost of crossing zones over the value of a first attempt.
    pub zone_crossing_cost: f64,
    /// Cost of migrating a client over the value of a first attempt.
    pub migration_cost: f64,
    /// The shortest time between two events, in seconds.
    pub tick: f64,
}

/// The state of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes clients.
    Ready,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Removed from the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its weight, see [`WeightKind`].
    pub weight: f64,
    /// When its process last started; 0 for long ago.
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
    /// Expected load, where the client gave a hint.
    pub load: Option<f64>,
    /// The group that it belongs to; 0 for none.
    pub group: u64,
    /// Packets of an established connection that another instance carried before.
    pub is_mid_flow: bool,
    /// The client comes again after a break, a migration or a failed attempt.
    pub is_returning: bool,
}

/// How an attempt, a connection or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server failed; the request may have run.
    Error,
    /// The server rejected it without running it.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled or migrated; it may have run.
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

/// What other instances hold at one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteLoad {
    /// Load of their connections.
    pub load: f64,
    /// How many connections.
    pub connections: f64,
    /// The groups of which they hold any connection: the lower halves of their ids.
    pub groups: BTreeSet<u32>,
}

/// What happens to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The instance starts; comes once and first.
    Start,
    /// The endpoint list, or changes of it.
    EndpointList {
        /// Whether servers that are missing from the entries are removed.
        is_complete: bool,
        /// Whether the list is an old copy of this instance's own rather than new.
        is_cached: bool,
        /// The entries.
        entries: Arc<[ServerEntry]>,
    },
    /// A call to discovery failed or its subscription broke.
    DiscoveryFailed,
    /// A client requests a connection.
    RequestReceived(Request),
    /// A connection through this instance was established before its start.
    ConnectionRestored(Request, ServerId),
    /// The connection of an attempt is established.
    Established {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// A connection's load has changed.
    LoadChanged {
        /// The request.
        request: RequestId,
        /// The load now.
        load: f64,
    },
    /// Messages at a server take this long now.
    MessageDelay {
        /// The server.
        server: ServerId,
        /// Seconds that a message takes.
        delay: f64,
    },
    /// A new estimate, made elsewhere, of what a server can sustain.
    CapacityEstimated {
        /// The server.
        server: ServerId,
        /// Load of this instance's that it can sustain, overheads of connections and groups included.
        load: f64,
        /// Set-ups of this instance's a second while it warms up.
        setup_rate: f64,
    },
    /// A new estimate, made elsewhere, of the mean load of a connection, for those whose own is not known.
    MeanLoadEstimated(f64),
    /// What other instances hold at each server, as they have reported it; `None` where too few are heard of.
    /// Comes several times a second.
    RemoteLoadsUpdated(Option<Arc<BTreeMap<ServerId, RemoteLoad>>>),
    /// An attempt or an established connection has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Which attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Whether the client has its final answer.
        is_answered: bool,
        /// The server's load over its capacity, where it was reported.
        load_ratio: Option<f64>,
    },
    /// Nobody waits for this request any more.
    ClientLeft(RequestId),
    /// A timer has fired; its token.
    TimerFired(u64),
    /// A probe has ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The server's load over its capacity, where it was reported.
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
        /// The attempt's time-out in seconds from now.
        timeout: f64,
    },
    /// Final answer: not served, and harmless to retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Seconds that the client should wait before it retries; 0 for no advice.
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
    /// Ask a connected client to come again, to another server.
    Migrate(RequestId),
    /// Wake this instance later.
    SetTimer {
        /// Seconds from now.
        after: f64,
        /// Comes back in [`Event::TimerFired`].
        token: u64,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Subscribe to the endpoint list.
    Subscribe,
    /// A line for the log.
    Log(String),
}
