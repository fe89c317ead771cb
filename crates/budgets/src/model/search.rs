//! The search for schedules in which more is in force than the total: drawn at random, or all of a small space.

use super::fault::{Fault, FaultKind};
use super::schedule::{DemandRatio, Schedule};
use super::{BudgetOverrun, ModelFleet};
use crate::settings::BudgetSettings;
use shorewharf_units::Micros;

/// Length of the schedules of a space.
const SPACE_DURATION: Micros = 14_000_000;

/// A schedule in which more is in force than the total.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The schedule.
    pub schedule: Schedule,
    /// What was observed.
    pub overrun: BudgetOverrun,
}

/// All schedules with a few members and faults out of a small set.
#[derive(Clone, Debug)]
pub struct ScheduleSpace {
    /// How many members.
    pub members: usize,
    /// When faults begin.
    pub begin_times: Vec<Micros>,
    /// How long they last.
    pub durations: Vec<Micros>,
}

impl Default for ScheduleSpace {
    /// Three members, begins all along four leases, faults shorter than a lease, as long as one, and longer.
    fn default() -> ScheduleSpace {
        let begin_times = (0..12).map(|step| 2_500_000 + step * 450_000).collect();
        ScheduleSpace { members: 3, begin_times, durations: vec![300_000, 1_600_000, 4_000_000] }
    }
}

impl ScheduleSpace {
    /// All single faults of the space. Faults of the store, and of the settings, affect all members alike.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for kind in FaultKind::ALL {
            let affects_all = kind.affects_store() || kind == FaultKind::TotalsLowered;
            for member in 0..if affects_all { 1 } else { self.members } {
                for begins_at in self.begin_times.iter().copied() {
                    let fault = |duration: &Micros| Fault { kind, member, begins_at, duration: *duration };
                    faults.extend(self.durations.iter().map(fault));
                }
            }
        }
        faults
    }

    /// How many schedules with two faults there are.
    pub fn pairs(&self) -> usize {
        let faults = self.faults().len();
        faults * (faults + 1) / 2
    }

    /// The schedule of this number, from 0 to [`ScheduleSpace::pairs`].
    pub fn schedule(&self, faults: &[Fault], number: usize, base: &Schedule) -> Schedule {
        // Numbers run through the lower triangle, row by row.
        let row = (((8.0 * number as f64 + 1.0).sqrt() - 1.0) / 2.0) as usize;
        let row = if (row + 1) * (row + 2) / 2 <= number { row + 1 } else { row };
        let column = number - row * (row + 1) / 2;
        let mut pair = vec![faults[row], faults[column]];
        pair.sort_by_key(|fault| fault.begins_at);
        let demand = |first_half, second_half| DemandRatio { first_half, second_half };
        Schedule {
            members: self.members,
            faults: pair,
            duration: SPACE_DURATION,
            demands: vec![demand(1.2, 0.1), demand(0.1, 1.2), demand(0.6, 0.6)],
            settings: BudgetSettings { max_members: self.members, ..base.settings.clone() },
            ..base.clone()
        }
    }
}

/// Runs a schedule; returns the violation, if there is one.
pub fn find_violation(schedule: &Schedule) -> Option<Violation> {
    let overrun = ModelFleet::new(schedule).run().overrun?;
    Some(Violation { schedule: schedule.clone(), overrun })
}

/// Removes faults from a violation's schedule for as long as it still shows one.
pub fn minimize(violation: Violation) -> Violation {
    let mut smallest = violation;
    loop {
        let smaller = (0..smallest.schedule.faults.len()).find_map(|index| {
            let mut schedule = smallest.schedule.clone();
            schedule.faults.remove(index);
            find_violation(&schedule)
        });
        match smaller {
            Some(smaller) => smallest = smaller,
            None => return smallest,
        }
    }
}
