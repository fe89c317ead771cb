//! Tests of the distributions of durations.

use super::*;

#[test]
fn quantiles_are_accurate_and_zero_if_nothing_is_recorded() {
    let mut durations = Distribution::default();
    assert_eq!((durations.quantile(0.99), durations.max()), (0, 0));
    (1..=100).for_each(|ms| durations.record(ms * 1_000));
    let near = |found: u64, expected: u64| found.abs_diff(expected) * 50 < expected;
    assert!(near(durations.quantile(0.5), 50_000) && near(durations.quantile(0.99), 99_000));
    assert!(near(durations.max(), 100_000));
    let mut both = durations.clone();
    both.merge(&durations);
    assert_eq!(both.len(), 200);
}
