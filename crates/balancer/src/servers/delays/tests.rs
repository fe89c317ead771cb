//! Tests of message delays.

use super::*;

const NOW: Micros = 100_000_000;

fn waits(for_us: Micros) -> DelaySample {
    DelaySample { unanswered_since: Some(NOW - for_us), last_answer: None }
}

fn answered(ago: Micros, took: Micros) -> DelaySample {
    DelaySample { unanswered_since: None, last_answer: Some(AnsweredLine { at: NOW - ago, delay: took }) }
}

#[test]
fn delays_are_told_from_loads_by_size_and_rhythm() {
    use LoadFigure::{Ambiguous, Delay, Load};
    let mut classifier = LoadFigureClassifier::default();
    for (at, figure, kind) in [
        (0, 255_465.125, Load),
        (10_000, 3_107.0, Load),
        // Too small for a load.
        (100_000, 1_593.3, Delay),
        // Out of rhythm, and too large for a certain delay.
        (600_000, 2_973.3, Ambiguous),
        (1_100_000, 255_465.0, Load),
        (1_600_000, 2_742.8, Delay),
        (2_600_000, 3_900.0, Delay),
        (3_100_000, 4_100.0, Load),
        (3_600_000, 4_200.0, Delay),
        (4_600_000, 14_200.0, Load),
        // Out of rhythm a large one may be either.
        (9_000_000, 2_742.8, Ambiguous),
        (10_000_000, 2_900.0, Delay),
        (20_000_000, 4.0, Delay),
    ] {
        assert_eq!(classifier.classify(NOW + at, figure), kind, "{figure} at {at}");
    }
}

#[test]
fn the_median_connection_determines_the_delay() {
    let least = 17_000;
    let quick = answered(1_000_000, 300);
    for (seen, figure) in [
        (vec![], None),
        // A single silent connection says nothing about its server, however long it waits.
        (vec![waits(900_000)], None),
        (vec![waits(900_000), quick], Some(300)),
        (vec![waits(900_000), waits(900_000), quick, quick], Some(300)),
        // A server for which most connections wait is slow.
        (vec![waits(900_000), waits(800_000)], Some(800_000)),
        (vec![waits(900_000), waits(800_000), quick], Some(800_000)),
        (vec![answered(10, 90_000), answered(10, 70_000), quick], Some(70_000)),
        // A line just sent doesn't count as waiting, and an old answer doesn't count.
        (vec![waits(1_000)], None),
        (vec![answered(3_000_000, 300), waits(900_000), waits(800_000)], Some(800_000)),
    ] {
        assert_eq!(median_delay(NOW, least, &seen), figure, "{seen:?}");
    }
}
