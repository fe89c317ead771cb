//! A value that changes over time, and its integral over time.

use shorewharf_units::Micros;

/// A value and its integral, in the value's unit times seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TimeIntegral {
    value: f64,
    /// The integral is complete up to this time.
    updated_at: Micros,
    integral: f64,
    /// The integral at the last call of [`TimeIntegral::take`].
    taken: f64,
}

impl TimeIntegral {
    /// Extends the integral up to `now`.
    pub fn advance_to(&mut self, now: Micros) {
        if now > self.updated_at {
            self.integral += self.value * (now - self.updated_at) as f64 / 1e6;
            self.updated_at = now;
        }
    }

    /// Adds `delta` to the value, from `now` on.
    pub fn add(&mut self, now: Micros, delta: f64) {
        self.advance_to(now);
        self.value += delta;
    }

    /// Sets the value, from `now` on.
    pub fn set(&mut self, now: Micros, value: f64) {
        self.advance_to(now);
        self.value = value;
    }

    /// Returns the integral from the last call of this function up to `now`.
    pub fn take(&mut self, now: Micros) -> f64 {
        self.advance_to(now);
        let since_last = self.integral - self.taken;
        self.taken = self.integral;
        since_last
    }

    /// The integral since the start.
    pub fn total(&self) -> f64 {
        self.integral
    }
}
