//! Between the effects and the decisions. The only caller of the decision module: what happens to a peer becomes an
//! event, what the module wants becomes a call on a peer, and microseconds become seconds. It knows no
//! protocol's text, so that another protocol can be put before the same decisions. Before the module stand the
//! [`admission`]s ([`AdmissionGate`]).

pub mod admission;
mod budgets;
mod gate;
mod tenants;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use shorewharf_decisions::interface::*;
use shorewharf_settings::operator::Operator;
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};

pub use budgets::Budgets;
pub use gate::AdmissionGate;
pub use tenants::Tenants;

/// The module asks for the list again at the latest so long after a call has failed.
pub const MAX_DISCOVERY_RETRY_DELAY: Micros = 1_350_000;

/// A req: what a client asks for, in the program's own units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedRequest {
    /// Its number here; never used twice at once.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// The client's key; 0 for none.
    pub key: u64,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// Expected load in work a second.
    pub load: Option<f64>,
    /// Its group; 0 for none.
    pub group: u64,
    /// The client says that it comes again.
    pub is_returning: bool,
}

/// What has happened to a peer.
#[derive(Clone, Debug)]
pub enum NetworkEvent {
    /// The director has news of the list.
    EndpointListReceived {
        /// The whole list.
        full: bool,
        /// The list from the configuration rather than news.
        cached: bool,
        /// The servers.
        entries: Vec<ServerEntry>,
    },
    /// The director's call failed or its watch ended.
    DiscoveryFailed,
    /// A client asks for a connection.
    RequestReceived(ReceivedRequest),
    /// A connection from before this program's start stands again.
    ConnectionRestored(ReceivedRequest, ServerId),
    /// The fetch that is out for this req has come up.
    AttemptEstablished(RequestId),
    /// A standing connection's load is now so much work a second.
    LoadReported(RequestId, f64),
    /// Messages at a server take so long.
    MessageDelayReported(ServerId, Micros),
    /// The fetch that was out for this req is over, whether it had come up or not.
    AttemptEnded(RequestId, Outcome),
    /// The client has left, or can't be answered any more.
    ClientLeft(RequestId),
    /// A timer of the module's has come.
    TimerFired(u64),
    /// A probe is over.
    ProbeEnded(ServerId, Outcome),
    /// What other balancers hold by now; none where too few are heard of.
    RemoteLoadsUpdated(Option<Arc<BTreeMap<ServerId, RemoteLoad>>>),
}

/// What the driver asks of the effects. What comes of it is told as a [`NetworkEvent`], at once or later.
pub trait Effects {
    /// The time, read once a turn.
    fn now(&self) -> Micros;
    /// The next thing that happened.
    fn next_event(&mut self) -> Option<NetworkEvent>;
    /// Begins a fetch; it may take so long.
    fn begin_attempt(&mut self, req: RequestId, server: ServerId, patience: Micros);
    /// Calls off the fetch that is out, if it has not come up.
    fn cancel_attempt(&mut self, req: RequestId);
    /// Tells the client to come again, after so long if that is more than 0.
    fn reject(&mut self, req: RequestId, after: Micros);
    /// Tells the client that it is not served.
    fn fail(&mut self, req: RequestId);
    /// Asks a connected client to come again.
    fn migrate(&mut self, req: RequestId);
    /// Checks on a server.
    fn probe(&mut self, server: ServerId);
    /// Opens the watch on the list.
    fn watch_endpoints(&mut self);
    /// Wakes the module after so long.
    fn set_timer(&mut self, after: Micros, token: u64);
    /// Writes a line of the module's to the log.
    fn log(&mut self, line: &str);
}

/// What the module believes of a req.
#[derive(Debug, Default)]
struct RequestProgress {
    attempts: u32,
    attempt_server: Option<ServerId>,
    is_established: bool,
    /// It has had its final answer, or nobody waits for one.
    is_answered: bool,
}

/// Drives the module.
#[derive(Debug)]
pub struct Driver {
    gate: AdmissionGate,
    requests: HashMap<RequestId, RequestProgress>,
    actions: Vec<Action>,
    max_attempts: u32,
}

impl Driver {
    /// A driver of a fresh module behind what the operator wants before it; `known` is the list that it starts from.
    pub fn start(
        set: Settings,
        operator: &Operator,
        seed: u64,
        known: Vec<ServerEntry>,
        effects: &mut impl Effects,
    ) -> Self {
        let max_attempts = set.max_attempts;
        let gate = AdmissionGate::new(effects.now(), set, seed, operator);
        let mut driver = Driver { gate, requests: HashMap::new(), actions: Vec::new(), max_attempts };
        driver.dispatch(Event::Start, effects);
        driver.on_network_event(
            NetworkEvent::EndpointListReceived { full: true, cached: true, entries: known },
            effects,
        );
        driver
    }

    /// Puts new settings in force; what the module has learned stays.
    pub fn update_settings(&mut self, now: Micros, set: Settings, operator: &Operator) {
        self.max_attempts = set.max_attempts;
        self.gate.update_settings(now, set, operator);
    }

    /// The module and what stands before it.
    pub fn gate(&mut self) -> &mut AdmissionGate {
        &mut self.gate
    }

    /// Tells the module all that has happened, and what comes of its wishes, until nothing is left.
    pub fn process_events(&mut self, effects: &mut impl Effects) {
        while let Some(network_event) = effects.next_event() {
            self.on_network_event(network_event, effects);
        }
    }

    /// Reqs that the module has not let go of.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn request(req: &ReceivedRequest) -> Request {
        Request {
            id: req.id,
            class: req.class,
            tenant: req.tenant,
            key: req.key,
            deadline: seconds_from_micros(req.deadline),
            load: req.load,
            group: req.group,
            is_mid_flow: false,
            is_returning: req.is_returning,
        }
    }

    fn on_network_event(&mut self, network_event: NetworkEvent, effects: &mut impl Effects) {
        let event = match network_event {
            NetworkEvent::EndpointListReceived { full, cached, entries } => {
                Event::EndpointList { is_complete: full, is_cached: cached, entries: entries.into() }
            }
            NetworkEvent::DiscoveryFailed => Event::DiscoveryFailed,
            NetworkEvent::RequestReceived(req) => {
                self.requests.insert(req.id, RequestProgress::default());
                Event::RequestReceived(Driver::request(&req))
            }
            NetworkEvent::ConnectionRestored(req, server) => {
                let sent = RequestProgress {
                    attempts: 1,
                    attempt_server: Some(server),
                    is_established: true,
                    is_answered: false,
                };
                self.requests.insert(req.id, sent);
                Event::ConnectionRestored(Driver::request(&req), server)
            }
            NetworkEvent::AttemptEstablished(request) => {
                let Some(sent) = self.requests.get_mut(&request).filter(|s| s.attempt_server.is_some())
                else {
                    return;
                };
                sent.is_established = true;
                Event::Established { request, attempt: sent.attempts - 1 }
            }
            NetworkEvent::LoadReported(request, load) => {
                if !self.requests.get(&request).is_some_and(|s| s.is_established) {
                    return;
                }
                Event::LoadChanged { request, load }
            }
            NetworkEvent::MessageDelayReported(server, delay) => {
                Event::MessageDelay { server, delay: seconds_from_micros(delay) }
            }
            NetworkEvent::AttemptEnded(request, outcome) => {
                let Some(sent) = self.requests.get_mut(&request) else { return };
                let Some(server) = sent.attempt_server.take() else { return };
                // As on the simulator's wire: a request is complete once served, once it has stood, or if
                // it was answered before; else the module still owes the final answer.
                sent.is_answered |= sent.is_established || outcome == Outcome::Ok;
                let (attempt, complete) = (sent.attempts - 1, sent.is_answered);
                Event::AttemptEnded {
                    request,
                    server,
                    attempt,
                    outcome,
                    is_answered: complete,
                    load_ratio: None,
                }
            }
            NetworkEvent::ClientLeft(request) => {
                let Some(sent) = self.requests.get_mut(&request) else { return };
                if std::mem::replace(&mut sent.is_answered, true) {
                    return;
                }
                Event::ClientLeft(request)
            }
            NetworkEvent::TimerFired(token) => Event::TimerFired(token),
            NetworkEvent::RemoteLoadsUpdated(away) => Event::RemoteLoadsUpdated(away),
            NetworkEvent::ProbeEnded(server, outcome) => {
                Event::ProbeEnded { server, outcome, load_ratio: None }
            }
        };
        let concerned = match &event {
            Event::AttemptEnded { request, .. } => Some(*request),
            Event::ClientLeft(request) => Some(*request),
            _ => None,
        };
        self.dispatch(event, effects);
        if let Some(request) = concerned {
            self.remove_if_ended(request);
        }
    }

    fn dispatch(&mut self, event: Event, effects: &mut impl Effects) {
        self.gate.handle(seconds_from_micros(effects.now()), event, &mut self.actions);
        let mut actions = std::mem::take(&mut self.actions);
        actions.drain(..).for_each(|action| self.execute(action, effects));
        self.actions = actions;
    }

    fn remove_if_ended(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(|s| s.is_answered && s.attempt_server.is_none()) {
            self.requests.remove(&request);
        }
    }

    /// Marks the final answer; false if there was one before.
    fn mark_answered(&mut self, request: RequestId) -> bool {
        let first =
            self.requests.get_mut(&request).is_some_and(|s| !std::mem::replace(&mut s.is_answered, true));
        self.remove_if_ended(request);
        first
    }

    fn execute(&mut self, action: Action, effects: &mut impl Effects) {
        match action {
            Action::BeginAttempt { request, server, timeout } => {
                let most = self.max_attempts;
                let may = |s: &&mut RequestProgress| {
                    !s.is_answered && s.attempt_server.is_none() && s.attempts < most
                };
                // One fetch at a time: a second one for the same req would be a second copy.
                let Some(sent) = self.requests.get_mut(&request).filter(may) else { return };
                sent.attempts += 1;
                sent.attempt_server = Some(server);
                effects.begin_attempt(request, server, micros_from_seconds(timeout));
            }
            Action::Reject { request, retry_after } => {
                if self.mark_answered(request) {
                    effects.reject(request, micros_from_seconds(retry_after));
                }
            }
            Action::Fail(request) => {
                if self.mark_answered(request) {
                    effects.fail(request);
                }
            }
            Action::CancelAttempt { request, attempt } => {
                let out = |s: &RequestProgress| {
                    s.attempt_server.is_some() && !s.is_established && s.attempts == attempt + 1
                };
                if self.requests.get(&request).is_some_and(out) {
                    effects.cancel_attempt(request);
                }
            }
            Action::Migrate(request) => {
                if self.requests.get(&request).is_some_and(|s| s.is_established) {
                    effects.migrate(request);
                }
            }
            Action::SetTimer { after, token } => effects.set_timer(micros_from_seconds(after), token),
            Action::Probe(server) => effects.probe(server),
            Action::Subscribe => effects.watch_endpoints(),
            Action::Log(line) => effects.log(&line),
        }
    }
}
