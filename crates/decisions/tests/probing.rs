//! Instances that each have less than one connection at a server: what they learn from probes, and how they
//! fill the servers of a fleet together.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::{TestInstance, attempted_server, endpoint_list, entry, record_timers, request, settings};
use proptest::prelude::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use shorewharf_decisions::Balancer;
use shorewharf_decisions::interface::{Action, Event, Outcome, Request, RequestId, ServerId, Settings};

const CONNECT_TIMEOUT_SECONDS: f64 = 0.25;

fn probing_instance(index: u64, instance_count: u64, server_count: u64, may_probe: bool) -> TestInstance {
    let tenant_quota = vec![50.0 * server_count as f64];
    let settings = Settings {
        instance_index: index,
        instance_count: instance_count as f64,
        may_probe,
        tenant_connection_quotas: tenant_quota,
        ..settings()
    };
    let mut instance = TestInstance { balancer: Balancer::new(settings, index), now: 100.0 };
    instance.handle(Event::Start);
    instance.handle(endpoint_list(&(1..=server_count).map(entry).collect::<Vec<_>>()));
    instance
}

fn grouped(id: u32, group: u64, now: f64) -> Request {
    Request { group, ..request(id, now) }
}

fn probed_servers(actions: &[Action]) -> Vec<ServerId> {
    let probed = |action: &Action| match action {
        Action::Probe(server) => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(probed).collect()
}

fn probe_ended(server: ServerId, outcome: Outcome) -> Event {
    Event::ProbeEnded { server, outcome, load_ratio: None }
}

/// Answers each probe after the number of seconds that `duration` gives for its server, along with any
/// further probes. Returns the server to which the client is sent.
fn answer_probes(
    instance: &mut TestInstance,
    probed: &[ServerId],
    duration: &dyn Fn(ServerId) -> f64,
) -> Option<ServerId> {
    let started_at = instance.now;
    let mut order = probed.to_vec();
    order.sort_by(|a, b| duration(*a).total_cmp(&duration(*b)));
    let mut chosen = None;
    for server in order {
        instance.now = started_at + duration(server);
        let actions = instance.handle(probe_ended(server, Outcome::Ok));
        chosen = chosen.or(attempted_server(&actions));
        let more = probed_servers(&actions);
        if !more.is_empty() {
            chosen = chosen.or(answer_probes(instance, &more, duration));
        }
    }
    chosen
}

#[test]
fn only_an_instance_without_an_own_load_signal_probes_and_avoids_servers_with_slow_probes() {
    let mut instance = probing_instance(1, 300, 90, true);
    let probed = probed_servers(&instance.receive(grouped(1, 7, 100.0)));
    assert_eq!(probed.len(), 3, "{probed:?}");
    // These answers set the usual duration.
    assert_eq!(answer_probes(&mut instance, &probed, &|_| 0.004), Some(probed[0]));
    instance.handle(Event::Established { request: RequestId(1), attempt: 0 });
    instance.now = 101.0;
    assert_eq!(
        probed_servers(&instance.receive(grouped(2, 7, 101.0))),
        probed,
        "the group's ranks stay the same"
    );
    let duration = |server| if server == probed[0] { 0.010 } else { 0.004 };
    assert_eq!(answer_probes(&mut instance, &probed, &duration), Some(probed[1]));
    let mut instance = probing_instance(1, 4, 90, true);
    assert!(
        attempted_server(&instance.receive(grouped(1, 7, 100.0))).is_some(),
        "with four instances, an instance's own load is signal enough"
    );
}

#[test]
fn a_pending_probe_does_not_delay_clients_for_long() {
    let mut instance = probing_instance(1, 300, 90, true);
    let mut timers = Vec::new();
    let actions = instance.receive(grouped(1, 7, 100.0));
    record_timers(&actions, instance.now, &mut timers);
    let probed = probed_servers(&actions);
    instance.now += 0.004;
    assert_eq!(
        attempted_server(&instance.handle(probe_ended(probed[1], Outcome::Ok))),
        None,
        "the first server may still answer"
    );
    let actions = instance.advance_to(&mut timers, 100.0 + CONNECT_TIMEOUT_SECONDS * 0.3);
    assert_eq!(attempted_server(&actions), Some(probed[1]), "{actions:?}");
    // A server that rejects a probe for lack of capacity isn't quarantined, but gets no client for the time
    // being.
    instance.now += 10.0;
    let request = grouped(2, 7, instance.now);
    let probed = probed_servers(&instance.receive(request));
    assert_eq!(attempted_server(&instance.handle(probe_ended(probed[0], Outcome::Error))), None);
    instance.now += 0.004;
    assert_eq!(attempted_server(&instance.handle(probe_ended(probed[1], Outcome::Ok))), Some(probed[1]));
    assert!(!instance.balancer.unavailable_servers(instance.now).contains(&probed[0]));
}

/// A fleet whose servers answer probes like those of the platform: at full speed up to a load ratio of 0.3,
/// and at a fifth of it from 1.1 on.
struct Fleet {
    instances: Vec<TestInstance>,
    /// Established connections, each with the index of its instance, its request, its server and its group.
    connections: Vec<(usize, u32, ServerId, u64)>,
    rng: Pcg64Mcg,
    now: f64,
    probe_count: u64,
}

const INSTANCES: u64 = 300;
const SERVERS: u64 = 90;
const MAX_CONNECTIONS: usize = 1500;
const GROUPS: u64 = 90;
/// Number of connections that fill a server; each group at the server counts as two more connections.
const FULL_SERVER_CONNECTIONS: f64 = 50.0;

impl Fleet {
    fn new(seed: u64, may_probe: bool) -> Fleet {
        let instances =
            (0..INSTANCES).map(|index| probing_instance(index, INSTANCES, SERVERS, may_probe)).collect();
        Fleet {
            instances,
            connections: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 100.0,
            probe_count: 0,
        }
    }

    fn loads(&self) -> BTreeMap<ServerId, f64> {
        let mut loads: BTreeMap<_, f64> = (1..=SERVERS).map(|server| (ServerId(server), 0.0)).collect();
        let mut groups = BTreeSet::new();
        for (_, _, server, group) in &self.connections {
            let is_new_group = groups.insert((*server, *group));
            *loads.get_mut(server).expect("listed") +=
                (1.0 + if is_new_group { 2.0 } else { 0.0 }) / FULL_SERVER_CONNECTIONS;
        }
        loads
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Connects one client, and ends the oldest connection if there are `MAX_CONNECTIONS`. The sizes of the
    /// groups are as unequal as on the platform.
    fn connect_client(&mut self, id: u32) {
        self.now += 0.014;
        if self.connections.len() >= MAX_CONNECTIONS {
            let (index, id, server, _) = self.connections.remove(0);
            self.instances[index].now = self.now;
            self.instances[index].end_attempt(id, server, 0, Outcome::Ok);
        }
        let index = (self.draw() * INSTANCES as f64) as usize;
        let group = 1 + (GROUPS as f64).powf(self.draw()) as u64;
        let noise: Vec<f64> = (0..=SERVERS).map(|_| 0.9 + 0.2 * self.draw()).collect();
        let loads = self.loads();
        let instance = &mut self.instances[index];
        instance.now = self.now;
        let actions = instance.receive(grouped(id, group, self.now));
        let probed = probed_servers(&actions);
        self.probe_count += probed.len() as u64;
        let duration = |server: ServerId| {
            0.0015 + 0.003 * noise[server.0 as usize] / (1.3 - loads[&server]).clamp(0.2, 1.0)
        };
        let server = attempted_server(&actions)
            .or_else(|| answer_probes(instance, &probed, &duration))
            .expect("an attempt begins");
        instance.handle(Event::Established { request: RequestId(id), attempt: 0 });
        self.connections.push((index, id, server, group));
    }
}

#[test]
fn probes_keep_three_hundred_instances_from_overloading_servers() {
    for seed in 1..=2 {
        let [without_probes, with_probes] = [false, true].map(|may_probe| {
            let mut fleet = Fleet::new(seed, may_probe);
            (0..4000).for_each(|id| fleet.connect_client(id));
            let loads = fleet.loads();
            let mean = loads.values().sum::<f64>() / loads.len() as f64;
            let max = loads.values().copied().fold(0.0, f64::max);
            (max, mean, fleet.probe_count as f64 / 4000.0)
        });
        assert!(without_probes.0 > 1.2, "without probes a server is overloaded: {without_probes:?}");
        assert!(
            with_probes.0 < 0.85 && with_probes.0 < 0.6 * without_probes.0,
            "{with_probes:?} with probes, {without_probes:?} without"
        );
        assert!(with_probes.2 < 7.0, "probes for each client: {with_probes:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Whatever happens to probes, each client is sent to a server once or is rejected in time.
    #[test]
    fn every_request_is_answered_whatever_the_outcomes_of_probes(
        steps in prop::collection::vec((0u8..5, any::<prop::sample::Index>(), 0.0..0.3f64), 1..60),
    ) {
        let mut instance = probing_instance(1, 300, 45, true);
        let (mut pending_probes, mut unanswered) = (BTreeSet::new(), BTreeSet::new());
        let (mut timers, mut id) = (Vec::new(), 0);
        let mut attempted = BTreeSet::new();
        let mut check = |
            actions: &[Action],
            pending_probes: &mut BTreeSet<ServerId>,
            unanswered: &mut BTreeSet<u32>,
        | {
            for action in actions {
                match action {
                    Action::Probe(server) => { pending_probes.insert(*server); }
                    Action::BeginAttempt { request, .. } => {
                        let is_first = unanswered.contains(&request.0) && attempted.insert(request.0);
                        assert!(is_first, "{request:?} is sent twice or after its answer");
                    }
                    // An attempt that is not established by the deadline is given up.
                    Action::Reject { request, .. } | Action::Fail(request) => {
                        assert!(unanswered.remove(&request.0), "{request:?} is answered twice");
                    }
                    _ => {}
                }
            }
        };
        for (kind, index, wait) in steps {
            let actions = match kind {
                0 | 1 => {
                    id += 1;
                    unanswered.insert(id);
                    instance.receive(grouped(id, u64::from(id % 3) + 1, instance.now))
                }
                2 | 3 if !pending_probes.is_empty() => {
                    let server = *index.get(&pending_probes.iter().copied().collect::<Vec<_>>());
                    pending_probes.remove(&server);
                    let outcomes = [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::TimedOut];
                    let outcome = outcomes[index.index(4)];
                    instance.handle(probe_ended(server, outcome))
                }
                _ => { let until = instance.now + wait; instance.advance_to(&mut timers, until) }
            };
            record_timers(&actions, instance.now, &mut timers);
            check(&actions, &mut pending_probes, &mut unanswered);
            for action in &actions {
                if let Action::BeginAttempt { request, .. } = action {
                    instance.handle(Event::Established { request: *request, attempt: 0 });
                    unanswered.remove(&request.0);
                }
            }
        }
        let until = instance.now + 3.0;
        let actions = instance.advance_to(&mut timers, until);
        check(&actions, &mut pending_probes, &mut unanswered);
        prop_assert!(unanswered.is_empty(), "{unanswered:?} are never answered");
    }
}
