//! Detects a shortage of capacity from the requests that the decisions reject after they were admitted here.
//!
//! Tenancy knows no servers, so it relies on the decisions for this. Their rejections set a limit on the
//! connections of all tenants together. It is a little below the number of connections at the time, falls
//! with further rejections, and rises again by itself.

use shorewharf_units::Micros;

/// Time constant of the counts of admitted and rejected requests, in microseconds.
const COUNT_TIME_CONSTANT: Micros = 2_000_000;
/// Capacity counts as short if at least this fraction of the admitted requests is rejected ...
const MIN_REJECTED_RATIO: f64 = 0.15;
/// ... and at least this number of them, since a single rejection shows nothing.
const MIN_REJECTED: f64 = 4.0;
/// Each step lowers the limit to this fraction of the connections, so that it falls no faster than
/// connections end by themselves.
const STEP_RATIO: f64 = 0.98;
/// Shortest time between two steps, in microseconds.
const STEP_INTERVAL: Micros = 500_000;
/// Time in which the limit grows by a factor of e, in microseconds.
const GROWTH_TIME_CONSTANT: f64 = 60e6;
/// The limit ends when it exceeds the connections by this factor.
const LIMIT_END_RATIO: f64 = 1.3;

/// A limit on connections at the time when it was set.
#[derive(Clone, Copy, Debug)]
struct ConnectionLimit {
    connections: f64,
    set_at: Micros,
}

/// Detects a shortage of capacity and limits the connections during one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CapacityShortage {
    /// Decaying number of recently admitted requests, as of `counted_at`.
    admitted: f64,
    /// Decaying number of requests that the decisions recently rejected, as of `counted_at`.
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

    /// Records that a request was admitted and goes to the decisions.
    pub fn on_admitted(&mut self, now: Micros) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Records that the decisions rejected an admitted request. `connections` is the number of connections,
    /// without this one, that are established or being set up.
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

    /// Returns the limit on connections, or `None` while capacity is not short.
    pub fn limit(&self, now: Micros, connections: f64) -> Option<f64> {
        let limit = self.limit?;
        let elapsed = now.saturating_sub(limit.set_at) as f64;
        let grown = limit.connections * (elapsed / GROWTH_TIME_CONSTANT).exp();
        (grown < connections * LIMIT_END_RATIO).then_some(grown)
    }
}
