//! A count that decays exponentially with time.

use shorewharf_units::Micros;

/// A count that decays exponentially. Its value is stored as of the last change.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCount {
    count: f64,
    changed_at: Micros,
}

impl DecayingCount {
    /// Returns the count at `now`. It falls to 1/e within `time_constant` microseconds.
    pub fn value(&self, now: Micros, time_constant: f64) -> f64 {
        self.count * (-(now.saturating_sub(self.changed_at) as f64) / time_constant).exp()
    }

    /// Adds `amount`, which may be negative, to the count. The count does not fall below 0.
    pub fn add(&mut self, now: Micros, time_constant: f64, amount: f64) {
        self.count = (self.value(now, time_constant) + amount).max(0.0);
        self.changed_at = self.changed_at.max(now);
    }
}
