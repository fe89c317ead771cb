//! The division of a budget by demand.

use crate::settings::BudgetKind;

/// An allocation that would change by a smaller ratio than this stays unchanged, since each change costs a
/// write and an acknowledgement.
const MIN_CHANGE_RATIO: f64 = 0.1;
/// The ratio of the spare amount that is spread evenly. The rest is spread in proportion to demand.
const EVEN_SPARE_RATIO: f64 = 0.5;

/// An amount to divide, and the rules of its division.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// What the budget counts.
    pub kind: BudgetKind,
    /// The amount to divide.
    pub total: f64,
    /// The ratio of `total` that all members get in equal parts, so that each of them has an allocation.
    pub even_ratio: f64,
}

impl Division {
    /// Returns the allocations of members that have these demands and now have the allocations `current`.
    ///
    /// All members get an equal part of `even_ratio`. The rest is used to meet demands, the smallest demands
    /// first. What exceeds the total demand is spread so that it is available before it is requested, half of
    /// it evenly and half in proportion to demand. Allocations of a concurrency budget are whole
    /// numbers.
    pub fn allocate(&self, demands: &[f64], current: &[f64]) -> Vec<f64> {
        if demands.is_empty() || self.total <= 0.0 {
            return vec![0.0; demands.len()];
        }
        let members = demands.len() as f64;
        let even_part = self.total * self.even_ratio / members;
        let mut allocations = vec![even_part; demands.len()];
        let remaining = self.total - even_part * members;
        let spare = meet_demands(&mut allocations, remaining, demands);
        spread_spare(&mut allocations, spare, demands);
        if self.kind == BudgetKind::Concurrency {
            round_to_whole(&mut allocations, self.total);
        }
        self.keep_small_changes(allocations, current)
    }

    /// Keeps current allocations that would change only slightly, as long as their sum does not exceed the
    /// total.
    fn keep_small_changes(&self, allocations: Vec<f64>, current: &[f64]) -> Vec<f64> {
        let is_small = |next: f64, current: f64| {
            current > 0.0 && (next - current).abs() <= (MIN_CHANGE_RATIO * current).max(f64::MIN_POSITIVE)
        };
        let pairs = allocations.iter().zip(current);
        let kept: Vec<f64> =
            pairs.map(|(next, current)| if is_small(*next, *current) { *current } else { *next }).collect();
        if kept.iter().sum::<f64>() <= self.total { kept } else { allocations }
    }
}

/// Raises allocations towards the demands, the smallest demands first; returns the amount that is left.
fn meet_demands(allocations: &mut [f64], mut remaining: f64, demands: &[f64]) -> f64 {
    let members = demands.len() as f64;
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]).then(a.cmp(b)));
    for (done, index) in order.iter().enumerate() {
        let even_part = remaining / (members - done as f64);
        let raise = (demands[*index] - allocations[*index]).clamp(0.0, even_part);
        allocations[*index] += raise;
        remaining -= raise;
    }
    remaining
}

/// Spreads the amount that exceeds the total demand.
fn spread_spare(allocations: &mut [f64], spare: f64, demands: &[f64]) {
    let members = demands.len() as f64;
    let spare = spare.max(0.0);
    let total_demand = demands.iter().sum::<f64>();
    for (allocation, demand) in allocations.iter_mut().zip(demands) {
        let part = if total_demand > 0.0 {
            EVEN_SPARE_RATIO / members + EVEN_SPARE_RATIO * demand / total_demand
        } else {
            1.0 / members
        };
        *allocation += spare * part;
    }
}

/// Rounds allocations down, and gives the remainder to the members that lost most by rounding.
fn round_to_whole(allocations: &mut [f64], total: f64) {
    let fraction = |(index, allocation): (usize, &f64)| (allocation - allocation.floor(), index);
    let mut lost: Vec<(f64, usize)> = allocations.iter().enumerate().map(fraction).collect();
    for allocation in allocations.iter_mut() {
        *allocation = allocation.floor();
    }
    lost.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut remaining = total.floor() - allocations.iter().sum::<f64>();
    for (_, index) in lost {
        if remaining < 1.0 {
            break;
        }
        allocations[index] += 1.0;
        remaining -= 1.0;
    }
}
