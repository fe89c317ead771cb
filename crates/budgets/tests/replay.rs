//! Compares runs of the simulated fleet with a fixture: a refactoring must not change any decision.

use std::fmt::Write;

use shorewharf_budgets::model::{ModelFleet, Schedule};

const FIXTURE: &str = include_str!("fixtures/replay.txt");

/// An FNV-1a hash, which depends on every bit and on the order of the values.
fn digest(values: impl Iterator<Item = u64>) -> u64 {
    values.fold(0xcbf2_9ce4_8422_2325, |digest, value| {
        value
            .to_le_bytes()
            .iter()
            .fold(digest, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
    })
}

#[test]
fn runs_of_the_simulated_fleet_match_the_fixture() {
    let mut replayed = String::new();
    for seed in 1..=60 {
        let outcome = ModelFleet::new(&Schedule::random(seed)).run();
        let samples = outcome.samples.iter();
        let values = samples.flat_map(|sample| {
            std::iter::once(sample.at).chain(sample.utilizations.iter().map(|ratio| ratio.to_bits()))
        });
        let (steps, requests, writes, bytes_written) =
            (outcome.steps, outcome.requests, outcome.writes, outcome.bytes_written);
        let samples_digest = digest(values);
        writeln!(
            replayed,
            "seed={seed} steps={steps} calls={requests} writes={writes} bytes={bytes_written} course={samples_digest:016x}"
        )
        .expect("writing to a string can't fail");
    }
    if replayed != FIXTURE {
        let actual = concat!(env!("CARGO_TARGET_TMPDIR"), "/budgets-replay.txt");
        std::fs::write(actual, &replayed).expect("the temporary directory is writable");
        let line = replayed.lines().zip(FIXTURE.lines()).position(|(a, b)| a != b);
        panic!(
            "the runs differ from the fixture, first at line index {line:?}; the actual output is in {actual}"
        );
    }
}
