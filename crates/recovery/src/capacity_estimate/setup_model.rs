//! How much work a set-up is, learned from the time that set-ups take: the fuller a server, the longer.

/// Weight of one set-up's time in the usual work.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Set-ups that are needed before their times say anything of a server.
const MIN_SAMPLES: f64 = 10.0;
/// One sample counts for no more than this factor, as a natural logarithm.
const MAX_LOG_DEVIATION: f64 = 1.0;
/// Speed of set-ups at no load, over the full speed; they work at full speed up to a load of 0.3.
const SPEED_AT_NO_LOAD: f64 = 1.3;
/// Speed of set-ups on a full server, over the full speed.
const MIN_SPEED: f64 = 0.25;
/// A set-up's time is taken for no less, in seconds.
const MIN_SETUP_SECONDS: f64 = 0.002;

/// The usual work of a set-up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SetupModel {
    /// Natural logarithm of the work.
    pub log_work: f64,
    pub samples: f64,
}

impl SetupModel {
    /// Learns from one set-up that took `seconds` on a server of `capacity` at `utilization`. Returns by how much it
    /// was faster than usual, as a natural logarithm, once enough samples were seen.
    pub fn observe(&mut self, seconds: f64, capacity: SetupCapacity, utilization: f64) -> Option<f64> {
        let log_speed = (SPEED_AT_NO_LOAD - utilization).clamp(MIN_SPEED, 1.0).ln();
        let log_time = (seconds.max(MIN_SETUP_SECONDS) * capacity.weight * capacity.warm_up_ratio).ln();
        self.samples += 1.0;
        if self.samples <= 1.0 {
            self.log_work = log_time + log_speed;
            return None;
        }
        let log_speedup = (self.log_work - log_speed - log_time).clamp(-MAX_LOG_DEVIATION, MAX_LOG_DEVIATION);
        self.log_work -= log_speedup * f64::max(1.0 / self.samples, SAMPLE_WEIGHT);
        (self.samples >= MIN_SAMPLES).then_some(log_speedup)
    }
}

/// The size of the server that a set-up ran on.
#[derive(Clone, Copy, Debug)]
pub(super) struct SetupCapacity {
    pub weight: f64,
    pub warm_up_ratio: f64,
}
