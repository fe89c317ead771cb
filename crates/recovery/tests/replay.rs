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
use shorewharf_recovery::controller::{CapacityEstimate, Options};
use shorewharf_recovery::protected_balancer::ProtectedBalancer;
use shorewharf_recovery::snapshot_state::{ExportCursor, SnapshotEntry};

const FIXTURE: &str = include_str!("fixtures/replay.txt");
const SERVERS: u64 = 10;
/// Figures are written out every so many seconds.
const FIGURES_EVERY: f64 = 5.0;
/// Actions are written out in full in the first seconds of a day, and as a digest a second after that.
const FULL_FOR: f64 = 6.0;

fn settings(weights: &str, retry_after: bool) -> Settings {
    let text = format!(
        r#"{{"classes":[{{"promise_s":0.5,"semantics":"read_like","worth":1.0}}],
        "group_size":2,"me":1,"zone":0,"zones":["z"],"registry_mode":"push","tick_s":0.005,"weights":"{weights}",
        "specifics":{{"groups":true,"message_aim_s":[0.05],"mode":"proxy"}},
        "limits":{{"cancel":true,"connect_timeout_s":0.25,"max_attempts":4,"max_retry_after_s":1.0,"retry_after":{retry_after}}},
        "rules":{{"ask_within_s":10,"start_capacity":0.2,"warm_within_s":20,"fall_multiple":3,"drain_grace_s":0.5}}}}"#
    );
    shorewharf_settings::settings(text.as_bytes()).expect("valid settings").0
}

/// How bad a stretch of the day is.
#[derive(Clone, Copy)]
struct Weather {
    /// Requests a second.
    requests: f64,
    /// Of a hundred attempts, how many fail.
    failing: u64,
    /// Of a hundred servers at each look, how many say that messages are slow.
    slow: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Attempt(RequestId),
    Life(RequestId),
    Probe(ServerId),
    Moved(RequestId),
    Arrival,
    Minute,
}

/// One balancer before a made-up fleet.
struct Day {
    now: f64,
    rng: Pcg64Mcg,
    balancer: ProtectedBalancer,
    weather: Weather,
    /// The controller is told of demand and capacity.
    has_estimate: bool,
    /// Connections last this many times as long as usual, and clients are as many times fewer.
    lasting: u64,
    stages: BTreeMap<u64, (ServerState, f64)>,
    /// Requests that are out or stand: where, which attempt, whose.
    out: BTreeMap<RequestId, (ServerId, u32, u64)>,
    keys: BTreeMap<RequestId, u64>,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    serial: u64,
    digest: u64,
    text: String,
}

impl Day {
    fn new(seed: u64, set: Settings) -> Day {
        let stages = (0..SERVERS)
            .map(|id| (id, (ServerState::Ready, if id % 2 == 1 { 999.0 } else { 0.0 })))
            .collect();
        let mut day = Day {
            now: 1000.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            balancer: ProtectedBalancer::new(set, seed, Options::ALL),
            weather: Weather { requests: 6.0, failing: 2, slow: 1 },
            has_estimate: seed == 1,
            lasting: if seed == 4 { 10 } else { 1 },
            stages,
            out: BTreeMap::new(),
            keys: BTreeMap::new(),
            due: BinaryHeap::new(),
            serial: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            text: String::new(),
        };
        day.tell(Event::Start);
        day.list(true);
        day.plan(0.0, Due::Arrival);
        day.plan(0.5, Due::Minute);
        for id in 0..200 {
            let request = day.request(RequestId(1 << 24 | id));
            let server = ServerId(u64::from(id) % SERVERS / 2 * 2);
            day.out.insert(request.id, (server, 0, request.key));
            day.tell(Event::ConnectionRestored(request, server));
            day.plan_life(request.id);
        }
        day
    }

    fn below(&mut self, n: u64) -> u64 {
        (self.rng.next_u64() >> 11) % n
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn plan(&mut self, after: f64, due: Due) {
        self.serial += 1;
        self.due.push(Reverse((((self.now + after) * 1e6) as u64, self.serial, due)));
    }

    fn plan_life(&mut self, id: RequestId) {
        let load = 0.01 + 0.05 * self.draw();
        self.tell(Event::LoadChanged { request: id, load });
        let life = (5.0 + 60.0 * self.draw()) * self.lasting as f64;
        self.plan(life, Due::Life(id));
    }

    fn request(&mut self, id: RequestId) -> Request {
        let key = 1 + self.below(3_000 / self.lasting);
        self.keys.insert(id, key);
        let load = (self.below(4) == 0).then_some(0.03);
        let returning = self.below(3) == 0;
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

    fn list(&mut self, full: bool) {
        let entry = |(id, (stage, born)): (&u64, &(ServerState, f64))| ServerEntry {
            server: ServerId(*id),
            zone: 0,
            cell: 0,
            weight: [0.8, 1.2, 1.6][*id as usize % 3],
            started_at: *born,
            state: *stage,
        };
        let entries: Vec<ServerEntry> = self.stages.iter().map(entry).collect();
        let cached = self.below(10) == 0;
        self.tell(Event::EndpointList { is_complete: full, is_cached: cached, entries: entries.into() });
    }

    /// Notes one line of what comes out: whole at the begin of a day, as a digest later.
    fn note(&mut self, line: &str) {
        let fold = |digest: u64, byte: u8| (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        self.digest = line.bytes().fold(self.digest, fold);
        if self.now < 1000.0 + FULL_FOR {
            writeln!(self.text, "{:.3} {line}", self.now).expect("memory");
        }
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in out {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SetTimer { after, token } => {
                self.note(&format!("timer {after} {token}"));
                self.plan(after.max(1e-3), Due::Timer(token));
            }
            Action::BeginAttempt { request, server, timeout } => {
                self.note(&format!("send {} {} {timeout}", request.0, server.0));
                let attempt = self.out.get(&request).map_or(0, |o| o.1 + 1);
                let key = self.keys.get(&request).copied().unwrap_or(0);
                self.out.insert(request, (server, attempt, key));
                let took = 0.01 + 0.1 * self.draw();
                self.plan(took, Due::Attempt(request));
            }
            Action::Reject { request, retry_after } => {
                self.note(&format!("refuse {} {retry_after}", request.0));
                self.out.remove(&request);
            }
            Action::Fail(request) => {
                self.note(&format!("fail {}", request.0));
                self.out.remove(&request);
            }
            Action::CancelAttempt { request, attempt } => {
                self.note(&format!("cancel {} {attempt}", request.0))
            }
            Action::Migrate(request) => {
                self.note(&format!("move {}", request.0));
                self.plan(0.05, Due::Moved(request));
            }
            Action::Probe(server) => {
                self.note(&format!("probe {}", server.0));
                self.plan(0.05, Due::Probe(server));
            }
            Action::Subscribe => self.note("subscribe"),
            Action::Log(line) => self.note(&format!("log {line}")),
        }
    }

    fn attempt(&mut self, id: RequestId) {
        let Some(&(server, attempt, _)) = self.out.get(&id) else { return };
        let gone = self.stages.get(&server.0).is_none_or(|s| s.0 == ServerState::Removed);
        if !gone && self.below(100) >= self.weather.failing {
            self.tell(Event::Established { request: id, attempt });
            self.plan_life(id);
            return;
        }
        let outcome = match self.below(6) {
            _ if gone => Outcome::ConnectFailed,
            0 => Outcome::ConnectFailed,
            1 => Outcome::TimedOut,
            2 => Outcome::Error,
            3 => Outcome::Reset,
            _ => Outcome::Rejected,
        };
        let load_ratio = (self.below(3) == 0).then_some(0.9);
        self.tell(Event::AttemptEnded {
            request: id,
            server,
            attempt,
            outcome,
            is_answered: false,
            load_ratio,
        });
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let Some((server, attempt, _)) = self.out.remove(&id) else { return };
        self.tell(Event::AttemptEnded {
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
            self.tell(Event::RequestReceived(request));
        }
    }

    fn half_second(&mut self) {
        for id in 0..SERVERS {
            if self.below(100) < self.weather.slow {
                let delay = 0.01 + 0.2 * self.draw();
                self.tell(Event::MessageDelay { server: ServerId(id), delay });
            }
        }
        if self.below(40) == 0 {
            self.tell(Event::DiscoveryFailed);
        }
        if self.below(30) == 0 {
            self.balancer.controller_mut().set_loop_lag(0.1);
        }
        if self.has_estimate && self.below(50) == 0 {
            let demand = 3.0 + 20.0 * self.draw();
            self.balancer.controller_mut().set_capacity_estimate(CapacityEstimate {
                demand,
                capacity: 12.0,
                uncertainty: 0.1,
            });
        }
        if self.below(12) == 0 {
            let id = self.below(SERVERS);
            let (stage, born) = self.stages[&id];
            let next = match stage {
                ServerState::Ready if self.below(2) == 0 => (ServerState::Draining, born),
                ServerState::Ready | ServerState::Draining => (ServerState::Removed, born),
                ServerState::Removed => (ServerState::Ready, self.now),
            };
            self.stages.insert(id, next);
            let full = self.below(2) == 0;
            self.list(full);
        }
        self.plan(0.5, Due::Minute);
    }

    fn happens(&mut self, due: Due) {
        match due {
            Due::Timer(token) => self.tell(Event::TimerFired(token)),
            Due::Attempt(id) => self.attempt(id),
            Due::Life(id) => {
                let outcome = if self.below(4) == 0 { Outcome::Reset } else { Outcome::Ok };
                self.end(id, outcome);
            }
            Due::Moved(id) => self.end(id, Outcome::Cancelled),
            Due::Probe(server) => {
                let good = self.stages.get(&server.0).is_some_and(|s| s.0 != ServerState::Removed)
                    && self.below(3) > 0;
                let outcome = if good { Outcome::Ok } else { Outcome::ConnectFailed };
                self.tell(Event::ProbeEnded { server, outcome, load_ratio: None });
            }
            Due::Arrival => {
                self.serial += 1;
                let request = self.request(RequestId(self.serial as u32));
                self.tell(Event::RequestReceived(request));
                if self.below(50) == 0 {
                    self.out.remove(&request.id);
                    self.tell(Event::ClientLeft(request.id));
                }
                let pause = 2.0 * self.draw() / self.weather.requests;
                self.plan(pause, Due::Arrival);
            }
            Due::Minute => self.half_second(),
        }
    }

    fn play(&mut self, until: f64) {
        let mut figures_at = self.now + FIGURES_EVERY;
        while let Some(Reverse((at, _, due))) = self.due.pop() {
            if at as f64 / 1e6 >= until {
                self.due.push(Reverse((at, 0, due)));
                break;
            }
            self.now = at as f64 / 1e6;
            self.happens(due);
            if self.now >= figures_at {
                figures_at += FIGURES_EVERY;
                self.figures();
            }
        }
    }

    fn figures(&mut self) {
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
        self.note(&stored);
        self.balancer = ProtectedBalancer::new(set, seed, Options::ALL);
        (self.out, self.due) = (BTreeMap::new(), BinaryHeap::new());
        self.tell(Event::Start);
        self.list(true);
        let r = self.balancer.restore_state(self.now, 2.5, true, entries);
        writeln!(self.text, "recalled {} {} {} {}", r.restored, r.outdated, r.expired, r.invalid)
            .expect("memory");
        self.plan(0.0, Due::Arrival);
        self.plan(0.5, Due::Minute);
    }
}

/// A calm stretch with half of the servers cold, a storm, and a recovery; then another process goes on.
fn day(seed: u64, weights: &str, retry_after: bool) -> String {
    let set = settings(weights, retry_after);
    let mut day = Day::new(seed, set.clone());
    day.play(1060.0);
    day.weather = Weather { requests: 40.0, failing: 45, slow: 25 };
    day.play(1100.0);
    day.weather = Weather { requests: 5.0, failing: 3, slow: 0 };
    day.play(1180.0);
    day.restart(set, seed + 1);
    day.play(1220.0);
    day.figures();
    day.text
}

#[test]
fn pinned_random_events_come_out_as_in_the_fixture() {
    let replayed =
        [day(1, "nominal", true), day(2, "nominal", false), day(3, "none", true), day(4, "nominal", true)]
            .concat();
    if replayed != FIXTURE {
        let actual = concat!(env!("CARGO_TARGET_TMPDIR"), "/recovery-replay.txt");
        std::fs::write(actual, &replayed).expect("a temporary file");
        let line = replayed.lines().zip(FIXTURE.lines()).position(|(a, b)| a != b);
        panic!("the replay differs from the fixture, first in line {line:?}; it is in {actual}");
    }
}
