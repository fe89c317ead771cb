//! Tests of the module that these stand beside.

use super::*;
use rand::SeedableRng;

/// Failure: delays that are drawn below what light and wires allow, or whose mean drifts from the stated one.
#[test]
fn a_leg_has_a_floor_and_the_stated_mean() {
    let net = day::Net { same: 300, cross: 10_000, client: 500, jitter: 0.3 };
    let mut network = Network::new(&net, Pcg64Mcg::seed_from_u64(1));
    let legs: Vec<Micros> = (0..20_000).map(|_| network.between(0, 1)).collect();
    let mean = legs.iter().sum::<u64>() as f64 / legs.len() as f64;
    assert!((9_900.0..10_100.0).contains(&mean), "mean {mean}");
    assert!(legs.iter().all(|&l| l >= 7_000), "a leg under the floor");
    // A tenth of exponential tails lies beyond ln 10.
    let slow = legs.iter().filter(|&&l| l as f64 > 7_000.0 + 3_000.0 * 10f64.ln()).count();
    assert!((1_800..2_200).contains(&slow), "{slow} slow legs of 20000");
    assert!(network.between(2, 2) < 3_000);
}
