//! Units of time that all packages share, and the conversions between them.
//!
//! Programs and subsystems count time in whole microseconds ([`Micros`]); decisions and settings use seconds as
//! floating-point numbers. Clocks are not part of this package.

/// A point in time or a span, in whole microseconds on the caller's clock.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Microseconds in a second.
pub const MICROS_PER_SECOND: Micros = 1_000_000;

/// Converts microseconds to seconds.
pub fn seconds_from_micros(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_SECOND as f64
}

/// Converts seconds to microseconds, rounded to the nearest one.
///
/// Negative numbers and NaN become 0; numbers that are too large become [`Micros::MAX`].
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds * MICROS_PER_SECOND as f64).round() as Micros
}
