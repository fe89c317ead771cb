//! The admission gate: the balancer behind its admission checks. It takes the same events and returns the
//! same actions as the balancer alone, so that the balancer program and the simulator's adapter can drive
//! either in the same way.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use shorewharf_decisions::Holding;
use shorewharf_decisions::interface::{Action, Event, Outcome, Request, RequestId, ServerId, Settings};
use shorewharf_decisions::persistence::RestoreCounts;
use shorewharf_recovery::capacity_estimate::FleetEstimate;
use shorewharf_recovery::controller::{ControllerOptions, OverloadController};
use shorewharf_recovery::protected_balancer::{ProtectedBalancer, WaitingClients};
use shorewharf_recovery::snapshot_state::{ExportCursor, SnapshotEntry};
use shorewharf_settings::operator::{OperatorSettings, Recovery};
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};

use crate::admission::{Admission, AdmissionDecision, AdmittedOutcome};
use crate::budgets::Budgets;
use crate::tenants::Tenants;

/// Token of the migration timer. It has a bit that no token of the decisions has.
const MIGRATION_TIMER: u64 = 1 << 63;
/// Shortest time between two log lines on rejections, so that a flood of requests does not flood the log.
const REJECTION_LOG_INTERVAL: Micros = 10_000_000;
/// Most entries, each for a tenant and a reason, in a log line on rejections.
const MAX_LOGGED_REJECTIONS: usize = 8;

fn controller_options(operator: &OperatorSettings) -> ControllerOptions {
    let Recovery { levels, retry_budget, rebalance } = operator.recovery;
    ControllerOptions { levels, retry_budget, rebalance }
}

/// The admission checks that are in use, in the order in which they are asked.
#[derive(Debug, Default)]
struct AdmissionChecks {
    tenants: Option<Tenants>,
    budgets: Option<Budgets>,
}

impl AdmissionChecks {
    fn is_empty(&self) -> bool {
        self.tenants.is_none() && self.budgets.is_none()
    }

    fn iter_mut(&mut self) -> impl Iterator<Item = &mut dyn Admission> {
        let tenants = self.tenants.as_mut().map(|tenants| tenants as &mut dyn Admission);
        let budgets = self.budgets.as_mut().map(|budgets| budgets as &mut dyn Admission);
        tenants.into_iter().chain(budgets)
    }
}

/// An admitted request, or one whose connection was established before this instance started.
#[derive(Clone, Copy, Debug)]
struct AdmittedRequest {
    request: Request,
    has_pending_attempt: bool,
    is_established: bool,
    /// Whether an admission check has had the connection migrated.
    is_migrating: bool,
}

impl AdmittedRequest {
    fn new(request: Request) -> Self {
        AdmittedRequest { request, has_pending_attempt: false, is_established: false, is_migrating: false }
    }
}

/// An admitted request that has ended, with its last outcome.
#[derive(Clone, Copy, Debug)]
struct EndedRequest {
    id: RequestId,
    outcome: AdmittedOutcome,
}

/// Key by which rejections are counted for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RejectionKey {
    tenant: usize,
    reason: &'static str,
}

/// The balancer and its admission checks.
#[derive(Debug)]
pub struct AdmissionGate {
    balancer: ProtectedBalancer,
    checks: AdmissionChecks,
    admitted: HashMap<RequestId, AdmittedRequest>,
    /// The time at which the migration timer fires next, if it is set.
    timer_at: Option<Micros>,
    /// Rejections since the start, by reason.
    rejections: BTreeMap<&'static str, u64>,
    /// Rejections since the last log line on them.
    unlogged_rejections: BTreeMap<RejectionKey, u64>,
    /// Time of the last log line on rejections.
    logged_at: Micros,
}

impl AdmissionGate {
    /// Creates a balancer with these settings, behind the tenants' quotas if the operator's file enables
    /// them.
    pub fn new(now: Micros, settings: Settings, seed: u64, operator: &OperatorSettings) -> AdmissionGate {
        let tenants = Tenants::new(now, &settings, operator);
        AdmissionGate {
            balancer: ProtectedBalancer::new(settings, seed, controller_options(operator)),
            checks: AdmissionChecks { tenants, budgets: None },
            admitted: HashMap::new(),
            timer_at: None,
            rejections: BTreeMap::new(),
            unlogged_rejections: BTreeMap::new(),
            logged_at: now,
        }
    }

    /// Applies new settings to the balancer and its checks. Learned state is kept. No check is added or
    /// removed.
    pub fn update_settings(&mut self, now: Micros, settings: Settings, operator: &OperatorSettings) {
        for check in self.checks.iter_mut() {
            check.update_settings(now, &settings, operator);
        }
        self.balancer.update_settings(seconds_from_micros(now), settings, controller_options(operator));
    }

    /// Number of requests that the admission checks have rejected since the start, by reason.
    pub fn rejections(&self) -> &BTreeMap<&'static str, u64> {
        &self.rejections
    }

    /// The check of the tenants' quotas, if it is in use.
    pub fn tenants(&mut self) -> Option<&mut Tenants> {
        self.checks.tenants.as_mut()
    }

    /// Adds the check against the budgets of the whole fleet, or replaces it.
    pub fn set_budgets(&mut self, budgets: Budgets) {
        self.checks.budgets = Some(budgets);
    }

    /// Estimates of the fleet's capacity and load.
    pub fn fleet_estimate(&self, now: f64) -> FleetEstimate {
        self.balancer.fleet(now)
    }

    /// The clients of this instance that wait for capacity.
    pub fn waiting_clients(&self, now: f64) -> WaitingClients {
        self.balancer.waiting(now)
    }

    /// The overload controller of this instance.
    pub fn overload_controller(&self) -> &OverloadController {
        self.balancer.controller()
    }

    /// The request of an established connection and, if it was reported, the connection's load.
    pub fn established(&self, id: RequestId) -> Option<(Request, Option<f64>)> {
        self.balancer.established(id)
    }

    /// The attempts and connections of this instance by server, for reports to other balancers.
    pub fn holdings(&self) -> Vec<Holding> {
        self.balancer.holdings()
    }

    /// Servers that get no new connections at present, for any reason.
    pub fn unavailable_servers(&self, now: f64) -> Vec<ServerId> {
        self.balancer.unavailable_servers(now)
    }

    /// Appends at most `limit` entries of the learned state, beginning at `from`, and returns the cursor for
    /// the next call.
    pub fn export_state(
        &self,
        from: ExportCursor,
        limit: usize,
        entries: &mut Vec<SnapshotEntry>,
    ) -> ExportCursor {
        self.balancer.export_state(from, limit, entries)
    }

    /// Restores learned state that an instance exported `age` seconds ago. The endpoint list must have been
    /// handled before. If `are_connections_lost`, the clients that were connected are expected to reconnect.
    pub fn restore_state(
        &mut self,
        now: f64,
        age: f64,
        are_connections_lost: bool,
        entries: Vec<SnapshotEntry>,
    ) -> RestoreCounts {
        self.balancer.restore_state(now, age, are_connections_lost, entries)
    }

    /// Handles an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        if self.checks.is_empty() {
            return self.balancer.handle(now, event, actions);
        }
        let at = micros_from_seconds(now);
        for check in self.checks.iter_mut() {
            check.on_event(at, &event);
        }
        match &event {
            Event::TimerFired(MIGRATION_TIMER) => return self.on_migration_timer(at, actions),
            Event::RequestReceived(request) => {
                if let Some(rejection) = self.check_admission(at, request) {
                    actions.push(rejection);
                    return self.log_rejections(at, actions);
                }
            }
            _ => {}
        }
        let ended = self.track_event(at, &event);
        let first_new = actions.len();
        self.balancer.handle(now, event, actions);
        if let Some(ended) = ended {
            self.on_outcome(at, ended);
        }
        self.track_actions(at, &actions[first_new..]);
        self.schedule_timer(at, actions);
    }

    /// Asks the checks in order. Returns the rejection if one of them rejects the request, else admits it.
    fn check_admission(&mut self, now: Micros, request: &Request) -> Option<Action> {
        for check in self.checks.iter_mut() {
            if let AdmissionDecision::Reject { retry_after, reason } = check.check(now, request) {
                let key = RejectionKey { tenant: request.tenant, reason };
                *self.rejections.entry(reason).or_default() += 1;
                *self.unlogged_rejections.entry(key).or_default() += 1;
                let retry_after = seconds_from_micros(retry_after);
                return Some(Action::Reject { request: request.id, retry_after });
            }
        }
        for check in self.checks.iter_mut() {
            check.on_admitted(now, request);
        }
        self.admitted.insert(request.id, AdmittedRequest::new(*request));
        None
    }

    /// Logs the rejections since the last such log line, the most frequent first.
    fn log_rejections(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now < self.logged_at + REJECTION_LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        let mut rejections: Vec<_> = std::mem::take(&mut self.unlogged_rejections).into_iter().collect();
        rejections.sort_by_key(|(_, count)| Reverse(*count));
        let texts: Vec<String> = rejections
            .iter()
            .take(MAX_LOGGED_REJECTIONS)
            .map(|(RejectionKey { tenant, reason }, count)| format!("tenant {tenant} {reason} {count}"))
            .collect();
        actions.push(Action::Log(format!(
            "requests rejected by admission checks since the last report: {}",
            texts.join(", ")
        )));
    }

    /// Updates the admitted requests for an event. Returns the request that the event ends, if any.
    fn track_event(&mut self, now: Micros, event: &Event) -> Option<EndedRequest> {
        match event {
            Event::ConnectionRestored(request, _) => {
                let admitted = AdmittedRequest { is_established: true, ..AdmittedRequest::new(*request) };
                self.admitted.insert(request.id, admitted);
                for check in self.checks.iter_mut() {
                    check.on_restored(now, request);
                }
                None
            }
            Event::Established { request, .. } => {
                self.on_established(now, *request);
                None
            }
            Event::AttemptEnded { request, outcome, is_answered, .. } => {
                self.on_attempt_ended(*request, *outcome, *is_answered)
            }
            Event::ClientLeft(id) => {
                let admitted = self.admitted.get(id)?;
                let is_waiting = !admitted.has_pending_attempt && !admitted.is_established;
                is_waiting.then_some(EndedRequest { id: *id, outcome: AdmittedOutcome::ClientLeft })
            }
            _ => None,
        }
    }

    fn on_established(&mut self, now: Micros, id: RequestId) {
        let Some(admitted) = self.admitted.get_mut(&id).filter(|admitted| !admitted.is_established) else {
            return;
        };
        admitted.is_established = true;
        admitted.has_pending_attempt = false;
        let request = admitted.request;
        for check in self.checks.iter_mut() {
            check.on_outcome(now, &request, AdmittedOutcome::Established);
        }
    }

    /// Handles the end of an attempt or an established connection. Returns the request if it has ended too.
    fn on_attempt_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        is_answered: bool,
    ) -> Option<EndedRequest> {
        let admitted = self.admitted.get_mut(&id)?;
        admitted.has_pending_attempt = false;
        let outcome = match (admitted.is_established, is_answered) {
            (true, _) => AdmittedOutcome::ConnectionEnded(outcome),
            (false, true) => AdmittedOutcome::ClientLeft,
            // The balancer still has to retry or reject the request.
            (false, false) => return None,
        };
        Some(EndedRequest { id, outcome })
    }

    /// Updates the admitted requests for the balancer's actions.
    fn track_actions(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match action {
                Action::BeginAttempt { request, .. } => {
                    if let Some(admitted) = self.admitted.get_mut(request) {
                        admitted.has_pending_attempt = true;
                    }
                }
                Action::Reject { request, .. } | Action::Fail(request) => {
                    self.on_outcome(now, EndedRequest { id: *request, outcome: AdmittedOutcome::Rejected });
                }
                _ => {}
            }
        }
    }

    fn on_outcome(&mut self, now: Micros, ended: EndedRequest) {
        let Some(admitted) = self.admitted.remove(&ended.id) else { return };
        for check in self.checks.iter_mut() {
            check.on_outcome(now, &admitted.request, ended.outcome);
        }
    }

    fn on_migration_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.timer_at = None;
        self.migrate_due(now, actions);
        self.schedule_timer(now, actions);
    }

    /// Migrates the connections that checks have due, beginning with the lowest ids, which are the oldest.
    fn migrate_due(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for check in self.checks.iter_mut() {
            due.clear();
            check.due_migrations(now, &mut due);
            for migrations in &due {
                let count = migrations.count as usize;
                let ids = oldest_connections(&self.admitted, migrations.tenant, count);
                if ids.len() < count {
                    let missing = migrations.count - ids.len() as u32;
                    check.on_migration_unavailable(migrations.tenant, missing);
                }
                for id in ids {
                    if let Some(admitted) = self.admitted.get_mut(&id) {
                        admitted.is_migrating = true;
                    }
                    self.balancer.on_external_migration(id);
                    actions.push(Action::Migrate(id));
                }
            }
        }
    }

    /// Sets the migration timer for the checks' next deadline, unless it already fires at or before that
    /// time.
    fn schedule_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let deadlines = self.checks.iter_mut().filter_map(|check| check.next_deadline());
        let Some(deadline) = deadlines.min() else { return };
        if self.timer_at.is_none_or(|timer_at| deadline < timer_at) {
            self.timer_at = Some(deadline);
            let after = seconds_from_micros(deadline.saturating_sub(now));
            actions.push(Action::SetTimer { after, token: MIGRATION_TIMER });
        }
    }
}

/// Returns at most `count` established connections of a tenant, those with the lowest ids, that are not
/// migrating yet.
fn oldest_connections(
    admitted: &HashMap<RequestId, AdmittedRequest>,
    tenant: usize,
    count: usize,
) -> Vec<RequestId> {
    let may_migrate = |admitted: &AdmittedRequest| {
        admitted.request.tenant == tenant && admitted.is_established && !admitted.is_migrating
    };
    let mut ids: Vec<RequestId> =
        admitted.iter().filter(|(_, admitted)| may_migrate(admitted)).map(|(id, _)| *id).collect();
    ids.sort_unstable();
    ids.truncate(count);
    ids
}
