//! The rate limit of set-ups: failures at many servers at once slow all sending down, as they speak of what
//! the servers share (a session store); successes raise the limit until it binds no more.

use crate::timers::HOUSEKEEPING_PERIOD_SECONDS;

/// Set-ups a second from which on the limit does not bind.
pub(crate) const UNLIMITED_SETUPS_PER_SECOND: f64 = 50.0;
/// The limit never falls below this.
pub(crate) const MIN_SETUPS_PER_SECOND: f64 = 0.2;
/// Share of the limit that remains after failures.
const REDUCTION_RATIO: f64 = 0.6;
/// Growth of the limit at each success.
const GROWTH_RATIO: f64 = 1.15;
/// Permits that may be saved up beyond the first one, in seconds at the limit.
const BURST_SECONDS: f64 = 0.1;
/// The limit is lowered at most once in this time.
const MIN_REDUCTION_INTERVAL_SECONDS: f64 = 0.5 * HOUSEKEEPING_PERIOD_SECONDS;
/// Share of the attempts that still counts as recent a housekeeping period later.
const RECENT_DECAY_RATIO: f64 = 0.5;

/// A token bucket whose rate follows the outcomes of set-ups.
#[derive(Debug)]
pub(crate) struct SetupRateLimiter {
    per_second: f64,
    permits: f64,
    refilled_at: f64,
    reduced_at: f64,
    /// Attempts begun, decayed.
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
    /// The limit, as set-ups a second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Attempts begun in the last second or two.
    pub fn recent_attempts(&self) -> f64 {
        self.recent_attempts
    }

    fn is_unlimited(&self) -> bool {
        self.per_second >= UNLIMITED_SETUPS_PER_SECOND
    }

    /// Adds the permits that have come due, and tells whether an attempt may begin.
    pub fn refill(&mut self, now: f64) -> bool {
        let most = 1.0 + self.per_second * BURST_SECONDS;
        self.permits = (self.permits + (now - self.refilled_at) * self.per_second).min(most);
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

    /// Lowers the limit, from the recent rate of attempts if it did not bind before.
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

    /// Takes over the limit of another instance, which `remaining` of it counts by now.
    pub fn restore(&mut self, per_second: f64, remaining: f64) {
        let lowest = per_second.clamp(MIN_SETUPS_PER_SECOND, UNLIMITED_SETUPS_PER_SECOND);
        let recovered = lowest + (UNLIMITED_SETUPS_PER_SECOND - lowest) * (1.0 - remaining);
        self.per_second = self.per_second.min(recovered);
    }
}
