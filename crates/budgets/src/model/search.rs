//! Looking for plans in which more is in force than the whole: drawn at random, or all of a small space.

use super::{Above, Fault, Plan, What, World};
use crate::rules::Rules;
use shorewharf_units::Micros;

/// A plan that shows it.
#[derive(Clone, Debug)]
pub struct Found {
    /// The plan.
    pub plan: Plan,
    /// What was seen.
    pub above: Above,
}

/// All plans with a few members and faults out of a small set.
#[derive(Clone, Debug)]
pub struct Space {
    /// How many members.
    pub members: usize,
    /// Faults begin at these times.
    pub times: Vec<Micros>,
    /// They last so long.
    pub lengths: Vec<Micros>,
}

impl Default for Space {
    /// Three members, begins all along four leases, short, as long as a lease, and longer.
    fn default() -> Space {
        let times = (0..12).map(|i| 2_500_000 + i * 450_000).collect();
        Space { members: 3, times, lengths: vec![300_000, 1_600_000, 4_000_000] }
    }
}

impl Space {
    /// All single faults of it. Only one member is struck by each kind, and two by those that may strike whoever leads, since
    /// members are alike but for who comes first.
    pub fn faults(&self) -> Vec<Fault> {
        let mut all = Vec::new();
        for what in What::ALL {
            let who = if what.of_store() || what == What::Lowered { 1 } else { self.members };
            for who in 0..who {
                for at in &self.times {
                    all.extend(self.lengths.iter().map(|len| Fault { what, who, at: *at, len: *len }));
                }
            }
        }
        all
    }

    /// How many plans with two faults there are.
    pub fn pairs(&self) -> usize {
        let n = self.faults().len();
        n * (n + 1) / 2
    }

    /// The plan of this number, from 0 to [`Space::pairs`].
    pub fn plan(&self, faults: &[Fault], number: usize, base: &Plan) -> Plan {
        // Numbers run through the lower triangle, row by row.
        let row = (((8.0 * number as f64 + 1.0).sqrt() - 1.0) / 2.0) as usize;
        let row = if (row + 1) * (row + 2) / 2 <= number { row + 1 } else { row };
        let column = number - row * (row + 1) / 2;
        let mut both = vec![faults[row], faults[column]];
        both.sort_by_key(|f| f.at);
        let length = 14_000_000;
        let wants = vec![(1.2, 0.1), (0.1, 1.2), (0.6, 0.6)];
        let rules = Rules { members: self.members, ..base.rules.clone() };
        Plan { members: self.members, faults: both, length, wants, rules, ..base.clone() }
    }
}

/// Plays a plan; what was found, if anything.
pub fn look(plan: &Plan) -> Option<Found> {
    let above = World::new(plan).play().above?;
    Some(Found { plan: plan.clone(), above })
}

/// The same with as few faults as still show it.
pub fn shrink(found: Found) -> Found {
    let mut best = found;
    loop {
        let less = (0..best.plan.faults.len()).find_map(|i| {
            let mut plan = best.plan.clone();
            plan.faults.remove(i);
            look(&plan)
        });
        match less {
            Some(less) => best = less,
            None => return best,
        }
    }
}
