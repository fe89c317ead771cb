//! Draws the faults of a day from ranges, for scenarios that do not list their faults. Each parameter is
//! drawn uniformly between its mildest and its hardest value, and most of each fault lies within the day.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};

use crate::day::{Fault, FaultKind};

/// No fault begins before this part of the day.
const EARLIEST_START: f64 = 0.03;
/// Faults are placed so that the counted part of their length ends by this part of the day.
const LATEST_END: f64 = 0.97;
/// The part of a fault's length that must lie within the day.
const COUNTED_LENGTH: f64 = 0.8;

/// A kind of fault with the range of each parameter, from the mildest to the hardest value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// The kind of fault.
    pub kind: FaultKind,
    /// Its length in seconds.
    pub len_s: (f64, f64),
    /// Its strength; the meaning depends on the kind.
    #[serde(default)]
    pub size: (f64, f64),
    /// The part of the machines that is affected; all if none.
    #[serde(default)]
    pub part: Option<(f64, f64)>,
}

/// Draws `count.0` to `count.1` faults, both inclusive, of these kinds with equal probability. Returns them
/// ordered by time, or no faults if there are no kinds.
pub fn draw(length: Micros, count: (u32, u32), kinds: &[Range], rng: &mut Pcg64Mcg) -> Vec<Fault> {
    if kinds.is_empty() {
        return Vec::new();
    }
    let day = seconds_from_micros(length);
    let between = |(mildest, hardest): (f64, f64), rng: &mut Pcg64Mcg| {
        mildest + (hardest - mildest) * rng.random::<f64>()
    };
    let mut faults: Vec<Fault> = (0..rng.random_range(count.0..=count.1.max(count.0)))
        .map(|_| {
            let range = &kinds[rng.random_range(0..kinds.len())];
            let len = between(range.len_s, rng);
            let start_range = ((LATEST_END - EARLIEST_START) * day - COUNTED_LENGTH * len).max(0.0);
            let at = EARLIEST_START * day + rng.random::<f64>() * start_range;
            Fault {
                kind: range.kind,
                at: micros_from_seconds(at),
                len: micros_from_seconds(len),
                size: between(range.size, rng),
                on: Vec::new(),
                zone: None,
                part: range.part.map(|part| between(part, rng)),
            }
        })
        .collect();
    faults.sort_by_key(|f| f.at);
    faults
}

#[cfg(test)]
mod tests;
