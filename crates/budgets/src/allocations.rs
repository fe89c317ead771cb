//! What a process may use of each budget now. Requests are held against it one by one, and the time is looked at for
//! each of them.

use std::collections::BTreeMap;

use shorewharf_units::Micros;
use thiserror::Error;

use crate::allocation::{Allocation, ValidityPeriods};
use crate::records::{BudgetAmounts, amount_of};
use crate::settings::{BudgetKind, BudgetSettings};

/// Sums of fractions may fall short of one by so much.
const ROUNDING: f64 = 1e-9;
const MICROS_PER_SECOND: f64 = shorewharf_units::MICROS_PER_SECOND as f64;
/// Demand that has grown by this factor and amount since the last heartbeat is worth another one at once.
const URGENT_DEMAND_FACTOR: f64 = 1.5;
const URGENT_DEMAND: f64 = 2.0;

/// A budget has nothing left for one more request.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("the fleet's budget of {budget}: this balancer's part is {in_force:.2}")]
pub struct BudgetExhausted {
    /// The budget's name.
    pub budget: String,
    /// What this balancer may use of it.
    pub in_force: f64,
    /// When there may be something left, from now; none where that is not known.
    pub retry_after: Option<Micros>,
}

/// All budgets at a process.
#[derive(Clone, Debug)]
pub struct Allocations {
    allocations: Vec<Allocation>,
    drain_time: Micros,
    periods: ValidityPeriods,
}

impl Allocations {
    /// Creates allocations with nothing but the reserve, and that only after a lease, unless the store shows before
    /// that no other process of this name may use it.
    pub fn new(now: Micros, settings: &BudgetSettings) -> Allocations {
        let allocations =
            settings.budgets.iter().map(|budget| Allocation::new(now, budget, settings)).collect();
        let reserve_from = now + settings.lease + settings.clock_margin;
        let periods = ValidityPeriods { granted_until: 0, reserve_from };
        Allocations { allocations, drain_time: settings.drain_time, periods }
    }

    /// The index of a budget; none if there is no such budget.
    pub fn index_of(&self, budget: &str) -> Option<usize> {
        self.allocations.iter().position(|allocation| allocation.name == budget)
    }

    /// The budgets' names, by index.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.allocations.iter().map(|allocation| allocation.name.as_str())
    }

    /// What may be used of a budget now, all in all.
    pub fn in_force(&self, now: Micros, index: usize) -> f64 {
        self.allocations.get(index).map_or(0.0, |allocation| allocation.in_force(now, self.periods))
    }

    /// Until when granted allocations are in force.
    pub fn granted_until(&self) -> Micros {
        self.periods.granted_until
    }

    /// What is in use of a concurrency.
    pub fn in_use(&self, index: usize) -> f64 {
        self.allocations.get(index).map_or(0.0, |allocation| allocation.in_use)
    }

    /// Requests rejected because of a budget.
    pub fn rejected(&self, index: usize) -> u64 {
        self.allocations.get(index).map_or(0, |allocation| allocation.rejected)
    }

    /// Checks whether a budget has something left for one more request. Nothing is taken yet, but it counts as demand.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is exhausted.
    pub fn check(&mut self, now: Micros, index: usize) -> Result<(), BudgetExhausted> {
        let periods = self.periods;
        let Some(allocation) = self.allocations.get_mut(index) else { return Ok(()) };
        let in_force = allocation.in_force(now, periods);
        let saved = allocation.saved(now, periods);
        let (is_available, retry_after) = match allocation.kind {
            BudgetKind::Concurrency => (allocation.in_use + 1.0 <= in_force, None),
            BudgetKind::Rate if saved >= 1.0 - ROUNDING => (in_force > 0.0, None),
            BudgetKind::Rate if in_force > 0.0 => {
                (false, Some(((1.0 - saved) / in_force * MICROS_PER_SECOND) as Micros))
            }
            BudgetKind::Rate => (false, None),
        };
        if allocation.kind == BudgetKind::Rate || !is_available {
            allocation.add_demand(now, 1.0);
        }
        if is_available {
            return Ok(());
        }
        allocation.rejected += 1;
        Err(BudgetExhausted { budget: allocation.name.clone(), in_force, retry_after })
    }

    /// A request is admitted: takes one.
    pub fn acquire(&mut self, now: Micros, index: usize) {
        if let Some(allocation) = self.allocations.get_mut(index) {
            allocation.acquire(now, self.periods);
        }
    }

    /// A connection has ended: gives one of a concurrency back.
    pub fn release(&mut self, index: usize) {
        if let Some(allocation) = self.allocations.get_mut(index) {
            allocation.release();
        }
    }

    /// How long an excess may last before connections have to migrate.
    fn grace_period(&self) -> Micros {
        self.drain_time / 4 * 3
    }

    /// How many connections of a concurrency must migrate now: those beyond what is in force, once three quarters of
    /// the drain time have passed since the grant ended, or since it was made smaller than what is in use.
    pub fn excess(&self, now: Micros, index: usize) -> u32 {
        let allocation = self.allocations.get(index).filter(|a| a.kind == BudgetKind::Concurrency);
        let Some(allocation) = allocation else { return 0 };
        let grace_period = self.grace_period();
        let is_due = now >= self.periods.granted_until.saturating_add(grace_period)
            || allocation.exceeded_since.is_some_and(|since| now >= since + grace_period);
        let excess = (allocation.in_use - allocation.in_force(now, self.periods)).max(0.0);
        if is_due { excess.ceil() as u32 } else { 0 }
    }

    /// When [`Allocations::excess`] may change by itself.
    pub fn next_excess_at(&self) -> Micros {
        let exceeded = self.allocations.iter().filter_map(|allocation| allocation.exceeded_since).min();
        let began_at = self.periods.granted_until.min(exceeded.unwrap_or(Micros::MAX));
        began_at.saturating_add(self.grace_period())
    }

    /// What could be used, and what is in use, both beyond the reserve.
    pub(crate) fn demand_and_use(&mut self, now: Micros) -> (BudgetAmounts, BudgetAmounts) {
        let (mut demand, mut in_use) = (BTreeMap::new(), BTreeMap::new());
        let has_reserve = now >= self.periods.reserve_from;
        for allocation in &mut self.allocations {
            allocation.add_demand(now, 0.0);
            // What is in use while the reserve is not yet in force is in use under the grant.
            let reserve = if has_reserve { allocation.reserve } else { 0.0 };
            let name = &allocation.name;
            demand.insert(name.clone(), (allocation.needed() - reserve).max(0.0));
            in_use.insert(name.clone(), (allocation.in_use - reserve).max(0.0));
        }
        (demand, in_use)
    }

    /// Whether demand has grown so much beyond what was last announced that it is worth announcing at once.
    pub(crate) fn has_urgent_demand(&self, announced: &BudgetAmounts) -> bool {
        self.allocations.iter().any(|allocation| {
            let announced = amount_of(announced, &allocation.name);
            allocation.needed() - allocation.reserve > URGENT_DEMAND_FACTOR * announced + URGENT_DEMAND
        })
    }

    /// The budgets' totals by this process's settings.
    pub(crate) fn totals(&self) -> BudgetAmounts {
        self.allocations.iter().map(|allocation| (allocation.name.clone(), allocation.total)).collect()
    }

    /// Applies a grant's allocations.
    pub(crate) fn apply_grant(&mut self, now: Micros, granted: &BudgetAmounts) {
        for allocation in &mut self.allocations {
            allocation.settle(now, self.periods);
            allocation.granted = amount_of(granted, &allocation.name);
            allocation.check_exceeded(now);
        }
    }

    /// Extends the lease of what is granted, if it does not last longer already.
    pub(crate) fn extend_lease(&mut self, now: Micros, until: Micros) {
        if until <= self.periods.granted_until {
            return;
        }
        for allocation in &mut self.allocations {
            allocation.settle(now, self.periods);
        }
        self.periods.granted_until = until;
    }

    /// Ends the lease of what is granted.
    pub(crate) fn end_lease(&mut self, now: Micros) {
        self.periods.granted_until = self.periods.granted_until.min(now);
    }

    /// Sets from when the reserve is in force: it may be another process's before then.
    pub(crate) fn set_reserve_from(&mut self, from: Micros) {
        self.periods.reserve_from = from;
    }

    /// Applies other settings: totals and reserves change, what is in use stays.
    pub fn update_settings(&mut self, now: Micros, settings: &BudgetSettings) {
        let fresh = Allocations::new(now, settings);
        let before = std::mem::replace(&mut self.allocations, fresh.allocations);
        for allocation in &mut self.allocations {
            if let Some(earlier) = before.iter().find(|earlier| earlier.name == allocation.name) {
                allocation.continue_from(earlier);
                allocation.check_exceeded(now);
            }
        }
        self.drain_time = settings.drain_time;
    }
}
