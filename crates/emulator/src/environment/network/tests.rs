//! Tests of the network delays.

use super::*;
use rand::SeedableRng;

/// Delays have the configured mean and are never below their fixed part, which stands for the propagation
/// delay.
#[test]
fn delays_have_a_minimum_and_the_configured_mean() {
    let net = day::Net { same: 300, cross: 10_000, client: 500, jitter: 0.3 };
    let mut network = Network::new(&net, Pcg64Mcg::seed_from_u64(1));
    let delays: Vec<Micros> = (0..20_000).map(|_| network.between(0, 1)).collect();
    let mean = delays.iter().sum::<u64>() as f64 / delays.len() as f64;
    assert!((9_900.0..10_100.0).contains(&mean), "mean {mean}");
    assert!(delays.iter().all(|&l| l >= 7_000), "a delay is below the minimum");
    // A tenth of the values of an exponential distribution of mean 1 exceed ln 10.
    let long = delays.iter().filter(|&&l| l as f64 > 7_000.0 + 3_000.0 * 10f64.ln()).count();
    assert!((1_800..2_200).contains(&long), "{long} long delays of 20000");
    assert!(network.between(2, 2) < 3_000);
}
