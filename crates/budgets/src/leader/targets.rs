//! The target allocations of the members for a budget.

use shorewharf_units::Micros;

use super::{Leader, MemberKey, MemberState};
use crate::division::Division;
use crate::records::amount_of;
use crate::settings::{Budget, BudgetSettings};

/// Rounding errors may raise a sum above the total by this much.
const ROUNDING: f64 = 1e-9;

/// The plan of the division of one budget.
#[derive(Clone, Debug)]
pub(super) struct BudgetPlan {
    /// The target allocation of each member, in the order of the members.
    pub targets: Vec<f64>,
    /// The amount that may be allocated in addition to what may already be in use.
    pub free: f64,
    /// Whether more may be in use than the total, for example because the total was lowered.
    pub is_overcommitted: bool,
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
        // Connections do not migrate because of other members' demand, but they do if the total was lowered
        // below the number in use.
        let in_use = of_members(&|member| member.concurrency_in_use(budget));
        let total_in_use: f64 = in_use.iter().sum();
        let fitting_ratio = if total_in_use > total { total / total_in_use } else { 1.0 };
        let kept: Vec<f64> = in_use.into_iter().map(|in_use| (in_use * fitting_ratio).floor()).collect();
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
            is_overcommitted: possible_use > total + ROUNDING,
        }
    }

    /// Returns the smallest total in the settings of all members, since a total that was lowered at any
    /// member is in force.
    fn effective_total(&self, now: Micros, settings: &BudgetSettings, budget: &Budget) -> f64 {
        let alive = self.members.values().filter(|member| member.is_alive(now, settings));
        let totals = alive.filter_map(|member| member.record.totals.get(&budget.name)).copied();
        totals.filter(|total| total.is_finite() && *total >= 0.0).fold(budget.total, f64::min)
    }
}
