//! Real time as the day's clock, and how late the driver is in it.
//!
//! A result in real time is worth something only if the side that plays the platform kept up. So the driver holds
//! every due time against the time at which it got to it, and a run in which it was late says so itself.

use shorewharf_units::Micros;
use std::fmt;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::ser::{Serialize, SerializeStruct, Serializer};

/// Runs of the driver are void if they were later than this at the 99th percentile. A balancer's tick: what comes
/// later than that would have reached it in another batch.
pub const LATE: Micros = 5_000;

/// Microseconds since the driver began, on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }
}

/// The span from `now` to `due`; zero where it has passed.
pub fn until(now: Micros, due: Micros) -> Duration {
    Duration::from_micros(due.saturating_sub(now))
}

/// A distribution of spans of time, microseconds.
#[derive(Clone)]
pub struct Distribution(Histogram<u64>);

impl Default for Distribution {
    fn default() -> Self {
        // Up to an hour with two digits: a few dozen kilobytes.
        Distribution(Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("these bounds are in order"))
    }
}

impl Distribution {
    /// Takes in one span.
    pub fn record(&mut self, span: Micros) {
        self.0.saturating_record(span.max(1));
    }

    /// How many there are.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The span that this share (0 to 1) of all do not exceed; 0 where there are none.
    pub fn at(&self, share: f64) -> Micros {
        if self.0.is_empty() { 0 } else { self.0.value_at_quantile(share) }
    }

    /// The longest; 0 where there are none.
    pub fn max(&self) -> Micros {
        if self.0.is_empty() { 0 } else { self.0.max() }
    }

    /// Adds what another has taken in.
    pub fn add(&mut self, other: &Distribution) {
        self.0.add(&other.0).expect("all have the same bounds");
    }
}

/// Median, 99th percentile and the longest, in milliseconds, and how many.
impl fmt::Display for Distribution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |us: Micros| us as f64 / 1e3;
        let (half, most, longest) = (ms(self.at(0.5)), ms(self.at(0.99)), ms(self.max()));
        write!(f, "p50 {half:.2} ms, p99 {most:.2} ms, max {longest:.2} ms of {}", self.len())
    }
}

/// As it is displayed.
impl fmt::Debug for Distribution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// As counts and parts, microseconds.
impl Serialize for Distribution {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut out = s.serialize_struct("Spread", 5)?;
        out.serialize_field("count", &self.len())?;
        for (key, share) in [("p50_us", 0.5), ("p90_us", 0.9), ("p99_us", 0.99)] {
            out.serialize_field(key, &self.at(share))?;
        }
        out.serialize_field("max_us", &self.max())?;
        out.end()
    }
}

#[cfg(test)]
mod tests;
