//! The rate at which new clients arrive, averaged over about twenty housekeeping periods.

use crate::timers::HOUSEKEEPING_PERIOD_SECONDS;

/// Share of the counts that remains after a housekeeping period.
pub(crate) const ARRIVAL_DECAY_RATIO: f64 = 0.95;

/// Decayed counts of arrivals and of the time that they came in.
#[derive(Debug)]
pub(crate) struct ArrivalRate {
    /// Arrivals, decayed.
    pub arrivals: f64,
    /// Seconds that were observed, decayed.
    pub seconds: f64,
    /// Arrivals a second as of the last housekeeping.
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

    /// Takes over what another instance has counted; `remaining` is the share that counts by now.
    pub fn restore(&mut self, arrivals: f64, seconds: f64, remaining: f64) {
        self.arrivals += arrivals * remaining;
        self.seconds = (seconds * remaining + (1.0 - remaining) / (1.0 - ARRIVAL_DECAY_RATIO)).max(1.0);
        self.per_second = self.arrivals / self.seconds;
    }
}
