//! Proxies that hear what others hold: what each does by it, what all of them make of a fleet, and that it is as before when
//! nothing is heard any more.

mod common;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::{TestInstance, attempted_server, endpoint_list, entry, request, settings};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use shorewharf_decisions::Balancer;
use shorewharf_decisions::interface::{
    Action, Event, Outcome, RemoteLoad, Request, RequestId, ServerEntry, ServerId, Settings,
};

const INSTANCES: u64 = 200;
const SERVERS: u64 = 60;
/// The module's own timer, once a second.
const HOUSEKEEPING: u64 = 1 << 40;

fn new_instance(me: u64) -> TestInstance {
    let tenant_quota = vec![50.0 * SERVERS as f64];
    let set = Settings {
        instance_index: me,
        instance_count: INSTANCES as f64,
        may_probe: true,
        tenant_connection_quotas: tenant_quota,
        ..settings()
    };
    let mut instance = TestInstance { balancer: Balancer::new(set, me), now: 100.0 };
    instance.handle(Event::Start);
    instance.handle(endpoint_list(&(1..=SERVERS).map(entry).collect::<Vec<_>>()));
    instance
}

fn grouped(id: u32, group: u64, now: f64) -> Request {
    Request { group, load: Some(0.1), ..request(id, now) }
}

type RemoteLoads = BTreeMap<ServerId, RemoteLoad>;

/// All servers are asked for this much by others, with connections of a tenth each, but for some.
fn even(load: f64, but: &[(u64, f64)]) -> RemoteLoads {
    let one = |id: u64| {
        let load = but.iter().find(|b| b.0 == id).map_or(load, |b| b.1);
        (ServerId(id), RemoteLoad { load, connections: load * 10.0, groups: BTreeSet::new() })
    };
    (1..=SERVERS).map(one).collect()
}

fn report_loads(instance: &mut TestInstance, loads: RemoteLoads) {
    instance.handle(Event::RemoteLoadsUpdated(Some(Arc::new(loads))));
}

fn sends_probes(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Probe(_)))
}

#[test]
fn who_hears_of_others_passes_over_what_they_have_filled_and_asks_nobody() {
    let mut instance = new_instance(1);
    report_loads(&mut instance, even(1.0, &[]));
    let actions = instance.receive(grouped(1, 7, 100.0));
    let first = attempted_server(&actions).expect("there is room");
    assert!(!sends_probes(&actions), "{actions:?}");
    let mut instance = new_instance(2);
    report_loads(&mut instance, even(1.0, &[(first.0, 2.0)]));
    let second = attempted_server(&instance.receive(grouped(1, 7, 100.0))).expect("there is room");
    assert_ne!(first, second, "it is asked for twice as much as the others");
    // Where the group stands already it costs less than elsewhere.
    let mut instance = new_instance(3);
    let mut loads = even(4.0, &[]);
    let holds = ServerId(1 + second.0 % SERVERS);
    loads.get_mut(&holds).expect("listed").groups.insert(7);
    report_loads(&mut instance, loads);
    assert_eq!(attempted_server(&instance.receive(grouped(1, 7, 100.0))), Some(holds));
}

#[test]
fn a_crowd_that_comes_again_is_spread_over_some_servers() {
    let mut at = BTreeMap::<ServerId, u32>::new();
    for me in 0..INSTANCES {
        let mut instance = new_instance(me);
        report_loads(&mut instance, even(4.0, &[]));
        let r = Request { is_returning: true, ..grouped(1, 7, 100.0) };
        *at.entry(attempted_server(&instance.receive(r)).expect("there is room")).or_default() += 1;
    }
    let most = at.values().max().copied().unwrap_or(0);
    assert!(at.len() <= 4 && most < INSTANCES as u32 / 2, "{at:?}");
}

#[test]
fn when_nothing_is_heard_any_more_it_is_alone_at_once() {
    let mut instance = new_instance(1);
    report_loads(&mut instance, even(1.0, &[]));
    assert!(attempted_server(&instance.receive(grouped(1, 7, instance.now))).is_some());
    instance.handle(Event::RemoteLoadsUpdated(None));
    assert!(
        sends_probes(&instance.receive(grouped(2, 8, 100.0))),
        "too few are heard of: it sounds as before"
    );
    report_loads(&mut instance, even(1.0, &[]));
    instance.now += 1.5;
    let r = grouped(3, 9, instance.now);
    assert!(sends_probes(&instance.receive(r)), "what was told is old");
}

#[test]
fn the_parts_of_a_cold_server_add_up_to_what_it_holds() {
    let mut entered = 0;
    for me in 0..INSTANCES {
        let mut instance = new_instance(me);
        let born = instance.now - 3.0;
        instance.handle(endpoint_list(&[ServerEntry { started_at: born, ..entry(1) }]));
        instance.handle(Event::MeanLoadEstimated(0.1));
        // It holds six mean connections by now; a rate would have let in ten from each proxy.
        instance.handle(Event::CapacityEstimated {
            server: ServerId(1),
            load: 0.6 / INSTANCES as f64,
            setup_rate: 10.0,
        });
        report_loads(&mut instance, RemoteLoads::new());
        let r = grouped(1, 7, instance.now);
        entered += usize::from(attempted_server(&instance.receive(r)).is_some());
    }
    assert!((1..=14).contains(&entered), "{entered} of {INSTANCES}");
}

/// A fleet that tells each other what it holds with so much delay, in clients that come.
struct Fleet {
    proxies: Vec<TestInstance>,
    stands: Vec<(usize, u32, ServerId)>,
    rng: Pcg64Mcg,
    now: f64,
}

impl Fleet {
    fn loads(&self) -> RemoteLoads {
        let mut loads = RemoteLoads::new();
        for h in self.proxies.iter().flat_map(|instance| instance.balancer.holdings()) {
            let away = loads.entry(h.server).or_default();
            (away.load, away.connections) = (away.load + h.load, away.connections + f64::from(h.connections));
            away.groups.insert(h.group as u32);
        }
        loads
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
            self.proxies[at].end_attempt(id, server, 0, Outcome::Ok);
        }
        let at = (self.draw() * INSTANCES as f64) as usize;
        let group = 1 + 80_f64.powf(self.draw()) as u64;
        let instance = &mut self.proxies[at];
        instance.now = self.now;
        let to = attempted_server(&instance.receive(grouped(id, group, self.now))).expect("there is room");
        instance.handle(Event::Established { request: RequestId(id), attempt: 0 });
        self.stands.push((at, id, to));
    }

    /// What servers are asked for over the mean: the most and the least.
    fn spread(&self) -> (f64, f64) {
        let loads = self.loads();
        let mean =
            loads.values().map(|a| a.load).sum::<f64>() / loads.values().map(|a| a.connections).sum::<f64>();
        let of = |a: &RemoteLoad| a.load + 0.1 * mean * a.connections + 2.0 * mean * a.groups.len() as f64;
        let all: Vec<f64> = (1..=SERVERS).map(|s| loads.get(&ServerId(s)).map_or(0.0, of)).collect();
        let even = all.iter().sum::<f64>() / all.len() as f64;
        let (most, least) = all.iter().fold((0.0, f64::MAX), |t, x| (f64::max(t.0, *x), f64::min(t.1, *x)));
        (most / even, least / even)
    }
}

#[test]
fn two_hundred_proxies_that_hear_of_each_other_half_a_second_later_fill_all_servers_evenly() {
    for seed in 1..=2 {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let proxies = (0..INSTANCES).map(new_instance).collect();
        let mut fleet = Fleet { proxies, stands: Vec::new(), rng, now: 100.0 };
        let mut loads = vec![RemoteLoads::new(); 2];
        for id in 0..3_000 {
            // Every 0.2 s they are told what was so 0.4 s before.
            if id % 10 == 0 {
                let old = loads.remove(0);
                fleet.proxies.iter_mut().for_each(|instance| instance.now = fleet.now);
                for instance in &mut fleet.proxies {
                    report_loads(instance, old.clone());
                    if id % 50 == 0 {
                        instance.handle(Event::TimerFired(HOUSEKEEPING));
                    }
                }
                loads.push(fleet.loads());
            }
            fleet.comes(id);
        }
        let (most, least) = fleet.spread();
        assert!(most < 1.4 && least > 0.6, "seed {seed}: {most:.2} and {least:.2} of the mean");
    }
}
