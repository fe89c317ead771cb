//! Tests of message delays.

use super::*;

const NOW: Micros = 100_000_000;

fn waiting(wait: Micros) -> DelaySample {
    DelaySample { unanswered_since: Some(NOW - wait), last_answer: None }
}

fn answered(age: Micros, delay: Micros) -> DelaySample {
    DelaySample { unanswered_since: None, last_answer: Some(AnsweredLine { at: NOW - age, delay }) }
}

#[test]
fn delays_are_distinguished_from_loads_by_size_and_interval() {
    use LoadFigure::{Ambiguous, Delay, Load};
    let mut classifier = LoadFigureClassifier::default();
    for (at, figure, kind) in [
        (0, 255_465.125, Load),
        (10_000, 3_107.0, Load),
        // Below `CERTAIN_DELAY_BELOW_MS`.
        (100_000, 1_593.3, Delay),
        // Does not arrive a second after the last delay, and is too large to be a certain delay.
        (600_000, 2_973.3, Ambiguous),
        (1_100_000, 255_465.0, Load),
        (1_600_000, 2_742.8, Delay),
        (2_600_000, 3_900.0, Delay),
        (3_100_000, 4_100.0, Load),
        (3_600_000, 4_200.0, Delay),
        (4_600_000, 14_200.0, Load),
        // Does not arrive a second after the last delay, and is too small to be a certain load.
        (9_000_000, 2_742.8, Ambiguous),
        (10_000_000, 2_900.0, Delay),
        (20_000_000, 4.0, Delay),
    ] {
        assert_eq!(classifier.classify(NOW + at, figure), kind, "{figure} at {at}");
    }
}

#[test]
fn the_median_connection_determines_the_delay() {
    let min_wait = 17_000;
    let fast = answered(1_000_000, 300);
    for (samples, expected) in [
        (vec![], None),
        // A single waiting connection is not evidence about its server, however long it waits.
        (vec![waiting(900_000)], None),
        (vec![waiting(900_000), fast], Some(300)),
        (vec![waiting(900_000), waiting(900_000), fast, fast], Some(300)),
        // A server is slow if most of its connections wait.
        (vec![waiting(900_000), waiting(800_000)], Some(800_000)),
        (vec![waiting(900_000), waiting(800_000), fast], Some(800_000)),
        (vec![answered(10, 90_000), answered(10, 70_000), fast], Some(70_000)),
        // A wait of less than `min_wait` and an answer older than `MAX_ANSWER_AGE` don't count.
        (vec![waiting(1_000)], None),
        (vec![answered(3_000_000, 300), waiting(900_000), waiting(800_000)], Some(800_000)),
    ] {
        assert_eq!(median_delay(NOW, min_wait, &samples), expected, "{samples:?}");
    }
}
