//! A process of the model fleet: a member with its allocations, a clock of its own, and demand.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::defect::{Defect, ProcessSettings};
use super::schedule::Schedule;
use super::{DEMAND_INTERVAL, REQUEST_TIMEOUT};
use crate::allocations::Allocations;
use crate::member::Member;
use crate::settings::{Budget, BudgetKind, BudgetSettings};
use crate::store_request::{NoResponse, StoreRequest, StoreResponse};
use shorewharf_units::Micros;

/// Lowered totals reach a process so long after the first one at most: operators reload one after the other.
const MAX_RELOAD_DELAY: Micros = 2_000_000;
/// Clients that come at once.
const MAX_CLIENTS_AT_ONCE: usize = 200;
/// Demand comes so often in a second.
const DEMANDS_PER_SECOND: f64 = 10.0;
/// Connections that end by themselves between two demands, as a ratio.
const ENDING_RATIO: f64 = 0.02;
/// Clocks of processes begin before then.
const MAX_CLOCK_OFFSET: Micros = 60_000_000;

/// A clock that runs at its own rate.
#[derive(Clone, Copy, Debug)]
struct Clock {
    rate: f64,
    /// What it showed at `began_at`.
    offset: Micros,
    /// True time.
    began_at: Micros,
}

impl Clock {
    /// What it shows at a true time.
    fn read(&self, now: Micros) -> Micros {
        self.offset + ((now - self.began_at) as f64 * self.rate) as Micros
    }

    /// The true time at which it shows this.
    fn true_time(&self, reading: Micros) -> Micros {
        self.began_at + (reading.saturating_sub(self.offset) as f64 / self.rate).ceil() as Micros
    }
}

/// A process.
pub(super) struct Process {
    pub(super) member_index: usize,
    pub(super) is_alive: bool,
    pub(super) stalled_until: Micros,
    /// Serial number of the request that is under way.
    pub(super) pending_request: Option<u64>,
    pub(super) member: Member,
    allocations: Allocations,
    clock: Clock,
    defect: Option<Defect>,
    /// What a timer has read of each allocation last.
    cached_allocations: Vec<f64>,
    settings: BudgetSettings,
    /// Other totals are in the settings, and are read then.
    reloads_at: Option<Micros>,
    /// The greatest total of each budget of which something may be in use.
    totals: Vec<f64>,
    totals_lowered_at: Option<Micros>,
}

impl Process {
    /// Starts a process for a member.
    pub(super) fn start(
        schedule: &Schedule,
        member_index: usize,
        now: Micros,
        rng: &mut Pcg64Mcg,
    ) -> Process {
        // The wall clock that incarnations are taken from may be wrong by anything.
        let incarnation = rng.random_range(1..1_000_000);
        let settings = BudgetSettings { member_index, ..schedule.settings.clone() };
        let rate = 1.0 + schedule.clock_drift * rng.random_range(-1.0..1.0);
        let clock = Clock { rate, offset: rng.random_range(0..MAX_CLOCK_OFFSET), began_at: now };
        let own = match schedule.defect {
            Some(defect) => defect.in_settings(&settings),
            None => ProcessSettings { member: settings.clone(), allocations: settings.clone() },
        };
        let name = format!("balancer-{member_index}");
        Process {
            member_index,
            is_alive: true,
            stalled_until: 0,
            pending_request: None,
            member: Member::new(clock.offset, own.member, &name, incarnation),
            allocations: Allocations::new(clock.offset, &own.allocations),
            clock,
            defect: schedule.defect,
            cached_allocations: vec![0.0; settings.budgets.len()],
            totals: settings.budgets.iter().map(|budget| budget.total).collect(),
            settings,
            reloads_at: None,
            totals_lowered_at: None,
        }
    }

    pub(super) fn next_request(&mut self, now: Micros) -> Option<StoreRequest> {
        let is_late = self.defect == Some(Defect::LeaseCountedFromResponse);
        let lateness = if is_late { REQUEST_TIMEOUT } else { 0 };
        self.member.next_request(self.clock.read(now) + lateness, &mut self.allocations)
    }

    pub(super) fn next_deadline(&self) -> Option<Micros> {
        let deadline = self.member.next_deadline();
        (deadline < Micros::MAX).then(|| self.clock.true_time(deadline))
    }

    pub(super) fn on_response(&mut self, now: Micros, response: Result<StoreResponse, NoResponse>) {
        self.pending_request = None;
        self.member.on_response(self.clock.read(now), response, &mut self.allocations);
    }

    pub(super) fn leave(&mut self, now: Micros) {
        for index in 0..self.settings.budgets.len() {
            while self.allocations.in_use(index) > 0.0 {
                self.allocations.release(index);
            }
        }
        self.member.leave(self.clock.read(now), &mut self.allocations);
    }

    /// Demand comes and goes: the process asks for more as long as it wants, and releases what has ended or must go.
    pub(super) fn update_demand(&mut self, now: Micros, demand_ratio: f64, rng: &mut Pcg64Mcg) {
        let own_now = self.clock.read(now);
        self.reload_if_due(now, own_now);
        for index in 0..self.settings.budgets.len() {
            let Budget { kind, total, .. } = self.settings.budgets[index];
            let wanted = total * demand_ratio;
            self.cached_allocations[index] = self.allocations.in_force(own_now, index);
            match kind {
                BudgetKind::Rate => {
                    let coming = (wanted / DEMANDS_PER_SECOND + rng.random_range(0.0..1.0)) as usize;
                    self.admit(own_now, index, coming);
                }
                BudgetKind::Concurrency => {
                    self.release(index, self.allocations.excess(own_now, index) as usize);
                    let in_use = self.allocations.in_use(index);
                    let ending = (in_use * ENDING_RATIO + rng.random_range(0.0..1.0)) as usize;
                    self.release(index, ending);
                    let coming = (wanted - self.allocations.in_use(index)).max(0.0) as usize;
                    self.admit(own_now, index, coming.min(MAX_CLIENTS_AT_ONCE));
                }
            }
        }
    }

    fn admit(&mut self, own_now: Micros, index: usize, clients: usize) {
        for _ in 0..clients {
            if self.allocations.check(own_now, index).is_ok() {
                self.allocations.acquire(own_now, index);
            }
        }
    }

    fn release(&mut self, index: usize, connections: usize) {
        for _ in 0..connections {
            self.allocations.release(index);
        }
    }

    fn reload_if_due(&mut self, now: Micros, own_now: Micros) {
        if self.reloads_at.is_some_and(|at| now >= at) {
            self.reloads_at = None;
            self.member.update_settings(self.settings.clone());
            self.allocations.update_settings(own_now, &self.settings);
        }
        let settings = &self.settings;
        let settling_time = 2 * (settings.lease + settings.clock_margin) + settings.drain_time;
        if self.totals_lowered_at.is_some_and(|at| now > at + MAX_RELOAD_DELAY + settling_time) {
            self.totals = settings.budgets.iter().map(|budget| budget.total).collect();
        }
    }

    /// The operator has changed the settings' totals.
    pub(super) fn on_settings_changed(&mut self, now: Micros, settings: &BudgetSettings, rng: &mut Pcg64Mcg) {
        self.settings = BudgetSettings { member_index: self.member_index, ..settings.clone() };
        self.reloads_at = Some(now + rng.random_range(0..MAX_RELOAD_DELAY));
        self.totals_lowered_at = Some(now);
    }

    /// The total in its settings, or the earlier one up to which something may still be in use.
    pub(super) fn total(&self, index: usize) -> f64 {
        self.totals[index]
    }

    pub(super) fn in_force(&self, now: Micros, index: usize) -> f64 {
        self.allocations.in_force(self.clock.read(now), index)
    }

    /// What an observer counts of a budget: what the process could use of a rate, what is in use of a concurrency.
    pub(super) fn observed_use(&self, now: Micros, index: usize, kind: BudgetKind) -> f64 {
        let own_now = self.clock.read(now);
        let in_force = self.allocations.in_force(own_now, index);
        let is_stalled = self.stalled_until + DEMAND_INTERVAL > now;
        let drained_at = self.allocations.granted_until() + self.settings.drain_time;
        match kind {
            BudgetKind::Rate if self.defect == Some(Defect::AllocationUsedAfterWaking) => {
                self.cached_allocations[index]
            }
            BudgetKind::Rate => in_force,
            // A stalled process's connections can't migrate; they count for as long as the others wait for that.
            BudgetKind::Concurrency if is_stalled && own_now > drained_at => {
                self.allocations.in_use(index).min(in_force)
            }
            BudgetKind::Concurrency => self.allocations.in_use(index),
        }
    }

    /// Its part of a budget's reserve, by the total in its settings.
    pub(super) fn reserve(&self, index: usize, kind: BudgetKind) -> f64 {
        self.settings.own_reserve(kind, self.totals[index])
    }
}
