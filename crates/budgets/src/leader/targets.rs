//! What each member should be allocated of a budget.

use shorewharf_units::Micros;

use super::{Leader, MemberKey, MemberState};
use crate::division::Division;
use crate::records::amount_of;
use crate::settings::{Budget, BudgetSettings};

/// Sums of fractions may exceed a total by so much.
const ROUNDING: f64 = 1e-9;

/// The plan for one budget.
#[derive(Clone, Debug)]
pub(super) struct BudgetPlan {
    /// What each of the members should be allocated, in their order.
    pub targets: Vec<f64>,
    /// What may be allocated beyond what may be in use already.
    pub free: f64,
    /// The total was lowered, and more may be in use than that.
    pub is_overdrawn: bool,
}

impl Leader {
    /// Plans the division of one budget among these members.
    pub(super) fn plan(
        &self,
        now: Micros,
        settings: &BudgetSettings,
        budget: &Budget,
        members: &[MemberKey],
    ) -> BudgetPlan {
        let total = settings.divided(budget.kind, self.effective_total(now, settings, budget));
        let of_members = |amount: &dyn Fn(&MemberState) -> f64| -> Vec<f64> {
            members.iter().map(|key| amount(&self.members[key])).collect()
        };
        // Connections don't migrate for what others need; they do where the total was lowered below them.
        let held = of_members(&|member| member.held(budget));
        let total_held: f64 = held.iter().sum();
        let fitting_ratio = if total_held > total { total / total_held } else { 1.0 };
        let kept: Vec<f64> = held.into_iter().map(|held| (held * fitting_ratio).floor()).collect();
        let beyond_kept = |amounts: Vec<f64>| -> Vec<f64> {
            amounts.into_iter().zip(&kept).map(|(amount, kept)| (amount - kept).max(0.0)).collect()
        };
        let demands = beyond_kept(of_members(&|member| amount_of(&member.record.demand, &budget.name)));
        let current = beyond_kept(of_members(&|member| amount_of(&member.allocation, &budget.name)));
        let remaining = total - kept.iter().sum::<f64>();
        let division = Division { kind: budget.kind, total: remaining, even_ratio: settings.even_ratio };
        let divided = division.allocate(&demands, &current);
        let possible_use = self.possible_use(&budget.name);
        BudgetPlan {
            targets: divided.into_iter().zip(&kept).map(|(part, kept)| part + kept).collect(),
            free: (total - possible_use).max(0.0),
            is_overdrawn: possible_use > total + ROUNDING,
        }
    }

    /// The smallest total by any member's settings: one that was lowered anywhere is in force.
    fn effective_total(&self, now: Micros, settings: &BudgetSettings, budget: &Budget) -> f64 {
        let alive = self.members.values().filter(|member| member.is_alive(now, settings));
        let totals = alive.filter_map(|member| member.record.totals.get(&budget.name)).copied();
        totals.filter(|total| total.is_finite() && *total >= 0.0).fold(budget.total, f64::min)
    }
}
