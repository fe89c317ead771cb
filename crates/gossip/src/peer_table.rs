//! The newest announcement of each peer, its age and its weight.

use std::collections::{BTreeMap, BTreeSet};

use shorewharf_units::{MICROS_PER_MILLISECOND, Micros};

use crate::announcement::{AnnouncedHolding, Announcement};
use crate::error::RejectReason;
use crate::settings::GossipSettings;

/// The maximum drift of a peer's clock against this one, in millionths.
const MAX_CLOCK_DRIFT_PPM: u64 = 200;
/// A holding counts for at most this many connections.
const MAX_CONNECTIONS: u16 = 1_024;
/// A holding counts for at most this many times the median load per connection, for each of its connections.
const MAX_LOAD_OVER_MEDIAN: f64 = 20.0;

/// The known state of a peer.
#[derive(Debug)]
struct PeerState {
    announcement: Announcement,
    /// An upper bound of the start time of its incarnation on this clock: the minimum over its announcements of the
    /// arrival time minus the announced time. It includes the time in transit.
    began_at: i64,
    /// When `began_at` was determined.
    began_at_set: Micros,
    /// An upper bound of the time when its announcement was made, on this clock.
    made_at: Micros,
    received_at: Micros,
}

/// The load of other balancers on one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteServerLoad {
    /// The load of their connections, in work per second, in the unit of the weights in the endpoint list.
    pub load: f64,
    /// The number of their connections.
    pub connections: f64,
    /// The groups that have connections to the server, as the lower halves of their ids.
    pub groups: BTreeSet<u32>,
}

/// The load of other balancers, weighted by the age of their announcements.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerLoads {
    /// The load by server.
    pub servers: BTreeMap<u64, RemoteServerLoad>,
    /// The sum of the weights of the peers' announcements, divided by the number of peers.
    pub coverage: f64,
}

impl PeerLoads {
    fn add(&mut self, weight: f64, holding: &AnnouncedHolding, max_load: f64) {
        let connections = f64::from(holding.connections.min(MAX_CONNECTIONS));
        let server = self.servers.entry(holding.server).or_default();
        server.load += weight * f64::from(holding.load).min(connections * max_load);
        server.connections += weight * connections;
        if holding.group != 0 {
            server.groups.insert(holding.group);
        }
    }
}

/// The newest announcement of each peer.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<u64, PeerState>,
}

impl PeerTable {
    /// Inserts an announcement of a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement is not newer than the previous one of the peer.
    pub fn insert(
        &mut self,
        now: Micros,
        settings: &GossipSettings,
        announcement: &Announcement,
    ) -> Result<(), RejectReason> {
        let elapsed = (u64::from(announcement.made_at_ms) * MICROS_PER_MILLISECOND) as i64;
        let mut began_at = now as i64 - elapsed;
        let mut began_at_set = now;
        if let Some(before) = self.peers.get(&announcement.sender) {
            if !is_newer(now, settings, announcement, before) {
                return Err(RejectReason::Outdated);
            }
            let since = now - before.began_at_set;
            let drifted = before.began_at + (since * MAX_CLOCK_DRIFT_PPM / 1_000_000) as i64;
            if announcement.incarnation == before.announcement.incarnation && drifted < began_at {
                (began_at, began_at_set) = (drifted, now);
            }
        }
        // An announcement that took longer to arrive than the fastest one is older by the difference.
        let made_at = (began_at + elapsed).clamp(0, now as i64) as Micros;
        let announcement = announcement.clone();
        let state = PeerState { announcement, began_at, began_at_set, made_at, received_at: now };
        self.peers.insert(state.announcement.sender, state);
        Ok(())
    }

    /// Removes the announcements of all balancers except these peers.
    pub fn retain(&mut self, peers: &[u64]) {
        self.peers.retain(|id, _| peers.contains(id));
    }

    /// Returns the announcement of a peer.
    pub fn announcement(&self, peer: u64) -> Option<&Announcement> {
        self.peers.get(&peer).map(|state| &state.announcement)
    }

    /// Returns the load of all peers at a time. `peer_count` is the number of peers in the fleet.
    pub fn loads(&self, now: Micros, settings: &GossipSettings, peer_count: usize) -> PeerLoads {
        let weighted = self.peers.values().map(|peer| (weight(now, settings, peer), &peer.announcement));
        let counted: Vec<_> = weighted.filter(|(weight, _)| *weight > 0.0).collect();
        let max_load = median_load(&counted) * MAX_LOAD_OVER_MEDIAN;
        let mut loads = PeerLoads::default();
        for (weight, announcement) in counted {
            loads.coverage += weight / peer_count.max(1) as f64;
            for holding in &announcement.holdings {
                loads.add(weight, holding, max_load);
            }
        }
        loads
    }
}

/// Returns whether an announcement is newer than the previous one of its sender.
fn is_newer(now: Micros, settings: &GossipSettings, announcement: &Announcement, before: &PeerState) -> bool {
    let known = &before.announcement;
    if announcement.incarnation == known.incarnation {
        return announcement.made_at_ms > known.made_at_ms;
    }
    // An incarnation that seems older may result from a clock that was set back. It is accepted after nothing
    // was received from the later one for long enough.
    let is_silent = now >= before.received_at + settings.forgotten_after;
    announcement.incarnation > known.incarnation || is_silent
}

/// Returns the weight of an announcement: 1 while it is fresh, then decreasing linearly to 0.
fn weight(now: Micros, settings: &GossipSettings, peer: &PeerState) -> f64 {
    let age = now.saturating_sub(peer.made_at);
    let remaining = settings.forgotten_after.saturating_sub(age) as f64;
    (remaining / (settings.forgotten_after - settings.fresh_for).max(1) as f64).min(1.0)
}

/// Returns the median load per connection over all holdings.
fn median_load(announcements: &[(f64, &Announcement)]) -> f64 {
    let holdings = announcements.iter().flat_map(|(_, announcement)| &announcement.holdings);
    let mut loads: Vec<f64> =
        holdings.map(|holding| f64::from(holding.load) / f64::from(holding.connections)).collect();
    loads.sort_by(f64::total_cmp);
    loads.get(loads.len() / 2).copied().unwrap_or(0.0)
}
