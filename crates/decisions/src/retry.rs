//! Retries and final answers: whether a request may have another attempt, is deferred, or has to be answered.

use crate::interface::{Action, DeduplicationScope, Idempotency, RequestId};
use crate::requests::TrackedRequest;
use crate::servers::Server;
use crate::state::Balancer;
use crate::timers::Timer;

/// Deferred requests are placed again after this share of the latency objective.
const DEFER_RATIO: f64 = 0.1;
/// Number of requests that may be deferred for each server that can sustain more load: about as many as a
/// server sets up within the latency objective.
const MAX_DEFERRED_PER_SERVER: usize = 4;
/// No request is deferred within this many ticks of its deadline.
const DEFER_MARGIN_TICKS: f64 = 4.0;
/// The deadline timer answers a request only from this many ticks before its deadline on.
const DEADLINE_MARGIN_TICKS: f64 = 2.0;
/// Mean retry-after of rejected clients, relative to the longest one.
const RETRY_AFTER_RATIO: f64 = 0.5;

impl Balancer {
    /// Whether an attempt at a server is harmless, considering what earlier attempts may have done.
    pub(crate) fn may_attempt(&self, tracked: &TrackedRequest, server: &Server, now: f64) -> bool {
        let Some(run) = tracked.possible_run else { return true };
        match tracked.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed(scope, window) => {
                let Some(first) = self.servers.get(run.server) else { return false };
                // The server registers the request when the last byte of it arrives, which connecting may
                // delay by this much.
                let connect_time = self.settings.connect_timeout.min(tracked.request.deadline - now);
                let is_in_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.entry.zone == server.entry.zone,
                    DeduplicationScope::Cell => first.entry.cell == server.entry.cell,
                };
                now + connect_time < run.sent_at + window - self.settings.tick && is_in_scope
            }
        }
    }

    /// Whether to defer a request for which no server is available, because set-up slots will become free, or
    /// slow start will admit more, within moments. If not, the request should be rejected at once.
    pub(crate) fn is_capacity_imminent(&self, now: f64, tracked: &TrackedRequest) -> bool {
        if self.servers.has_only_unready_servers() {
            return false;
        }
        let in_service: Vec<&Server> = self.servers.in_service(&self.settings, now).collect();
        if in_service.is_empty() {
            return true;
        }
        let can_sustain =
            |server: &&Server| now >= server.unavailable_until && self.loads.can_sustain(server, tracked);
        let available = in_service.into_iter().filter(can_sustain).count();
        tracked.attempts == 0 && self.requests.waiting().len() <= MAX_DEFERRED_PER_SERVER * available
    }

    /// Lets a request wait for a moment, or answers it if waiting would miss its latency objective or
    /// deadline.
    pub(crate) fn defer(&mut self, now: f64, tracked: &TrackedRequest, actions: &mut Vec<Action>) {
        let objective = self.latency_objective(&tracked.request);
        let after = (objective * DEFER_RATIO).max(self.settings.tick);
        let latest = tracked.request.deadline - DEFER_MARGIN_TICKS * self.settings.tick;
        if now + after > tracked.received_at + objective || now + after > latest {
            return self.answer_unserved(tracked.request.id, actions);
        }
        if let Some(tracked) = self.requests.get_mut(tracked.request.id) {
            tracked.tried_servers.clear();
        }
        if !self.is_defer_timer_set {
            self.is_defer_timer_set = true;
            actions.push(Action::SetTimer { after, token: Timer::DeferredRequests.token() });
        }
    }

    /// Gives a request that is not served its final answer: a rejection if a retry is known to be harmless,
    /// else a failure.
    pub(crate) fn answer_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get(id).filter(|tracked| !tracked.is_answered) else { return };
        let is_idempotent = matches!(
            tracked.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All, _)
        );
        let is_harmless =
            tracked.attempt_server.is_none() && (tracked.possible_run.is_none() || is_idempotent);
        if is_harmless {
            let max_retry_after =
                if self.settings.sends_retry_after { self.settings.max_retry_after } else { 0.0 };
            let retry_after = max_retry_after * RETRY_AFTER_RATIO * (0.5 + self.draw());
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail(id));
        }
        self.requests.mark_answered(id);
    }

    /// Answers a request whose deadline is near, unless its connection is established.
    pub(crate) fn on_deadline(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get(id) else { return };
        let due_at = tracked.request.deadline - DEADLINE_MARGIN_TICKS * self.settings.tick;
        if tracked.connected_server.is_some() || tracked.is_answered || now < due_at {
            return;
        }
        if tracked.attempt_server.is_some() && self.settings.may_cancel {
            actions.push(Action::CancelAttempt { request: id, attempt: tracked.attempts - 1 });
        }
        self.answer_unserved(id, actions);
    }
}
