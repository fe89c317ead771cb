//! The driver's monotonic clock, and the distributions in which it records durations such as its own lateness.
//!
//! A result in real time is valid only if the driver kept up with its own schedule. It therefore records how much later
//! than due it acts each time, and a run in which it was too late is reported as void.

use shorewharf_units::Micros;
use std::fmt;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::ser::{Serialize, SerializeStruct, Serializer};

/// A run is void if the driver's lateness exceeds this at the 99th percentile. It equals a balancer's tick: an event that
/// is later than that reaches the balancer in another batch.
pub const MAX_LATENESS: Micros = 5_000;

/// Counts the microseconds since the driver's start on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The microseconds since the start.
    pub fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }
}

/// The duration from `now` to `due`; zero if `due` has passed.
pub fn duration_until(now: Micros, due: Micros) -> Duration {
    Duration::from_micros(due.saturating_sub(now))
}

/// A distribution of durations in microseconds.
#[derive(Clone)]
pub struct Distribution(Histogram<u64>);

impl Default for Distribution {
    fn default() -> Self {
        // One microsecond to an hour with two significant digits; this takes a few dozen kilobytes.
        Distribution(Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("the bounds are valid"))
    }
}

impl Distribution {
    /// Adds a duration. Values outside one microsecond to one hour are recorded as the nearest bound.
    pub fn record(&mut self, duration: Micros) {
        self.0.saturating_record(duration.max(1));
    }

    /// The number of recorded durations.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether no duration has been recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The given quantile (0 to 1); 0 if no duration has been recorded.
    pub fn quantile(&self, quantile: f64) -> Micros {
        if self.0.is_empty() { 0 } else { self.0.value_at_quantile(quantile) }
    }

    /// The longest recorded duration; 0 if there is none.
    pub fn max(&self) -> Micros {
        if self.0.is_empty() { 0 } else { self.0.max() }
    }

    /// Adds the durations of another distribution.
    pub fn merge(&mut self, other: &Distribution) {
        self.0.add(&other.0).expect("all distributions have the same bounds");
    }
}

/// The median, the 99th percentile and the maximum in milliseconds, and the number of durations.
impl fmt::Display for Distribution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |us: Micros| us as f64 / 1e3;
        let (p50, p99, max) = (ms(self.quantile(0.5)), ms(self.quantile(0.99)), ms(self.max()));
        write!(f, "p50 {p50:.2} ms, p99 {p99:.2} ms, max {max:.2} ms of {}", self.len())
    }
}

/// The same text as `Display`.
impl fmt::Debug for Distribution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Serializes the number of durations and their quantiles in microseconds.
impl Serialize for Distribution {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut out = s.serialize_struct("Distribution", 5)?;
        out.serialize_field("count", &self.len())?;
        for (key, quantile) in [("p50_us", 0.5), ("p90_us", 0.9), ("p99_us", 0.99)] {
            out.serialize_field(key, &self.quantile(quantile))?;
        }
        out.serialize_field("max_us", &self.max())?;
        out.end()
    }
}

#[cfg(test)]
mod tests;
