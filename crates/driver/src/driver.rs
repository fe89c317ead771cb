//! The driver translates network events into events of the decisions, and carries out actions as calls on the
//! network.

use std::collections::HashMap;

use shorewharf_decisions::interface::{Action, Event, Outcome, RequestId, ServerEntry, ServerId, Settings};
use shorewharf_settings::operator::OperatorSettings;
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};

use crate::events::{Effects, NetworkEvent, ReceivedRequest};
use crate::gate::AdmissionGate;

/// Progress of an open request.
#[derive(Debug, Default)]
struct RequestProgress {
    /// Number of attempts that were begun.
    attempts: u32,
    /// The server of the pending attempt or of the established connection.
    attempt_server: Option<ServerId>,
    is_established: bool,
    /// Whether the client has its final answer or no longer waits for one.
    is_answered: bool,
}

/// Drives an [`AdmissionGate`] with the events of a network, and carries out the actions that it returns.
#[derive(Debug)]
pub struct Driver {
    gate: AdmissionGate,
    requests: HashMap<RequestId, RequestProgress>,
    /// Buffer that is reused between events to save allocations.
    actions: Vec<Action>,
    max_attempts: u32,
}

/// The state that an instance starts with.
#[derive(Clone, Debug)]
pub struct InitialState {
    /// The instance's settings.
    pub settings: Settings,
    /// Seed of the instance's random number generator.
    pub seed: u64,
    /// Servers that are known before discovery has answered.
    pub servers: Vec<ServerEntry>,
}

impl Driver {
    /// Starts an instance, and hands it the servers of `initial` as a cached endpoint list.
    pub fn start(initial: InitialState, operator: &OperatorSettings, effects: &mut impl Effects) -> Self {
        let InitialState { settings, seed, servers } = initial;
        let max_attempts = settings.max_attempts;
        let gate = AdmissionGate::new(effects.now(), settings, seed, operator);
        let mut driver = Driver { gate, requests: HashMap::new(), actions: Vec::new(), max_attempts };
        driver.dispatch(Event::Start, effects);
        let list =
            NetworkEvent::EndpointListReceived { is_complete: true, is_cached: true, entries: servers };
        driver.on_network_event(list, effects);
        driver
    }

    /// Applies new settings and keeps all learned state.
    pub fn update_settings(&mut self, now: Micros, settings: Settings, operator: &OperatorSettings) {
        self.max_attempts = settings.max_attempts;
        self.gate.update_settings(now, settings, operator);
    }

    /// Returns the balancer and its admission checks.
    pub fn gate(&mut self) -> &mut AdmissionGate {
        &mut self.gate
    }

    /// Processes network events, including those that its own calls on the network cause, until none is left.
    pub fn process_events(&mut self, effects: &mut impl Effects) {
        while let Some(network_event) = effects.next_event() {
            self.on_network_event(network_event, effects);
        }
    }

    /// Number of requests that wait for an answer, have a pending attempt or have an established connection.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn on_network_event(&mut self, network_event: NetworkEvent, effects: &mut impl Effects) {
        let Some(event) = self.translate(network_event) else { return };
        let request = match &event {
            Event::AttemptEnded { request, .. } | Event::ClientLeft(request) => Some(*request),
            _ => None,
        };
        self.dispatch(event, effects);
        if let Some(request) = request {
            self.remove_if_ended(request);
        }
    }

    /// Translates a network event into an event of the decisions. Returns `None` if it does not apply to the
    /// state of its request, for example because the request has ended.
    fn translate(&mut self, network_event: NetworkEvent) -> Option<Event> {
        Some(match network_event {
            NetworkEvent::EndpointListReceived { is_complete, is_cached, entries } => {
                Event::EndpointList { is_complete, is_cached, entries: entries.into() }
            }
            NetworkEvent::DiscoveryFailed => Event::DiscoveryFailed,
            NetworkEvent::RequestReceived(received) => {
                self.requests.insert(received.id, RequestProgress::default());
                Event::RequestReceived(received.into())
            }
            NetworkEvent::ConnectionRestored(received, server) => self.on_restored(received, server),
            NetworkEvent::AttemptEstablished(request) => self.on_established(request)?,
            NetworkEvent::LoadReported(request, load) => {
                self.requests.get(&request).filter(|progress| progress.is_established)?;
                Event::LoadChanged { request, load }
            }
            NetworkEvent::MessageDelayReported(server, delay) => {
                Event::MessageDelay { server, delay: seconds_from_micros(delay) }
            }
            NetworkEvent::AttemptEnded(request, outcome) => self.on_attempt_ended(request, outcome)?,
            NetworkEvent::ClientLeft(request) => self.on_client_left(request)?,
            NetworkEvent::TimerFired(token) => Event::TimerFired(token),
            NetworkEvent::RemoteLoadsUpdated(loads) => Event::RemoteLoadsUpdated(loads),
            NetworkEvent::ProbeEnded(server, outcome) => {
                Event::ProbeEnded { server, outcome, load_ratio: None }
            }
        })
    }

    fn on_restored(&mut self, received: ReceivedRequest, server: ServerId) -> Event {
        let progress = RequestProgress {
            attempts: 1,
            attempt_server: Some(server),
            is_established: true,
            is_answered: false,
        };
        self.requests.insert(received.id, progress);
        Event::ConnectionRestored(received.into(), server)
    }

    fn on_established(&mut self, request: RequestId) -> Option<Event> {
        let progress = self.requests.get_mut(&request)?;
        progress.attempt_server?;
        progress.is_established = true;
        Some(Event::Established { request, attempt: progress.attempts - 1 })
    }

    fn on_attempt_ended(&mut self, request: RequestId, outcome: Outcome) -> Option<Event> {
        let progress = self.requests.get_mut(&request)?;
        let server = progress.attempt_server.take()?;
        // A request whose connection was established, or that was served, needs no further answer. Any other
        // still needs its final answer, unless it had one before.
        progress.is_answered |= progress.is_established || outcome == Outcome::Ok;
        Some(Event::AttemptEnded {
            request,
            server,
            attempt: progress.attempts - 1,
            outcome,
            is_answered: progress.is_answered,
            load_ratio: None,
        })
    }

    fn on_client_left(&mut self, request: RequestId) -> Option<Event> {
        let progress = self.requests.get_mut(&request).filter(|progress| !progress.is_answered)?;
        progress.is_answered = true;
        Some(Event::ClientLeft(request))
    }

    fn dispatch(&mut self, event: Event, effects: &mut impl Effects) {
        let mut actions = std::mem::take(&mut self.actions);
        self.gate.handle(seconds_from_micros(effects.now()), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action, effects);
        }
        self.actions = actions;
    }

    fn remove_if_ended(&mut self, request: RequestId) {
        let has_ended =
            |progress: &RequestProgress| progress.is_answered && progress.attempt_server.is_none();
        if self.requests.get(&request).is_some_and(has_ended) {
            self.requests.remove(&request);
        }
    }

    /// Records that a request gets its final answer. Returns false if the request had one before or is not
    /// open.
    fn mark_answered(&mut self, request: RequestId) -> bool {
        let Some(progress) = self.requests.get_mut(&request) else { return false };
        let is_first = !std::mem::replace(&mut progress.is_answered, true);
        self.remove_if_ended(request);
        is_first
    }

    fn execute(&mut self, action: Action, effects: &mut impl Effects) {
        match action {
            Action::BeginAttempt { request, server, timeout } => {
                if self.record_attempt(request, server) {
                    effects.begin_attempt(request, server, micros_from_seconds(timeout));
                }
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
                if self.is_attempt_pending(request, attempt) {
                    effects.cancel_attempt(request);
                }
            }
            Action::Migrate(request) => {
                if self.requests.get(&request).is_some_and(|progress| progress.is_established) {
                    effects.migrate(request);
                }
            }
            Action::SetTimer { after, token } => effects.set_timer(micros_from_seconds(after), token),
            Action::Probe(server) => effects.probe(server),
            Action::Subscribe => effects.watch_endpoints(),
            Action::RecordSlowStart(admission) => effects.record_slow_start(&admission),
            Action::Log(line) => effects.log(&line),
        }
    }

    /// Records that an attempt begins. Returns false if it must not begin: a request has only one attempt at
    /// a time, and at most as many in total as the settings allow.
    fn record_attempt(&mut self, request: RequestId, server: ServerId) -> bool {
        let max_attempts = self.max_attempts;
        let Some(progress) = self.requests.get_mut(&request) else { return false };
        if progress.is_answered || progress.attempt_server.is_some() || progress.attempts >= max_attempts {
            return false;
        }
        progress.attempts += 1;
        progress.attempt_server = Some(server);
        true
    }

    fn is_attempt_pending(&self, request: RequestId, attempt: u32) -> bool {
        let is_pending = |progress: &RequestProgress| {
            progress.attempt_server.is_some() && !progress.is_established && progress.attempts == attempt + 1
        };
        self.requests.get(&request).is_some_and(is_pending)
    }
}
