//! A schedule, which contains all inputs of a run of the simulated fleet.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::defect::Defect;
use super::fault::{Fault, FaultRanges};
use crate::settings::{Budget, BudgetKind, BudgetSettings};
use shorewharf_units::Micros;

/// Separates the random numbers of a schedule from those of its run.
const SCHEDULE_SEED: u64 = 0x706c_616e;
/// The duration of a random schedule.
const DURATION: Micros = 20_000_000;

/// The demand of a member for each budget, as a ratio of the total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandRatio {
    /// The demand in the first half of the run.
    pub first_half: f64,
    /// The demand in the second half of the run.
    pub second_half: f64,
}

/// The inputs of a run. The same schedule always gives the same run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The seed of all random numbers of the run.
    pub seed: u64,
    /// The number of members.
    pub members: usize,
    /// The duration, in true time.
    pub duration: Micros,
    /// The faults.
    pub faults: Vec<Fault>,
    /// The settings of all members, each of which has its own index.
    pub settings: BudgetSettings,
    /// The maximum deviation of a clock's rate from true time, as a ratio.
    pub clock_drift: f64,
    /// The demand of each member.
    pub demands: Vec<DemandRatio>,
    /// The injected defect, if any.
    pub defect: Option<Defect>,
}

impl Schedule {
    /// Draws a schedule: two to six members, faults of all kinds, and high demand at some of the members.
    pub fn random(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SCHEDULE_SEED);
        let members = rng.random_range(2..=6);
        let settings = BudgetSettings { max_members: members.max(4), ..Schedule::default_settings() };
        let fault_count = rng.random_range(1..=6);
        let ranges = FaultRanges { members, begin_before: DURATION * 3 / 4, lease: settings.lease };
        let faults = ranges.draw(&mut rng, fault_count);
        let ratio = |rng: &mut Pcg64Mcg| if rng.random_bool(0.4) { 1.2 } else { rng.random_range(0.0..0.3) };
        let demand = |rng: &mut Pcg64Mcg| DemandRatio { first_half: ratio(rng), second_half: ratio(rng) };
        let demands = (0..members).map(|_| demand(&mut rng)).collect();
        let (duration, clock_drift) = (DURATION, 0.045);
        Schedule { seed, members, duration, faults, settings, clock_drift, demands, defect: None }
    }

    /// The settings of random schedules: a lease of 1.5 seconds, one rate and one concurrency.
    pub fn default_settings() -> BudgetSettings {
        let budget = |name: &str, kind, total| Budget { name: name.to_owned(), kind, total };
        let budgets =
            vec![budget("rate", BudgetKind::Rate, 100.0), budget("level", BudgetKind::Concurrency, 60.0)];
        BudgetSettings {
            budgets,
            lease: 1_500_000,
            clock_margin: 150_000,
            poll_interval: 150_000,
            drain_time: 1_500_000,
            reserve_ratio: 0.1,
            even_ratio: 0.1,
            max_members: 6,
            member_index: 0,
        }
    }

    /// Returns the demand of a member for each budget at a time, as a ratio of the total.
    pub(super) fn demand_ratio(&self, now: Micros, member: usize) -> f64 {
        let demand = self.demands[member];
        if now < self.duration / 2 { demand.first_half } else { demand.second_half }
    }
}
