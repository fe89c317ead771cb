//! The platform's slow start: how a server's capacity grows after its process has started.

use shorewharf_decisions::interface::{ServerEntry, Settings};

/// The settings of the slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart {
    /// The share of its warm capacity that a server starts at.
    cold_capacity_ratio: f64,
    /// A server is warm after this time, in seconds.
    pub warm_up_time: f64,
}

impl SlowStart {
    /// The slow start of these settings; the warm-up time is taken for no shorter than `min_warm_up_time`.
    pub fn new(settings: &Settings, min_warm_up_time: f64) -> Self {
        SlowStart {
            cold_capacity_ratio: settings.cold_capacity_ratio.clamp(0.0, 1.0),
            warm_up_time: settings.warm_up_time.max(min_warm_up_time),
        }
    }

    /// The share of its warm capacity that a server has reached by now at the least; 1 where it is warm.
    pub fn warm_up_ratio(&self, entry: &ServerEntry, now: f64) -> f64 {
        let age = now - entry.started_at;
        if entry.started_at <= 0.0 || age >= self.warm_up_time {
            return 1.0;
        }
        self.cold_capacity_ratio + (1.0 - self.cold_capacity_ratio) * (age / self.warm_up_time).max(0.0)
    }
}
