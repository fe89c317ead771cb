//! Units of time that all packages share, and the conversions between them.
//!
//! Programs and subsystems count time in whole microseconds ([`Micros`]); decisions and settings use seconds
//! as floating-point numbers. Clocks are not part of this package.

/// A point in time on the caller's clock, or a duration, in whole microseconds.
pub type Micros = u64;

/// Number of microseconds in a millisecond.
pub const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Number of microseconds in a second.
pub const MICROS_PER_SECOND: Micros = 1_000_000;

/// Converts microseconds to seconds.
pub fn seconds_from_micros(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_SECOND as f64
}

/// Converts seconds to microseconds, rounded to the nearest microsecond.
///
/// Negative numbers and NaN become 0; numbers that are too large become [`Micros::MAX`].
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds * MICROS_PER_SECOND as f64).round() as Micros
}
