//! What peers have announced: the newest announcement of each, how old it is, and how much of it counts.

use std::collections::{BTreeMap, BTreeSet};

use shorewharf_units::{MICROS_PER_MILLISECOND, Micros};

use crate::announcement::{AnnouncedHolding, Announcement};
use crate::error::RejectReason;
use crate::settings::GossipSettings;

/// A peer's clock may run slower than this one's by so much, in millionths.
const MAX_CLOCK_DRIFT_PPM: u64 = 200;
/// No holding counts for more connections than this ...
const MAX_CONNECTIONS: u16 = 1_024;
/// ... nor for more load than its connections at this many times the median load.
const MAX_LOAD_OVER_MEDIAN: f64 = 20.0;

/// What is known of one peer.
#[derive(Debug)]
struct PeerState {
    announcement: Announcement,
    /// The begin of its incarnation on this clock, at the latest: each announcement came this much or more after it was
    /// made.
    began_at: i64,
    /// When `began_at` was determined.
    began_at_set: Micros,
    /// When its announcement was made, at the earliest.
    made_at: Micros,
    received_at: Micros,
}

/// The load of other balancers on one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteServerLoad {
    /// Load of their connections, as work a second in the unit of list weights.
    pub load: f64,
    /// Number of connections.
    pub connections: f64,
    /// The groups of which there is any: the lower halves of their ids.
    pub groups: BTreeSet<u32>,
}

/// The load of other balancers, as far as it counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerLoads {
    /// By server.
    pub servers: BTreeMap<u64, RemoteServerLoad>,
    /// The part of the peers whose announcements count, by how much they do.
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
    /// Takes in a peer's announcement.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement is not newer than the one before.
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
        // What took longer on its way than the quickest announcement is older by as much.
        let made_at = (began_at + elapsed).clamp(0, now as i64) as Micros;
        let announcement = announcement.clone();
        let state = PeerState { announcement, began_at, began_at_set, made_at, received_at: now };
        self.peers.insert(state.announcement.sender, state);
        Ok(())
    }

    /// Forgets all but these peers.
    pub fn retain(&mut self, peers: &[u64]) {
        self.peers.retain(|id, _| peers.contains(id));
    }

    /// The announcement of a peer.
    pub fn announcement(&self, peer: u64) -> Option<&Announcement> {
        self.peers.get(&peer).map(|state| &state.announcement)
    }

    /// What all peers hold by now, of `peer_count` in the fleet.
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

/// Whether an announcement is newer than the one before of its sender.
fn is_newer(now: Micros, settings: &GossipSettings, announcement: &Announcement, before: &PeerState) -> bool {
    let known = &before.announcement;
    if announcement.incarnation == known.incarnation {
        return announcement.made_at_ms > known.made_at_ms;
    }
    // An incarnation that seems older is a clock set back, once nothing was received of the later one for long.
    let is_silent = now >= before.received_at + settings.forgotten_after;
    announcement.incarnation > known.incarnation || is_silent
}

/// How much an announcement counts: in full while it is fresh, then less, until it is forgotten.
fn weight(now: Micros, settings: &GossipSettings, peer: &PeerState) -> f64 {
    let age = now.saturating_sub(peer.made_at);
    let remaining = settings.forgotten_after.saturating_sub(age) as f64;
    (remaining / (settings.forgotten_after - settings.fresh_for).max(1) as f64).min(1.0)
}

/// The median load of a connection over all holdings.
fn median_load(announcements: &[(f64, &Announcement)]) -> f64 {
    let holdings = announcements.iter().flat_map(|(_, announcement)| &announcement.holdings);
    let mut loads: Vec<f64> =
        holdings.map(|holding| f64::from(holding.load) / f64::from(holding.connections)).collect();
    loads.sort_by(f64::total_cmp);
    loads.get(loads.len() / 2).copied().unwrap_or(0.0)
}
