//! The gossip of one balancer: it makes its own announcement, selects the peers and the announcements to
//! send, and accepts or rejects received announcements.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use shorewharf_units::{MICROS_PER_MILLISECOND, Micros};

use crate::announcement::{AnnouncedHolding, Announcement, MAX_HOLDINGS, sender_id};
use crate::datagram::Key;
use crate::error::RejectReason;
use crate::peer_table::{PeerLoads, PeerTable};
use crate::settings::GossipSettings;

/// A balancer sends an announcement this many times the logarithm of the fleet size, so that it reaches all
/// balancers.
const RELAYS_PER_LOG_SIZE: u32 = 3;

/// Statistics since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipStats {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Announcements accepted.
    pub accepted: u64,
    /// Rounds in which the balancer had more holdings than fit into an announcement.
    pub oversized: u64,
    /// Datagrams and announcements rejected, by reason.
    pub rejected: BTreeMap<RejectReason, u64>,
}

/// The identity of this balancer.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// The balancer's name.
    pub name: &'a str,
    /// The start time of its process, as Unix time in microseconds.
    pub incarnation: u64,
}

/// The key and the settings that all balancers of a fleet share, and the seed of this balancer.
#[derive(Clone, Debug)]
pub struct GossipOptions {
    /// The shared key.
    pub key: Key,
    /// The shared settings.
    pub settings: GossipSettings,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The index of the peer to which it is sent.
    pub peer: usize,
    /// The content of the datagram.
    pub bytes: Vec<u8>,
}

/// An announcement that is being sent to peers; either the balancer's own or a received one.
#[derive(Debug)]
struct Relay {
    sender: u64,
    /// The number of times it has been sent.
    times_sent: u32,
}

/// The gossip of one balancer.
#[derive(Debug)]
pub struct Gossip {
    key: Key,
    settings: GossipSettings,
    began_at: Micros,
    /// The ids of the other balancers of the fleet.
    peers: Vec<u64>,
    table: PeerTable,
    own: Announcement,
    announced_at: Micros,
    relays: Vec<Relay>,
    rng: Pcg64Mcg,
    stats: GossipStats,
}

impl Gossip {
    /// Starts the gossip of the balancer of this identity in a fleet with these peers.
    pub fn new(now: Micros, identity: Identity<'_>, peers: &[String], options: GossipOptions) -> Gossip {
        let own = Announcement {
            sender: sender_id(identity.name),
            incarnation: identity.incarnation,
            made_at_ms: 0,
            holdings: Vec::new(),
        };
        Gossip {
            key: options.key,
            settings: options.settings,
            began_at: now,
            peers: peers.iter().map(|name| sender_id(name)).collect(),
            table: PeerTable::default(),
            own,
            announced_at: 0,
            relays: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            stats: GossipStats::default(),
        }
    }

    /// Sets the other balancers of the fleet. Announcements of balancers that are not among them are
    /// forgotten.
    pub fn set_peers(&mut self, peers: &[String]) {
        self.peers = peers.iter().map(|name| sender_id(name)).collect();
        self.table.retain(&self.peers);
        let (own, peers) = (self.own.sender, &self.peers);
        self.relays.retain(|relay| relay.sender == own || peers.contains(&relay.sender));
    }

    /// Returns how often this balancer sends an announcement, so that it reaches all balancers.
    fn max_relays(&self) -> u32 {
        RELAYS_PER_LOG_SIZE * ((self.peers.len() + 2) as f64).ln().ceil() as u32
    }

    fn begin_relay(&mut self, sender: u64) {
        self.relays.retain(|relay| relay.sender != sender);
        self.relays.insert(0, Relay { sender, times_sent: 0 });
    }

    /// Returns the datagrams of a round, in which this balancer has the given holdings.
    ///
    /// If the holdings do not fit into an announcement, the balancer makes none and only relays those of
    /// other balancers: a partial announcement would make the omitted servers look unloaded.
    pub fn outgoing(&mut self, now: Micros, holdings: Vec<AnnouncedHolding>) -> Vec<OutgoingDatagram> {
        self.announce(now, holdings);
        let mut indices: Vec<usize> = (0..self.peers.len()).collect();
        let (chosen, _) = indices.partial_shuffle(&mut self.rng, self.settings.fanout);
        let mut datagrams = Vec::new();
        for peer in chosen.iter().copied() {
            if let Some(bytes) = self.datagram_for(peer) {
                self.stats.datagrams_sent += 1;
                self.stats.bytes_sent += bytes.len() as u64;
                datagrams.push(OutgoingDatagram { peer, bytes });
            }
        }
        let max_relays = self.max_relays();
        self.relays.retain(|relay| relay.times_sent < max_relays);
        datagrams
    }

    /// Updates the balancer's own announcement if the holdings have changed or a heartbeat is due.
    fn announce(&mut self, now: Micros, holdings: Vec<AnnouncedHolding>) {
        let own = self.own.sender;
        if holdings.len() > MAX_HOLDINGS {
            self.stats.oversized += 1;
            self.relays.retain(|relay| relay.sender != own);
            return;
        }
        let is_first = self.own.made_at_ms == 0;
        let is_heartbeat_due = now >= self.announced_at + self.settings.heartbeat_interval;
        if holdings != self.own.holdings || is_first || is_heartbeat_due {
            // Each announcement of an incarnation has a different time, so that no two of them are taken for
            // the same.
            let next = u64::from(self.own.made_at_ms) + 1;
            let elapsed = (now - self.began_at) / MICROS_PER_MILLISECOND;
            self.own.made_at_ms = elapsed.max(next).min(u64::from(u32::MAX)) as u32;
            self.own.holdings = holdings;
            self.announced_at = now;
            self.begin_relay(own);
        }
    }

    /// Returns the next datagram for a peer. Announcements that were sent least often come first, and among
    /// these the latest ones.
    fn datagram_for(&mut self, peer: usize) -> Option<Vec<u8>> {
        self.relays.sort_by_key(|relay| relay.times_sent);
        let mut free_bytes = Key::MAX_CONTENT_BYTES;
        let mut announcements = Vec::new();
        for relay in &mut self.relays {
            let is_own = relay.sender == self.own.sender;
            let announcement = if is_own { Some(&self.own) } else { self.table.announcement(relay.sender) };
            let fits = |announcement: &&Announcement| {
                announcement.encoded_len() <= free_bytes && self.peers[peer] != announcement.sender
            };
            let Some(announcement) = announcement.filter(fits) else { continue };
            free_bytes -= announcement.encoded_len();
            relay.times_sent += 1;
            announcements.push(announcement);
        }
        (!announcements.is_empty()).then(|| self.key.encode_datagram(announcements))
    }

    /// Processes a received datagram.
    pub fn on_datagram(&mut self, now: Micros, datagram: &[u8]) {
        self.stats.datagrams_received += 1;
        let announcements = match self.key.decode_datagram(datagram) {
            Ok(announcements) => announcements,
            Err(reason) => return self.count_rejected(reason),
        };
        for announcement in &announcements {
            match self.accept(now, announcement) {
                Ok(()) => {
                    self.stats.accepted += 1;
                    self.begin_relay(announcement.sender);
                }
                Err(reason) => self.count_rejected(reason),
            }
        }
    }

    fn accept(&mut self, now: Micros, announcement: &Announcement) -> Result<(), RejectReason> {
        if announcement.sender == self.own.sender {
            return Err(RejectReason::OwnAnnouncement);
        }
        if !self.peers.contains(&announcement.sender) {
            return Err(RejectReason::UnknownSender);
        }
        self.table.insert(now, &self.settings, announcement)
    }

    fn count_rejected(&mut self, reason: RejectReason) {
        *self.stats.rejected.entry(reason).or_default() += 1;
    }

    /// Returns the load of the peers; `None` if the announcements of too few peers count, or there are no
    /// peers.
    pub fn peer_loads(&self, now: Micros) -> Option<PeerLoads> {
        let loads = self.table.loads(now, &self.settings, self.peers.len());
        (!self.peers.is_empty() && loads.coverage >= self.settings.min_coverage).then_some(loads)
    }

    /// Returns the statistics since the start.
    pub fn stats(&self) -> &GossipStats {
        &self.stats
    }
}
