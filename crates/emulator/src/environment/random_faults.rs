//! Draws what goes wrong on a day from ranges, where a scenario does not name it. Each fault is drawn from its mildest
//! figure to its hardest, and falls so that most of it lies within the day.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};

use crate::day::{Fault, FaultKind};

/// No fault begins earlier than this part of the day ...
const FIRST: f64 = 0.03;
/// ... and what counts of its length ends by this part ...
const LAST: f64 = 0.97;
/// ... where so much of its length counts.
const COUNTS: f64 = 0.8;

/// A kind of fault with its figures from the mildest to the hardest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// What happens.
    pub kind: FaultKind,
    /// How long it lasts, in seconds.
    pub len_s: (f64, f64),
    /// Its strength, as the kind says.
    #[serde(default)]
    pub size: (f64, f64),
    /// The part that is struck; all, where it is not given.
    #[serde(default)]
    pub part: Option<(f64, f64)>,
}

/// Draws between `count.0` and `count.1` faults (both may come) of these kinds, each kind as likely, in order of time.
/// None where there is no kind.
pub fn draw(length: Micros, count: (u32, u32), kinds: &[Range], rng: &mut Pcg64Mcg) -> Vec<Fault> {
    if kinds.is_empty() {
        return Vec::new();
    }
    let day = seconds_from_micros(length);
    let between = |(mild, hard): (f64, f64), rng: &mut Pcg64Mcg| mild + (hard - mild) * rng.random::<f64>();
    let mut faults: Vec<Fault> = (0..rng.random_range(count.0..=count.1.max(count.0)))
        .map(|_| {
            let range = &kinds[rng.random_range(0..kinds.len())];
            let len = between(range.len_s, rng);
            let room = ((LAST - FIRST) * day - COUNTS * len).max(0.0);
            let at = FIRST * day + rng.random::<f64>() * room;
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
