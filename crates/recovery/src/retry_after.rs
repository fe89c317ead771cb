//! Retry-After values for rejected clients. Clients are assigned consecutive time slots at the rate at which this
//! instance admits clients, so that clients that are rejected together don't return together.
//!
//! Not all clients honour Retry-After, and no client honours more than the longest wait of the settings. Clients whose
//! slot is later than that are spread evenly over the last part of the longest wait.

use shorewharf_decisions::interface::Settings;

/// Time constant of the admission rate, in seconds.
const RATE_DECAY_SECONDS: f64 = 3.0;
/// Lower bound of the admission rate, since at the start of an outage no client has been admitted yet.
const MIN_ADMISSIONS_PER_SECOND: f64 = 0.5;
/// Ratio of the shortest wait to the longest one; after a shorter wait the situation is the same.
const SHORTEST_WAIT_RATIO: f64 = 0.15;
/// Clients whose slot is later than the longest wait are spread from this share of the longest wait on.
const SPREAD_FROM_RATIO: f64 = 0.6;
/// Fractional part of the golden ratio. The fractional parts of its multiples are evenly distributed, however many
/// there are.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;

/// Assigns time slots to rejected clients.
#[derive(Debug)]
pub(crate) struct RetryAfterQueue {
    /// The longest wait that clients honour, in seconds; 0 if no Retry-After is sent.
    longest_wait: f64,
    /// Number of clients admitted, decaying with [`RATE_DECAY_SECONDS`], as of `admitted_at`.
    admitted: f64,
    admitted_at: f64,
    /// Time of the last slot that was assigned.
    last_slot: f64,
    /// Position of the last client within the spread part of the longest wait, from 0 to 1.
    spread_position: f64,
}

impl RetryAfterQueue {
    /// Creates an empty queue.
    pub fn new(settings: &Settings) -> Self {
        let mut queue = RetryAfterQueue {
            longest_wait: 0.0,
            admitted: 0.0,
            admitted_at: 0.0,
            last_slot: f64::NEG_INFINITY,
            spread_position: 0.0,
        };
        queue.update_settings(settings);
        queue
    }

    /// Applies new settings; slots that were assigned stay.
    pub fn update_settings(&mut self, settings: &Settings) {
        self.longest_wait = if settings.sends_retry_after { settings.max_retry_after.max(0.0) } else { 0.0 };
    }

    fn decayed_admissions(&self, now: f64) -> f64 {
        self.admitted * ((self.admitted_at - now) / RATE_DECAY_SECONDS).exp()
    }

    /// Records a client that was admitted.
    pub fn on_admitted(&mut self, now: f64) {
        self.admitted = self.decayed_admissions(now) + 1.0;
        self.admitted_at = now;
    }

    /// Clients admitted per second in the last few seconds.
    fn admission_rate(&self, now: f64) -> f64 {
        (self.decayed_admissions(now) / RATE_DECAY_SECONDS).max(MIN_ADMISSIONS_PER_SECOND)
    }

    /// Estimated number of clients whose slot is in the future.
    pub fn estimated_clients(&self, now: f64) -> f64 {
        ((self.last_slot - now) * self.admission_rate(now)).max(0.0)
    }

    /// Assigns the next slot and returns the wait until then, in seconds; 0 if no Retry-After is sent.
    pub fn next_wait(&mut self, now: f64) -> f64 {
        if self.longest_wait <= 0.0 {
            return 0.0;
        }
        let shortest_wait = self.longest_wait * SHORTEST_WAIT_RATIO;
        let slot = self.last_slot + 1.0 / self.admission_rate(now);
        self.last_slot = slot.clamp(now + shortest_wait, now + 2.0 * self.longest_wait);
        let wait = self.last_slot - now;
        if wait <= self.longest_wait {
            return wait;
        }
        self.spread_position = (self.spread_position + GOLDEN_RATIO_FRACTION).fract();
        self.longest_wait * (SPREAD_FROM_RATIO + (1.0 - SPREAD_FROM_RATIO) * self.spread_position)
    }
}
