//! Tests of the module that these stand beside.

use super::*;

#[test]
fn a_spread_tells_its_parts_and_an_empty_one_zero() {
    let mut spread = Distribution::default();
    assert_eq!((spread.at(0.99), spread.max()), (0, 0));
    (1..=100).for_each(|ms| spread.record(ms * 1_000));
    let near = |found: u64, wanted: u64| found.abs_diff(wanted) * 50 < wanted;
    assert!(near(spread.at(0.5), 50_000) && near(spread.at(0.99), 99_000) && near(spread.max(), 100_000));
    let mut both = spread.clone();
    both.add(&spread);
    assert_eq!(both.len(), 200);
}
