//! The module behind its admissions: the same words go in and come out, so that whoever drives the module (the real
//! program's driver, the simulator's adapter) drives both alike.

use std::collections::{BTreeMap, HashMap};

use shorewharf_decisions::Holding;
use shorewharf_decisions::interface::*;
use shorewharf_decisions::persistence::RestoreCounts;
use shorewharf_recovery::capacity_estimate::FleetEstimate;
use shorewharf_recovery::controller::{Options, OverloadController};
use shorewharf_recovery::protected_balancer::{ProtectedBalancer, WaitingClients};
use shorewharf_recovery::snapshot_state::{ExportCursor, SnapshotEntry};
use shorewharf_settings::operator::{Operator, Recovery};
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};

use crate::admission::{Admission, AdmissionDecision, AdmittedOutcome};
use crate::budgets::Budgets;
use crate::tenants::Tenants;

/// The gate's own timer; the module's tokens lie far below.
const DUE: u64 = 1 << 63;
/// Who was turned away is told to the log so often at most, and of so many tenants: a flood must not fill the log too.
const REJECTION_LOG_INTERVAL: Micros = 10_000_000;
const MAX_LOGGED_TENANTS: usize = 8;

fn controller_options(operator: &Operator) -> Options {
    let Recovery { levels, repeats, rebalance } = operator.recovery;
    Options { levels, retry_budget: repeats, rebalance }
}

/// Who is asked, in this order.
#[derive(Debug, Default)]
struct Admissions {
    tenants: Option<Tenants>,
    budgets: Option<Budgets>,
}

impl Admissions {
    fn all(&mut self) -> impl Iterator<Item = &mut dyn Admission> {
        let tenants = self.tenants.as_mut().map(|t| t as &mut dyn Admission);
        let budgets = self.budgets.as_mut().map(|b| b as &mut dyn Admission);
        tenants.into_iter().chain(budgets)
    }
}

/// A request that was taken, or whose connection stood before the start.
#[derive(Clone, Copy, Debug)]
struct AdmittedRequest {
    request: Request,
    /// An attempt is out.
    has_attempt_out: bool,
    is_established: bool,
    /// It has been asked to move by an admission.
    is_migrating: bool,
}

/// The module and its admissions.
#[derive(Debug)]
pub struct AdmissionGate {
    balancer: ProtectedBalancer,
    admissions: Admissions,
    admitted: HashMap<RequestId, AdmittedRequest>,
    /// The gate's timer comes then.
    timer_at: Option<Micros>,
    rejections: BTreeMap<&'static str, u64>,
    /// By tenant and reason, since the log was told last.
    unlogged_rejections: BTreeMap<(usize, &'static str), u64>,
    logged_at: Micros,
}

impl AdmissionGate {
    /// A fresh module of these settings behind what the operator wants before it.
    pub fn new(now: Micros, set: Settings, seed: u64, operator: &Operator) -> AdmissionGate {
        let tenants = Tenants::new(now, &set, operator);
        AdmissionGate {
            balancer: ProtectedBalancer::new(set, seed, controller_options(operator)),
            admissions: Admissions { tenants, budgets: None },
            admitted: HashMap::new(),
            timer_at: None,
            rejections: BTreeMap::new(),
            unlogged_rejections: BTreeMap::new(),
            logged_at: now,
        }
    }

    /// Puts new settings in force; what was learned stays. Which admissions there are is decided at the start.
    pub fn update_settings(&mut self, now: Micros, set: Settings, operator: &Operator) {
        self.admissions.all().for_each(|a| a.update_settings(now, &set, operator));
        self.balancer.update_settings(set, controller_options(operator));
    }

    /// Clients turned away before the module heard of them, by reason.
    pub fn rejections(&self) -> &BTreeMap<&'static str, u64> {
        &self.rejections
    }

    /// Tenants' shares, where they are kept.
    pub fn tenants(&mut self) -> Option<&mut Tenants> {
        self.admissions.tenants.as_mut()
    }

    /// Keeps to budgets of the whole fleet from now on.
    pub fn set_budgets(&mut self, budgets: Budgets) {
        self.admissions.budgets = Some(budgets);
    }

    /// What is believed of the fleet.
    pub fn fleet(&self, now: f64) -> FleetEstimate {
        self.balancer.fleet(now)
    }

    /// Clients that wait for room here, and how many hold a place to come back, about.
    pub fn waiting(&self, now: f64) -> WaitingClients {
        self.balancer.waiting(now)
    }

    /// Levels, repeats and moves of this instance.
    pub fn care(&self) -> &OverloadController {
        self.balancer.controller()
    }

    /// What is known of a standing connection: what it asked for, and its load where that was told.
    pub fn standing(&self, id: RequestId) -> Option<(Request, Option<f64>)> {
        self.balancer.established(id)
    }

    /// What is held here, to be told to other balancers.
    pub fn holds(&self) -> Vec<Holding> {
        self.balancer.holdings()
    }

    /// Servers that get nothing new now, whatever the reason.
    pub fn avoided(&self, now: f64) -> Vec<ServerId> {
        self.balancer.unavailable_servers(now)
    }

    /// Reads on in what is known, so many things at most, and where to go on from.
    pub fn recollect(&self, from: ExportCursor, most: usize, out: &mut Vec<SnapshotEntry>) -> ExportCursor {
        self.balancer.export_state(from, most, out)
    }

    /// Recalls what one before has known `past` seconds ago. The list is to be told first; clients that stood then are
    /// expected back if their connections are `away`.
    pub fn recall(&mut self, now: f64, past: f64, away: bool, learned: Vec<SnapshotEntry>) -> RestoreCounts {
        self.balancer.restore_state(now, past, away, learned)
    }

    /// Takes one event, as the module does, and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        if self.admissions.all().next().is_none() {
            return self.balancer.handle(now, event, out);
        }
        let at = micros_from_seconds(now);
        self.admissions.all().for_each(|a| a.on_event(at, &event));
        let first = out.len();
        let ends = match &event {
            Event::TimerFired(DUE) => {
                self.timer_at = None;
                self.migrate_due(at, out);
                return self.schedule_timer(at, out);
            }
            Event::RequestReceived(request) => {
                if let Some(after) = self.check_admission(at, request) {
                    out.push(Action::Reject { request: request.id, retry_after: seconds_from_micros(after) });
                    return self.log_rejections(at, out);
                }
                None
            }
            Event::ConnectionRestored(request, _) => {
                let held = AdmittedRequest {
                    request: *request,
                    has_attempt_out: false,
                    is_established: true,
                    is_migrating: false,
                };
                self.admitted.insert(request.id, held);
                self.admissions.all().for_each(|a| a.on_restored(at, request));
                None
            }
            Event::Established { request, .. } => {
                self.on_established(at, *request);
                None
            }
            Event::AttemptEnded { request, outcome, is_answered: complete, .. } => {
                self.on_attempt_ended(*request, *outcome, *complete)
            }
            Event::ClientLeft(id) => self
                .admitted
                .get(id)
                .filter(|h| !h.has_attempt_out && !h.is_established)
                .map(|_| (*id, AdmittedOutcome::ClientLeft)),
            _ => None,
        };
        self.balancer.handle(now, event, out);
        if let Some((id, fate)) = ends {
            self.on_outcome(at, id, fate);
        }
        for action in &out[first..] {
            match action {
                Action::BeginAttempt { request, .. } => {
                    self.admitted.entry(*request).and_modify(|h| h.has_attempt_out = true);
                }
                Action::Reject { request, .. } | Action::Fail(request) => {
                    self.on_outcome(at, *request, AdmittedOutcome::Rejected);
                }
                _ => {}
            }
        }
        self.schedule_timer(at, out);
    }

    /// When a client that is turned away should come back; none if it is taken.
    fn check_admission(&mut self, now: Micros, request: &Request) -> Option<Micros> {
        for admission in self.admissions.all() {
            if let AdmissionDecision::Reject { after, why } = admission.check(now, request) {
                *self.rejections.entry(why).or_default() += 1;
                *self.unlogged_rejections.entry((request.tenant, why)).or_default() += 1;
                return Some(after);
            }
        }
        self.admissions.all().for_each(|a| a.on_admitted(now, request));
        let held = AdmittedRequest {
            request: *request,
            has_attempt_out: false,
            is_established: false,
            is_migrating: false,
        };
        self.admitted.insert(request.id, held);
        None
    }

    /// Tells the log who was turned away, those most often first.
    fn log_rejections(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.logged_at + REJECTION_LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        let mut all: Vec<_> = std::mem::take(&mut self.unlogged_rejections).into_iter().collect();
        all.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let some = all.iter().take(MAX_LOGGED_TENANTS);
        let texts: Vec<String> =
            some.map(|((tenant, why), count)| format!("tenant {tenant} {why} {count}")).collect();
        out.push(Action::Log(format!("turned away since the last line: {}", texts.join(", "))));
    }

    fn on_established(&mut self, now: Micros, id: RequestId) {
        let Some(held) = self.admitted.get_mut(&id).filter(|h| !h.is_established) else { return };
        (held.is_established, held.has_attempt_out) = (true, false);
        let request = held.request;
        self.admissions.all().for_each(|a| a.on_outcome(now, &request, AdmittedOutcome::Established));
    }

    /// An attempt has ended, or a connection that stood; the request's fate, if that was its end.
    fn on_attempt_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        complete: bool,
    ) -> Option<(RequestId, AdmittedOutcome)> {
        let held = self.admitted.get_mut(&id)?;
        held.has_attempt_out = false;
        match (held.is_established, complete) {
            (true, _) => Some((id, AdmittedOutcome::ConnectionEnded(outcome))),
            (false, true) => Some((id, AdmittedOutcome::ClientLeft)),
            // The module may try again; else it refuses.
            (false, false) => None,
        }
    }

    fn on_outcome(&mut self, now: Micros, id: RequestId, fate: AdmittedOutcome) {
        if let Some(held) = self.admitted.remove(&id) {
            self.admissions.all().for_each(|a| a.on_outcome(now, &held.request, fate));
        }
    }

    /// Has standing connections moved, those that have stood for longest by their numbers first.
    fn migrate_due(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut moves = Vec::new();
        for admission in self.admissions.all() {
            moves.clear();
            admission.due_migrations(now, &mut moves);
            for &(tenant, count) in &moves {
                let there =
                    |h: &AdmittedRequest| h.request.tenant == tenant && h.is_established && !h.is_migrating;
                let mut ids: Vec<RequestId> =
                    self.admitted.iter().filter(|(_, h)| there(h)).map(|(id, _)| *id).collect();
                ids.sort_unstable();
                ids.truncate(count as usize);
                if ids.len() < count as usize {
                    admission.on_migration_unavailable(tenant, count - ids.len() as u32);
                }
                for id in ids {
                    self.admitted.entry(id).and_modify(|h| h.is_migrating = true);
                    self.balancer.on_migrated_elsewhere(id);
                    out.push(Action::Migrate(id));
                }
            }
        }
    }

    /// Sets the timer for what is due next.
    fn schedule_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(next) = self.admissions.all().filter_map(|a| a.next_deadline()).min() else { return };
        if self.timer_at.is_none_or(|at| next < at) {
            self.timer_at = Some(next);
            out.push(Action::SetTimer { after: seconds_from_micros(next.saturating_sub(now)), token: DUE });
        }
    }
}
