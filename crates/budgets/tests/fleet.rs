//! Model fleets with everything that goes wrong between members and their store: at no moment is more in force than the
//! total, and defects that are planted are seen.

use shorewharf_budgets::BudgetSettings;
use shorewharf_budgets::model::{
    Defect, DemandRatio, Fault, FaultKind, ModelFleet, Schedule, ScheduleSpace, find_violation,
};

#[test]
fn random_schedules_of_faults_never_bring_more_into_force_than_the_total() {
    for seed in 1..=250 {
        let schedule = Schedule::random(seed);
        let outcome = ModelFleet::new(&schedule).run();
        assert_eq!(outcome.overrun, None, "{schedule:?}");
        assert!(outcome.steps > 100, "seed {seed} is no run");
    }
}

#[test]
fn a_leader_goes_by_what_is_in_use_where_a_record_from_before_says_more() {
    // Found with this seed: twice lowered, a member long cut off, and the leader's responses lost.
    assert_eq!(ModelFleet::new(&Schedule::random(100_480)).run().overrun, None);
}

#[test]
fn pairs_of_faults_never_bring_more_into_force_than_the_total() {
    let space = ScheduleSpace::default();
    let base = Schedule { faults: Vec::new(), ..Schedule::random(1) };
    let faults = space.faults();
    for number in (0..space.pairs()).step_by(2_503) {
        let schedule = space.schedule(&faults, number, &base);
        assert_eq!(ModelFleet::new(&schedule).run().overrun, None, "{schedule:?}");
    }
}

#[test]
fn every_planted_defect_is_seen() {
    for defect in Defect::ALL {
        let planted = |seed| Schedule { defect: Some(defect), ..Schedule::random(seed) };
        let violation = (1..=700).find_map(|seed| find_violation(&planted(seed)));
        assert!(violation.is_some(), "{defect:?} is not seen in 700 schedules");
    }
}

/// Three members, the second of which wants nearly all of it, and a fault from the sixth second on.
fn three_members(kind: FaultKind, member: usize, seconds: u64) -> Schedule {
    let settings = BudgetSettings { max_members: 3, ..Schedule::default_settings() };
    let faults = vec![Fault { kind, member, begins_at: 6_000_000, duration: seconds * 1_000_000 }];
    let demand = |ratio| DemandRatio { first_half: ratio, second_half: ratio };
    let demands = vec![demand(0.05), demand(0.9), demand(0.05)];
    let (members, duration, clock_drift) = (3, 20_000_000, 0.01);
    Schedule { members, duration, faults, settings, clock_drift, demands, ..Schedule::random(3) }
}

/// How much of the rate is of use, as a mean over some of a schedule's seconds.
fn useful_ratio(schedule: &Schedule, from_second: u64, to_second: u64) -> f64 {
    let outcome = ModelFleet::new(schedule).run();
    assert_eq!(outcome.overrun, None, "{schedule:?}");
    let times = from_second * 1_000_000..to_second * 1_000_000;
    let samples = outcome.samples.iter().filter(|sample| times.contains(&sample.at));
    let ratios: Vec<f64> = samples.map(|sample| sample.useful_ratios[0]).collect();
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

#[test]
fn a_budget_goes_where_it_is_wanted() {
    let calm = Schedule { faults: Vec::new(), ..three_members(FaultKind::Stall, 0, 1) };
    let ratio = useful_ratio(&calm, 5, 20);
    assert!(ratio > 0.9, "{ratio}");
}

#[test]
fn without_its_store_a_fleet_goes_on_with_its_reserve_and_recovers_soon_after() {
    let schedule = three_members(FaultKind::StoreDown, 0, 8);
    let (without, after) = (useful_ratio(&schedule, 10, 14), useful_ratio(&schedule, 17, 20));
    // A tenth is reserved, a third of it is the one's that wants more; the others want less than theirs.
    assert!(without > 0.03 && without < 0.2, "{without}");
    assert!(after > 0.9, "{after}");
}

#[test]
fn a_store_that_was_lost_for_good_is_begun_anew() {
    let after = useful_ratio(&three_members(FaultKind::StoreWiped, 0, 2), 14, 20);
    assert!(after > 0.9, "{after}");
}

#[test]
fn the_part_of_a_member_that_is_killed_or_leaves_is_divided_among_the_others() {
    // The one that wants little leads or does not: whichever is gone, the rest has its part after a lease.
    for member in [0, 2] {
        let killed = useful_ratio(&three_members(FaultKind::Kill, member, 30), 9, 20);
        assert!(killed > 0.85, "{member}: {killed}");
        let left = useful_ratio(&three_members(FaultKind::GracefulLeave, member, 30), 9, 20);
        assert!(left > 0.85, "{member}: {left}");
    }
}
