//! The amounts of all budgets that a process may use now. Each request is checked against them, with the time
//! of that check.

use std::collections::BTreeMap;

use shorewharf_units::Micros;
use thiserror::Error;

use crate::allocation::{Allocation, ValidityPeriods};
use crate::records::{BudgetAmounts, amount_of};
use crate::settings::{BudgetKind, BudgetSettings};

/// Rounding errors may leave the token count below 1 by this much.
const ROUNDING: f64 = 1e-9;
const MICROS_PER_SECOND: f64 = shorewharf_units::MICROS_PER_SECOND as f64;
/// If demand exceeds this factor times the announced demand plus `URGENT_DEMAND`, a heartbeat is sent at
/// once.
const URGENT_DEMAND_FACTOR: f64 = 1.5;
/// The constant part of the increase in demand at which a heartbeat is sent, in units of the budget.
const URGENT_DEMAND: f64 = 2.0;

/// A budget has nothing left for another request.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("the fleet's budget of {budget} is exhausted; the allocation of this balancer is {in_force:.2}")]
pub struct BudgetExhausted {
    /// The budget's name.
    pub budget: String,
    /// The amount that this balancer may use now.
    pub in_force: f64,
    /// The time after which an amount may be available; `None` if it is unknown.
    pub retry_after: Option<Micros>,
}

/// The allocations of all budgets at a process.
#[derive(Clone, Debug)]
pub struct Allocations {
    allocations: Vec<Allocation>,
    drain_time: Micros,
    periods: ValidityPeriods,
}

impl Allocations {
    /// Creates allocations that consist only of the reserve. The reserve is in force after one lease, or
    /// earlier if the store shows that no other process of this name may use it.
    pub fn new(now: Micros, settings: &BudgetSettings) -> Allocations {
        let allocations =
            settings.budgets.iter().map(|budget| Allocation::new(now, budget, settings)).collect();
        let reserve_from = now + settings.lease + settings.clock_margin;
        let periods = ValidityPeriods { granted_until: 0, reserve_from };
        Allocations { allocations, drain_time: settings.drain_time, periods }
    }

    /// Returns the index of a budget; `None` if it does not exist.
    pub fn index_of(&self, budget: &str) -> Option<usize> {
        self.allocations.iter().position(|allocation| allocation.name == budget)
    }

    /// Returns the names of the budgets, in the order of their indices.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.allocations.iter().map(|allocation| allocation.name.as_str())
    }

    /// Returns the amount of a budget that may be used now, including the reserve.
    pub fn in_force(&self, now: Micros, index: usize) -> f64 {
        self.allocations.get(index).map_or(0.0, |allocation| allocation.in_force(now, self.periods))
    }

    /// Returns the time until which granted allocations are in force.
    pub fn granted_until(&self) -> Micros {
        self.periods.granted_until
    }

    /// Returns the amount of a concurrency budget that is in use.
    pub fn in_use(&self, index: usize) -> f64 {
        self.allocations.get(index).map_or(0.0, |allocation| allocation.in_use)
    }

    /// Returns the number of requests that were rejected because a budget was exhausted.
    pub fn rejected(&self, index: usize) -> u64 {
        self.allocations.get(index).map_or(0, |allocation| allocation.rejected)
    }

    /// Checks whether a budget has enough left for another request. Nothing is taken from the budget, but the
    /// check counts as demand.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is exhausted.
    pub fn check(&mut self, now: Micros, index: usize) -> Result<(), BudgetExhausted> {
        let periods = self.periods;
        let Some(allocation) = self.allocations.get_mut(index) else { return Ok(()) };
        let in_force = allocation.in_force(now, periods);
        let tokens = allocation.tokens(now, periods);
        let (is_available, retry_after) = match allocation.kind {
            BudgetKind::Concurrency => (allocation.in_use + 1.0 <= in_force, None),
            BudgetKind::Rate if tokens >= 1.0 - ROUNDING => (in_force > 0.0, None),
            BudgetKind::Rate if in_force > 0.0 => {
                (false, Some(((1.0 - tokens) / in_force * MICROS_PER_SECOND) as Micros))
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

    /// Takes one unit of a budget for an admitted request.
    pub fn acquire(&mut self, now: Micros, index: usize) {
        if let Some(allocation) = self.allocations.get_mut(index) {
            allocation.acquire(now, self.periods);
        }
    }

    /// Returns one unit of a concurrency budget after a connection has ended.
    pub fn release(&mut self, index: usize) {
        if let Some(allocation) = self.allocations.get_mut(index) {
            allocation.release();
        }
    }

    /// The time for which the use may exceed the allocation before connections have to migrate.
    fn grace_period(&self) -> Micros {
        self.drain_time / 4 * 3
    }

    /// Returns the number of connections of a concurrency budget that have to migrate now. These are the
    /// connections beyond the amount in force, once three quarters of the drain time have passed since the
    /// grant ended or was made smaller than the amount in use.
    pub fn excess(&self, now: Micros, index: usize) -> u32 {
        let allocation = self.allocations.get(index).filter(|a| a.kind == BudgetKind::Concurrency);
        let Some(allocation) = allocation else { return 0 };
        let grace_period = self.grace_period();
        let is_due = now >= self.periods.granted_until.saturating_add(grace_period)
            || allocation.exceeded_since.is_some_and(|since| now >= since + grace_period);
        let excess = (allocation.in_use - allocation.in_force(now, self.periods)).max(0.0);
        if is_due { excess.ceil() as u32 } else { 0 }
    }

    /// Returns the next time at which [`Allocations::excess`] may change without another event.
    pub fn next_excess_at(&self) -> Micros {
        let exceeded = self.allocations.iter().filter_map(|allocation| allocation.exceeded_since).min();
        let began_at = self.periods.granted_until.min(exceeded.unwrap_or(Micros::MAX));
        began_at.saturating_add(self.grace_period())
    }

    /// Returns the demand and the use of each budget, both beyond the reserve.
    pub(crate) fn demand_and_use(&mut self, now: Micros) -> (BudgetAmounts, BudgetAmounts) {
        let (mut demand, mut in_use) = (BTreeMap::new(), BTreeMap::new());
        let has_reserve = now >= self.periods.reserve_from;
        for allocation in &mut self.allocations {
            allocation.add_demand(now, 0.0);
            // Until the reserve is in force, everything in use is in use under the grant.
            let reserve = if has_reserve { allocation.reserve } else { 0.0 };
            let name = &allocation.name;
            demand.insert(name.clone(), (allocation.needed() - reserve).max(0.0));
            in_use.insert(name.clone(), (allocation.in_use - reserve).max(0.0));
        }
        (demand, in_use)
    }

    /// Returns whether the demand has grown so much beyond the announced one that it should be announced at
    /// once.
    pub(crate) fn has_urgent_demand(&self, announced: &BudgetAmounts) -> bool {
        self.allocations.iter().any(|allocation| {
            let announced = amount_of(announced, &allocation.name);
            allocation.needed() - allocation.reserve > URGENT_DEMAND_FACTOR * announced + URGENT_DEMAND
        })
    }

    /// Returns the totals of the budgets in this process's settings.
    pub(crate) fn totals(&self) -> BudgetAmounts {
        self.allocations.iter().map(|allocation| (allocation.name.clone(), allocation.total)).collect()
    }

    /// Applies the allocations of a grant.
    pub(crate) fn apply_grant(&mut self, now: Micros, granted: &BudgetAmounts) {
        for allocation in &mut self.allocations {
            allocation.refill(now, self.periods);
            allocation.granted = amount_of(granted, &allocation.name);
            allocation.update_exceeded_since(now);
        }
    }

    /// Extends the lease of the granted allocations to `until`, unless it already ends later.
    pub(crate) fn extend_lease(&mut self, now: Micros, until: Micros) {
        if until <= self.periods.granted_until {
            return;
        }
        for allocation in &mut self.allocations {
            allocation.refill(now, self.periods);
        }
        self.periods.granted_until = until;
    }

    /// Ends the lease of the granted allocations.
    pub(crate) fn end_lease(&mut self, now: Micros) {
        self.periods.granted_until = self.periods.granted_until.min(now);
    }

    /// Sets the time from which the reserve is in force. Another process may use the reserve before that
    /// time.
    pub(crate) fn set_reserve_from(&mut self, from: Micros) {
        self.periods.reserve_from = from;
    }

    /// Applies new settings. Totals and reserves change, and the amounts in use stay.
    pub fn update_settings(&mut self, now: Micros, settings: &BudgetSettings) {
        let fresh = Allocations::new(now, settings);
        let before = std::mem::replace(&mut self.allocations, fresh.allocations);
        for allocation in &mut self.allocations {
            if let Some(earlier) = before.iter().find(|earlier| earlier.name == allocation.name) {
                allocation.continue_from(earlier);
                allocation.update_exceeded_since(now);
            }
        }
        self.drain_time = settings.drain_time;
    }
}
