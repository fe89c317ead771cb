//! Pinned runs of the model fleet, compared figure by figure with a fixture: a change of the code's shape must change no
//! decision, down to the last digit.

use std::fmt::Write;

use shorewharf_budgets::model::{ModelFleet, Schedule};

const FIXTURE: &str = include_str!("fixtures/replay.txt");

/// A digest that depends on every bit and on the order.
fn digest(values: impl Iterator<Item = u64>) -> u64 {
    values.fold(0xcbf2_9ce4_8422_2325, |digest, value| {
        value
            .to_le_bytes()
            .iter()
            .fold(digest, |d, byte| (d ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
    })
}

#[test]
fn pinned_runs_of_the_fleet_come_out_as_in_the_fixture() {
    let mut replayed = String::new();
    for seed in 1..=60 {
        let outcome = ModelFleet::new(&Schedule::random(seed)).run();
        let samples = outcome.samples.iter();
        let values = samples.flat_map(|sample| {
            std::iter::once(sample.at).chain(sample.useful_ratios.iter().map(|ratio| ratio.to_bits()))
        });
        let (steps, calls, writes, bytes) =
            (outcome.steps, outcome.requests, outcome.writes, outcome.bytes_written);
        let course = digest(values);
        writeln!(
            replayed,
            "seed={seed} steps={steps} calls={calls} writes={writes} bytes={bytes} course={course:016x}"
        )
        .expect("memory");
    }
    if replayed != FIXTURE {
        let actual = concat!(env!("CARGO_TARGET_TMPDIR"), "/budgets-replay.txt");
        std::fs::write(actual, &replayed).expect("a temporary file");
        let line = replayed.lines().zip(FIXTURE.lines()).position(|(a, b)| a != b);
        panic!("the replay differs from the fixture, first in line {line:?}; it is in {actual}");
    }
}
