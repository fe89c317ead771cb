//! Slow start: how a server's capacity grows after its process has started.

use shorewharf_decisions::interface::{ServerEntry, Settings};

/// The settings of the slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart {
    /// Share of its warm capacity that a server has when its process starts.
    cold_capacity_ratio: f64,
    /// Time from the start of a server's process until the server is warm, in seconds.
    pub warm_up_time: f64,
}

impl SlowStart {
    /// Takes the slow start from the settings, with a warm-up time of at least `min_warm_up_time` seconds.
    pub fn new(settings: &Settings, min_warm_up_time: f64) -> Self {
        SlowStart {
            cold_capacity_ratio: settings.cold_capacity_ratio.clamp(0.0, 1.0),
            warm_up_time: settings.warm_up_time.max(min_warm_up_time),
        }
    }

    /// The share of its warm capacity that a server has reached at least: it grows linearly from the start of the
    /// process and is 1 for a warm server and for one whose start time is unknown.
    pub fn warm_up_ratio(&self, entry: &ServerEntry, now: f64) -> f64 {
        let age = now - entry.started_at;
        if entry.started_at <= 0.0 || age >= self.warm_up_time {
            return 1.0;
        }
        self.cold_capacity_ratio + (1.0 - self.cold_capacity_ratio) * (age / self.warm_up_time).max(0.0)
    }
}
