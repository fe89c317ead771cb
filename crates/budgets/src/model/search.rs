//! The search for schedules in which more than a total is in force, among random schedules or all schedules
//! of a small space.

use super::fault::{Fault, FaultKind};
use super::schedule::{DemandRatio, Schedule};
use super::{BudgetOverrun, ModelFleet};
use crate::settings::BudgetSettings;
use shorewharf_units::Micros;

/// The duration of the schedules of a space.
const SPACE_DURATION: Micros = 14_000_000;

/// A schedule in which more than a total is in force.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The schedule.
    pub schedule: Schedule,
    /// The amount in force above the total.
    pub overrun: BudgetOverrun,
}

/// All schedules with a few members and two faults out of a small set.
#[derive(Clone, Debug)]
pub struct ScheduleSpace {
    /// The number of members.
    pub members: usize,
    /// The times at which faults begin.
    pub begin_times: Vec<Micros>,
    /// The durations of faults.
    pub durations: Vec<Micros>,
}

impl Default for ScheduleSpace {
    /// Three members, faults that begin during about four leases, and durations below, about and above a
    /// lease.
    fn default() -> ScheduleSpace {
        let begin_times = (0..12).map(|step| 2_500_000 + step * 450_000).collect();
        ScheduleSpace { members: 3, begin_times, durations: vec![300_000, 1_600_000, 4_000_000] }
    }
}

impl ScheduleSpace {
    /// Returns all single faults of the space. Faults that affect all members alike are included only once.
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

    /// Returns the number of schedules with two faults.
    pub fn pairs(&self) -> usize {
        let faults = self.faults().len();
        faults * (faults + 1) / 2
    }

    /// Returns the schedule of a number from 0 to below [`ScheduleSpace::pairs`].
    pub fn schedule(&self, faults: &[Fault], number: usize, base: &Schedule) -> Schedule {
        // Numbers enumerate the lower triangle of all pairs, row by row.
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

/// Removes faults from the schedule of a violation as long as it still shows one.
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
