//! Slow rebalancing on a model fleet: real decision modules with the overload controller around them, servers that take
//! whatever comes, and clients that come back to any balancer. No two instances share anything.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use shorewharf_decisions::interface::{
    Action, Event, Idempotency, Outcome, Request, RequestClass, RequestId, ServerEntry, ServerId,
    ServerState, Settings, WeightKind,
};
use shorewharf_recovery::controller::ControllerOptions;
use shorewharf_recovery::protected_balancer::ProtectedBalancer;
use shorewharf_units::seconds_from_micros;

/// Mean load of a client, in cores.
const MEAN_LOAD: f64 = 0.02;
/// What a server pays for an open connection and for each group, in mean loads.
const OPEN_COST: f64 = 0.1;
const GROUP_COST: f64 = 2.0;
const WARM_UP_SECONDS: f64 = 20.0;
const COLD_CAPACITY_RATIO: f64 = 0.2;
/// Clients in a group.
const GROUP_SIZE: u64 = 4;
/// When half of the servers have come back.
const BACK_AT: f64 = 1000.0;
/// How often the fleet is looked at.
const OBSERVATION_INTERVAL: f64 = 0.5;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    TimerFires { balancer: usize, token: u64 },
    ClientRequests { client: usize },
    AttemptAnswered { balancer: usize, request: RequestId },
}

/// Where a client is connected.
#[derive(Clone, Copy)]
struct ConnectedTo {
    server: ServerId,
    balancer: usize,
    request: RequestId,
}

struct Client {
    load: f64,
    group: u64,
    connected: Option<ConnectedTo>,
    migrations: u32,
}

/// A client's request at a balancer.
#[derive(Clone, Copy)]
struct PendingRequest {
    client: usize,
    server: Option<ServerId>,
    attempts: u32,
}

struct ModelFleet {
    now: f64,
    rng: Pcg64Mcg,
    weights: Vec<f64>,
    started_at: Vec<f64>,
    is_up: Vec<bool>,
    balancers: Vec<ProtectedBalancer>,
    clients: Vec<Client>,
    /// By balancer and request.
    requests: BTreeMap<(usize, RequestId), PendingRequest>,
    /// By time in microseconds and serial number.
    events: BinaryHeap<Reverse<(u64, u64, FleetEvent)>>,
    serial: u64,
    migrations: u64,
    log: Vec<String>,
}

fn settings(instance_count: usize) -> Settings {
    let class = RequestClass {
        latency_objective: 0.8,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        message_latency_objective: 0.05,
    };
    Settings {
        instance_index: 0,
        instance_count: instance_count as f64,
        zone: 0,
        zone_count: 1.0,
        classes: vec![class],
        tenant_connection_quotas: vec![],
        tenant_rate_quotas: vec![],
        polls_discovery: false,
        poll_interval: 5.0,
        cold_capacity_ratio: COLD_CAPACITY_RATIO,
        warm_up_time: WARM_UP_SECONDS,
        overload_ratio: 3.0,
        overload_window: 1.5,
        max_attempts: 3,
        connect_timeout: 0.25,
        max_retry_after: 1.5,
        sends_retry_after: true,
        may_probe: true,
        may_cancel: true,
        is_pass_through: false,
        parked_connection_timeout: 0.0,
        has_groups: true,
        weight_kind: WeightKind::Capacity,
        zone_crossing_cost: 0.0,
        migration_cost: 0.0,
        tick: 0.005,
    }
}

impl ModelFleet {
    /// A fleet in which everybody is connected to the first half of the servers, and the other half has just come back.
    fn half_back(balancers: usize, servers: usize, clients: usize, seed: u64) -> ModelFleet {
        let settings = settings(balancers);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let balancer = |index: usize| {
            let settings = Settings { instance_index: index as u64, ..settings.clone() };
            ProtectedBalancer::new(settings, rng.next_u64(), ControllerOptions::ALL)
        };
        let mut fleet = ModelFleet {
            now: BACK_AT + 0.5,
            balancers: (0..balancers).map(balancer).collect(),
            is_up: vec![true; servers],
            weights: (0..servers).map(|server| [4.0, 6.0, 8.0][server % 3]).collect(),
            started_at: (0..servers).map(|server| if server % 2 == 1 { BACK_AT } else { 0.0 }).collect(),
            rng,
            clients: vec![],
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            serial: 0,
            migrations: 0,
            log: vec![],
        };
        for balancer in 0..balancers {
            fleet.dispatch(balancer, Event::Start);
        }
        fleet.announce_servers();
        for client in 0..clients {
            fleet.add_connected_client(client);
        }
        fleet
    }

    /// Adds a client that is connected to one of the warm servers.
    fn add_connected_client(&mut self, client: usize) {
        let warm: Vec<usize> = (0..self.weights.len()).step_by(2).collect();
        let total_weight: f64 = warm.iter().map(|server| self.weights[*server]).sum();
        let load = MEAN_LOAD * (0.4 + 1.2 * self.random_unit());
        let mut position = self.random_unit() * total_weight;
        let server = warm.iter().copied().find(|server| {
            position -= self.weights[*server];
            position <= 0.0
        });
        let server = ServerId(server.unwrap_or(warm[0]) as u64);
        let (balancer, request) = (client % self.balancers.len(), RequestId(client as u32));
        let connected = Some(ConnectedTo { server, balancer, request });
        let group = 1 + client as u64 / GROUP_SIZE;
        self.clients.push(Client { load, group, connected, migrations: 0 });
        let pending = PendingRequest { client, server: Some(server), attempts: 1 };
        self.requests.insert((balancer, request), pending);
        self.dispatch(balancer, Event::ConnectionRestored(self.request(client, request), server));
        self.dispatch(balancer, Event::LoadChanged { request, load });
    }

    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn request(&self, client: usize, id: RequestId) -> Request {
        Request {
            id,
            class: 0,
            tenant: 0,
            key: client as u64 + 1,
            deadline: self.now + 3.0,
            load: None,
            group: self.clients[client].group,
            is_mid_flow: false,
            is_returning: true,
        }
    }

    /// Sends all balancers the endpoint list as it is.
    fn announce_servers(&mut self) {
        let entry = |server: usize| ServerEntry {
            server: ServerId(server as u64),
            zone: 0,
            cell: 0,
            weight: self.weights[server],
            started_at: self.started_at[server],
            state: if self.is_up[server] { ServerState::Ready } else { ServerState::Removed },
        };
        let entries: Vec<ServerEntry> = (0..self.weights.len()).map(entry).collect();
        for balancer in 0..self.balancers.len() {
            let entries = entries.clone().into();
            self.dispatch(balancer, Event::EndpointList { is_complete: true, is_cached: false, entries });
        }
    }

    fn schedule_after(&mut self, seconds: f64, event: FleetEvent) {
        self.serial += 1;
        self.events.push(Reverse((((self.now + seconds) * 1e6) as u64, self.serial, event)));
    }

    /// Has a balancer handle an event, and carries out its actions.
    fn dispatch(&mut self, balancer: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(balancer, action);
        }
    }

    fn execute(&mut self, balancer: usize, action: Action) {
        match action {
            Action::SetTimer { after, token } => {
                self.schedule_after(after, FleetEvent::TimerFires { balancer, token });
            }
            Action::BeginAttempt { request, server, .. } => {
                let pending = self.requests.get_mut(&(balancer, request)).expect("it was received");
                pending.server = Some(server);
                pending.attempts += 1;
                self.schedule_after(0.03, FleetEvent::AttemptAnswered { balancer, request });
            }
            Action::Reject { request, .. } => {
                let pending = self.requests.remove(&(balancer, request)).expect("it was received");
                self.schedule_after(0.5, FleetEvent::ClientRequests { client: pending.client });
            }
            Action::Migrate(request) => {
                self.migrations += 1;
                self.disconnect(balancer, request, Outcome::Cancelled, 0.05);
            }
            Action::Log(line) => self.log.push(line),
            _ => {}
        }
    }

    /// An established connection ends, and its client asks again after a pause.
    fn disconnect(&mut self, balancer: usize, request: RequestId, outcome: Outcome, pause: f64) {
        let Some(pending) = self.requests.remove(&(balancer, request)) else { return };
        let PendingRequest { client, server: Some(server), attempts } = pending else { return };
        self.clients[client].connected = None;
        self.clients[client].migrations += u32::from(outcome == Outcome::Cancelled);
        self.schedule_after(pause, FleetEvent::ClientRequests { client });
        let attempt = attempts - 1;
        let (is_answered, load_ratio) = (true, None);
        let ended = Event::AttemptEnded { request, server, attempt, outcome, is_answered, load_ratio };
        self.dispatch(balancer, ended);
    }

    fn kill(&mut self, server: usize) {
        self.is_up[server] = false;
        let connected = self.clients.iter().filter_map(|client| client.connected);
        let lost: Vec<ConnectedTo> =
            connected.filter(|connected| connected.server == ServerId(server as u64)).collect();
        for ConnectedTo { balancer, request, .. } in lost {
            self.disconnect(balancer, request, Outcome::Reset, 0.2);
        }
    }

    fn restart(&mut self, server: usize, at: f64) {
        self.is_up[server] = true;
        self.started_at[server] = at;
    }

    /// Runs until a time, and has the fleet observed twice a second.
    fn run_until(&mut self, until: f64, mut observe: impl FnMut(&ModelFleet)) {
        let mut observed_at = 0.0;
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            if seconds_from_micros(at) > until {
                break;
            }
            self.events.pop();
            self.now = seconds_from_micros(at);
            match event {
                FleetEvent::TimerFires { balancer, token } => {
                    self.dispatch(balancer, Event::TimerFired(token));
                }
                FleetEvent::ClientRequests { client } => self.send_request(client),
                FleetEvent::AttemptAnswered { balancer, request } => self.answer_attempt(balancer, request),
            }
            if self.now >= observed_at + OBSERVATION_INTERVAL {
                observed_at = self.now;
                observe(self);
            }
        }
        self.now = until;
    }

    /// A client asks any balancer for a connection.
    fn send_request(&mut self, client: usize) {
        let balancer = (self.rng.next_u64() % self.balancers.len() as u64) as usize;
        self.serial += 1;
        let id = RequestId(1 << 20 | self.serial as u32);
        self.requests.insert((balancer, id), PendingRequest { client, server: None, attempts: 0 });
        self.dispatch(balancer, Event::RequestReceived(self.request(client, id)));
    }

    fn answer_attempt(&mut self, balancer: usize, request: RequestId) {
        let Some(pending) = self.requests.get(&(balancer, request)).copied() else { return };
        let PendingRequest { client, server: Some(server), attempts } = pending else { return };
        let attempt = attempts - 1;
        if !self.is_up[server.0 as usize] {
            let (outcome, is_answered, load_ratio) = (Outcome::ConnectFailed, false, None);
            let ended = Event::AttemptEnded { request, server, attempt, outcome, is_answered, load_ratio };
            return self.dispatch(balancer, ended);
        }
        self.clients[client].connected = Some(ConnectedTo { server, balancer, request });
        self.dispatch(balancer, Event::Established { request, attempt });
        let load = self.clients[client].load;
        self.dispatch(balancer, Event::LoadChanged { request, load });
    }

    /// The share of its warm capacity that a server has reached.
    fn warm_up_ratio(&self, server: usize) -> f64 {
        let started_at = self.started_at[server];
        if started_at <= 0.0 {
            return 1.0;
        }
        let warmed = ((self.now - started_at) / WARM_UP_SECONDS).clamp(0.0, 1.0);
        COLD_CAPACITY_RATIO + (1.0 - COLD_CAPACITY_RATIO) * warmed
    }

    /// Load of all over what a server can do by now, by server.
    fn utilizations(&self) -> Vec<f64> {
        let mut loads = vec![0.0; self.weights.len()];
        let mut groups = BTreeSet::new();
        for client in &self.clients {
            let Some(ConnectedTo { server, .. }) = client.connected else { continue };
            loads[server.0 as usize] += client.load + OPEN_COST * MEAN_LOAD;
            if groups.insert((server, client.group)) {
                loads[server.0 as usize] += GROUP_COST * MEAN_LOAD;
            }
        }
        let utilization = |server: usize| loads[server] / self.weights[server] / self.warm_up_ratio(server);
        (0..loads.len()).map(utilization).collect()
    }

    /// The largest utilization of a server that has come back.
    fn largest_utilization_of_returned(&self) -> f64 {
        let utilizations = self.utilizations().into_iter().zip(&self.started_at);
        let returned = utilizations.filter(|(_, started_at)| **started_at > 0.0);
        returned.map(|(utilization, _)| utilization).fold(0.0, f64::max)
    }

    /// The largest utilization over the mean one.
    fn imbalance(&self) -> f64 {
        let utilizations = self.utilizations().into_iter().zip(&self.is_up);
        let up: Vec<f64> =
            utilizations.filter(|(_, is_up)| **is_up).map(|(utilization, _)| utilization).collect();
        up.iter().copied().fold(0.0, f64::max) / (up.iter().sum::<f64>() / up.len() as f64)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(8), cases: 8, failure_persistence: None, max_shrink_iters: 0, ..ProptestConfig::default() })]

    /// Servers that came back stayed empty, or were flooded by all balancers at once, or clients went to and fro for ever.
    #[test]
    fn servers_that_came_back_are_filled_slowly_level_and_then_nothing_moves(
        balancers in 1usize..6, servers in prop::sample::select(vec![4usize, 6]), seed: u64,
    ) {
        let clients = servers * 60;
        let mut fleet = ModelFleet::half_back(balancers, servers, clients, seed);
        let before = fleet.imbalance();
        let mut fullest: f64 = 0.0;
        let mut paces = vec![(fleet.now, 0)];
        fleet.run_until(1150.0, |fleet| {
            fullest = fullest.max(fleet.largest_utilization_of_returned());
            paces.push((fleet.now, fleet.migrations));
        });
        prop_assert!(fullest < 0.9, "a server that came back was filled to {fullest:.2} of what it could do");
        prop_assert!(before > 1.8 && fleet.imbalance() < 1.2, "from {before:.2} to {:.2}", fleet.imbalance());
        // A fiftieth of the connections and a fifth of one a second for each balancer, and what was saved up.
        for (index, (at, migrations)) in paces.iter().enumerate() {
            let (from, then) = paces[index.saturating_sub(10)];
            let most = (at - from + 2.0) * (0.02 * clients as f64 * 1.1 + 0.2 * balancers as f64) + 2.0 * balancers as f64;
            prop_assert!((migrations - then) as f64 <= most, "{} migrations from {from:.1} to {at:.1}", migrations - then);
        }
        let (migrations, level) = (fleet.migrations, fleet.imbalance());
        prop_assert!(migrations < clients as u64, "{migrations} migrations of {clients} clients");
        fleet.run_until(1350.0, |_| {});
        let more = fleet.migrations - migrations;
        prop_assert!(more <= clients as u64 / 25, "{more} more migrations, once at {level:.2}");
        let most = fleet.clients.iter().map(|client| client.migrations).max().unwrap_or(0);
        prop_assert!(most <= 4, "a client migrated {most} times");
    }
}

/// A server that died while connections migrated to it took them all with it, and migrations went on as if nothing had
/// been.
#[test]
fn a_failure_stops_the_migrations_and_they_go_on_once_all_is_well() {
    let mut fleet = ModelFleet::half_back(3, 6, 450, 11);
    fleet.run_until(1015.0, |_| {});
    assert!(fleet.migrations > 10, "migrations have begun: {}", fleet.migrations);
    fleet.kill(1);
    let killed_at = fleet.now;
    fleet.run_until(killed_at + 1.0, |_| {});
    fleet.announce_servers();
    let migrations = fleet.migrations;
    fleet.run_until(killed_at + 4.0, |_| {});
    assert_eq!(fleet.migrations, migrations, "nothing migrates within 3 s of the news of a server's end");
    let to_it = fleet.requests.values().filter(|pending| pending.server == Some(ServerId(1))).count();
    assert_eq!(to_it, 0, "nobody waits for it");
    fleet.restart(1, killed_at + 10.0);
    fleet.run_until(killed_at + 10.0, |_| {});
    fleet.announce_servers();
    fleet.run_until(killed_at + 13.0, |_| {});
    let again = fleet.migrations;
    fleet.run_until(killed_at + 120.0, |_| {});
    let (more, imbalance) = (fleet.migrations - again, fleet.imbalance());
    assert!(more > 0 && imbalance < 1.2, "{more} migrations, {imbalance:.2}");
    let begins = fleet.log.iter().filter(|line| line.starts_with("rebalance=begins")).count();
    assert!(begins >= 3, "each balancer says that migrations begin: {:?}", fleet.log);
}

/// Which connections migrated where, to the last digit of what the servers carried then: a change of the code's shape
/// must change none of it.
#[test]
fn pinned_fleets_migrate_their_connections_as_in_the_fixture() {
    let fixture = include_str!("fixtures/migrations.txt");
    let mut replayed = String::new();
    for (balancers, servers, clients, seed) in [(1, 4, 240, 5), (3, 6, 450, 11), (2, 8, 800, 3)] {
        let mut fleet = ModelFleet::half_back(balancers, servers, clients, seed);
        fleet.run_until(1040.0, |fleet| {
            replayed += &format!("{} {} {:?}\n", fleet.now, fleet.migrations, fleet.utilizations());
        });
        fleet.kill(1);
        fleet.run_until(1060.0, |fleet| {
            replayed += &format!("{} {} {:?}\n", fleet.now, fleet.migrations, fleet.imbalance());
        });
        for balancer in &fleet.balancers {
            let stats = balancer.controller().stats().rebalance;
            replayed += &format!("{:?} {:?} {:?}\n", stats.migrations, stats.arrivals, stats.pauses);
        }
        replayed += &format!("{:?}\n", fleet.log);
    }
    if replayed != fixture {
        let actual = concat!(env!("CARGO_TARGET_TMPDIR"), "/recovery-migrations.txt");
        std::fs::write(actual, &replayed).expect("a temporary file");
        let line = replayed.lines().zip(fixture.lines()).position(|(actual, expected)| actual != expected);
        panic!("the migrations differ from the fixture, first in line {line:?}; they are in {actual}");
    }
}
