//! Unit tests of settings, division and allocations.

use proptest::prelude::*;
use shorewharf_budgets::{Allocations, Budget, BudgetKind, BudgetSettings, Division};

fn settings(kind: BudgetKind, total: f64, max_members: usize, member_index: usize) -> BudgetSettings {
    BudgetSettings {
        budgets: vec![Budget { name: "b".to_owned(), kind, total }],
        lease: 3_000_000,
        clock_margin: 200_000,
        poll_interval: 250_000,
        drain_time: 2_000_000,
        reserve_ratio: 0.1,
        even_ratio: 0.1,
        max_members,
        member_index,
    }
}

fn kind(is_concurrency: bool) -> BudgetKind {
    if is_concurrency { BudgetKind::Concurrency } else { BudgetKind::Rate }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(26), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn allocations_are_not_negative_and_their_sum_does_not_exceed_the_total(
        total in 0.0..5_000.0f64,
        even_ratio in 0.0..0.5f64,
        members in proptest::collection::vec((0.0..2_000.0f64, 0.0..500.0f64), 1..40),
        is_concurrency in any::<bool>(),
    ) {
        let (demands, current): (Vec<f64>, Vec<f64>) = members.into_iter().unzip();
        let division = Division { kind: kind(is_concurrency), total, even_ratio };
        let allocations = division.allocate(&demands, &current);
        prop_assert_eq!(allocations.len(), demands.len());
        prop_assert!(allocations.iter().all(|allocation| *allocation >= 0.0));
        let sum = allocations.iter().sum::<f64>();
        prop_assert!(sum <= total * (1.0 + 1e-12) + 1e-9, "{:?} of {}", allocations, total);
    }

    #[test]
    fn shares_of_the_reserve_add_up_to_the_reserve(
        total in 0.0..1_000.0f64,
        members in 1usize..400,
        is_concurrency in any::<bool>(),
    ) {
        let kind = kind(is_concurrency);
        let own_reserve = |index| settings(kind, total, members, index).own_reserve(kind, total);
        let reserve: f64 = (0..members).map(own_reserve).sum();
        let divided = settings(kind, total, members, 0).divided(kind, total);
        prop_assert!((reserve + divided - total).abs() < 1e-6, "{} and {} of {}", reserve, divided, total);
    }
}

#[test]
fn a_division_meets_demands_before_spreading_the_rest_and_keeps_allocations_that_change_slightly() {
    let divide = |kind, total, even_ratio, demands: &[f64], current: &[f64]| {
        Division { kind, total, even_ratio }.allocate(demands, current)
    };
    let rate = BudgetKind::Rate;
    assert_eq!(divide(rate, 100.0, 0.0, &[10.0, 200.0], &[0.0, 0.0]), [10.0, 90.0]);
    // All members get an equal part.
    assert_eq!(divide(rate, 100.0, 0.2, &[0.0, 200.0], &[0.0, 0.0]), [10.0, 90.0]);
    let concurrency = BudgetKind::Concurrency;
    assert_eq!(divide(concurrency, 10.0, 0.0, &[9.0, 9.0, 9.0], &[0.0; 3]).iter().sum::<f64>(), 10.0);
    // With more members than connections, some members have no connection and none has a fraction of one.
    let allocations = divide(concurrency, 3.0, 0.1, &[1.0; 8], &[0.0; 8]);
    let are_whole = allocations.iter().all(|allocation| allocation.fract() == 0.0);
    assert_eq!((allocations.iter().sum::<f64>(), are_whole), (3.0, true), "{allocations:?}");
    assert_eq!(divide(rate, 100.0, 0.0, &[52.0, 48.0], &[50.0, 50.0]), [50.0, 50.0]);
    assert_eq!(divide(rate, 100.0, 0.0, &[60.0, 40.0], &[50.0, 50.0]), [60.0, 40.0]);
    assert_eq!(divide(rate, 0.0, 0.1, &[60.0], &[50.0]), [0.0]);
}

#[test]
fn a_reserve_is_paced_evenly_and_an_error_names_the_budget() {
    let settings = settings(BudgetKind::Rate, 100.0, 10, 0);
    let mut allocations = Allocations::new(0, &settings);
    let index = allocations.index_of("b").expect("the budget exists");
    // During the first lease, an earlier process of this name might use the reserve.
    let error = allocations.check(1_000, index).expect_err("the reserve is not in force yet");
    assert_eq!((error.budget.as_str(), error.in_force, error.retry_after), ("b", 0.0, None));
    // The reserve is a tenth of 100 for ten members, so each has one per second and at most one token.
    let mut admitted_at = Vec::new();
    for now in (10_000_000..15_000_000).step_by(10_000) {
        if allocations.check(now, index).is_ok() {
            allocations.acquire(now, index);
            admitted_at.push(now);
        }
    }
    assert_eq!(admitted_at, [10_000_000, 11_000_000, 12_000_000, 13_000_000, 14_000_000]);
    let error = allocations.check(14_500_000, index).expect_err("the next token is due in half a second");
    assert_eq!((error.in_force, error.retry_after), (1.0, Some(500_000)));
}

#[test]
fn bursts_are_admitted_up_to_the_maximum_number_of_tokens() {
    // A single member has a reserve of 50 per second, which allows up to five tokens.
    let mut allocations = Allocations::new(0, &settings(BudgetKind::Rate, 500.0, 1, 0));
    let admit_burst = |allocations: &mut Allocations, now| {
        let admitted = |_: &u32| allocations.check(now, 0).map(|()| allocations.acquire(now, 0)).is_ok();
        (0..100).take_while(admitted).count()
    };
    assert_eq!(admit_burst(&mut allocations, 10_000_000), 5);
    assert_eq!(admit_burst(&mut allocations, 10_000_000), 0);
    assert_eq!(admit_burst(&mut allocations, 10_040_000), 2);
    assert_eq!(admit_burst(&mut allocations, 20_000_000), 5);
}

#[test]
fn invalid_settings_are_rejected_with_the_name_of_the_setting() {
    let valid = settings(BudgetKind::Rate, 100.0, 10, 0);
    assert_eq!(valid.check(), Ok(()));
    let key_after = |change: &dyn Fn(&mut BudgetSettings)| {
        let mut settings = valid.clone();
        change(&mut settings);
        settings.check().expect_err("the settings are invalid").key()
    };
    assert_eq!(key_after(&|s| s.lease = 1_000_000), "lease");
    assert_eq!(key_after(&|s| s.clock_margin = 0), "margin");
    assert_eq!(key_after(&|s| s.clock_margin = 1_000_000), "margin");
    assert_eq!(key_after(&|s| s.reserve_ratio = 0.9), "reserve");
    assert_eq!(key_after(&|s| s.even_ratio = 0.9), "floor");
    assert_eq!(key_after(&|s| s.member_index = 10), "members");
    assert_eq!(key_after(&|s| s.budgets[0].total = -1.0), "whole");
    assert_eq!(key_after(&|s| s.budgets.push(s.budgets[0].clone())), "budgets");
}

#[test]
fn error_messages_of_invalid_settings_have_their_exact_text() {
    let error = |change: &dyn Fn(&mut BudgetSettings)| {
        let mut settings = settings(BudgetKind::Rate, 100.0, 10, 0);
        change(&mut settings);
        settings.check().expect_err("the settings are invalid").to_string()
    };
    assert_eq!(
        error(&|s| s.lease = 1_000_000),
        "1000000 us is shorter than 8 poll intervals (2000000 us): the lease could end before it is renewed"
    );
    assert_eq!(
        error(&|s| s.clock_margin = 0),
        "0 us is out of range; expected more than 0 and at most a quarter of the lease"
    );
    assert_eq!(error(&|s| s.reserve_ratio = 0.9), "0.9 is out of range; expected a ratio from 0 to 0.5");
    assert_eq!(
        error(&|s| s.even_ratio = 0.9),
        "0.9 is out of range; expected a ratio from 0 to 0.5, since a larger one leaves too little to divide by demand"
    );
    assert_eq!(
        error(&|s| s.member_index = 10),
        "the index of this member, 10, is not below the number of members, 10"
    );
    assert_eq!(
        error(&|s| s.budgets[0].total = -1.0),
        "the total -1 of the budget \"b\" is invalid; expected a finite number that is not negative"
    );
    assert_eq!(error(&|s| s.budgets.push(s.budgets[0].clone())), "the budget \"b\" is defined twice");
}
