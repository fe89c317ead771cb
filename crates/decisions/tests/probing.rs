//! Proxies that each hold less than one connection of a server's: what they find out by sounding, and what all of them
//! make of a fleet together.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::{TestInstance, attempted_server, endpoint_list, entry, record_timers, request, settings};
use proptest::prelude::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use shorewharf_decisions::Balancer;
use shorewharf_decisions::interface::{Action, Event, Outcome, Request, RequestId, ServerId, Settings};

const CONNECT_TIMEOUT_SECONDS: f64 = 0.25;

fn probing_instance(me: u64, proxies: u64, servers: u64, may_probe: bool) -> TestInstance {
    let tenant_quota = vec![50.0 * servers as f64];
    let set = Settings {
        instance_index: me,
        instance_count: proxies as f64,
        may_probe,
        tenant_connection_quotas: tenant_quota,
        ..settings()
    };
    let mut instance = TestInstance { balancer: Balancer::new(set, me), now: 100.0 };
    instance.handle(Event::Start);
    instance.handle(endpoint_list(&(1..=servers).map(entry).collect::<Vec<_>>()));
    instance
}

fn grouped(id: u32, group: u64, now: f64) -> Request {
    Request { group, ..request(id, now) }
}

fn probed_servers(actions: &[Action]) -> Vec<ServerId> {
    let probe = |a: &Action| match a {
        Action::Probe(server) => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

fn probe_ended(server: ServerId, outcome: Outcome) -> Event {
    Event::ProbeEnded { server, outcome, load_ratio: None }
}

/// The answer to each probe comes after so long, in seconds; where the client was sent.
fn answer_probes(
    instance: &mut TestInstance,
    asked: &[ServerId],
    took: &dyn Fn(ServerId) -> f64,
) -> Option<ServerId> {
    let began = instance.now;
    let mut order = asked.to_vec();
    order.sort_by(|a, b| took(*a).total_cmp(&took(*b)));
    let mut to = None;
    for server in order {
        instance.now = began + took(server);
        let actions = instance.handle(probe_ended(server, Outcome::Ok));
        to = to.or(attempted_server(&actions));
        let more = probed_servers(&actions);
        if !more.is_empty() {
            to = to.or(answer_probes(instance, &more, took));
        }
    }
    to
}

#[test]
fn a_blind_proxy_passes_over_a_server_whose_probe_takes_long_and_one_that_sees_enough_does_not_probe() {
    let mut instance = probing_instance(1, 300, 90, true);
    let asked = probed_servers(&instance.receive(grouped(1, 7, 100.0)));
    assert_eq!(asked.len(), 3, "{asked:?}");
    // What is usual: five quick answers.
    assert_eq!(answer_probes(&mut instance, &asked, &|_| 0.004), Some(asked[0]));
    instance.handle(Event::Established { request: RequestId(1), attempt: 0 });
    instance.now = 101.0;
    assert_eq!(
        probed_servers(&instance.receive(grouped(2, 7, 101.0))),
        asked,
        "another proxy's ranks are its own"
    );
    let slow = |s| if s == asked[0] { 0.010 } else { 0.004 };
    assert_eq!(answer_probes(&mut instance, &asked, &slow), Some(asked[1]));
    let mut instance = probing_instance(1, 4, 90, true);
    assert!(attempted_server(&instance.receive(grouped(1, 7, 100.0))).is_some(), "four proxies see enough");
}

#[test]
fn a_probe_that_stays_out_holds_nobody_up() {
    let mut instance = probing_instance(1, 300, 90, true);
    let mut timers = Vec::new();
    let actions = instance.receive(grouped(1, 7, 100.0));
    record_timers(&actions, instance.now, &mut timers);
    let asked = probed_servers(&actions);
    instance.now += 0.004;
    assert_eq!(
        attempted_server(&instance.handle(probe_ended(asked[1], Outcome::Ok))),
        None,
        "the first one may still answer"
    );
    let actions = instance.advance_to(&mut timers, 100.0 + CONNECT_TIMEOUT_SECONDS * 0.3);
    assert_eq!(attempted_server(&actions), Some(asked[1]), "{actions:?}");
    // A server that has no hand free for probes isn't locked for it, and gets nobody meanwhile.
    instance.now += 10.0;
    let r = grouped(2, 7, instance.now);
    let asked = probed_servers(&instance.receive(r));
    assert_eq!(attempted_server(&instance.handle(probe_ended(asked[0], Outcome::Error))), None);
    instance.now += 0.004;
    assert_eq!(attempted_server(&instance.handle(probe_ended(asked[1], Outcome::Ok))), Some(asked[1]));
    assert!(!instance.balancer.unavailable_servers(instance.now).contains(&asked[0]));
}

/// A fleet whose servers answer probes as the platform's do: at full pace up to 0.3 of their load, at a fifth of it from
/// 1.1 on.
struct Fleet {
    proxies: Vec<TestInstance>,
    stands: Vec<(usize, u32, ServerId, u64)>,
    rng: Pcg64Mcg,
    now: f64,
    asked: u64,
}

const PROXIES: u64 = 300;
const SERVERS: u64 = 90;
const STAND: usize = 1500;
const GROUPS: u64 = 90;
/// So many connections fill a server, a group counting for two more.
const FILL: f64 = 50.0;

impl Fleet {
    fn new(seed: u64, may_probe: bool) -> Fleet {
        let proxies = (0..PROXIES).map(|me| probing_instance(me, PROXIES, SERVERS, may_probe)).collect();
        Fleet { proxies, stands: Vec::new(), rng: Pcg64Mcg::seed_from_u64(seed), now: 100.0, asked: 0 }
    }

    fn loads(&self) -> BTreeMap<ServerId, f64> {
        let mut loads: BTreeMap<_, f64> = (1..=SERVERS).map(|s| (ServerId(s), 0.0)).collect();
        let mut groups = BTreeSet::new();
        for (_, _, server, group) in &self.stands {
            let new = groups.insert((*server, *group));
            *loads.get_mut(server).expect("listed") += (1.0 + if new { 2.0 } else { 0.0 }) / FILL;
        }
        loads
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// One client comes, of a group as unequal in size as the platform's, and one that stands for longest leaves.
    fn comes(&mut self, id: u32) {
        self.now += 0.014;
        if self.stands.len() >= STAND {
            let (at, id, server, _) = self.stands.remove(0);
            self.proxies[at].now = self.now;
            self.proxies[at].end_attempt(id, server, 0, Outcome::Ok);
        }
        let at = (self.draw() * PROXIES as f64) as usize;
        let group = 1 + (GROUPS as f64).powf(self.draw()) as u64;
        let noise: Vec<f64> = (0..=SERVERS).map(|_| 0.9 + 0.2 * self.draw()).collect();
        let loads = self.loads();
        let instance = &mut self.proxies[at];
        instance.now = self.now;
        let actions = instance.receive(grouped(id, group, self.now));
        let asked = probed_servers(&actions);
        self.asked += asked.len() as u64;
        let took = |s: ServerId| 0.0015 + 0.003 * noise[s.0 as usize] / (1.3 - loads[&s]).clamp(0.2, 1.0);
        let to = attempted_server(&actions)
            .or_else(|| answer_probes(instance, &asked, &took))
            .expect("there is room");
        instance.handle(Event::Established { request: RequestId(id), attempt: 0 });
        self.stands.push((at, id, to, group));
    }
}

#[test]
fn three_hundred_blind_proxies_run_no_server_over() {
    for seed in 1..=2 {
        let [alone, sounding] = [false, true].map(|may_probe| {
            let mut fleet = Fleet::new(seed, may_probe);
            (0..4000).for_each(|id| fleet.comes(id));
            let loads = fleet.loads();
            let mean = loads.values().sum::<f64>() / loads.len() as f64;
            let most = loads.values().copied().fold(0.0, f64::max);
            (most, mean, fleet.asked as f64 / 4000.0)
        });
        assert!(alone.0 > 1.2, "without soundings a server is run over: {alone:?}");
        assert!(sounding.0 < 0.85 && sounding.0 < 0.6 * alone.0, "{sounding:?} beside {alone:?}");
        assert!(sounding.2 < 7.0, "probes for a client: {sounding:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Whatever probes do, each client is sent once or refused in time, and no server is sounded twice at once.
    #[test]
    fn every_client_gets_its_answer_whatever_becomes_of_probes(
        steps in prop::collection::vec((0u8..5, any::<prop::sample::Index>(), 0.0..0.3f64), 1..60),
    ) {
        let mut instance = probing_instance(1, 300, 45, true);
        let (mut out, mut owed, mut timers, mut id) = (BTreeSet::new(), BTreeSet::new(), Vec::new(), 0);
        let mut attempted = BTreeSet::new();
        let mut see = |actions: &[Action], out: &mut BTreeSet<ServerId>, owed: &mut BTreeSet<u32>| {
            for a in actions {
                match a {
                    Action::Probe(server) => { out.insert(*server); }
                    Action::BeginAttempt { request, .. } => {
                        assert!(owed.contains(&request.0) && attempted.insert(request.0), "{request:?} goes out twice");
                    }
                    // An attempt that has not come up by the deadline is given up.
                    Action::Reject { request, .. } | Action::Fail(request) => {
                        assert!(owed.remove(&request.0), "{request:?} was not owed anything");
                    }
                    _ => {}
                }
            }
        };
        for (what, which, wait) in steps {
            let actions = match what {
                0 | 1 => {
                    id += 1;
                    owed.insert(id);
                    instance.receive(grouped(id, u64::from(id % 3) + 1, instance.now))
                }
                2 | 3 if !out.is_empty() => {
                    let server = *which.get(&out.iter().copied().collect::<Vec<_>>());
                    out.remove(&server);
                    let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::TimedOut][which.index(4)];
                    instance.handle(probe_ended(server, outcome))
                }
                _ => { let until = instance.now + wait; instance.advance_to(&mut timers, until) }
            };
            record_timers(&actions, instance.now, &mut timers);
            see(&actions, &mut out, &mut owed);
            for a in &actions {
                if let Action::BeginAttempt { request, .. } = a {
                    instance.handle(Event::Established { request: *request, attempt: 0 });
                    owed.remove(&request.0);
                }
            }
        }
        let until = instance.now + 3.0;
        let actions = instance.advance_to(&mut timers, until);
        see(&actions, &mut out, &mut owed);
        prop_assert!(owed.is_empty(), "{owed:?} wait for ever");
    }
}
