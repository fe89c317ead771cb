//! One budget at this process: its allocation, its use and its demand.

use shorewharf_units::Micros;

use crate::settings::{Budget, BudgetKind, BudgetSettings};

/// The smallest value of the maximum number of tokens of a rate budget, so that the small bursts in which
/// requests arrive are admitted.
const MIN_BURST: f64 = 1.0;
/// The maximum number of tokens of a rate budget is its allocation for this time, in seconds, but at least
/// [`MIN_BURST`].
const BURST_SECONDS: f64 = 0.1;
/// The length of the periods over which demand is counted.
const DEMAND_PERIOD: Micros = 1_000_000;
const MICROS_PER_SECOND: f64 = shorewharf_units::MICROS_PER_SECOND as f64;

/// The times at which granted allocations end and the reserve begins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ValidityPeriods {
    /// Granted allocations are in force before this time.
    pub granted_until: Micros,
    /// The reserve is in force from this time on; `Micros::MAX` once this process is leaving or another one has
    /// taken its name.
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
    /// The amount in use; only for a concurrency budget.
    pub in_use: f64,
    /// Requests rejected since the start.
    pub rejected: u64,
    /// When the amount in use began to exceed the allocation; `None` if it does not.
    pub exceeded_since: Option<Micros>,
    /// The token bucket of a rate budget, as of `refilled_at`.
    tokens: f64,
    refilled_at: Micros,
    /// The demand in the current period and in the previous one.
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
            tokens: 0.0,
            refilled_at: now,
            demand: 0.0,
            previous_demand: 0.0,
            period_began_at: now,
        }
    }

    /// Takes over the state of an earlier allocation, but keeps the total and the reserve of the new
    /// settings.
    pub fn continue_from(&mut self, earlier: &Allocation) {
        *self = Allocation { total: self.total, reserve: self.reserve, ..earlier.clone() };
    }

    /// Returns the amount that may be used now.
    pub fn in_force(&self, now: Micros, periods: ValidityPeriods) -> f64 {
        let reserve = if now >= periods.reserve_from { self.reserve } else { 0.0 };
        reserve + if now < periods.granted_until { self.granted } else { 0.0 }
    }

    /// Returns the tokens of a rate at a time. They accrue at the rate that was in force at each time.
    pub fn tokens(&self, now: Micros, periods: ValidityPeriods) -> f64 {
        let seconds = |from: Micros, to: Micros| to.saturating_sub(from) as f64 / MICROS_PER_SECOND;
        let by_grant = self.granted * seconds(self.refilled_at, now.min(periods.granted_until));
        let by_reserve = self.reserve * seconds(self.refilled_at.max(periods.reserve_from), now);
        let in_force = self.reserve + if now < periods.granted_until { self.granted } else { 0.0 };
        (self.tokens + by_grant + by_reserve).min(MIN_BURST.max(BURST_SECONDS * in_force))
    }

    /// Refills the token bucket. This must be called before any value changes on which the refill depends.
    pub fn refill(&mut self, now: Micros, periods: ValidityPeriods) {
        self.tokens = self.tokens(now, periods);
        self.refilled_at = now;
    }

    /// Takes one unit of the budget.
    pub fn acquire(&mut self, now: Micros, periods: ValidityPeriods) {
        match self.kind {
            BudgetKind::Concurrency => self.in_use += 1.0,
            BudgetKind::Rate => {
                self.tokens = (self.tokens(now, periods) - 1.0).max(0.0);
                self.refilled_at = now;
            }
        }
    }

    /// Returns one unit of a concurrency budget.
    pub fn release(&mut self) {
        if self.kind == BudgetKind::Rate {
            return;
        }
        self.in_use = (self.in_use - 1.0).max(0.0);
        if self.in_use <= self.reserve + self.granted {
            self.exceeded_since = None;
        }
    }

    /// Returns the amount needed, by the demand of the current and the previous period.
    pub fn needed(&self) -> f64 {
        let demand = self.previous_demand.max(self.demand);
        // Rejected requests are retried, so a concurrency needs both the amount in use and the rejected
        // demand.
        demand + if self.kind == BudgetKind::Concurrency { self.in_use } else { 0.0 }
    }

    /// Adds to the demand of the current period.
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

    /// Updates `exceeded_since`.
    pub fn update_exceeded_since(&mut self, now: Micros) {
        let is_exceeded = self.kind == BudgetKind::Concurrency && self.in_use > self.reserve + self.granted;
        self.exceeded_since = if is_exceeded { self.exceeded_since.or(Some(now)) } else { None };
    }
}
