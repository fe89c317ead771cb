//! The rate at which new clients arrive, averaged over about twenty housekeeping periods.

use crate::timers::HOUSEKEEPING_PERIOD_SECONDS;

/// Share of the counts that remains after a housekeeping period.
pub(crate) const ARRIVAL_DECAY_RATIO: f64 = 0.95;

/// Decayed counts of arrivals and of the time during which they were observed.
#[derive(Debug)]
pub(crate) struct ArrivalRate {
    /// Decayed number of arrivals.
    pub arrivals: f64,
    /// Decayed observation time in seconds.
    pub seconds: f64,
    /// Arrivals per second, as computed by the last housekeeping.
    pub per_second: f64,
}

impl Default for ArrivalRate {
    fn default() -> Self {
        ArrivalRate { arrivals: 0.0, seconds: 1.0, per_second: 0.0 }
    }
}

impl ArrivalRate {
    pub fn record(&mut self) {
        self.arrivals += 1.0;
    }

    pub fn run_housekeeping(&mut self) {
        self.arrivals *= ARRIVAL_DECAY_RATIO;
        self.seconds = self.seconds * ARRIVAL_DECAY_RATIO + HOUSEKEEPING_PERIOD_SECONDS;
        self.per_second = self.arrivals / self.seconds;
    }

    /// Takes over the counts of another instance. `remaining` is the share of them that is left after the
    /// decay since their export; the time since then counts as observed.
    pub fn restore(&mut self, arrivals: f64, seconds: f64, remaining: f64) {
        self.arrivals += arrivals * remaining;
        self.seconds = (seconds * remaining + (1.0 - remaining) / (1.0 - ARRIVAL_DECAY_RATIO)).max(1.0);
        self.per_second = self.arrivals / self.seconds;
    }
}
