//! Proxies that hear what others hold: what each does by it, what all of them make of a fleet, and that it is as before when
//! nothing is heard any more.

mod common;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::{Proxy, entry, list, request, sent, settings};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use shorewharf_decisions::Balancer;
use shorewharf_decisions::interface::{
    Action, Event, Outcome, RemoteLoad, Request, RequestId, ServerEntry, ServerId, Settings,
};

const PROXIES: u64 = 200;
const SERVERS: u64 = 60;
/// The module's own timer, once a second.
const HOUSEKEEPING: u64 = 1 << 40;

fn proxy(me: u64) -> Proxy {
    let tenant_quota = vec![50.0 * SERVERS as f64];
    let set = Settings {
        instance_index: me,
        instance_count: PROXIES as f64,
        may_probe: true,
        tenant_connection_quotas: tenant_quota,
        ..settings()
    };
    let mut p = Proxy { module: Balancer::new(set, me), now: 100.0 };
    p.give(Event::Start);
    p.give(list(&(1..=SERVERS).map(entry).collect::<Vec<_>>()));
    p
}

fn grouped(id: u32, group: u64, now: f64) -> Request {
    Request { group, load: Some(0.1), ..request(id, now) }
}

type Told = BTreeMap<ServerId, RemoteLoad>;

/// All servers are asked for this much by others, with connections of a tenth each, but for some.
fn even(load: f64, but: &[(u64, f64)]) -> Told {
    let one = |id: u64| {
        let load = but.iter().find(|b| b.0 == id).map_or(load, |b| b.1);
        (ServerId(id), RemoteLoad { load, connections: load * 10.0, groups: BTreeSet::new() })
    };
    (1..=SERVERS).map(one).collect()
}

fn tell(p: &mut Proxy, told: Told) {
    p.give(Event::RemoteLoadsUpdated(Some(Arc::new(told))));
}

fn asks_by_probe(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Probe(_)))
}

#[test]
fn who_hears_of_others_passes_over_what_they_have_filled_and_asks_nobody() {
    let mut p = proxy(1);
    tell(&mut p, even(1.0, &[]));
    let actions = p.arrive(grouped(1, 7, 100.0));
    let first = sent(&actions).expect("there is room");
    assert!(!asks_by_probe(&actions), "{actions:?}");
    let mut p = proxy(2);
    tell(&mut p, even(1.0, &[(first.0, 2.0)]));
    let second = sent(&p.arrive(grouped(1, 7, 100.0))).expect("there is room");
    assert_ne!(first, second, "it is asked for twice as much as the others");
    // Where the group stands already it costs less than elsewhere.
    let mut p = proxy(3);
    let mut told = even(4.0, &[]);
    let holds = ServerId(1 + second.0 % SERVERS);
    told.get_mut(&holds).expect("listed").groups.insert(7);
    tell(&mut p, told);
    assert_eq!(sent(&p.arrive(grouped(1, 7, 100.0))), Some(holds));
}

#[test]
fn a_crowd_that_comes_again_is_spread_over_some_servers() {
    let mut at = BTreeMap::<ServerId, u32>::new();
    for me in 0..PROXIES {
        let mut p = proxy(me);
        tell(&mut p, even(4.0, &[]));
        let r = Request { is_returning: true, ..grouped(1, 7, 100.0) };
        *at.entry(sent(&p.arrive(r)).expect("there is room")).or_default() += 1;
    }
    let most = at.values().max().copied().unwrap_or(0);
    assert!(at.len() <= 4 && most < PROXIES as u32 / 2, "{at:?}");
}

#[test]
fn when_nothing_is_heard_any_more_it_is_alone_at_once() {
    let mut p = proxy(1);
    tell(&mut p, even(1.0, &[]));
    assert!(sent(&p.arrive(grouped(1, 7, p.now))).is_some());
    p.give(Event::RemoteLoadsUpdated(None));
    assert!(asks_by_probe(&p.arrive(grouped(2, 8, 100.0))), "too few are heard of: it sounds as before");
    tell(&mut p, even(1.0, &[]));
    p.now += 1.5;
    let r = grouped(3, 9, p.now);
    assert!(asks_by_probe(&p.arrive(r)), "what was told is old");
}

#[test]
fn the_parts_of_a_cold_server_add_up_to_what_it_holds() {
    let mut entered = 0;
    for me in 0..PROXIES {
        let mut p = proxy(me);
        let born = p.now - 3.0;
        p.give(list(&[ServerEntry { started_at: born, ..entry(1) }]));
        p.give(Event::MeanLoadEstimated(0.1));
        // It holds six mean connections by now; a rate would have let in ten from each proxy.
        p.give(Event::CapacityEstimated {
            server: ServerId(1),
            load: 0.6 / PROXIES as f64,
            setup_rate: 10.0,
        });
        tell(&mut p, Told::new());
        let r = grouped(1, 7, p.now);
        entered += usize::from(sent(&p.arrive(r)).is_some());
    }
    assert!((1..=14).contains(&entered), "{entered} of {PROXIES}");
}

/// A fleet that tells each other what it holds with so much delay, in clients that come.
struct Fleet {
    proxies: Vec<Proxy>,
    stands: Vec<(usize, u32, ServerId)>,
    rng: Pcg64Mcg,
    now: f64,
}

impl Fleet {
    fn told(&self) -> Told {
        let mut told = Told::new();
        for h in self.proxies.iter().flat_map(|p| p.module.holdings()) {
            let away = told.entry(h.server).or_default();
            (away.load, away.connections) = (away.load + h.load, away.connections + f64::from(h.connections));
            away.groups.insert(h.group as u32);
        }
        told
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// One client comes, and one that stands for longest leaves.
    fn comes(&mut self, id: u32) {
        self.now += 0.02;
        if self.stands.len() >= 1_000 {
            let (at, id, server) = self.stands.remove(0);
            self.proxies[at].now = self.now;
            self.proxies[at].end(id, server, 0, Outcome::Ok);
        }
        let at = (self.draw() * PROXIES as f64) as usize;
        let group = 1 + 80_f64.powf(self.draw()) as u64;
        let p = &mut self.proxies[at];
        p.now = self.now;
        let to = sent(&p.arrive(grouped(id, group, self.now))).expect("there is room");
        p.give(Event::Established { request: RequestId(id), attempt: 0 });
        self.stands.push((at, id, to));
    }

    /// What servers are asked for over the mean: the most and the least.
    fn spread(&self) -> (f64, f64) {
        let told = self.told();
        let mean =
            told.values().map(|a| a.load).sum::<f64>() / told.values().map(|a| a.connections).sum::<f64>();
        let of = |a: &RemoteLoad| a.load + 0.1 * mean * a.connections + 2.0 * mean * a.groups.len() as f64;
        let all: Vec<f64> = (1..=SERVERS).map(|s| told.get(&ServerId(s)).map_or(0.0, of)).collect();
        let even = all.iter().sum::<f64>() / all.len() as f64;
        let (most, least) = all.iter().fold((0.0, f64::MAX), |t, x| (f64::max(t.0, *x), f64::min(t.1, *x)));
        (most / even, least / even)
    }
}

#[test]
fn two_hundred_proxies_that_hear_of_each_other_half_a_second_later_fill_all_servers_evenly() {
    for seed in 1..=2 {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let proxies = (0..PROXIES).map(proxy).collect();
        let mut fleet = Fleet { proxies, stands: Vec::new(), rng, now: 100.0 };
        let mut told = vec![Told::new(); 2];
        for id in 0..3_000 {
            // Every 0.2 s they are told what was so 0.4 s before.
            if id % 10 == 0 {
                let old = told.remove(0);
                fleet.proxies.iter_mut().for_each(|p| p.now = fleet.now);
                for p in &mut fleet.proxies {
                    tell(p, old.clone());
                    if id % 50 == 0 {
                        p.give(Event::TimerFired(HOUSEKEEPING));
                    }
                }
                told.push(fleet.told());
            }
            fleet.comes(id);
        }
        let (most, least) = fleet.spread();
        assert!(most < 1.4 && least > 0.6, "seed {seed}: {most:.2} and {least:.2} of the mean");
    }
}
