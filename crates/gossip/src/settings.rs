//! The settings of gossip, the same at all balancers of a fleet.

use shorewharf_units::Micros;

/// How often and to how many peers announcements go, and how long they count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipSettings {
    /// Period of the rounds in which a datagram goes to each of `fanout` peers.
    pub interval: Micros,
    /// Peers that are sent a datagram in a round.
    pub fanout: usize,
    /// Period in which an own announcement is made anew though nothing has changed.
    pub heartbeat_interval: Micros,
    /// An announcement counts in full up to this age ...
    pub fresh_for: Micros,
    /// ... and not at all from this one on.
    pub forgotten_after: Micros,
    /// With less than this part of the peers heard of, none of them count.
    pub min_coverage: f64,
}

impl Default for GossipSettings {
    /// With 300 balancers most receive a change within five rounds, and nine in ten of each heartbeat. A peer that is
    /// not heard of for two heartbeats may be gone, and its connections with it.
    fn default() -> Self {
        GossipSettings {
            interval: 50_000,
            fanout: 3,
            heartbeat_interval: 1_000_000,
            fresh_for: 2_500_000,
            forgotten_after: 4_000_000,
            min_coverage: 0.5,
        }
    }
}
