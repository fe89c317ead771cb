//! Fleets that gossip over a network that loses, duplicates, delays and cuts: what everybody knows all the same, what it
//! costs, and that nothing untrue gets in.

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
/// Length of a round of the network.
const ROUND: Micros = 50_000;

fn key() -> Key {
    Key::new(KEY).expect("long enough")
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

/// A datagram on its way.
struct InFlight {
    to: usize,
    datagram: Vec<u8>,
}

/// A fleet before a network with faults; each balancer holds a connection at the server of its own index.
struct Fleet {
    balancers: Vec<Gossip>,
    now: Micros,
    rng: Pcg64Mcg,
    /// By time of arrival and serial number.
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

    /// Runs for so long; `is_linked` tells whether a datagram gets from one balancer to another.
    fn run(&mut self, duration: Micros, is_linked: impl Fn(usize, usize) -> bool) {
        let end = self.now + duration;
        while self.now < end {
            self.now += ROUND;
            self.deliver();
            for from in 0..self.balancers.len() {
                let datagrams = self.balancers[from].outgoing(self.now, holdings(from as u64, 1.0));
                for OutgoingDatagram { peer, bytes } in datagrams {
                    // Indices of peers skip the sender.
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

    /// Sends a datagram, and perhaps a duplicate of it.
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

    fn is_alone(&self, index: usize) -> bool {
        self.balancers[index].peer_loads(self.now).is_none()
    }

    /// Of all pairs, the part in which one knows what the other holds.
    fn known_ratio(&self) -> f64 {
        let size = self.balancers.len();
        let known = |balancer: &Gossip| balancer.peer_loads(self.now).map_or(0, |loads| loads.servers.len());
        self.balancers.iter().map(known).sum::<usize>() as f64 / (size * (size - 1)) as f64
    }
}

#[test]
fn all_of_three_hundred_hear_of_all_though_a_fifth_of_the_datagrams_is_lost() {
    let mut fleet = Fleet { loss_ratio: 0.2, duplicate_ratio: 0.2, max_delay: 120_000, ..Fleet::new(300, 5) };
    fleet.run(2_000_000, |_, _| true);
    assert!(fleet.known_ratio() > 0.97, "{}", fleet.known_ratio());
    let bytes: u64 = fleet.balancers.iter().map(|balancer| balancer.stats().bytes_sent).max().unwrap_or(0);
    assert!(bytes < 2 * 60 * MAX_DATAGRAM_BYTES as u64, "{bytes} bytes in two seconds");
    let stats = fleet.balancers[0].stats();
    assert!(stats.rejected.contains_key(&RejectReason::Outdated), "duplicates were seen: {stats:?}");
    let is_expected = |reason: &RejectReason| matches!(reason, RejectReason::Outdated | RejectReason::Own);
    assert!(stats.rejected.keys().all(is_expected), "{stats:?}");
}

#[test]
fn a_balancer_that_is_cut_off_is_alone_and_a_cut_half_does_not_speak_for_the_whole() {
    let mut fleet = Fleet::new(40, 6);
    fleet.run(2_000_000, |_, _| true);
    assert!((0..40).all(|index| !fleet.is_alone(index)));
    // 12 are cut off from the other 28, which hear of more than half.
    fleet.run(5_000_000, |from, to| (from < 12) == (to < 12));
    assert!((0..12).all(|index| fleet.is_alone(index)) && !(12..40).any(|index| fleet.is_alone(index)));
    let loads = fleet.balancers[20].peer_loads(fleet.now).expect("most of them are heard of");
    assert!(loads.servers.keys().all(|server| *server >= 12), "who is gone holds nothing any more");
    // In one direction only: who receives nothing is alone, though all hear of it.
    fleet.run(5_000_000, |_, to| to != 3);
    assert!(fleet.is_alone(3));
    let loads = fleet.balancers[4].peer_loads(fleet.now).expect("all are heard of");
    assert!(loads.servers.contains_key(&3));
    fleet.run(5_000_000, |_, _| false);
    assert!((0..40).all(|index| fleet.is_alone(index)), "all links are cut");
    fleet.run(2_000_000, |_, _| true);
    assert!(fleet.known_ratio() > 0.97, "{}", fleet.known_ratio());
}

fn announcement(incarnation: u64, made_at_ms: u32, load: f32) -> Announcement {
    Announcement { sender: sender_id("n1"), incarnation, made_at_ms, holdings: holdings(9, load) }
}

/// The load that a balancer counts of all others, over all servers.
fn total_load(balancer: &Gossip, now: Micros) -> Option<f64> {
    balancer.peer_loads(now).map(|loads| loads.servers.values().map(|server| server.load).sum())
}

fn receive(balancer: &mut Gossip, now: Micros, announcement: &Announcement) {
    balancer.on_datagram(now, &key().seal([announcement]));
}

#[test]
fn what_is_old_duplicated_or_of_a_past_incarnation_changes_nothing() {
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
    // A clock that was set back between two incarnations: accepted once the later one has been silent for long.
    receive(&mut balancer, 6_000_000, &announcement(40, 20, 7.0));
    assert_eq!(total_load(&balancer, 6_000_000), Some(7.0));
}

#[test]
fn an_announcement_that_was_long_on_its_way_is_as_old_as_it_is() {
    let settings = GossipSettings::default();
    let mut balancer = balancer(0, 1, 0, 2);
    receive(&mut balancer, 1_000_000, &announcement(50, 1_000, 1.0));
    // Made at 2 s, it arrives 2.5 s later: half a fresh time is left, and it is gone 4 s after it was made.
    receive(&mut balancer, 4_500_000, &announcement(50, 2_000, 1.0));
    assert_eq!(total_load(&balancer, 4_500_000), Some(1.0));
    let half_counted_at = 2_000_000 + (settings.fresh_for + settings.forgotten_after) / 2;
    assert!(total_load(&balancer, half_counted_at).is_none_or(|load| load < 0.6));
    assert_eq!(total_load(&balancer, 2_000_000 + settings.forgotten_after), None);
}

#[test]
fn who_holds_more_than_an_announcement_has_room_for_says_nothing_rather_than_a_part() {
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
    assert_eq!(loads.last(), Some(&None), "a part of it would make the rest look empty");
    assert_eq!(sender.stats().oversized, 60);
}

#[test]
fn one_that_claims_absurd_loads_counts_for_little_and_a_foreign_one_for_nothing() {
    let mut balancer = balancer(0, 1, 0, 20);
    for index in 1..20 {
        let load = if index == 4 { 1e30 } else { 0.5 };
        let sender = sender_id(&format!("n{index}"));
        let (incarnation, made_at_ms, holdings) = (1, 1, holdings(index, load));
        receive(&mut balancer, 1_000, &Announcement { sender, incarnation, made_at_ms, holdings });
    }
    let servers = balancer.peer_loads(1_000).expect("all are heard of").servers;
    assert_eq!((servers[&3].load, servers[&4].load), (0.5, 10.0));
    let foreign = Announcement { sender: 77, incarnation: 1, made_at_ms: 1, holdings: holdings(50, 1.0) };
    receive(&mut balancer, 1_000, &foreign);
    let other_key = Key::new(b"another fleet's key").expect("long enough");
    balancer.on_datagram(1_000, &other_key.seal([&announcement(1, 9, 1.0)]));
    assert_eq!(balancer.peer_loads(1_000).expect("all are heard of").servers, servers);
    let rejected = &balancer.stats().rejected;
    assert_eq!((rejected[&RejectReason::UnknownSender], rejected[&RejectReason::InvalidSeal]), (1, 1));
    assert!(Key::new(b"short").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// A datagram that was changed anywhere, cut or made up is rejected and counted, whatever it is.
    #[test]
    fn nothing_changed_or_made_up_gets_in(
        at in any::<prop::sample::Index>(),
        flip in 1..=255u8,
        cut in any::<prop::sample::Index>(),
        junk: Vec<u8>,
    ) {
        let good = key().seal([&announcement(1, 1, 1.0), &announcement(1, 2, 2.0)]);
        prop_assert_eq!(key().open(&good).map(|announcements| announcements.len()), Ok(2));
        let mut balancer = balancer(0, 1, 0, 2);
        let mut changed = good.clone();
        changed[at.index(good.len())] ^= flip;
        for bad in [changed, good[..cut.index(good.len())].to_vec(), junk] {
            balancer.on_datagram(1_000, &bad);
        }
        let stats = balancer.stats();
        let rejected = stats.rejected.values().sum::<u64>();
        prop_assert_eq!((stats.datagrams_received, stats.accepted, rejected), (3, 0, 3));
        prop_assert!(balancer.peer_loads(1_000).is_none());
    }
}
