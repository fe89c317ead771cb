//! How a budget is divided by need.

use crate::settings::BudgetKind;

/// An allocation that would change by less than this share of itself stays as it is: each change costs a write and an
/// acknowledgement.
const MIN_CHANGE_RATIO: f64 = 0.1;
/// The part of what nobody wants that is spread evenly; the rest goes by demand.
const EVEN_SPARE_RATIO: f64 = 0.5;

/// What is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// What the budget counts.
    pub kind: BudgetKind,
    /// How much there is.
    pub total: f64,
    /// The part of it that all members get alike, so that nobody has nothing.
    pub even_ratio: f64,
}

impl Division {
    /// The allocations of members with these demands that have `current` allocations now.
    ///
    /// All get an even part of `even_ratio`; the rest goes to those who want more, the least wanting first, and what
    /// nobody wants is spread, half evenly and half by demand, to be at hand before it is asked for. Allocations of a
    /// concurrency are whole numbers.
    pub fn allocate(&self, demands: &[f64], current: &[f64]) -> Vec<f64> {
        if demands.is_empty() || self.total <= 0.0 {
            return vec![0.0; demands.len()];
        }
        let members = demands.len() as f64;
        let least = self.total * self.even_ratio / members;
        let mut allocations = vec![least; demands.len()];
        let remaining = self.total - least * members;
        let spare = meet_demands(&mut allocations, remaining, demands);
        spread_spare(&mut allocations, spare, demands);
        if self.kind == BudgetKind::Concurrency {
            round_to_whole(&mut allocations, self.total);
        }
        self.keep_small_changes(allocations, current)
    }

    /// Keeps current allocations that would change little, as long as all of them fit.
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

/// Raises allocations towards the demands, the least wanting first; returns what is left.
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

/// Spreads what nobody wants.
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

/// Rounds down, and gives what is left to those that lost most.
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
