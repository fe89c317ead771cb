//! The driver's interface to the network: the events that it receives and the calls that it makes.

use std::collections::BTreeMap;
use std::sync::Arc;

use shorewharf_decisions::interface::{
    Outcome, RemoteLoad, Request, RequestId, ServerEntry, ServerId, SlowStartAdmission,
};
use shorewharf_units::{Micros, seconds_from_micros};

/// A client's request, with times in microseconds. The decisions use seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedRequest {
    /// The request's id, unique among open requests.
    pub id: RequestId,
    /// Index of the request's class.
    pub class: usize,
    /// Index of the request's tenant.
    pub tenant: usize,
    /// The client's key; 0 if it has none.
    pub key: u64,
    /// Time at which the client stops waiting for an answer.
    pub deadline: Micros,
    /// Expected load, in work a second, if the client gave it.
    pub load: Option<f64>,
    /// The group that the request belongs to; 0 if it belongs to none.
    pub group: u64,
    /// Whether the client says that it reconnects.
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

/// An event on the network.
#[derive(Clone, Debug)]
pub enum NetworkEvent {
    /// The endpoint list, or changes to it, arrived.
    EndpointListReceived {
        /// Whether the list is complete, so that servers that are missing from it are removed.
        is_complete: bool,
        /// Whether the list comes from the configuration or a store rather than from discovery.
        is_cached: bool,
        /// The listed servers.
        entries: Vec<ServerEntry>,
    },
    /// A call to discovery failed, or the watch on the endpoint list ended.
    DiscoveryFailed,
    /// A client requests a connection.
    RequestReceived(ReceivedRequest),
    /// A connection that was established before this process started is taken over, with its server.
    ConnectionRestored(ReceivedRequest, ServerId),
    /// The connection of a request's pending attempt is established.
    AttemptEstablished(RequestId),
    /// The load of an established connection, in work a second, was reported.
    LoadReported(RequestId, f64),
    /// The time that a message takes at a server was measured.
    MessageDelayReported(ServerId, Micros),
    /// A request's pending attempt or its established connection has ended.
    AttemptEnded(RequestId, Outcome),
    /// The client has left or can no longer be answered.
    ClientLeft(RequestId),
    /// The timer with this token, set by [`Effects::set_timer`], has fired.
    TimerFired(u64),
    /// A probe of a server has ended with this outcome.
    ProbeEnded(ServerId, Outcome),
    /// The loads that other balancers put on each server; `None` if too few balancers have reported them.
    RemoteLoadsUpdated(Option<Arc<BTreeMap<ServerId, RemoteLoad>>>),
}

/// The calls that the driver makes on the network. Their results arrive as [`NetworkEvent`]s, at once or
/// later.
pub trait Effects {
    /// The current time, read once in each iteration of the event loop.
    fn now(&self) -> Micros;
    /// Removes and returns the next event, if there is one.
    fn next_event(&mut self) -> Option<NetworkEvent>;
    /// Begins an attempt to connect a request to a server within a time limit.
    fn begin_attempt(&mut self, request: RequestId, server: ServerId, timeout: Micros);
    /// Cancels the pending attempt of a request, unless its connection is established.
    fn cancel_attempt(&mut self, request: RequestId);
    /// Rejects a request. If `retry_after` is above 0, the client should wait that long before it retries.
    fn reject(&mut self, request: RequestId, retry_after: Micros);
    /// Answers a request with a failure.
    fn fail(&mut self, request: RequestId);
    /// Asks a connected client to reconnect, so that it is placed on another server.
    fn migrate(&mut self, request: RequestId);
    /// Probes a server.
    fn probe(&mut self, server: ServerId);
    /// Opens a watch on the endpoint list.
    fn watch_endpoints(&mut self);
    /// Sets a timer, which is reported with its token by [`NetworkEvent::TimerFired`].
    fn set_timer(&mut self, after: Micros, token: u64);
    /// Records why a server that is warming up gets the next attempt. Most networks have no use for this.
    fn record_slow_start(&mut self, _admission: &SlowStartAdmission) {}
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
