//! The delay of a message at a loaded node, and the share of messages that meet their latency objective.
//!
//! Messages are not events. A node is modelled as a queue with `cores` servers; its utilization and its backlog determine
//! the mean delay and the share of messages in time. See `docs/design/emulator-nodes.md` for the formulas.

/// The utilization above which the mean message delay grows no further.
const MAX_UTILIZATION_FOR_DELAY: f64 = 0.98;
/// The utilization above which the share of messages in time falls no further.
const MAX_UTILIZATION_FOR_SHARE: f64 = 0.995;
/// Set-ups and health checks slow down once the utilization by established connections exceeds this limit less 1.
const FULL_SETUP_PACE_LIMIT: f64 = 1.3;
/// The lowest pace of set-ups and health checks.
const MIN_SETUP_PACE: f64 = 0.2;

/// The load of a node at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LoadLevel {
    /// Cores.
    pub cores: f64,
    /// Work asked over work that it can do.
    pub utilization: f64,
    /// Work piled up, in seconds.
    pub backlog: f64,
    /// Seconds that a message takes on an idle core of this node.
    pub message_time: f64,
}

impl LoadLevel {
    /// Mean time of a message, in seconds.
    pub fn delay(&self) -> f64 {
        let rho = self.utilization.min(MAX_UTILIZATION_FOR_DELAY);
        self.message_time / (1.0 - rho.powf(self.cores.sqrt())) + self.backlog
    }

    /// Share of messages that are answered within `aim` seconds, where they come `bursty` times as unevenly as by chance.
    ///
    /// A message's own work is exponential. It has to wait with chance rho^sqrt(2(c+1)), and then for a time that is
    /// exponential as well, longer by `bursty`.
    pub fn share_in_time(&self, aim: f64, bursty: f64) -> f64 {
        let left = aim - self.backlog;
        if left <= 0.0 {
            return 0.0;
        }
        let rho = self.utilization.min(MAX_UTILIZATION_FOR_SHARE);
        let waits = rho.powf((2.0 * (self.cores + 1.0)).sqrt());
        let drains = self.cores * (1.0 - rho) / (bursty.max(1e-9) * self.message_time);
        (1.0 - (-left / self.message_time).exp()) * (1.0 - waits * (-drains * left).exp())
    }
}

/// Pace of set-ups and probes, as a share of a free core, under a standing load of `rho`.
pub(super) fn set_up_pace(rho: f64) -> f64 {
    (FULL_SETUP_PACE_LIMIT - rho).clamp(MIN_SETUP_PACE, 1.0)
}
