//! The way of a request through attempts: it arrives, is sent to a server, is established or fails, and ends.

use crate::interface::{Action, Outcome, Request, RequestId, ServerId, ServerState};
use crate::numeric::positive;
use crate::placement::Placement;
use crate::requests::{PossibleRun, TrackedRequest};
use crate::reservations::{Reservation, base_duration};
use crate::state::Balancer;
use crate::timers::{HOUSEKEEPING_PERIOD_SECONDS, Timer};

/// Share of returning clients that pass over their group's first server where nothing is known of its message
/// delay: an instance that knew of it may have sent them away from there.
const SKIP_FIRST_RANK_RATIO: f64 = 0.5;
/// Migrations allowed for each new client.
const MIGRATIONS_PER_NEW_CLIENT: f64 = 5.0;
/// Migrations allowed for each returning client: an instance that has just started may have no other clients.
const MIGRATIONS_PER_RETURNING_CLIENT: f64 = 1.0;
/// A server that is unavailable when its last client leaves stays so for about this time: nobody reports on
/// it any more.
const UNOBSERVED_UNAVAILABLE_SECONDS: f64 = 8.0 * HOUSEKEEPING_PERIOD_SECONDS;
/// A request's deadline timer fires this many ticks early.
const DEADLINE_TIMER_MARGIN_TICKS: f64 = 1.5;
/// No attempt begins within this many ticks of the deadline.
const ATTEMPT_MARGIN_TICKS: f64 = 2.0;

/// An attempt that is to begin.
#[derive(Clone, Copy, Debug)]
struct NewAttempt {
    server: ServerId,
    /// The whole time left in seconds: a set-up that is given up early is wasted work, and its retry is more
    /// of it.
    timeout: f64,
}

/// An attempt or connection that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub request: RequestId,
    pub server: ServerId,
    /// Which attempt, from 0.
    pub attempt: u32,
    pub outcome: Outcome,
    /// Whether the client has its final answer.
    pub is_answered: bool,
}

impl Balancer {
    pub(crate) fn on_request(&mut self, now: f64, request: Request, actions: &mut Vec<Action>) {
        if !request.is_returning {
            // A reconnect surge must not raise the rate that is expected of a warming server.
            self.arrivals.record();
        }
        self.migration_credit +=
            if request.is_returning { MIGRATIONS_PER_RETURNING_CLIENT } else { MIGRATIONS_PER_NEW_CLIENT };
        let mut tracked = self.track(now, request);
        tracked.skips_first_rank = request.is_returning && self.draw() < SKIP_FIRST_RANK_RATIO;
        self.requests.insert(tracked);
        // Every request has a deadline timer: whatever else fails, it gets its answer in time.
        let margin = DEADLINE_TIMER_MARGIN_TICKS * self.settings.tick;
        let after = (request.deadline - now - margin).max(0.0);
        actions.push(Action::SetTimer { after, token: Timer::Deadline(request.id).token() });
        self.dispatch(now, request.id, actions);
    }

    /// A connection that was established before this instance started.
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

    /// Places a request that waits: an attempt begins, or it is deferred, rejected or failed.
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
        let inputs = self.slow_start_inputs(now);
        let sustained = self.servers.get(id).and_then(|server| inputs.sustained_connections(server));
        let server = self.servers.get_mut(id).expect("chosen from the table");
        server.record_admission(now, sustained);
        server.assigned_load += tracked.load;
        server.connections += 1;
        server.pending_setups += 1;
        server.is_back_from_draining = false;
        // A trial is single: the quarantine holds for all other requests until it has ended.
        server.trial_at = server.trial_at.max(now + timeout);
        server.add_group_connection(tracked.group);
        let request = tracked.request.id;
        let tracked = self.requests.get_mut(request).expect("it is being dispatched");
        tracked.attempt_server = Some(id);
        tracked.last_sent_at = now;
        tracked.tried_servers.push(id);
        let run = PossibleRun { server: id, sent_at: now, attempt: tracked.attempts };
        tracked.possible_run.get_or_insert(run);
        tracked.attempts += 1;
        actions.push(Action::BeginAttempt { request, server: id, timeout });
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
        // Another server has taken the request, so the errors were not its own doing.
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
        self.judge_attempt(now, &tracked, &end, was_established);
        if was_established && !was_migrated {
            self.on_connection_ended(now, &tracked, &end);
        }
        if tracked.is_answered {
            self.requests.remove(end.request);
        } else {
            self.dispatch(now, end.request, actions);
        }
    }

    /// Takes an ended attempt or connection off its server.
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

    /// Draws conclusions on the server from the end of an attempt or connection.
    fn judge_attempt(&mut self, now: f64, tracked: &TrackedRequest, end: &AttemptEnd, was_established: bool) {
        let objective = self.latency_objective(&tracked.request);
        match end.outcome {
            // It may be the request that is at fault: its servers are blamed once another one takes it.
            Outcome::Error if !was_established => {
                if let Some(tracked) = self.requests.get_mut(end.request) {
                    tracked.failed_servers.push(end.server);
                }
            }
            // A client that leaves a server no time says nothing of it.
            Outcome::Rejected | Outcome::TimedOut
                if tracked.request.deadline < tracked.last_sent_at + objective => {}
            outcome => self.judge_outcome(now, end.server, outcome, was_established),
        }
    }

    /// An established connection has ended that was not migrated: its client is expected back.
    fn on_connection_ended(&mut self, now: f64, tracked: &TrackedRequest, end: &AttemptEnd) {
        let server = self.servers.get(end.server);
        let is_draining = server.is_some_and(|server| server.entry.state == ServerState::Draining);
        if end.outcome == Outcome::Reset || (end.outcome == Outcome::Cancelled && !is_draining) {
            self.slow_start.record_reset(now);
        }
        let key = tracked.request.key;
        if key == 0 || self.reservations.is_full() {
            return;
        }
        self.remove_reservation(key);
        // Random, so that the reservations of a mass reconnect don't all end at once.
        let expires_at = now + base_duration(&self.settings) * (1.0 + self.draw());
        self.insert_reservation(key, Reservation { server: end.server, load: tracked.load, expires_at });
    }
}
