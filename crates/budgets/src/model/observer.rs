//! The observer of the simulated fleet, which compares the amounts in force at all processes with the totals.

use super::process::Process;
use super::{ModelFleet, REQUEST_TIMEOUT, UtilizationSample};
use crate::settings::Budget;
use shorewharf_units::Micros;

/// Rounding errors may raise a sum above the total by this much.
const ROUNDING: f64 = 1e-6;

/// The use of a budget by one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberUse {
    /// The member's index.
    pub member: usize,
    /// The amount in use.
    pub amount: f64,
}

/// An amount in force above the total of a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetOverrun {
    /// The true time.
    pub at: Micros,
    /// The budget's name.
    pub budget: String,
    /// The amount that was in force.
    pub in_force: f64,
    /// The budget's total.
    pub total: f64,
    /// The number of events before the overrun.
    pub steps: u64,
    /// The use by each member.
    pub members: Vec<MemberUse>,
}

impl ModelFleet {
    fn alive_processes(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.is_alive)
    }

    /// Records the utilization of each budget.
    pub(super) fn sample_utilization(&mut self) {
        let budgets = self.schedule.settings.budgets.iter().enumerate();
        let utilizations = budgets.map(|(index, budget)| self.utilization(index, budget)).collect();
        self.samples.push(UtilizationSample { at: self.now, utilizations });
    }

    /// Returns the amount of a budget in force up to each member's demand, divided by the smaller of the total
    /// and the sum of all demands.
    fn utilization(&self, index: usize, budget: &Budget) -> f64 {
        let (used, total_demand) =
            self.alive_processes().fold((0.0, 0.0), |(used, total_demand), process| {
                let demand = budget.total * self.schedule.demand_ratio(self.now, process.member_index);
                (used + process.in_force(self.now, index).min(demand), total_demand + demand)
            });
        used / budget.total.min(total_demand).max(f64::MIN_POSITIVE)
    }

    /// Compares the amounts in force at all processes with the totals; returns the first that exceeds its
    /// total.
    pub(super) fn find_overrun(&self) -> Option<BudgetOverrun> {
        let mut budgets = self.schedule.settings.budgets.iter().enumerate();
        budgets.find_map(|(index, budget)| self.overrun_of(index, budget))
    }

    fn overrun_of(&self, index: usize, budget: &Budget) -> Option<BudgetOverrun> {
        let member_use = |process: &Process| MemberUse {
            member: process.member_index,
            amount: self.counted_use(process, index, budget),
        };
        let members: Vec<MemberUse> = self.alive_processes().map(member_use).collect();
        let in_force: f64 = members.iter().map(|member| member.amount).sum();
        // A lowered total only applies once all processes have read it and earlier use above it has ended.
        let total = self.alive_processes().map(|process| process.total(index)).fold(budget.total, f64::max);
        (in_force > total + ROUNDING).then(|| BudgetOverrun {
            at: self.now,
            budget: budget.name.clone(),
            in_force,
            total,
            steps: self.steps,
            members,
        })
    }

    /// Returns the part of a process's use that is compared with the total.
    fn counted_use(&self, process: &Process, index: usize, budget: &Budget) -> f64 {
        let settings = &self.schedule.settings;
        let settling_time = settings.lease + settings.clock_margin + settings.drain_time + REQUEST_TIMEOUT;
        let was_reachable = self.now > self.isolated_until[process.member_index] + settling_time;
        let has_duplicate = || {
            self.alive_processes()
                .any(|other| other.member_index == process.member_index && !std::ptr::eq(other, process))
        };
        // A process uses its reserve until it reads that another process has its name. It can't read that
        // while it can't reach the store.
        let is_exempt = !was_reachable && has_duplicate();
        let exempt = if is_exempt { process.reserve(index, budget.kind) } else { 0.0 };
        (process.observed_use(self.now, index, budget.kind) - exempt).max(0.0)
    }
}
