//! One budget at this process: what is allocated of it, what is used, and what is needed.

use shorewharf_units::Micros;

use crate::settings::{Budget, BudgetKind, BudgetSettings};

/// What is saved up of a rate at most: one, or what the allocation brings in [`MAX_SAVED_SECONDS`]. Requests come in
/// small bursts.
const MIN_BURST: f64 = 1.0;
const MAX_SAVED_SECONDS: f64 = 0.1;
/// Demand is counted over periods of this length.
const DEMAND_PERIOD: Micros = 1_000_000;
const MICROS_PER_SECOND: f64 = shorewharf_units::MICROS_PER_SECOND as f64;

/// Until when granted allocations are in force, and from when the reserve is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ValidityPeriods {
    /// Granted allocations are in force before then.
    pub granted_until: Micros,
    /// The reserve is in force from then on; never for a process whose name another one has taken.
    pub reserve_from: Micros,
}

/// One budget at this process.
#[derive(Clone, Debug)]
pub(crate) struct Allocation {
    pub name: String,
    pub kind: BudgetKind,
    pub total: f64,
    pub reserve: f64,
    pub granted: f64,
    /// What is in use, of a concurrency.
    pub in_use: f64,
    /// Requests rejected since the start.
    pub rejected: u64,
    /// More is in use than allocated, since then.
    pub exceeded_since: Option<Micros>,
    /// What is saved up of a rate, as of `saved_at`.
    saved: f64,
    saved_at: Micros,
    /// Demand in this period and in the one before.
    demand: f64,
    previous_demand: f64,
    period_began_at: Micros,
}

impl Allocation {
    pub fn new(now: Micros, budget: &Budget, settings: &BudgetSettings) -> Allocation {
        Allocation {
            name: budget.name.clone(),
            kind: budget.kind,
            total: budget.total,
            reserve: settings.own_reserve(budget.kind, budget.total),
            granted: 0.0,
            in_use: 0.0,
            rejected: 0,
            exceeded_since: None,
            saved: 0.0,
            saved_at: now,
            demand: 0.0,
            previous_demand: 0.0,
            period_began_at: now,
        }
    }

    /// Takes over an earlier state under the total and reserve of other settings.
    pub fn continue_from(&mut self, earlier: &Allocation) {
        *self = Allocation { total: self.total, reserve: self.reserve, ..earlier.clone() };
    }

    /// What may be used now.
    pub fn in_force(&self, now: Micros, periods: ValidityPeriods) -> f64 {
        let reserve = if now >= periods.reserve_from { self.reserve } else { 0.0 };
        reserve + if now < periods.granted_until { self.granted } else { 0.0 }
    }

    /// What a rate has saved up by now. Time counts by what was in force in it.
    pub fn saved(&self, now: Micros, periods: ValidityPeriods) -> f64 {
        let seconds = |from: Micros, to: Micros| to.saturating_sub(from) as f64 / MICROS_PER_SECOND;
        let by_grant = self.granted * seconds(self.saved_at, now.min(periods.granted_until));
        let by_reserve = self.reserve * seconds(self.saved_at.max(periods.reserve_from), now);
        let in_force = self.reserve + if now < periods.granted_until { self.granted } else { 0.0 };
        (self.saved + by_grant + by_reserve).min(MIN_BURST.max(MAX_SAVED_SECONDS * in_force))
    }

    /// Notes what is saved up, before anything that it depends on changes.
    pub fn settle(&mut self, now: Micros, periods: ValidityPeriods) {
        self.saved = self.saved(now, periods);
        self.saved_at = now;
    }

    /// Uses one.
    pub fn acquire(&mut self, now: Micros, periods: ValidityPeriods) {
        match self.kind {
            BudgetKind::Concurrency => self.in_use += 1.0,
            BudgetKind::Rate => {
                self.saved = (self.saved(now, periods) - 1.0).max(0.0);
                self.saved_at = now;
            }
        }
    }

    /// Gives one of a concurrency back.
    pub fn release(&mut self) {
        if self.kind == BudgetKind::Rate {
            return;
        }
        self.in_use = (self.in_use - 1.0).max(0.0);
        if self.in_use <= self.reserve + self.granted {
            self.exceeded_since = None;
        }
    }

    /// What is needed by the demand that was counted last.
    pub fn needed(&self) -> f64 {
        let demand = self.previous_demand.max(self.demand);
        // Rejected requests come again: a concurrency needs what is in use and what was rejected.
        demand + if self.kind == BudgetKind::Concurrency { self.in_use } else { 0.0 }
    }

    /// Counts demand.
    pub fn add_demand(&mut self, now: Micros, amount: f64) {
        let elapsed = now.saturating_sub(self.period_began_at);
        if elapsed >= 2 * DEMAND_PERIOD {
            (self.previous_demand, self.demand) = (0.0, 0.0);
            self.period_began_at = now;
        } else if elapsed >= DEMAND_PERIOD {
            (self.previous_demand, self.demand) = (self.demand, 0.0);
            self.period_began_at += DEMAND_PERIOD;
        }
        self.demand += amount;
    }

    /// Notes whether more is in use than allocated, and since when.
    pub fn check_exceeded(&mut self, now: Micros) {
        let is_exceeded = self.kind == BudgetKind::Concurrency && self.in_use > self.reserve + self.granted;
        self.exceeded_since = if is_exceeded { self.exceeded_since.or(Some(now)) } else { None };
    }
}
