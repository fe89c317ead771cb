//! Whether capacity is short: the decision module rejects what was admitted.
//!
//! Only the decision module knows servers. Its rejections set a limit on all connections here: a little under
//! what was established at the time, lower with further rejections, and rising again by itself.

use shorewharf_units::Micros;

/// Time constant of the counts of requests and rejections.
const COUNT_TIME_CONSTANT: Micros = 2_000_000;
/// Capacity is short when this part of the requests is rejected ...
const MIN_REJECTED_RATIO: f64 = 0.15;
/// ... and at least so many were: a single one shows nothing.
const MIN_REJECTED: f64 = 4.0;
/// A step lowers the limit to this part of the connections, so that no more is taken back than ends by itself.
const STEP_RATIO: f64 = 0.98;
/// Steps are at least so far apart.
const STEP_INTERVAL: Micros = 500_000;
/// The limit grows by e in so many microseconds ...
const GROWTH_TIME_CONSTANT: f64 = 60e6;
/// ... and is forgotten once it is so many times the connections.
const FORGOTTEN_RATIO: f64 = 1.3;

/// A limit on connections, as of a time.
#[derive(Clone, Copy, Debug)]
struct ConnectionLimit {
    connections: f64,
    set_at: Micros,
}

/// What the decision module's rejections say of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CapacityShortage {
    /// Requests and rejections lately, decaying, as of `counted_at`.
    admitted: f64,
    rejected: f64,
    counted_at: Micros,
    limit: Option<ConnectionLimit>,
}

impl CapacityShortage {
    fn decay(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.counted_at) as f64;
        let ratio = (-elapsed / COUNT_TIME_CONSTANT as f64).exp();
        self.admitted *= ratio;
        self.rejected *= ratio;
        self.counted_at = self.counted_at.max(now);
    }

    /// A request goes to the decision module.
    pub fn on_admitted(&mut self, now: Micros) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// The decision module has rejected a request; `connections` are established or under way here without it.
    pub fn on_rejected(&mut self, now: Micros, connections: f64) {
        self.decay(now);
        self.rejected += 1.0;
        if self.rejected < MIN_REJECTED || self.rejected < MIN_REJECTED_RATIO * self.admitted {
            return;
        }
        if self.limit.is_some_and(|limit| now < limit.set_at + STEP_INTERVAL) {
            return;
        }
        let current = self.limit(now, connections).unwrap_or(f64::INFINITY);
        let lowered = (connections * STEP_RATIO).min(current);
        self.limit = Some(ConnectionLimit { connections: lowered, set_at: now });
    }

    /// How many connections there may be here; none while capacity is not short.
    pub fn limit(&self, now: Micros, connections: f64) -> Option<f64> {
        let limit = self.limit?;
        let elapsed = now.saturating_sub(limit.set_at) as f64;
        let grown = limit.connections * (elapsed / GROWTH_TIME_CONSTANT).exp();
        (grown < connections * FORGOTTEN_RATIO).then_some(grown)
    }
}
