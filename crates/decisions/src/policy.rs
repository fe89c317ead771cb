// Interface (types, events, actions): src/interface.rs. Mechanism: "Looky 1.0.7 Concept", kept and extended
// as described in docs/design.md. Times are seconds on the caller's clock; loads are work per second or
// numbers of connections.
//! The entry point: passes each event to the code that handles it, and runs the timers.

use crate::attempts::AttemptEnd;
use crate::interface::{Action, Event, ServerEntry};
use crate::load::CapacityEstimate;
use crate::numeric::positive;
use crate::state::Balancer;
use crate::timers::{HOUSEKEEPING_PERIOD_SECONDS, Timer};

/// Upper bound of the poll interval from which the pauses between calls to discovery are computed.
const MAX_POLL_INTERVAL_SECONDS: f64 = 10.0;
/// The first call to discovery is made at a random time within this share of the poll interval.
const FIRST_POLL_SPREAD_RATIO: f64 = 0.3;
/// Shortest pause before the next call to discovery, relative to the poll interval.
const MIN_POLL_PAUSE_RATIO: f64 = 0.045;

impl Balancer {
    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.on_start(now, actions),
            Event::EndpointList { is_complete, entries, .. } => {
                self.on_endpoint_list(now, is_complete, &entries, actions);
            }
            Event::DiscoveryFailed => self.schedule_subscription(actions),
            Event::RequestReceived(request) => self.on_request(now, request, actions),
            Event::ConnectionRestored(request, server) => self.on_connection_restored(now, request, server),
            Event::Established { request, .. } => self.on_established(now, request),
            Event::LoadChanged { request, load } => self.on_load_changed(request, load),
            Event::MessageDelay { server, delay } => self.on_message_delay(now, server, delay, actions),
            Event::CapacityEstimated { server, load, setup_rate } => {
                self.loads.set_capacity(server, CapacityEstimate { load, setup_rate });
            }
            Event::RemoteLoadsUpdated(loads) => self.fleet.update(now, loads),
            Event::MeanLoadEstimated(mean_load) => {
                if let Some(mean_load) = positive(mean_load) {
                    self.set_mean_load(mean_load);
                }
            }
            Event::AttemptEnded { request, server, attempt, outcome, is_answered, .. } => {
                let end = AttemptEnd { request, server, attempt, outcome, is_answered };
                self.on_attempt_ended(now, end, actions);
            }
            Event::ClientLeft(request) => self.requests.mark_answered(request),
            Event::TimerFired(token) => self.on_timer(now, token, actions),
            Event::ProbeEnded { server, outcome, .. } => self.on_probe_ended(now, server, outcome, actions),
        }
    }

    fn on_start(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.slow_start.on_slots_reassigned(now);
        let after = HOUSEKEEPING_PERIOD_SECONDS * (0.5 + self.draw());
        actions.push(Action::SetTimer { after, token: Timer::Housekeeping.token() });
        if self.settings.polls_discovery {
            // The time is random because all instances may start at once.
            let interval = self.settings.poll_interval.min(MAX_POLL_INTERVAL_SECONDS);
            let after = interval * FIRST_POLL_SPREAD_RATIO * self.draw();
            actions.push(Action::SetTimer { after, token: Timer::Subscribe.token() });
        }
    }

    /// Schedules the next call to discovery, after a random pause of one to three times the shortest pause.
    fn schedule_subscription(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.polls_discovery {
            return;
        }
        self.is_subscribed = false;
        let interval = self.settings.poll_interval.min(MAX_POLL_INTERVAL_SECONDS);
        let after = interval * MIN_POLL_PAUSE_RATIO * (1.0 + 2.0 * self.draw());
        actions.push(Action::SetTimer { after, token: Timer::Subscribe.token() });
    }

    fn subscribe(&mut self, actions: &mut Vec<Action>) {
        if self.settings.polls_discovery && !self.is_subscribed {
            self.is_subscribed = true;
            actions.push(Action::Subscribe);
        }
    }

    fn on_endpoint_list(
        &mut self,
        now: f64,
        is_complete: bool,
        entries: &[ServerEntry],
        actions: &mut Vec<Action>,
    ) {
        self.servers.update(is_complete, entries, self.settings.weight_kind);
        for server in self.servers.draining() {
            self.migrate_share(server, 1.0, f64::INFINITY, actions);
        }
        self.dispatch_waiting(now, actions);
    }

    fn on_timer(&mut self, now: f64, token: u64, actions: &mut Vec<Action>) {
        match Timer::from_token(token) {
            Some(Timer::Housekeeping) => self.run_housekeeping(now, actions),
            Some(Timer::Subscribe) => self.subscribe(actions),
            Some(Timer::DeferredRequests) => {
                self.is_defer_timer_set = false;
                self.dispatch_waiting(now, actions);
            }
            Some(Timer::PendingProbes) => {
                self.probes.is_timer_set = false;
                self.probes.remove_expired(now);
                self.dispatch_waiting(now, actions);
            }
            Some(Timer::Deadline(request)) => self.on_deadline(now, request, actions),
            None => {}
        }
    }

    fn run_housekeeping(&mut self, now: f64, actions: &mut Vec<Action>) {
        let after = HOUSEKEEPING_PERIOD_SECONDS;
        actions.push(Action::SetTimer { after, token: Timer::Housekeeping.token() });
        self.servers.run_housekeeping(now);
        let connections = self.servers.connections();
        self.slow_start.run_housekeeping(now, f64::from(connections), &self.settings);
        self.groups.run_housekeeping();
        self.arrivals.run_housekeeping();
        self.setup_limiter.run_housekeeping();
        for key in self.reservations.expired(now) {
            self.remove_reservation(key);
        }
        if self.settings.may_probe {
            actions.extend(self.servers.take_due_trials(now).into_iter().map(Action::Probe));
        }
    }

    /// Tries to place all requests that wait for a server.
    pub(crate) fn dispatch_waiting(&mut self, now: f64, actions: &mut Vec<Action>) {
        for request in self.requests.waiting() {
            self.dispatch(now, request, actions);
        }
    }
}
