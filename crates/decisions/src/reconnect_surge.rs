//! Detects reconnect surges: many connections break at once, and their clients reconnect to all instances at
//! the same time.

/// Decayed number of resets from which on a surge is assumed.
const MIN_RESETS: f64 = 1.5;
/// Time constant of the decay of the resets.
const DECAY_SECONDS: f64 = 0.5;
/// A surge is assumed to last this long after its last indication.
const DURATION_SECONDS: f64 = 3.0;

/// The recent resets, and the end of the current surge.
#[derive(Debug)]
pub(crate) struct ReconnectSurge {
    /// Decayed number of resets at the time `counted_at`.
    resets: f64,
    counted_at: f64,
    active_until: f64,
}

impl Default for ReconnectSurge {
    fn default() -> Self {
        ReconnectSurge { resets: 0.0, counted_at: 0.0, active_until: f64::NEG_INFINITY }
    }
}

impl ReconnectSurge {
    /// Records that an established connection broke.
    pub fn record_reset(&mut self, now: f64) {
        self.resets = self.resets * ((self.counted_at - now) / DECAY_SECONDS).exp() + 1.0;
        self.counted_at = now;
        if self.resets >= MIN_RESETS {
            self.begin(now);
        }
    }

    /// Begins a surge, or prolongs the current one.
    pub fn begin(&mut self, now: f64) {
        self.active_until = now + DURATION_SECONDS;
    }

    pub fn is_active(&self, now: f64) -> bool {
        now < self.active_until
    }
}
