//! Pinned random events played through the overload controller, compared line by line with a fixture: a change of the
//! code's shape must change no action and no figure, down to the last digit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState, Settings,
};
use shorewharf_recovery::controller::{CapacityEstimate, ControllerOptions};
use shorewharf_recovery::protected_balancer::ProtectedBalancer;
use shorewharf_recovery::snapshot_state::{ExportCursor, SnapshotEntry};

const FIXTURE: &str = include_str!("fixtures/replay.txt");
const SERVERS: u64 = 10;
/// Figures are written out every so many seconds.
const FIGURES_EVERY: f64 = 5.0;
/// Actions are written out in full in the first seconds of a run, and as a digest a second after that.
const FULL_FOR: f64 = 6.0;

fn settings(weights: &str, retry_after: bool) -> Settings {
    let text = format!(
        r#"{{"classes":[{{"promise_s":0.5,"semantics":"read_like","worth":1.0}}],
        "group_size":2,"me":1,"zone":0,"zones":["z"],"registry_mode":"push","tick_s":0.005,"weights":"{weights}",
        "specifics":{{"groups":true,"message_aim_s":[0.05],"mode":"proxy"}},
        "limits":{{"cancel":true,"connect_timeout_s":0.25,"max_attempts":4,"max_retry_after_s":1.0,"retry_after":{retry_after}}},
        "rules":{{"ask_within_s":10,"start_capacity":0.2,"warm_within_s":20,"fall_multiple":3,"drain_grace_s":0.5}}}}"#
    );
    shorewharf_settings::parse(text.as_bytes()).expect("valid settings").settings
}

/// What happens in a part of a run.
#[derive(Clone, Copy)]
struct Conditions {
    /// Requests a second.
    requests: f64,
    /// Of a hundred attempts, how many fail.
    failing: u64,
    /// Of a hundred servers at each look, how many say that messages are slow.
    slow: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    TimerFires(u64),
    AttemptEnds(RequestId),
    ConnectionEnds(RequestId),
    ProbeEnds(ServerId),
    ClientMigrates(RequestId),
    ClientArrives,
    ConditionsChange,
}

/// A server as the endpoint list has it.
#[derive(Clone, Copy)]
struct ListedServer {
    state: ServerState,
    started_at: f64,
}

#[derive(Clone, Copy)]
struct Attempt {
    server: ServerId,
    number: u32,
}

/// One balancer before a model fleet.
struct Run {
    now: f64,
    rng: Pcg64Mcg,
    balancer: ProtectedBalancer,
    conditions: Conditions,
    /// The controller is told of demand and capacity.
    has_estimate: bool,
    /// Connections last this many times as long as usual, and clients are as many times fewer.
    lifetime_factor: u64,
    servers: BTreeMap<u64, ListedServer>,
    /// The last attempt of each request that was not answered, and of each connection.
    attempts: BTreeMap<RequestId, Attempt>,
    events: BinaryHeap<Reverse<(u64, u64, FleetEvent)>>,
    serial: u64,
    digest: u64,
    text: String,
}

impl Run {
    fn new(seed: u64, set: Settings) -> Run {
        let listed = |id| {
            let started_at = if id % 2 == 1 { 999.0 } else { 0.0 };
            (id, ListedServer { state: ServerState::Ready, started_at })
        };
        let mut fleet = Run {
            now: 1000.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            balancer: ProtectedBalancer::new(set, seed, ControllerOptions::ALL),
            conditions: Conditions { requests: 6.0, failing: 2, slow: 1 },
            has_estimate: seed == 1,
            lifetime_factor: if seed == 4 { 10 } else { 1 },
            servers: (0..SERVERS).map(listed).collect(),
            attempts: BTreeMap::new(),
            events: BinaryHeap::new(),
            serial: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            text: String::new(),
        };
        fleet.dispatch(Event::Start);
        fleet.announce_servers(true);
        fleet.schedule_after(0.0, FleetEvent::ClientArrives);
        fleet.schedule_after(0.5, FleetEvent::ConditionsChange);
        for id in 0..200 {
            let request = fleet.request(RequestId(1 << 24 | id));
            let server = ServerId(u64::from(id) % SERVERS / 2 * 2);
            fleet.attempts.insert(request.id, Attempt { server, number: 0 });
            fleet.dispatch(Event::ConnectionRestored(request, server));
            fleet.schedule_end(request.id);
        }
        fleet
    }

    fn random_below(&mut self, n: u64) -> u64 {
        (self.rng.next_u64() >> 11) % n
    }

    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn schedule_after(&mut self, after: f64, due: FleetEvent) {
        self.serial += 1;
        self.events.push(Reverse((((self.now + after) * 1e6) as u64, self.serial, due)));
    }

    fn schedule_end(&mut self, id: RequestId) {
        let load = 0.01 + 0.05 * self.random_unit();
        self.dispatch(Event::LoadChanged { request: id, load });
        let life = (5.0 + 60.0 * self.random_unit()) * self.lifetime_factor as f64;
        self.schedule_after(life, FleetEvent::ConnectionEnds(id));
    }

    fn request(&mut self, id: RequestId) -> Request {
        let key = 1 + self.random_below(3_000 / self.lifetime_factor);
        let load = (self.random_below(4) == 0).then_some(0.03);
        let returning = self.random_below(3) == 0;
        Request {
            id,
            class: 0,
            tenant: 0,
            key: if key.is_multiple_of(9) { 0 } else { key },
            deadline: self.now + 3.0,
            load,
            group: key / 4,
            is_mid_flow: false,
            is_returning: returning,
        }
    }

    fn announce_servers(&mut self, full: bool) {
        let entry = |(id, listed): (&u64, &ListedServer)| ServerEntry {
            server: ServerId(*id),
            zone: 0,
            cell: 0,
            weight: [0.8, 1.2, 1.6][*id as usize % 3],
            started_at: listed.started_at,
            state: listed.state,
        };
        let entries: Vec<ServerEntry> = self.servers.iter().map(entry).collect();
        let cached = self.random_below(10) == 0;
        self.dispatch(Event::EndpointList { is_complete: full, is_cached: cached, entries: entries.into() });
    }

    /// Records one line of what comes out: in full at the begin of a run, as a digest later.
    fn record(&mut self, line: &str) {
        let fold = |digest: u64, byte: u8| (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        self.digest = line.bytes().fold(self.digest, fold);
        if self.now < 1000.0 + FULL_FOR {
            writeln!(self.text, "{:.3} {line}", self.now).expect("memory");
        }
    }

    fn dispatch(&mut self, event: Event) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in out {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::SetTimer { after, token } => {
                self.record(&format!("timer {after} {token}"));
                self.schedule_after(after.max(1e-3), FleetEvent::TimerFires(token));
            }
            Action::BeginAttempt { request, server, timeout } => {
                self.record(&format!("send {} {} {timeout}", request.0, server.0));
                let number = self.attempts.get(&request).map_or(0, |attempt| attempt.number + 1);
                self.attempts.insert(request, Attempt { server, number });
                let took = 0.01 + 0.1 * self.random_unit();
                self.schedule_after(took, FleetEvent::AttemptEnds(request));
            }
            Action::Reject { request, retry_after } => {
                self.record(&format!("refuse {} {retry_after}", request.0));
                self.attempts.remove(&request);
            }
            Action::Fail(request) => {
                self.record(&format!("fail {}", request.0));
                self.attempts.remove(&request);
            }
            Action::CancelAttempt { request, attempt } => {
                self.record(&format!("cancel {} {attempt}", request.0));
            }
            Action::Migrate(request) => {
                self.record(&format!("move {}", request.0));
                self.schedule_after(0.05, FleetEvent::ClientMigrates(request));
            }
            Action::Probe(server) => {
                self.record(&format!("probe {}", server.0));
                self.schedule_after(0.05, FleetEvent::ProbeEnds(server));
            }
            Action::Subscribe => self.record("subscribe"),
            Action::Log(line) => self.record(&format!("log {line}")),
        }
    }

    fn end_attempt(&mut self, id: RequestId) {
        let Some(Attempt { server, number: attempt }) = self.attempts.get(&id).copied() else { return };
        let gone = self.servers.get(&server.0).is_none_or(|listed| listed.state == ServerState::Removed);
        if !gone && self.random_below(100) >= self.conditions.failing {
            self.dispatch(Event::Established { request: id, attempt });
            self.schedule_end(id);
            return;
        }
        let outcome = match self.random_below(6) {
            _ if gone => Outcome::ConnectFailed,
            0 => Outcome::ConnectFailed,
            1 => Outcome::TimedOut,
            2 => Outcome::Error,
            3 => Outcome::Reset,
            _ => Outcome::Rejected,
        };
        let load_ratio = (self.random_below(3) == 0).then_some(0.9);
        self.dispatch(Event::AttemptEnded {
            request: id,
            server,
            attempt,
            outcome,
            is_answered: false,
            load_ratio,
        });
    }

    fn end_connection(&mut self, id: RequestId, outcome: Outcome) {
        let Some(Attempt { server, number: attempt }) = self.attempts.remove(&id) else { return };
        self.dispatch(Event::AttemptEnded {
            request: id,
            server,
            attempt,
            outcome,
            is_answered: true,
            load_ratio: None,
        });
        if outcome != Outcome::Ok {
            self.serial += 1;
            let id = RequestId(self.serial as u32);
            let mut request = self.request(id);
            request.is_returning = true;
            self.dispatch(Event::RequestReceived(request));
        }
    }

    fn change_server(&mut self, id: u64) {
        let ListedServer { state, started_at } = self.servers[&id];
        let next = match state {
            ServerState::Ready if self.random_below(2) == 0 => {
                ListedServer { state: ServerState::Draining, started_at }
            }
            ServerState::Ready | ServerState::Draining => {
                ListedServer { state: ServerState::Removed, started_at }
            }
            ServerState::Removed => ListedServer { state: ServerState::Ready, started_at: self.now },
        };
        self.servers.insert(id, next);
    }

    fn change_conditions(&mut self) {
        for id in 0..SERVERS {
            if self.random_below(100) < self.conditions.slow {
                let delay = 0.01 + 0.2 * self.random_unit();
                self.dispatch(Event::MessageDelay { server: ServerId(id), delay });
            }
        }
        if self.random_below(40) == 0 {
            self.dispatch(Event::DiscoveryFailed);
        }
        if self.random_below(30) == 0 {
            self.balancer.controller_mut().set_loop_lag(0.1);
        }
        if self.has_estimate && self.random_below(50) == 0 {
            let demand = 3.0 + 20.0 * self.random_unit();
            self.balancer.controller_mut().set_capacity_estimate(CapacityEstimate {
                demand,
                capacity: 12.0,
                uncertainty: 0.1,
            });
        }
        if self.random_below(12) == 0 {
            let id = self.random_below(SERVERS);
            self.change_server(id);
            let is_complete = self.random_below(2) == 0;
            self.announce_servers(is_complete);
        }
        self.schedule_after(0.5, FleetEvent::ConditionsChange);
    }

    fn handle(&mut self, due: FleetEvent) {
        match due {
            FleetEvent::TimerFires(token) => self.dispatch(Event::TimerFired(token)),
            FleetEvent::AttemptEnds(id) => self.end_attempt(id),
            FleetEvent::ConnectionEnds(id) => {
                let outcome = if self.random_below(4) == 0 { Outcome::Reset } else { Outcome::Ok };
                self.end_connection(id, outcome);
            }
            FleetEvent::ClientMigrates(id) => self.end_connection(id, Outcome::Cancelled),
            FleetEvent::ProbeEnds(server) => {
                let good =
                    self.servers.get(&server.0).is_some_and(|listed| listed.state != ServerState::Removed)
                        && self.random_below(3) > 0;
                let outcome = if good { Outcome::Ok } else { Outcome::ConnectFailed };
                self.dispatch(Event::ProbeEnded { server, outcome, load_ratio: None });
            }
            FleetEvent::ClientArrives => {
                self.serial += 1;
                let request = self.request(RequestId(self.serial as u32));
                self.dispatch(Event::RequestReceived(request));
                if self.random_below(50) == 0 {
                    self.attempts.remove(&request.id);
                    self.dispatch(Event::ClientLeft(request.id));
                }
                let pause = 2.0 * self.random_unit() / self.conditions.requests;
                self.schedule_after(pause, FleetEvent::ClientArrives);
            }
            FleetEvent::ConditionsChange => self.change_conditions(),
        }
    }

    fn run_until(&mut self, until: f64) {
        let mut figures_at = self.now + FIGURES_EVERY;
        while let Some(Reverse((at, _, due))) = self.events.pop() {
            if at as f64 / 1e6 >= until {
                self.events.push(Reverse((at, 0, due)));
                break;
            }
            self.now = at as f64 / 1e6;
            self.handle(due);
            if self.now >= figures_at {
                figures_at += FIGURES_EVERY;
                self.record_figures();
            }
        }
    }

    fn record_figures(&mut self) {
        let fleet = self.balancer.fleet(self.now);
        let (controller, waiting) = (self.balancer.controller(), self.balancer.waiting(self.now));
        let (stats, policy) = (controller.stats(), controller.policy());
        let level = (
            controller.level().name(),
            stats.level.severity,
            stats.level.seconds_at_level,
            &stats.level.changes,
        );
        let retry = &stats.retry;
        let retry = (
            retry.available,
            retry.is_suspended,
            retry.first_attempts,
            retry.retries,
            retry.suspensions,
            &retry.permits,
        );
        let r = &stats.rebalance;
        let cost = (
            r.cost.reconnect_seconds,
            r.cost.setup_seconds,
            r.cost.remaining_seconds,
            r.cost.operator_charge,
        );
        let moves = (r.imbalance, r.is_active, &r.migrations, &r.arrivals, &r.pauses, r.expected, cost);
        let text = &mut self.text;
        writeln!(
            text,
            "{:.3} digest={:016x} mean={} {:?}",
            self.now,
            self.digest,
            fleet.mean_load,
            (waiting.held, waiting.in_backoff)
        )
        .expect("memory");
        writeln!(text, "  {level:?} {} {}", policy.migration_pace, policy.probes_per_second).expect("memory");
        writeln!(text, "  {retry:?}").expect("memory");
        writeln!(text, "  {moves:?}").expect("memory");
        writeln!(text, "  {} {:?} {}", stats.dropped_probes, stats.rejected, controller.established())
            .expect("memory");
        for (id, b) in &fleet.servers {
            let load =
                (b.weight, b.warm_up_ratio, b.capacity, b.load, b.local_load, b.uncertainty, b.updated_at);
            writeln!(text, "  {} {load:?}", id.0).expect("memory");
        }
    }

    /// All that a snapshot would hold, read in small portions.
    fn state(&self) -> Vec<SnapshotEntry> {
        let (mut entries, mut at) = (Vec::new(), ExportCursor::default());
        while at != ExportCursor::End {
            at = self.balancer.export_state(at, 7, &mut entries);
        }
        entries
    }

    /// Another process goes on from what this one knew.
    fn restart(&mut self, set: Settings, seed: u64) {
        let entries = self.state();
        let stored = serde_json::to_string(&entries).expect("a record");
        self.record(&stored);
        self.balancer = ProtectedBalancer::new(set, seed, ControllerOptions::ALL);
        (self.attempts, self.events) = (BTreeMap::new(), BinaryHeap::new());
        self.dispatch(Event::Start);
        self.announce_servers(true);
        let r = self.balancer.restore_state(self.now, 2.5, true, entries);
        writeln!(self.text, "recalled {} {} {} {}", r.restored, r.outdated, r.expired, r.invalid)
            .expect("memory");
        self.schedule_after(0.0, FleetEvent::ClientArrives);
        self.schedule_after(0.5, FleetEvent::ConditionsChange);
    }
}

/// A calm stretch with half of the servers cold, a storm, and a recovery; then another process goes on.
fn run(seed: u64, weights: &str, retry_after: bool) -> String {
    let set = settings(weights, retry_after);
    let mut fleet = Run::new(seed, set.clone());
    fleet.run_until(1060.0);
    fleet.conditions = Conditions { requests: 40.0, failing: 45, slow: 25 };
    fleet.run_until(1100.0);
    fleet.conditions = Conditions { requests: 5.0, failing: 3, slow: 0 };
    fleet.run_until(1180.0);
    fleet.restart(set, seed + 1);
    fleet.run_until(1220.0);
    fleet.record_figures();
    fleet.text
}

#[test]
fn pinned_random_events_come_out_as_in_the_fixture() {
    let replayed =
        [run(1, "nominal", true), run(2, "nominal", false), run(3, "none", true), run(4, "nominal", true)]
            .concat();
    if replayed != FIXTURE {
        let actual = concat!(env!("CARGO_TARGET_TMPDIR"), "/recovery-replay.txt");
        std::fs::write(actual, &replayed).expect("a temporary file");
        let line = replayed.lines().zip(FIXTURE.lines()).position(|(a, b)| a != b);
        panic!("the replay differs from the fixture, first in line {line:?}; it is in {actual}");
    }
}
