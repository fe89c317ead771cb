//! The life cycle of a request: it arrives, is sent to a server, is established or fails, and ends.

use crate::interface::{Action, Outcome, Request, RequestId, ServerId};
use crate::numeric::positive;
use crate::placement::Placement;
use crate::requests::{PossibleRun, TrackedRequest};
use crate::reservations::{Reservation, base_duration};
use crate::slow_start::SlowStartInputs;
use crate::state::Balancer;
use crate::timers::{HOUSEKEEPING_PERIOD_SECONDS, Timer};

/// Share of returning clients that skip the first-ranked server of their group if its message delay is
/// unknown to this instance: an instance that knew the delay may have migrated them away from that server.
const SKIP_FIRST_RANK_RATIO: f64 = 0.5;
/// Migrations allowed for each new client.
const MIGRATIONS_PER_NEW_CLIENT: f64 = 5.0;
/// Migrations allowed for each returning client. They are needed because an instance that has just started
/// may have no other clients.
const MIGRATIONS_PER_RETURNING_CLIENT: f64 = 1.0;
/// A server that is unavailable when its last client leaves stays unavailable for about this time, since
/// nothing reports on it any more.
const UNOBSERVED_UNAVAILABLE_SECONDS: f64 = 8.0 * HOUSEKEEPING_PERIOD_SECONDS;
/// The deadline timer of a request fires this many ticks before the deadline.
const DEADLINE_TIMER_MARGIN_TICKS: f64 = 1.5;
/// No attempt begins within this many ticks of the request's deadline.
const ATTEMPT_MARGIN_TICKS: f64 = 2.0;

/// An attempt to be begun.
#[derive(Clone, Copy, Debug)]
struct NewAttempt {
    server: ServerId,
    /// Timeout in seconds: all the time left before the deadline. A set-up that is abandoned early is wasted
    /// work, and its retry adds more work.
    timeout: f64,
}

/// The end of an attempt or connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub request: RequestId,
    pub server: ServerId,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    pub outcome: Outcome,
    /// Whether the client has received its final answer.
    pub is_answered: bool,
}

impl Balancer {
    pub(crate) fn on_request(&mut self, now: f64, request: Request, actions: &mut Vec<Action>) {
        if !request.is_returning {
            // Returning clients are not counted: a reconnect surge must not raise the rate expected at a
            // server that is warming up.
            self.arrivals.record();
        }
        self.migration_credit +=
            if request.is_returning { MIGRATIONS_PER_RETURNING_CLIENT } else { MIGRATIONS_PER_NEW_CLIENT };
        let mut tracked = self.track(now, request);
        tracked.skips_first_rank = request.is_returning && self.draw() < SKIP_FIRST_RANK_RATIO;
        self.requests.insert(tracked);
        // Every request gets a deadline timer, which ensures an answer in time whatever else fails.
        let margin = DEADLINE_TIMER_MARGIN_TICKS * self.settings.tick;
        let after = (request.deadline - now - margin).max(0.0);
        actions.push(Action::SetTimer { after, token: Timer::Deadline(request.id).token() });
        self.dispatch(now, request.id, actions);
    }

    /// Adds a connection that was established before this instance started.
    pub(crate) fn on_connection_restored(&mut self, now: f64, request: Request, server: ServerId) {
        let mut tracked = self.track(now, request);
        self.migration_credit += MIGRATIONS_PER_NEW_CLIENT;
        tracked.connected_server = Some(server);
        tracked.attempts = 1;
        if let Some(server) = self.servers.get_mut(server) {
            server.add_group_connection(tracked.group);
            server.assigned_load += tracked.load;
            server.connections += 1;
        }
        self.requests.insert(tracked);
    }

    /// Tries to place a waiting request: begins an attempt, waits for probes, or defers, rejects or fails the
    /// request.
    pub(crate) fn dispatch(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get(id).filter(|tracked| tracked.is_waiting()) else { return };
        let tracked = tracked.clone();
        let time_left = tracked.request.deadline - now - ATTEMPT_MARGIN_TICKS * self.settings.tick;
        let is_retry_forbidden = tracked.attempts > 0 && !self.are_retries_allowed;
        if time_left <= 0.0 || tracked.attempts >= self.settings.max_attempts || is_retry_forbidden {
            return self.answer_unserved(id, actions);
        }
        if !self.setup_limiter.refill(now) {
            return self.defer(now, &tracked, actions);
        }
        match self.choose_server(now, &tracked, actions) {
            Placement::Server(server) => {
                let attempt = NewAttempt { server, timeout: time_left };
                self.begin_attempt(now, &tracked, attempt, actions);
            }
            Placement::AwaitProbes => {}
            Placement::AwaitTurn => self.defer(now, &tracked, actions),
            Placement::NoServer if self.is_capacity_imminent(now, &tracked) => {
                self.defer(now, &tracked, actions);
            }
            Placement::NoServer => self.answer_unserved(id, actions),
        }
    }

    fn begin_attempt(
        &mut self,
        now: f64,
        tracked: &TrackedRequest,
        attempt: NewAttempt,
        actions: &mut Vec<Action>,
    ) {
        let NewAttempt { server: id, timeout } = attempt;
        self.setup_limiter.record_attempt();
        self.remove_reservation(tracked.request.key);
        let sustained = self.record_slow_start(now, tracked.request.id, id, actions);
        let server = self.servers.get_mut(id).expect("the chosen server is in the server table");
        server.record_admission(sustained);
        server.assigned_load += tracked.load;
        server.connections += 1;
        server.pending_setups += 1;
        server.is_back_from_draining = false;
        // A quarantined server gets a single trial: no other request is sent to it before this one's timeout.
        server.trial_at = server.trial_at.max(now + timeout);
        server.add_group_connection(tracked.group);
        let request = tracked.request.id;
        let tracked = self.requests.get_mut(request).expect("the dispatched request is in the request table");
        tracked.attempt_server = Some(id);
        tracked.last_sent_at = now;
        tracked.tried_servers.push(id);
        let run = PossibleRun { server: id, sent_at: now, attempt: tracked.attempts };
        tracked.possible_run.get_or_insert(run);
        tracked.attempts += 1;
        actions.push(Action::BeginAttempt { request, server: id, timeout });
    }

    /// Uses one of this instance's turns at a server that is warming up. Returns this instance's share of the
    /// connections that the server can hold by now, if that is known.
    fn record_slow_start(
        &mut self,
        now: f64,
        request: RequestId,
        id: ServerId,
        actions: &mut Vec<Action>,
    ) -> Option<f64> {
        let server = self.servers.get(id)?;
        let inputs = SlowStartInputs {
            settings: &self.settings,
            servers: &self.servers,
            loads: &self.loads,
            is_fleet_known: self.fleet.is_current(now),
        };
        let admission = self.slow_start.record_admission(&inputs, server, request, now);
        actions.extend(admission.map(Action::RecordSlowStart));
        inputs.sustained_connections(server)
    }

    pub(crate) fn on_established(&mut self, now: f64, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(id) else { return };
        let Some(server_id) = tracked.attempt_server.take() else { return };
        tracked.connected_server = Some(server_id);
        let failed_servers = std::mem::take(&mut tracked.failed_servers);
        self.groups.record_server(tracked.group.unwrap_or(0), server_id);
        self.setup_limiter.on_success();
        if let Some(server) = self.servers.get_mut(server_id) {
            server.is_quarantined = false;
            server.pending_setups = server.pending_setups.saturating_sub(1);
            server.setup_failed_at = f64::NEG_INFINITY;
        }
        // Another server has accepted the request, so the request itself did not cause the errors.
        for failed in failed_servers.into_iter().filter(|failed| *failed != server_id) {
            self.reduce_health(now, failed, 0.0);
        }
    }

    pub(crate) fn on_load_changed(&mut self, id: RequestId, load: f64) {
        let (Some(tracked), Some(load)) = (self.requests.get_mut(id), positive(load)) else { return };
        let Some(server) = tracked.connected_server else { return };
        let increase = load - tracked.load;
        tracked.load = load;
        tracked.is_load_reported = true;
        self.servers.release_load(server, -increase);
    }

    pub(crate) fn on_attempt_ended(&mut self, now: f64, end: AttemptEnd, actions: &mut Vec<Action>) {
        let is_current = |tracked: &&mut TrackedRequest| {
            tracked.server() == Some(end.server) && end.attempt + 1 == tracked.attempts
        };
        let Some(tracked) = self.requests.get_mut(end.request).filter(is_current) else { return };
        let was_established = tracked.connected_server.take().is_some();
        tracked.attempt_server = None;
        let is_possible_run = tracked.possible_run.is_some_and(|run| run.attempt == end.attempt);
        if !was_established && end.outcome.never_ran() && is_possible_run {
            tracked.possible_run = None;
        }
        let was_migrated = tracked.is_answered;
        tracked.is_answered |= end.is_answered;
        let tracked = tracked.clone();
        self.release_server(now, &tracked, end.server, was_established);
        self.apply_attempt_end(now, &tracked, &end, was_established);
        if was_established && !was_migrated {
            self.on_connection_ended(now, &tracked, end.server);
        }
        if tracked.is_answered {
            self.requests.remove(end.request);
        } else {
            self.dispatch(now, end.request, actions);
        }
    }

    /// Removes an ended attempt or connection from the counts of its server.
    fn release_server(&mut self, now: f64, tracked: &TrackedRequest, id: ServerId, was_established: bool) {
        let unavailable_for = UNOBSERVED_UNAVAILABLE_SECONDS * (0.5 + self.draw());
        let Some(server) = self.servers.get_mut(id) else { return };
        server.connections = server.connections.saturating_sub(1);
        if server.connections == 0 && now < server.unavailable_until {
            server.unavailable_until = server.unavailable_until.max(now + unavailable_for);
        }
        server.pending_setups = server.pending_setups.saturating_sub(u32::from(!was_established));
        server.release_load(tracked.load);
        server.remove_group_connection(tracked.group);
    }

    /// Updates what is known about a server from the end of an attempt or connection.
    fn apply_attempt_end(
        &mut self,
        now: f64,
        tracked: &TrackedRequest,
        end: &AttemptEnd,
        was_established: bool,
    ) {
        let objective = self.latency_objective(&tracked.request);
        match end.outcome {
            // The request itself may be the cause, so the server's health is reduced only once another server
            // accepts the request.
            Outcome::Error if !was_established => {
                if let Some(tracked) = self.requests.get_mut(end.request) {
                    tracked.failed_servers.push(end.server);
                }
            }
            // The client allowed less time than the latency objective, so this says nothing about the server.
            Outcome::Rejected | Outcome::TimedOut
                if tracked.request.deadline < tracked.last_sent_at + objective => {}
            outcome => self.apply_outcome(now, end.server, outcome, was_established),
        }
    }

    /// Handles the end of an established connection that was not migrated: its client is expected to
    /// reconnect, and the server reserves load for it.
    fn on_connection_ended(&mut self, now: f64, tracked: &TrackedRequest, server: ServerId) {
        let key = tracked.request.key;
        if key == 0 || self.reservations.is_full() {
            return;
        }
        self.remove_reservation(key);
        // The time is random so that the reservations of a reconnect surge don't all expire at once.
        let expires_at = now + base_duration(&self.settings) * (1.0 + self.draw());
        self.insert_reservation(key, Reservation { server, load: tracked.load, expires_at });
    }
}
