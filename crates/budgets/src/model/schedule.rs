//! A schedule: everything that a run of the model fleet is made from.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::defect::Defect;
use super::fault::{Fault, FaultRange};
use crate::settings::{Budget, BudgetKind, BudgetSettings};
use shorewharf_units::Micros;

/// Sets the draws of a schedule apart from those of its run.
const SCHEDULE_SEED: u64 = 0x706c_616e;
/// Length of a random schedule.
const DURATION: Micros = 20_000_000;

/// What a member wants of each budget, as a ratio of the total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandRatio {
    /// In the first half of the run.
    pub first_half: f64,
    /// In the second half of the run.
    pub second_half: f64,
}

/// A run: the same schedule always runs the same way.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The seed of all draws.
    pub seed: u64,
    /// How many members.
    pub members: usize,
    /// How long, in true time.
    pub duration: Micros,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// The settings; each member has its own index.
    pub settings: BudgetSettings,
    /// Clocks drift apart by so much at most, as a ratio.
    pub clock_drift: f64,
    /// What each member wants.
    pub demands: Vec<DemandRatio>,
    /// What is planted.
    pub defect: Option<Defect>,
}

impl Schedule {
    /// Draws a schedule: some members, faults of all kinds, demand at few of them.
    pub fn random(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SCHEDULE_SEED);
        let members = rng.random_range(2..=6);
        let settings = BudgetSettings { max_members: members.max(4), ..Schedule::default_settings() };
        let fault_count = rng.random_range(1..=6);
        let range = FaultRange { members, begin_before: DURATION * 3 / 4, lease: settings.lease };
        let faults = range.draw(&mut rng, fault_count);
        let ratio = |rng: &mut Pcg64Mcg| if rng.random_bool(0.4) { 1.2 } else { rng.random_range(0.0..0.3) };
        let demand = |rng: &mut Pcg64Mcg| DemandRatio { first_half: ratio(rng), second_half: ratio(rng) };
        let demands = (0..members).map(|_| demand(&mut rng)).collect();
        let (duration, clock_drift) = (DURATION, 0.045);
        Schedule { seed, members, duration, faults, settings, clock_drift, demands, defect: None }
    }

    /// The settings of random schedules: a lease of a second and a half, one rate and one concurrency.
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

    /// What a member wants of each budget at a time, as a ratio of the total.
    pub(super) fn demand_ratio(&self, now: Micros, member: usize) -> f64 {
        let demand = self.demands[member];
        if now < self.duration / 2 { demand.first_half } else { demand.second_half }
    }
}
