//! The settings of gossip, which are the same at all balancers of a fleet.

use shorewharf_units::Micros;

/// The settings for sending announcements and for the time over which they count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipSettings {
    /// The interval of the rounds. In each of them, a datagram is sent to each of `fanout` peers.
    pub interval: Micros,
    /// The number of peers to which a datagram is sent in a round.
    pub fanout: usize,
    /// The interval at which a balancer makes a new announcement even if its connections have not changed.
    pub heartbeat_interval: Micros,
    /// An announcement counts in full up to this age. Its weight then decreases.
    pub fresh_for: Micros,
    /// An announcement does not count from this age on.
    pub forgotten_after: Micros,
    /// The minimum ratio of peers whose announcements must count. Below it, no announcements are used.
    pub min_coverage: f64,
}

impl Default for GossipSettings {
    /// In a fleet of 300, most balancers receive a change within five rounds, and nine out of ten of the
    /// heartbeats of each balancer. A peer from which nothing was received for two heartbeats may have
    /// terminated, with all its connections.
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
