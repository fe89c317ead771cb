//! The observer of the model fleet: sees at every moment what is in force at all processes together.

use super::process::Process;
use super::{ModelFleet, REQUEST_TIMEOUT, UseSample};
use crate::settings::Budget;
use shorewharf_units::Micros;

/// Sums of fractions may exceed a total by so much.
const ROUNDING: f64 = 1e-6;

/// What one member uses of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberUse {
    /// The member's index.
    pub member: usize,
    /// How much.
    pub amount: f64,
}

/// More was in force of a budget than its total.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetOverrun {
    /// When, in true time.
    pub at: Micros,
    /// The budget's name.
    pub budget: String,
    /// How much was in force.
    pub in_force: f64,
    /// The budget's total.
    pub total: f64,
    /// Events until then.
    pub steps: u64,
    /// Who used what.
    pub members: Vec<MemberUse>,
}

impl ModelFleet {
    fn living(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.is_alive)
    }

    /// Notes how much of each budget is of use now.
    pub(super) fn sample_use(&mut self) {
        let budgets = self.schedule.settings.budgets.iter().enumerate();
        let useful_ratios = budgets.map(|(index, budget)| self.useful_ratio(index, budget)).collect();
        self.samples.push(UseSample { at: self.now, useful_ratios });
    }

    /// What is in force of a budget where it is wanted, over what could be.
    fn useful_ratio(&self, index: usize, budget: &Budget) -> f64 {
        let (used, wanted) = self.living().fold((0.0, 0.0), |(used, wanted), process| {
            let demand = budget.total * self.schedule.demand_ratio(self.now, process.member_index);
            (used + process.in_force(self.now, index).min(demand), wanted + demand)
        });
        used / budget.total.min(wanted).max(f64::MIN_POSITIVE)
    }

    /// Compares what is in force at all processes together with the totals.
    pub(super) fn find_overrun(&self) -> Option<BudgetOverrun> {
        let mut budgets = self.schedule.settings.budgets.iter().enumerate();
        budgets.find_map(|(index, budget)| self.overrun_of(index, budget))
    }

    fn overrun_of(&self, index: usize, budget: &Budget) -> Option<BudgetOverrun> {
        let member_use = |process: &Process| MemberUse {
            member: process.member_index,
            amount: self.counted_use(process, index, budget),
        };
        let members: Vec<MemberUse> = self.living().map(member_use).collect();
        let in_force: f64 = members.iter().map(|member| member.amount).sum();
        // A lowered total is in force when all have read it, and what was in use before has ended.
        let total = self.living().map(|process| process.total(index)).fold(budget.total, f64::max);
        (in_force > total + ROUNDING).then(|| BudgetOverrun {
            at: self.now,
            budget: budget.name.clone(),
            in_force,
            total,
            steps: self.steps,
            members,
        })
    }

    /// What counts of a process's use.
    fn counted_use(&self, process: &Process, index: usize, budget: &Budget) -> f64 {
        let settings = &self.schedule.settings;
        let settling_time = settings.lease + settings.clock_margin + settings.drain_time + REQUEST_TIMEOUT;
        let was_reachable = self.now > self.isolated_until[process.member_index] + settling_time;
        let has_namesake = || {
            self.living()
                .any(|other| other.member_index == process.member_index && !std::ptr::eq(other, process))
        };
        // A process with a namesake uses its reserve until it reads of that, for which it must reach the store.
        let is_excused = !was_reachable && has_namesake();
        let excused = if is_excused { process.reserve(index, budget.kind) } else { 0.0 };
        (process.observed_use(self.now, index, budget.kind) - excused).max(0.0)
    }
}
