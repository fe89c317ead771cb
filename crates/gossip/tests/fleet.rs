//! Gossip of fleets over a network with loss, duplication, delay and partitions: the coverage, the traffic, and the
//! rejection of invalid announcements.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shorewharf_gossip::{
    AnnouncedHolding, Announcement, Gossip, GossipOptions, GossipSettings, Identity, Key, MAX_DATAGRAM_BYTES,
    MAX_HOLDINGS, OutgoingDatagram, RejectReason, sender_id,
};
use shorewharf_units::Micros;

const KEY: &[u8] = b"a key of the whole fleet";
/// The duration of a round of the network.
const ROUND: Micros = 50_000;

fn key() -> Key {
    Key::new(KEY).expect("the key is long enough")
}

fn balancer(now: Micros, incarnation: u64, index: usize, fleet_size: usize) -> Gossip {
    let name = format!("n{index}");
    let peers: Vec<String> =
        (0..fleet_size).filter(|peer| *peer != index).map(|peer| format!("n{peer}")).collect();
    let identity = Identity { name: &name, incarnation };
    let options = GossipOptions { key: key(), settings: GossipSettings::default(), seed: index as u64 };
    Gossip::new(now, identity, &peers, options)
}

fn holdings(server: u64, load: f32) -> Vec<AnnouncedHolding> {
    vec![AnnouncedHolding { server, group: 7, load, connections: 1 }]
}

/// A datagram in transit.
struct InFlight {
    to: usize,
    datagram: Vec<u8>,
}

/// A fleet and a network with faults. Each balancer holds a connection to the server of its own index.
struct Fleet {
    balancers: Vec<Gossip>,
    now: Micros,
    rng: Pcg64Mcg,
    /// Datagrams in transit by time of arrival and serial number.
    in_flight: BTreeMap<(Micros, u64), InFlight>,
    serial: u64,
    loss_ratio: f64,
    duplicate_ratio: f64,
    max_delay: Micros,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Fleet {
        Fleet {
            balancers: (0..size).map(|index| balancer(0, 1, index, size)).collect(),
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            serial: 0,
            loss_ratio: 0.0,
            duplicate_ratio: 0.0,
            max_delay: 1_000,
        }
    }

    /// Runs for a duration; `is_linked` returns whether a datagram can get from one balancer to another.
    fn run(&mut self, duration: Micros, is_linked: impl Fn(usize, usize) -> bool) {
        let end = self.now + duration;
        while self.now < end {
            self.now += ROUND;
            self.deliver();
            for from in 0..self.balancers.len() {
                let datagrams = self.balancers[from].outgoing(self.now, holdings(from as u64, 1.0));
                for OutgoingDatagram { peer, bytes } in datagrams {
                    // The indices of peers leave out the sender.
                    let to = peer + usize::from(peer >= from);
                    self.send(is_linked(from, to), to, &bytes);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let ((arrives_at, _), InFlight { to, datagram }) = first.remove_entry();
            self.balancers[to].on_datagram(arrives_at, &datagram);
        }
    }

    /// Sends a datagram, which may be lost or duplicated.
    fn send(&mut self, is_linked: bool, to: usize, datagram: &[u8]) {
        for arrival_ratio in [1.0 - self.loss_ratio, self.duplicate_ratio] {
            if is_linked && self.rng.random_bool(arrival_ratio) {
                self.serial += 1;
                let arrives_at = self.now + self.rng.random_range(0..=self.max_delay);
                let in_flight = InFlight { to, datagram: datagram.to_vec() };
                self.in_flight.insert((arrives_at, self.serial), in_flight);
            }
        }
    }

    fn lacks_coverage(&self, index: usize) -> bool {
        self.balancers[index].peer_loads(self.now).is_none()
    }

    /// The ratio of all pairs of balancers in which one knows the connections of the other.
    fn known_ratio(&self) -> f64 {
        let size = self.balancers.len();
        let known = |balancer: &Gossip| balancer.peer_loads(self.now).map_or(0, |loads| loads.servers.len());
        self.balancers.iter().map(known).sum::<usize>() as f64 / (size * (size - 1)) as f64
    }
}

#[test]
fn three_hundred_balancers_receive_nearly_all_announcements_with_a_fifth_of_datagrams_lost() {
    let mut fleet = Fleet { loss_ratio: 0.2, duplicate_ratio: 0.2, max_delay: 120_000, ..Fleet::new(300, 5) };
    fleet.run(2_000_000, |_, _| true);
    assert!(fleet.known_ratio() > 0.97, "{}", fleet.known_ratio());
    let bytes: u64 = fleet.balancers.iter().map(|balancer| balancer.stats().bytes_sent).max().unwrap_or(0);
    assert!(bytes < 2 * 60 * MAX_DATAGRAM_BYTES as u64, "{bytes} bytes in two seconds");
    let stats = fleet.balancers[0].stats();
    assert!(stats.rejected.contains_key(&RejectReason::Outdated), "duplicates are rejected: {stats:?}");
    let is_expected =
        |reason: &RejectReason| matches!(reason, RejectReason::Outdated | RejectReason::OwnAnnouncement);
    assert!(stats.rejected.keys().all(is_expected), "{stats:?}");
}

#[test]
fn a_partitioned_minority_lacks_coverage_and_does_not_affect_the_majority() {
    let mut fleet = Fleet::new(40, 6);
    fleet.run(2_000_000, |_, _| true);
    assert!((0..40).all(|index| !fleet.lacks_coverage(index)));
    // 12 balancers are partitioned from the other 28, which still receive from more than half of their peers.
    fleet.run(5_000_000, |from, to| (from < 12) == (to < 12));
    assert!(
        (0..12).all(|index| fleet.lacks_coverage(index))
            && !(12..40).any(|index| fleet.lacks_coverage(index))
    );
    let loads = fleet.balancers[20].peer_loads(fleet.now).expect("the coverage is sufficient");
    assert!(
        loads.servers.keys().all(|server| *server >= 12),
        "announcements of the partitioned balancers no longer count"
    );
    // A balancer that can send but not receive lacks coverage, while the others receive its announcements.
    fleet.run(5_000_000, |_, to| to != 3);
    assert!(fleet.lacks_coverage(3));
    let loads = fleet.balancers[4].peer_loads(fleet.now).expect("the coverage is sufficient");
    assert!(loads.servers.contains_key(&3));
    fleet.run(5_000_000, |_, _| false);
    assert!((0..40).all(|index| fleet.lacks_coverage(index)), "no datagrams arrive");
    fleet.run(2_000_000, |_, _| true);
    assert!(fleet.known_ratio() > 0.97, "{}", fleet.known_ratio());
}

fn announcement(incarnation: u64, made_at_ms: u32, load: f32) -> Announcement {
    Announcement { sender: sender_id("n1"), incarnation, made_at_ms, holdings: holdings(9, load) }
}

/// The load of all peers over all servers, as a balancer counts it.
fn total_load(balancer: &Gossip, now: Micros) -> Option<f64> {
    balancer.peer_loads(now).map(|loads| loads.servers.values().map(|server| server.load).sum())
}

fn receive(balancer: &mut Gossip, now: Micros, announcement: &Announcement) {
    balancer.on_datagram(now, &key().encode_datagram([announcement]));
}

#[test]
fn announcements_that_are_old_duplicated_or_of_an_earlier_incarnation_are_rejected() {
    let mut balancer = balancer(0, 1, 0, 2);
    let mut announce = |now, incarnation, made_at_ms, load| {
        receive(&mut balancer, now, &announcement(incarnation, made_at_ms, load));
    };
    announce(1_000_000, 50, 1_000, 1.0);
    announce(1_300_000, 50, 1_300, 2.0);
    announce(1_400_000, 50, 1_200, 3.0);
    announce(1_400_000, 50, 1_300, 4.0);
    announce(1_500_000, 60, 10, 5.0);
    announce(1_600_000, 50, 1_600, 6.0);
    let stats = balancer.stats();
    assert_eq!((stats.rejected[&RejectReason::Outdated], stats.accepted), (3, 3));
    assert_eq!(total_load(&balancer, 1_700_000), Some(5.0));
    // After a clock was set back between two incarnations, the later one has the lower number. It is accepted after
    // nothing was received from the other one for long enough.
    receive(&mut balancer, 6_000_000, &announcement(40, 20, 7.0));
    assert_eq!(total_load(&balancer, 6_000_000), Some(7.0));
}

#[test]
fn the_age_of_an_announcement_includes_its_time_in_transit() {
    let settings = GossipSettings::default();
    let mut balancer = balancer(0, 1, 0, 2);
    receive(&mut balancer, 1_000_000, &announcement(50, 1_000, 1.0));
    // The announcement is made at 2 s and arrives 2.5 s later, at the highest age with full weight. It no longer
    // counts 4 s after it was made.
    receive(&mut balancer, 4_500_000, &announcement(50, 2_000, 1.0));
    assert_eq!(total_load(&balancer, 4_500_000), Some(1.0));
    let half_counted_at = 2_000_000 + (settings.fresh_for + settings.forgotten_after) / 2;
    assert!(total_load(&balancer, half_counted_at).is_none_or(|load| load < 0.6));
    assert_eq!(total_load(&balancer, 2_000_000 + settings.forgotten_after), None);
}

#[test]
fn a_balancer_with_too_many_holdings_announces_none_rather_than_a_part_of_them() {
    let (mut sender, mut receiver) = (balancer(0, 1, 0, 2), balancer(0, 1, 1, 2));
    let mut announce = |now, servers: u64| {
        let holdings = (0..servers).flat_map(|server| holdings(server, 1.0)).collect();
        for sent in sender.outgoing(now, holdings) {
            receiver.on_datagram(now, &sent.bytes);
        }
        total_load(&receiver, now)
    };
    assert_eq!(announce(1_000_000, MAX_HOLDINGS as u64), Some(MAX_HOLDINGS as f64));
    let loads: Vec<_> =
        (1..=60).map(|round| announce(1_000_000 + round * 100_000, MAX_HOLDINGS as u64 + 1)).collect();
    assert_eq!(
        loads.last(),
        Some(&None),
        "a partial announcement would make the omitted servers look unloaded"
    );
    assert_eq!(sender.stats().oversized, 60);
}

#[test]
fn absurd_loads_are_limited_and_announcements_of_unknown_senders_are_rejected() {
    let mut balancer = balancer(0, 1, 0, 20);
    for index in 1..20 {
        let load = if index == 4 { 1e30 } else { 0.5 };
        let sender = sender_id(&format!("n{index}"));
        let (incarnation, made_at_ms, holdings) = (1, 1, holdings(index, load));
        receive(&mut balancer, 1_000, &Announcement { sender, incarnation, made_at_ms, holdings });
    }
    let servers = balancer.peer_loads(1_000).expect("the coverage is sufficient").servers;
    assert_eq!((servers[&3].load, servers[&4].load), (0.5, 10.0));
    let from_unknown_sender =
        Announcement { sender: 77, incarnation: 1, made_at_ms: 1, holdings: holdings(50, 1.0) };
    receive(&mut balancer, 1_000, &from_unknown_sender);
    let other_key = Key::new(b"another fleet's key").expect("the key is long enough");
    balancer.on_datagram(1_000, &other_key.encode_datagram([&announcement(1, 9, 1.0)]));
    assert_eq!(balancer.peer_loads(1_000).expect("the coverage is sufficient").servers, servers);
    let rejected = &balancer.stats().rejected;
    assert_eq!((rejected[&RejectReason::UnknownSender], rejected[&RejectReason::InvalidTag]), (1, 1));
    assert!(Key::new(b"short").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Datagrams that were modified, truncated or made up are rejected and counted.
    #[test]
    fn modified_truncated_and_made_up_datagrams_are_rejected(
        at in any::<prop::sample::Index>(),
        flip in 1..=255u8,
        end in any::<prop::sample::Index>(),
        made_up: Vec<u8>,
    ) {
        let valid = key().encode_datagram([&announcement(1, 1, 1.0), &announcement(1, 2, 2.0)]);
        prop_assert_eq!(key().decode_datagram(&valid).map(|announcements| announcements.len()), Ok(2));
        let mut balancer = balancer(0, 1, 0, 2);
        let mut modified = valid.clone();
        modified[at.index(valid.len())] ^= flip;
        for invalid in [modified, valid[..end.index(valid.len())].to_vec(), made_up] {
            balancer.on_datagram(1_000, &invalid);
        }
        let stats = balancer.stats();
        let rejected = stats.rejected.values().sum::<u64>();
        prop_assert_eq!((stats.datagrams_received, stats.accepted, rejected), (3, 0, 3));
        prop_assert!(balancer.peer_loads(1_000).is_none());
    }
}
