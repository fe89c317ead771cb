//! Tests of the delays before watches.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;

/// A stall of the event loop that the grace period has to cover as well.
const STALL: Micros = 150_000;

#[test]
fn each_delay_leaves_time_for_the_answer_within_the_grace_period() {
    for grace in [300_000, 500_000, 1_000_000, 5_000_000] {
        let pacing = WatchPacing::new(grace);
        let longest = pacing.retry_delay(1.0).max(pacing.first_delay(1.0));
        assert!(longest + STALL < grace, "a delay of {longest} us with a grace period of {grace} us");
        assert!(longest <= WatchPacing::MAX_DELAY);
    }
}

#[test]
fn a_failing_discovery_service_is_not_called_in_a_busy_loop() {
    for grace in [0, 1, 300_000, 1_000_000] {
        assert!(WatchPacing::new(grace).retry_delay(0.0) >= 25_000, "a grace period of {grace} us");
    }
}

/// Guards against a fleet that calls a discovery service at one moment, when it returns after an outage.
#[test]
fn the_calls_of_900_balancers_are_spread_after_an_outage() {
    const BALANCERS: usize = 900;
    const SLICE: Micros = 10_000;
    let pacing = WatchPacing::new(1_000_000);
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for delay_of in [WatchPacing::first_delay, WatchPacing::retry_delay] {
        let mut calls = vec![0; (WatchPacing::MAX_DELAY / SLICE) as usize + 1];
        for _ in 0..BALANCERS {
            calls[(delay_of(pacing, rng.random()) / SLICE) as usize] += 1;
        }
        let most = calls.into_iter().max().unwrap_or(0);
        assert!(most <= BALANCERS / 8, "{most} of {BALANCERS} calls within {SLICE} us");
    }
}
