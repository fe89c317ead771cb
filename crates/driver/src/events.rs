//! What the driver is told of the network, and what it asks of it.

use std::collections::BTreeMap;
use std::sync::Arc;

use shorewharf_decisions::interface::{Outcome, RemoteLoad, Request, RequestId, ServerEntry, ServerId};
use shorewharf_units::{Micros, seconds_from_micros};

/// A client's request, in the program's own units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedRequest {
    /// Its id; no two open requests have the same.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// The client's key; 0 for none.
    pub key: u64,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// Expected load, as work a second.
    pub load: Option<f64>,
    /// Its group; 0 for none.
    pub group: u64,
    /// Whether the client says that it comes again.
    pub is_returning: bool,
}

impl From<ReceivedRequest> for Request {
    fn from(received: ReceivedRequest) -> Self {
        Request {
            id: received.id,
            class: received.class,
            tenant: received.tenant,
            key: received.key,
            deadline: seconds_from_micros(received.deadline),
            load: received.load,
            group: received.group,
            is_mid_flow: false,
            is_returning: received.is_returning,
        }
    }
}

/// What has happened on the network.
#[derive(Clone, Debug)]
pub enum NetworkEvent {
    /// The endpoint list, or changes of it.
    EndpointListReceived {
        /// Whether the list is complete.
        is_complete: bool,
        /// Whether the list is from the configuration or a store rather than new.
        is_cached: bool,
        /// The servers.
        entries: Vec<ServerEntry>,
    },
    /// A call to discovery has failed or its watch has ended.
    DiscoveryFailed,
    /// A client requests a connection.
    RequestReceived(ReceivedRequest),
    /// A connection from before this program's start is established again.
    ConnectionRestored(ReceivedRequest, ServerId),
    /// The attempt that is out for a request is established.
    AttemptEstablished(RequestId),
    /// An established connection's load, as work a second.
    LoadReported(RequestId, f64),
    /// How long messages at a server take.
    MessageDelayReported(ServerId, Micros),
    /// The attempt that was out for a request has ended, established or not.
    AttemptEnded(RequestId, Outcome),
    /// The client has left, or can't be answered any more.
    ClientLeft(RequestId),
    /// A timer of the decisions has fired; its token.
    TimerFired(u64),
    /// A probe has ended.
    ProbeEnded(ServerId, Outcome),
    /// What other balancers hold; `None` where too few are heard of.
    RemoteLoadsUpdated(Option<Arc<BTreeMap<ServerId, RemoteLoad>>>),
}

/// The network as the driver uses it. Results come back as [`NetworkEvent`]s, at once or later.
pub trait Effects {
    /// The time, read once in a loop iteration.
    fn now(&self) -> Micros;
    /// The next event, if one waits.
    fn next_event(&mut self) -> Option<NetworkEvent>;
    /// Begins an attempt with a time-out.
    fn begin_attempt(&mut self, request: RequestId, server: ServerId, timeout: Micros);
    /// Cancels the attempt that is out, unless it is established.
    fn cancel_attempt(&mut self, request: RequestId);
    /// Rejects a request; the client should wait this long before it retries, if that is more than 0.
    fn reject(&mut self, request: RequestId, retry_after: Micros);
    /// Fails a request.
    fn fail(&mut self, request: RequestId);
    /// Asks a connected client to come again, to another server.
    fn migrate(&mut self, request: RequestId);
    /// Probes a server.
    fn probe(&mut self, server: ServerId);
    /// Opens the watch on the endpoint list.
    fn watch_endpoints(&mut self);
    /// Sets a timer; its token comes back in [`NetworkEvent::TimerFired`].
    fn set_timer(&mut self, after: Micros, token: u64);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
