//! A process of the simulated fleet: a member with its allocations, its own clock and its demand.

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

/// Lowered totals reach each process within this time, since operators reload the processes one after the
/// other.
const MAX_RELOAD_DELAY: Micros = 2_000_000;
/// The maximum number of clients that arrive at once.
const MAX_CLIENTS_AT_ONCE: usize = 200;
/// Updates of the demand per second.
const DEMAND_UPDATES_PER_SECOND: f64 = 10.0;
/// The ratio of connections that end by themselves between two updates of the demand.
const ENDED_RATIO: f64 = 0.02;
/// The upper bound of the initial reading of a process's clock.
const MAX_CLOCK_OFFSET: Micros = 60_000_000;

/// A clock that runs at its own rate.
#[derive(Clone, Copy, Debug)]
struct Clock {
    rate: f64,
    /// The reading at `began_at`.
    offset: Micros,
    /// The true time at which the process started.
    began_at: Micros,
}

impl Clock {
    /// Returns the reading at a true time.
    fn read(&self, now: Micros) -> Micros {
        self.offset + ((now - self.began_at) as f64 * self.rate) as Micros
    }

    /// Returns the true time of a reading.
    fn true_time(&self, reading: Micros) -> Micros {
        self.began_at + (reading.saturating_sub(self.offset) as f64 / self.rate).ceil() as Micros
    }
}

/// A process of the simulated fleet.
pub(super) struct Process {
    pub(super) member_index: usize,
    pub(super) is_alive: bool,
    pub(super) stalled_until: Micros,
    /// The serial number of the pending request.
    pub(super) pending_request: Option<u64>,
    pub(super) member: Member,
    allocations: Allocations,
    clock: Clock,
    defect: Option<Defect>,
    /// The amount of each budget that was in force at the last update of the demand.
    cached_allocations: Vec<f64>,
    settings: BudgetSettings,
    /// When the process reads new totals from its settings.
    reloads_at: Option<Micros>,
    /// The total of each budget that the amount in use may still reach: the one in the settings, or an earlier,
    /// higher one.
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
        // The wall clock from which incarnations are taken may be wrong by any amount.
        let incarnation = rng.random_range(1..1_000_000);
        let settings = BudgetSettings { member_index, ..schedule.settings.clone() };
        let rate = 1.0 + schedule.clock_drift * rng.random_range(-1.0..1.0);
        let clock = Clock { rate, offset: rng.random_range(0..MAX_CLOCK_OFFSET), began_at: now };
        let process_settings = match schedule.defect {
            Some(defect) => defect.inject_into_settings(&settings),
            None => ProcessSettings { member: settings.clone(), allocations: settings.clone() },
        };
        let name = format!("balancer-{member_index}");
        Process {
            member_index,
            is_alive: true,
            stalled_until: 0,
            pending_request: None,
            member: Member::new(clock.offset, process_settings.member, &name, incarnation),
            allocations: Allocations::new(clock.offset, &process_settings.allocations),
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

    /// Updates the demand: releases connections that have ended or have to migrate, and requests more up to
    /// the demand.
    pub(super) fn update_demand(&mut self, now: Micros, demand_ratio: f64, rng: &mut Pcg64Mcg) {
        let local_now = self.clock.read(now);
        self.reload_if_due(now, local_now);
        for index in 0..self.settings.budgets.len() {
            let Budget { kind, total, .. } = self.settings.budgets[index];
            let demand = total * demand_ratio;
            self.cached_allocations[index] = self.allocations.in_force(local_now, index);
            match kind {
                BudgetKind::Rate => {
                    let arriving = (demand / DEMAND_UPDATES_PER_SECOND + rng.random_range(0.0..1.0)) as usize;
                    self.admit(local_now, index, arriving);
                }
                BudgetKind::Concurrency => {
                    self.release(index, self.allocations.excess(local_now, index) as usize);
                    let in_use = self.allocations.in_use(index);
                    let ended = (in_use * ENDED_RATIO + rng.random_range(0.0..1.0)) as usize;
                    self.release(index, ended);
                    let arriving = (demand - self.allocations.in_use(index)).max(0.0) as usize;
                    self.admit(local_now, index, arriving.min(MAX_CLIENTS_AT_ONCE));
                }
            }
        }
    }

    fn admit(&mut self, local_now: Micros, index: usize, clients: usize) {
        for _ in 0..clients {
            if self.allocations.check(local_now, index).is_ok() {
                self.allocations.acquire(local_now, index);
            }
        }
    }

    fn release(&mut self, index: usize, connections: usize) {
        for _ in 0..connections {
            self.allocations.release(index);
        }
    }

    fn reload_if_due(&mut self, now: Micros, local_now: Micros) {
        if self.reloads_at.is_some_and(|at| now >= at) {
            self.reloads_at = None;
            self.member.update_settings(self.settings.clone());
            self.allocations.update_settings(local_now, &self.settings);
        }
        let settings = &self.settings;
        let settling_time = 2 * (settings.lease + settings.clock_margin) + settings.drain_time;
        if self.totals_lowered_at.is_some_and(|at| now > at + MAX_RELOAD_DELAY + settling_time) {
            self.totals = settings.budgets.iter().map(|budget| budget.total).collect();
        }
    }

    /// Changes the totals in the settings, which the process reads later.
    pub(super) fn on_settings_changed(&mut self, now: Micros, settings: &BudgetSettings, rng: &mut Pcg64Mcg) {
        self.settings = BudgetSettings { member_index: self.member_index, ..settings.clone() };
        self.reloads_at = Some(now + rng.random_range(0..MAX_RELOAD_DELAY));
        self.totals_lowered_at = Some(now);
    }

    /// Returns the total of a budget that the amount in use may still reach: the one in the settings of the
    /// process, or an earlier, higher one.
    pub(super) fn total(&self, index: usize) -> f64 {
        self.totals[index]
    }

    pub(super) fn in_force(&self, now: Micros, index: usize) -> f64 {
        self.allocations.in_force(self.clock.read(now), index)
    }

    /// Returns the amount that the observer counts: the amount in force of a rate budget, or the amount in
    /// use of a concurrency budget.
    pub(super) fn observed_use(&self, now: Micros, index: usize, kind: BudgetKind) -> f64 {
        let local_now = self.clock.read(now);
        let in_force = self.allocations.in_force(local_now, index);
        let is_stalled = self.stalled_until + DEMAND_INTERVAL > now;
        let drained_at = self.allocations.granted_until() + self.settings.drain_time;
        match kind {
            BudgetKind::Rate if self.defect == Some(Defect::AllocationUsedAfterWaking) => {
                self.cached_allocations[index]
            }
            BudgetKind::Rate => in_force,
            // Connections of a stalled process can't migrate. They count in full only while other members
            // wait for them to migrate.
            BudgetKind::Concurrency if is_stalled && local_now > drained_at => {
                self.allocations.in_use(index).min(in_force)
            }
            BudgetKind::Concurrency => self.allocations.in_use(index),
        }
    }

    /// Returns the share of this process in a budget's reserve, by the totals that it may still use.
    pub(super) fn reserve(&self, index: usize, kind: BudgetKind) -> f64 {
        self.settings.own_reserve(kind, self.totals[index])
    }
}
