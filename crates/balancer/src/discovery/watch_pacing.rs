//! When the balancer opens watches of its own accord, which it does where the endpoint list is pushed. Where the list has to be
//! asked for, the decisions request each watch instead.
//!
//! With a pushed list, a change counts as received as soon as the discovery service has it, whether or not a watch is open. The
//! delay before a watch is therefore a fraction of the grace period in which requests may still be sent to a server that drains.
//! It does not grow with the number of failures, for the same reason.

use shorewharf_units::Micros;

/// The longest delay before a watch is this fraction of the grace period. The rest is for the answer of the discovery service,
/// and for a stall of the event loop.
const GRACE_DIVISOR: Micros = 3;
/// Bounds of the longest delay before a watch.
const MIN_MAX_DELAY: Micros = 50_000;
const MAX_MAX_DELAY: Micros = 350_000;

/// The delays before watches. They are random, since the watches of all balancers end at once when the discovery service fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPacing {
    max_delay: Micros,
}

impl WatchPacing {
    /// The longest delay of any pacing.
    pub const MAX_DELAY: Micros = MAX_MAX_DELAY;

    /// Creates the pacing for a grace period: the time for which requests may be sent to a server after its drain counts as
    /// received.
    pub fn new(drain_grace: Micros) -> Self {
        WatchPacing { max_delay: (drain_grace / GRACE_DIVISOR).clamp(MIN_MAX_DELAY, MAX_MAX_DELAY) }
    }

    /// The delay between the start of the process and the first watch: up to half of the longest delay. `random` is uniform in
    /// 0..1.
    pub fn first_delay(self, random: f64) -> Micros {
        self.half_delay(random)
    }

    /// The delay between the end of a watch, or a failed call, and the next watch: from half of the longest delay to all of it.
    /// `random` is uniform in 0..1.
    pub fn retry_delay(self, random: f64) -> Micros {
        self.max_delay / 2 + self.half_delay(random)
    }

    fn half_delay(self, random: f64) -> Micros {
        (self.max_delay as f64 / 2.0 * random) as Micros
    }
}

#[cfg(test)]
mod tests;
