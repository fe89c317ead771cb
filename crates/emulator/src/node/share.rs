//! The delay of a message at a loaded node, and the share of messages that meet their latency objective.
//!
//! Messages are not simulated as events. A node is modelled as a queue with `cores` servers; its utilization
//! and its backlog determine the mean delay and the share of messages in time. See
//! `docs/design/emulator-nodes.md` for the formulas.

/// The utilization above which the mean message delay grows no further.
const MAX_UTILIZATION_FOR_DELAY: f64 = 0.98;
/// The utilization above which the share of messages in time falls no further.
const MAX_UTILIZATION_FOR_SHARE: f64 = 0.995;
/// Set-ups and health checks slow down once the utilization by established connections exceeds this limit
/// minus 1.
const FULL_SETUP_PACE_LIMIT: f64 = 1.3;
/// The lowest pace of set-ups and health checks.
const MIN_SETUP_PACE: f64 = 0.2;

/// The load of a node at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LoadLevel {
    /// The number of cores.
    pub cores: f64,
    /// The ratio of the demanded work to the capacity.
    pub utilization: f64,
    /// The backlog of work, in seconds.
    pub backlog: f64,
    /// The processing time of a message on an idle core of this node, in seconds.
    pub message_time: f64,
}

impl LoadLevel {
    /// The mean delay of a message, in seconds.
    pub fn delay(&self) -> f64 {
        let rho = self.utilization.min(MAX_UTILIZATION_FOR_DELAY);
        self.message_time / (1.0 - rho.powf(self.cores.sqrt())) + self.backlog
    }

    /// The share of messages that are answered within `objective` seconds.
    ///
    /// The processing time of a message is exponentially distributed. A message has to wait with probability
    /// rho^sqrt(2(c+1)) on c cores; the waiting time is also exponentially distributed, and its mean is
    /// proportional to
    /// `burstiness`, which is 1 for random arrivals.
    pub fn share_in_time(&self, objective: f64, burstiness: f64) -> f64 {
        let time_left = objective - self.backlog;
        if time_left <= 0.0 {
            return 0.0;
        }
        let rho = self.utilization.min(MAX_UTILIZATION_FOR_SHARE);
        let wait_probability = rho.powf((2.0 * (self.cores + 1.0)).sqrt());
        let drain_rate = self.cores * (1.0 - rho) / (burstiness.max(1e-9) * self.message_time);
        (1.0 - (-time_left / self.message_time).exp())
            * (1.0 - wait_probability * (-drain_rate * time_left).exp())
    }
}

/// The pace of set-ups and health checks, as a ratio of an idle core's, if established connections utilize
/// the node by `utilization`.
pub(super) fn setup_pace(utilization: f64) -> f64 {
    (FULL_SETUP_PACE_LIMIT - utilization).clamp(MIN_SETUP_PACE, 1.0)
}
