//! The rate limit of set-ups. Failures at many servers at once lower the limit for all set-ups, since they
//! point to something that the servers share, such as a session store. Successes raise the limit until it no
//! longer applies.

use crate::timers::HOUSEKEEPING_PERIOD_SECONDS;

/// Number of set-ups per second from which on the limit does not apply.
pub(crate) const UNLIMITED_SETUPS_PER_SECOND: f64 = 50.0;
/// Lower bound of the limit.
pub(crate) const MIN_SETUPS_PER_SECOND: f64 = 0.2;
/// Share of the limit that remains after a reduction.
const REDUCTION_RATIO: f64 = 0.6;
/// Factor by which each success raises the limit.
const GROWTH_RATIO: f64 = 1.15;
/// Permits that may accumulate in addition to the first one, in seconds at the limit.
const BURST_SECONDS: f64 = 0.1;
/// Shortest time between two reductions of the limit.
const MIN_REDUCTION_INTERVAL_SECONDS: f64 = 0.5 * HOUSEKEEPING_PERIOD_SECONDS;
/// Share of the recent attempts that still counts a housekeeping period later.
const RECENT_DECAY_RATIO: f64 = 0.5;

/// A token bucket whose rate depends on the outcomes of set-ups.
#[derive(Debug)]
pub(crate) struct SetupRateLimiter {
    per_second: f64,
    permits: f64,
    refilled_at: f64,
    reduced_at: f64,
    /// Decayed number of attempts begun.
    recent_attempts: f64,
}

impl Default for SetupRateLimiter {
    fn default() -> Self {
        SetupRateLimiter {
            per_second: UNLIMITED_SETUPS_PER_SECOND,
            permits: 1.0,
            refilled_at: 0.0,
            reduced_at: 0.0,
            recent_attempts: 0.0,
        }
    }
}

impl SetupRateLimiter {
    /// The limit in set-ups per second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Number of attempts begun recently, decayed with a half-life of one housekeeping period.
    pub fn recent_attempts(&self) -> f64 {
        self.recent_attempts
    }

    fn is_unlimited(&self) -> bool {
        self.per_second >= UNLIMITED_SETUPS_PER_SECOND
    }

    /// Adds the permits that are due, and returns whether an attempt may begin.
    pub fn refill(&mut self, now: f64) -> bool {
        let max_permits = 1.0 + self.per_second * BURST_SECONDS;
        self.permits = (self.permits + (now - self.refilled_at) * self.per_second).min(max_permits);
        self.refilled_at = now;
        self.is_unlimited() || self.permits >= 1.0
    }

    pub fn record_attempt(&mut self) {
        if !self.is_unlimited() {
            self.permits -= 1.0;
        }
        self.recent_attempts += 1.0;
    }

    pub fn on_success(&mut self) {
        self.per_second = (self.per_second * GROWTH_RATIO).min(UNLIMITED_SETUPS_PER_SECOND);
    }

    /// Lowers the limit. If it did not apply before, it is set from the recent rate of attempts.
    pub fn reduce(&mut self, now: f64) {
        if now < self.reduced_at + MIN_REDUCTION_INTERVAL_SECONDS {
            return;
        }
        self.reduced_at = now;
        let current = if self.is_unlimited() { self.recent_attempts.max(1.0) } else { self.per_second };
        self.per_second = (current * REDUCTION_RATIO).max(MIN_SETUPS_PER_SECOND);
    }

    pub fn run_housekeeping(&mut self) {
        self.recent_attempts *= RECENT_DECAY_RATIO;
    }

    /// Takes over the limit of another instance. `remaining` is the share of its reduction that is left after
    /// the decay since the export.
    pub fn restore(&mut self, per_second: f64, remaining: f64) {
        let lowest = per_second.clamp(MIN_SETUPS_PER_SECOND, UNLIMITED_SETUPS_PER_SECOND);
        let recovered = lowest + (UNLIMITED_SETUPS_PER_SECOND - lowest) * (1.0 - remaining);
        self.per_second = self.per_second.min(recovered);
    }
}
