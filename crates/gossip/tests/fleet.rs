//! Fleets that tell each other over a network that loses, doubles, delays and cuts: what everybody knows all the same, what it
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

fn key() -> Key {
    Key::new(KEY).expect("long enough")
}

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("n{i}")).collect()
}

fn balancer(now: Micros, incarnation: u64, me: usize, n: usize) -> Gossip {
    let all = names(n);
    let others: Vec<String> = all.iter().enumerate().filter(|(i, _)| *i != me).map(|x| x.1.clone()).collect();
    let identity = Identity { name: &all[me], incarnation };
    let options = GossipOptions { key: key(), settings: GossipSettings::default(), seed: me as u64 };
    Gossip::new(now, identity, &others, options)
}

fn holdings(server: u64, load: f32) -> Vec<AnnouncedHolding> {
    vec![AnnouncedHolding { server, group: 7, load, connections: 1 }]
}

/// A fleet before a network with faults; each one holds a connection at the server of its own number.
struct Fleet {
    all: Vec<Gossip>,
    now: Micros,
    rng: Pcg64Mcg,
    on_way: BTreeMap<(Micros, u64), (usize, Vec<u8>)>,
    count: u64,
    lost: f64,
    doubled: f64,
    late: Micros,
}

impl Fleet {
    fn new(n: usize, seed: u64) -> Fleet {
        let all = (0..n).map(|me| balancer(0, 1, me, n)).collect();
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Fleet { all, now: 0, rng, on_way: BTreeMap::new(), count: 0, lost: 0.0, doubled: 0.0, late: 1_000 }
    }

    /// Lets so much time pass; `links` tells whether a datagram gets from one to another.
    fn pass(&mut self, long: Micros, links: impl Fn(usize, usize) -> bool) {
        let end = self.now + long;
        while self.now < end {
            self.now += 50_000;
            while let Some(first) = self.on_way.first_entry().filter(|e| e.key().0 <= self.now) {
                let ((at, _), (to, datagram)) = first.remove_entry();
                self.all[to].on_datagram(at, &datagram);
            }
            for me in 0..self.all.len() {
                for OutgoingDatagram { peer, bytes } in
                    self.all[me].outgoing(self.now, holdings(me as u64, 1.0))
                {
                    // Indices skip the sender.
                    let to = peer + usize::from(peer >= me);
                    for copy in 0..2 {
                        let goes = if copy == 0 { 1.0 - self.lost } else { self.doubled };
                        if links(me, to) && self.rng.random_bool(goes) {
                            self.count += 1;
                            let at = self.now + self.rng.random_range(0..=self.late);
                            self.on_way.insert((at, self.count), (to, bytes.clone()));
                        }
                    }
                }
            }
        }
    }

    /// Of all pairs, the part in which one knows what the other holds.
    fn known(&self) -> f64 {
        let n = self.all.len();
        let knows = |g: &Gossip| g.peer_loads(self.now).map_or(0, |e| e.servers.len());
        self.all.iter().map(knows).sum::<usize>() as f64 / (n * (n - 1)) as f64
    }
}

#[test]
fn all_of_three_hundred_hear_of_all_though_a_fifth_of_the_datagrams_is_lost() {
    let mut fleet = Fleet { lost: 0.2, doubled: 0.2, late: 120_000, ..Fleet::new(300, 5) };
    fleet.pass(2_000_000, |_, _| true);
    assert!(fleet.known() > 0.97, "{}", fleet.known());
    let bytes: u64 = fleet.all.iter().map(|g| g.stats().bytes_sent).max().unwrap_or(0);
    assert!(bytes < 2 * 60 * MAX_DATAGRAM_BYTES as u64, "{bytes} bytes in two seconds");
    let stats = fleet.all[0].stats();
    assert!(stats.rejected.contains_key(&RejectReason::Outdated), "doubled ones were seen: {stats:?}");
    assert!(
        stats.rejected.keys().all(|why| matches!(why, RejectReason::Outdated | RejectReason::Own)),
        "{stats:?}"
    );
}

#[test]
fn who_is_cut_off_is_alone_and_a_cut_half_does_not_speak_for_the_whole() {
    let mut fleet = Fleet::new(40, 6);
    fleet.pass(2_000_000, |_, _| true);
    assert!(fleet.all.iter().all(|g| g.peer_loads(fleet.now).is_some()));
    // 12 are cut off from the other 28, which hear of more than half.
    fleet.pass(5_000_000, |a, b| (a < 12) == (b < 12));
    let alone = |g: &Gossip| g.peer_loads(fleet.now).is_none();
    assert!(fleet.all[..12].iter().all(alone) && !fleet.all[12..].iter().any(alone));
    let heard = fleet.all[20].peer_loads(fleet.now).expect("most of them");
    assert!(heard.servers.keys().all(|s| *s >= 12), "who is gone holds nothing any more");
    // In one direction only: who hears nothing is alone, though all hear of it.
    fleet.pass(5_000_000, |_, b| b != 3);
    assert!(fleet.all[3].peer_loads(fleet.now).is_none());
    assert!(fleet.all[4].peer_loads(fleet.now).expect("heard").servers.contains_key(&3));
    fleet.pass(5_000_000, |_, _| false);
    assert!(fleet.all.iter().all(|g| g.peer_loads(fleet.now).is_none()), "all links are cut");
    fleet.pass(2_000_000, |_, _| true);
    assert!(fleet.known() > 0.97, "{}", fleet.known());
}

fn announcement(incarnation: u64, made_at_ms: u32, load: f32) -> Announcement {
    Announcement { sender: sender_id("n1"), incarnation, made_at_ms, holdings: holdings(9, load) }
}

fn load(g: &Gossip, now: Micros) -> Option<f64> {
    g.peer_loads(now).map(|e| e.servers.values().map(|server| server.load).sum())
}

#[test]
fn what_is_old_doubled_or_of_a_past_life_changes_nothing() {
    let mut g = balancer(0, 1, 0, 2);
    let mut says =
        |now, incarnation, at, load| g.on_datagram(now, &key().seal([&announcement(incarnation, at, load)]));
    says(1_000_000, 50, 1_000, 1.0);
    says(1_300_000, 50, 1_300, 2.0);
    says(1_400_000, 50, 1_200, 3.0);
    says(1_400_000, 50, 1_300, 4.0);
    says(1_500_000, 60, 10, 5.0);
    says(1_600_000, 50, 1_600, 6.0);
    assert_eq!(
        (load(&g, 1_700_000), g.stats().rejected[&RejectReason::Outdated], g.stats().accepted),
        (Some(5.0), 3, 3)
    );
    // A clock that was set back between two lives: believed once the later one has been silent for long.
    let mut says =
        |now, incarnation, at, load| g.on_datagram(now, &key().seal([&announcement(incarnation, at, load)]));
    says(6_000_000, 40, 20, 7.0);
    assert_eq!(load(&g, 6_000_000), Some(7.0));
}

#[test]
fn a_note_that_was_long_on_its_way_is_as_old_as_it_is() {
    let settings = GossipSettings::default();
    let mut g = balancer(0, 1, 0, 2);
    g.on_datagram(1_000_000, &key().seal([&announcement(50, 1_000, 1.0)]));
    // Said at 2 s, it comes 2.5 s later: half a fresh time is left, and it is gone 4 s after it was said.
    g.on_datagram(4_500_000, &key().seal([&announcement(50, 2_000, 1.0)]));
    assert_eq!(load(&g, 4_500_000), Some(1.0));
    assert!(
        load(&g, 2_000_000 + (settings.fresh_for + settings.forgotten_after) / 2).is_none_or(|l| l < 0.6)
    );
    assert_eq!(load(&g, 2_000_000 + settings.forgotten_after), None);
}

#[test]
fn who_holds_more_than_a_note_has_room_for_says_nothing_rather_than_a_part() {
    let (mut one, mut two) = (balancer(0, 1, 0, 2), balancer(0, 1, 1, 2));
    let holds = |n: u64| (0..n).flat_map(|s| holdings(s, 1.0)).collect::<Vec<_>>();
    let mut tells =
        |now, n| one.outgoing(now, holds(n)).iter().for_each(|sent| two.on_datagram(now, &sent.bytes));
    tells(1_000_000, MAX_HOLDINGS as u64);
    assert_eq!(load(&two, 1_000_000), Some(MAX_HOLDINGS as f64));
    let mut tells =
        |now, n| one.outgoing(now, holds(n)).iter().for_each(|sent| two.on_datagram(now, &sent.bytes));
    (1..=60).for_each(|beat| tells(1_000_000 + beat * 100_000, MAX_HOLDINGS as u64 + 1));
    assert_eq!(load(&two, 7_000_000), None, "a part of it would make the rest look empty");
    assert_eq!(one.stats().oversized, 60);
}

#[test]
fn one_that_claims_absurd_loads_counts_for_little_and_a_foreign_one_for_nothing() {
    let mut g = balancer(0, 1, 0, 20);
    for i in 1..20 {
        let sender = sender_id(&format!("n{i}"));
        let load = if i == 4 { 1e30 } else { 0.5 };
        g.on_datagram(
            1_000,
            &key().seal([&Announcement {
                sender,
                incarnation: 1,
                made_at_ms: 1,
                holdings: holdings(i, load),
            }]),
        );
    }
    let servers = g.peer_loads(1_000).expect("all are heard of").servers;
    assert_eq!((servers[&3].load, servers[&4].load), (0.5, 10.0));
    g.on_datagram(
        1_000,
        &key().seal([&Announcement {
            sender: 77,
            incarnation: 1,
            made_at_ms: 1,
            holdings: holdings(50, 1.0),
        }]),
    );
    g.on_datagram(
        1_000,
        &Key::new(b"another fleet's key").expect("long enough").seal([&announcement(1, 9, 1.0)]),
    );
    assert_eq!(g.peer_loads(1_000).expect("heard").servers, servers);
    assert_eq!(
        (g.stats().rejected[&RejectReason::UnknownSender], g.stats().rejected[&RejectReason::InvalidSeal]),
        (1, 1)
    );
    assert!(Key::new(b"short").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// A datagram that was changed anywhere, cut or made up is refused and counted, whatever it is.
    #[test]
    fn nothing_changed_or_made_up_gets_in(at in any::<prop::sample::Index>(), flip in 1..=255u8, cut in any::<prop::sample::Index>(), junk: Vec<u8>) {
        let good = key().seal([&announcement(1, 1, 1.0), &announcement(1, 2, 2.0)]);
        prop_assert_eq!(key().open(&good).map(|notes| notes.len()), Ok(2));
        let mut g = balancer(0, 1, 0, 2);
        let mut changed = good.clone();
        changed[at.index(good.len())] ^= flip;
        for bad in [changed, good[..cut.index(good.len())].to_vec(), junk] {
            g.on_datagram(1_000, &bad);
        }
        prop_assert_eq!((g.stats().datagrams_received, g.stats().accepted, g.stats().rejected.values().sum::<u64>()), (3, 0, 3));
        prop_assert!(g.peer_loads(1_000).is_none());
    }
}
