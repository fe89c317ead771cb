//! A model of the work of a setup, learned from setup durations: a setup takes longer at a higher utilization of the
//! server.

/// Lower bound of the weight of a new sample in the mean logarithm of the work of a setup.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Number of setups after which their durations are used to judge a server.
const MIN_SAMPLES: f64 = 10.0;
/// Largest deviation of one sample from the mean, as a natural logarithm.
const MAX_LOG_DEVIATION: f64 = 1.0;
/// Speed of setups is this value less the utilization, relative to full speed and at most 1: setups run at full
/// speed up to a utilization of 0.3.
const SPEED_AT_NO_LOAD: f64 = 1.3;
/// Speed of setups on a fully loaded server, relative to full speed.
const MIN_SPEED: f64 = 0.25;
/// Lower bound of a setup's duration, in seconds.
const MIN_SETUP_SECONDS: f64 = 0.002;

/// The mean work of a setup, learned from samples.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SetupModel {
    /// Mean natural logarithm of the work, in the unit of listed weights times seconds.
    pub log_work: f64,
    /// Number of setups observed.
    pub samples: f64,
}

impl SetupModel {
    /// Learns from one setup that took `seconds` on a server of `capacity` at `utilization`. Once there are enough
    /// samples, returns how much faster than the model's mean the setup was, as a natural logarithm.
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

/// The capacity of the server that a setup ran on.
#[derive(Clone, Copy, Debug)]
pub(super) struct SetupCapacity {
    pub weight: f64,
    pub warm_up_ratio: f64,
}
