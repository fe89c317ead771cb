//! Handles the decision module's events and actions in the overload controller.

use shorewharf_decisions::interface::{Action, Event, Request, ServerEntry};
use shorewharf_decisions::{Balancer, Outcome, RequestId, ServerId};

use super::{OverloadController, TIMER_TOKEN};
use crate::levels::{LoadSignals, RetryPolicy, SlidingWindow, lower_bound_ratio};
use crate::rebalance::StepSettings;
use crate::retry_budget::{RetryPermit, is_server_failure};

/// Period of the controller's timer, in seconds.
const TIMER_PERIOD: f64 = 0.5;
/// Duration of the reservation for a migrating client at its new server, in seconds: long enough for the client to
/// pause and to retry once.
const RESERVATION_SECONDS: f64 = 3.0;
/// A message delay is slow from this share of the shortest latency objective on, as in the decision module.
const SLOW_DELAY_RATIO: f64 = 0.4;
/// Time for which a server counts as slow after it reported a slow delay, in seconds.
const SLOW_SECONDS: f64 = 2.0;
/// Migrations pause while at least this share of the servers in service is slow, since there is no capacity to migrate
/// to.
const MAX_SLOW_SERVERS_RATIO: f64 = 0.34;

/// An event that the decision module has handled, with the resulting actions.
#[derive(Debug)]
pub struct HandledEvent<'a> {
    /// The event.
    pub event: &'a Event,
    /// Index of the event's first action in `actions`.
    pub first_action: usize,
    /// All actions; those before `first_action` are not changed.
    pub actions: &'a mut Vec<Action>,
}

impl OverloadController {
    /// Observes an event before the decision module handles it. Returns false if the event is the controller's own
    /// timer, which must not be passed to the decision module.
    pub fn observe_event(&mut self, now: f64, event: &Event, balancer: &mut Balancer) -> bool {
        // Without an ended attempt, as when a list or a timer places a waiting request, the budget and the level
        // decide about retries.
        let mut permit = None;
        match event {
            Event::TimerFired(TIMER_TOKEN) => return false,
            Event::EndpointList { is_complete, entries, is_cached } => {
                if !is_cached {
                    self.discovery_failed_at = None;
                }
                self.on_endpoint_list(now, *is_complete, entries);
            }
            Event::DiscoveryFailed => {
                self.discovery_failed_at.get_or_insert(now);
                self.rebalancer.pause(now, "discovery");
            }
            Event::RequestReceived(request) => self.on_request(now, request),
            Event::ConnectionRestored(request, server) => self.view.on_restored(now, request, *server),
            Event::Established { request, .. } => self.on_established(now, *request),
            Event::LoadChanged { request, load } => self.view.on_load(now, *request, *load),
            Event::MessageDelay { server, delay } => self.on_message_delay(now, *server, *delay),
            Event::AttemptEnded { request, outcome, is_answered, .. } => {
                permit = self.on_attempt_ended(now, *request, *outcome, *is_answered);
            }
            Event::ClientLeft(id) => self.view.on_answered(*id),
            Event::ProbeEnded { server, outcome, .. } => self.view.on_probe_ended(*server, *outcome),
            Event::Start | Event::TimerFired(_) | Event::CapacityEstimated { .. } => {}
            Event::MeanLoadEstimated(_) | Event::RemoteLoadsUpdated(_) => {}
        }
        let may_retry = match permit {
            Some(permit) => permit.is_granted(),
            None => !self.retry_budget.blocks_retries(now) && self.policy().retries != RetryPolicy::Never,
        };
        balancer.allow_retries(may_retry || !self.options.retry_budget);
        true
    }

    /// Observes the decision module's actions for an event. Removes probes in excess of the level's limit, and appends
    /// migrations, the controller's timer and log lines.
    pub fn observe_actions(&mut self, now: f64, handled: HandledEvent<'_>, balancer: &mut Balancer) {
        let HandledEvent { event, first_action: first, actions } = handled;
        let has_rejected = self.on_actions(now, &actions[first..]);
        let may_change_level =
            matches!(event, Event::EndpointList { .. } | Event::AttemptEnded { .. } | Event::DiscoveryFailed);
        let probes_per_second = self.policy().probes_per_second;
        self.probe_limiter.limit(now, probes_per_second, first, actions);
        if may_change_level || has_rejected {
            self.update_level(now);
        }
        if matches!(event, Event::Start | Event::TimerFired(TIMER_TOKEN)) {
            actions.push(Action::SetTimer { after: TIMER_PERIOD, token: TIMER_TOKEN });
        }
        if matches!(event, Event::TimerFired(TIMER_TOKEN)) {
            self.update_level(now);
            self.migrate(now, actions, balancer);
        }
        let changes = self.unlogged_changes.drain(..).map(|change| change.to_string());
        let lines =
            changes.chain(self.retry_budget.drain_log_lines()).chain(self.rebalancer.drain_log_lines());
        actions.extend(lines.map(Action::Log));
    }

    /// Records the decision module's actions; returns whether a client was rejected.
    fn on_actions(&mut self, now: f64, actions: &[Action]) -> bool {
        let mut has_rejected = false;
        for action in actions {
            match action {
                Action::BeginAttempt { request, server, .. } => self.on_attempt(now, *request, *server),
                Action::Reject { request, .. } | Action::Fail(request) => {
                    has_rejected = true;
                    self.on_rejected(now, *request);
                }
                Action::Migrate(request) => self.view.on_migration(*request),
                _ => {}
            }
        }
        has_rejected
    }

    fn on_endpoint_list(&mut self, now: f64, is_complete: bool, entries: &[ServerEntry]) {
        let in_service = self.view.servers.iter().filter(|(_, record)| record.is_in_service());
        let before: Vec<ServerId> = in_service.map(|(id, _)| *id).collect();
        let changes = self.view.on_endpoint_list(now, is_complete, entries);
        for server in before {
            self.report_if_out_of_service(server);
        }
        if changes.lost > 0 {
            self.rebalancer.pause(now, "server-lost");
        }
        if changes.started > 0 {
            self.rebalancer.pause(now, "server-started");
        }
    }

    /// Informs the rebalancer if a server is no longer in service.
    fn report_if_out_of_service(&mut self, server: ServerId) {
        let is_in_service = match self.view.servers.get(&server) {
            Some(record) => record.is_in_service(),
            None => false,
        };
        if !is_in_service {
            self.rebalancer.on_server_lost(server);
        }
    }

    fn on_request(&mut self, now: f64, request: &Request) {
        self.view.on_request(now, request);
        if request.key != 0 {
            self.rebalancer.on_request(now, request.key);
        }
    }

    fn on_established(&mut self, now: f64, id: RequestId) {
        let Some((server, connection)) = self.view.on_established(now, id) else { return };
        self.recent_counts.current(now).served += 1;
        self.backoff_clients.on_served(connection.key);
        self.retry_budget.on_outcome(now, server, Outcome::Ok);
        self.rebalancer.on_established(connection.key, server, now - connection.since);
    }

    fn on_message_delay(&mut self, now: f64, server: ServerId, delay: f64) {
        if delay < SLOW_DELAY_RATIO * self.message_latency_objective {
            return;
        }
        if let Some(record) = self.view.servers.get_mut(&server) {
            record.slow_reported_at = now;
        }
        let in_service = || self.view.servers.values().filter(|record| record.is_in_service());
        let slow = in_service().filter(|record| now < record.slow_reported_at + SLOW_SECONDS).count();
        if slow as f64 >= MAX_SLOW_SERVERS_RATIO * in_service().count() as f64 {
            self.rebalancer.pause(now, "slow");
        }
    }

    /// Records that an attempt or an established connection has ended. Returns whether the request may be retried; none
    /// if it needs no retry.
    fn on_attempt_ended(
        &mut self,
        now: f64,
        id: RequestId,
        outcome: Outcome,
        is_answered: bool,
    ) -> Option<RetryPermit> {
        let ended = self.view.on_attempt_ended(now, id, outcome, is_answered)?;
        if ended.was_established {
            if outcome == Outcome::Reset {
                self.rebalancer.pause(now, "broken");
            } else if !ended.connection.is_migrating {
                self.rebalancer.on_connection_ended(now, &ended);
            }
            return None;
        }
        self.retry_budget.on_outcome(now, ended.server, outcome);
        if is_server_failure(outcome) {
            self.rebalancer.pause(now, "set-up-failed");
            self.report_if_out_of_service(ended.server);
        }
        if is_answered || outcome == Outcome::Ok {
            return None;
        }
        let permit = match self.policy().retries {
            RetryPolicy::Never => self.retry_budget.record_permit(RetryPermit::LevelForbids),
            RetryPolicy::UnsentOnly if !outcome.never_ran() => {
                self.retry_budget.record_permit(RetryPermit::LevelForbids)
            }
            _ => self.retry_budget.request_permit(now, ended.connection.attempts),
        };
        Some(permit)
    }

    fn on_attempt(&mut self, now: f64, id: RequestId, server: ServerId) {
        let Some(connection) = self.view.on_attempt(id, server) else { return };
        if connection.attempts > 1 {
            self.retry_budget.on_retry(now);
            self.recent_counts.current(now).retries += 1;
        } else {
            self.retry_budget.on_first_attempt();
            self.recent_counts.current(now).first_attempts += 1;
        }
        self.rebalancer.on_attempt(connection.key, server);
    }

    fn on_rejected(&mut self, now: f64, id: RequestId) {
        self.rebalancer.pause(now, "refused");
        self.recent_counts.current(now).rejected += 1;
        *self.rejected.entry(self.level().name()).or_default() += 1;
        let key = self.view.connections.get(&id).map_or(0, |connection| connection.key);
        self.backoff_clients.on_rejected(now, key, id);
        self.view.on_answered(id);
    }

    fn signals(&mut self, now: f64) -> LoadSignals {
        let counts = self.recent_counts.totals(now);
        let in_backoff = self.backoff_clients.count(now);
        let clients = in_backoff + self.view.established() as u32;
        let list_age = self.discovery_failed_at.map_or(0.0, |since| (now - since) / self.poll_interval);
        LoadSignals {
            requests_per_second: f64::from(counts.served + counts.rejected) / SlidingWindow::length_seconds(),
            backoff_ratio: lower_bound_ratio(in_backoff, clients),
            retry_ratio: lower_bound_ratio(counts.retries, counts.first_attempts),
            utilization: self.capacity.and_then(|estimate| estimate.utilization()),
            capacity_in_service: self.view.capacity_in_service(now),
            list_age,
            loop_lag: self.loop_lag,
        }
    }

    fn update_level(&mut self, now: f64) {
        let signals = self.signals(now);
        let Some(change) = self.levels.update(now, &signals) else { return };
        if change.to > change.from {
            self.rebalancer.pause(now, "level");
        }
        self.unlogged_changes.push(change);
    }

    fn migrate(&mut self, now: f64, actions: &mut Vec<Action>, balancer: &mut Balancer) {
        let pace = if self.options.rebalance { self.policy().migration_pace } else { 0.0 };
        let settings = StepSettings { pace, fleet: self.fleet };
        for migration in self.rebalancer.step(now, &settings, &mut self.view) {
            balancer.on_migrated(migration.request, Some(migration.to), now + RESERVATION_SECONDS);
            actions.push(Action::Migrate(migration.request));
        }
    }
}
