//! Plays a release in virtual time: clients, balancers with the project's admission gate and decisions, and
//! servers.

mod replacements;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use shorewharf_decisions::interface::{
    Action, Event, Outcome, RemoteLoad, Request, RequestId, ServerEntry, ServerId, ServerState,
};
use shorewharf_driver::AdmissionGate;
use shorewharf_settings::operator::OperatorSettings;
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};

use super::plan::{CapacityHints, ReleasePlan};
use super::server::{EmulatedServer, Overload};

/// The clock at the begin, in seconds; a start time of 0 means long ago.
const BEGIN: f64 = 1000.0;
/// Clients come for the first time within this time.
const FILL_SECONDS: f64 = 8.0;
/// The release begins this long after the begin.
const RELEASE_AFTER_SECONDS: f64 = 14.0;
/// The play ends this long after the last step of the release.
const SETTLE_SECONDS: f64 = 24.0;
/// Time that a client waits for an answer.
const CLIENT_TIMEOUT_SECONDS: f64 = 3.2;
/// Time that a probe takes at a warm and empty server.
const PROBE_SECONDS: f64 = 0.002;
/// Time that a set-up takes there.
const SETUP_SECONDS: f64 = 0.010;
/// Longest time that a set-up takes.
const MAX_SETUP_SECONDS: f64 = 0.6;
/// Time between two reports of the balancers' loads to each other.
const LOAD_REPORT_SECONDS: f64 = 0.3;
/// One in this many connections to servers comes up late, within the connect timeout.
const LATE_CONNECTION_RATIO: f64 = 0.05;

/// What happens next.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    ClientComes(usize),
    SetupArrives { request: u32, attempt: u32, server: u64 },
    SetupCompletes { request: u32, attempt: u32, server: u64 },
    ProbeEnds { balancer: usize, life: u32, server: u64 },
    TimerFires { balancer: usize, life: u32, token: u64 },
    ListArrives { balancer: usize, changes: Vec<u64> },
    ReleaseStep(usize),
    DeathIsListed(u64),
    BalancerRestarts(usize),
    LoadsAreReported,
}

/// A request of a client.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    client: usize,
    balancer: usize,
    life: u32,
    attempts: u32,
    /// Server of the pending attempt or of the connection.
    server: Option<u64>,
    is_established: bool,
}

#[derive(Clone, Copy, Debug)]
struct Client {
    group: u64,
    key: u64,
    load: f64,
    is_returning: bool,
    request: Option<u32>,
    /// Since when the client has had no connection.
    away_since: f64,
}

struct BalancerInstance {
    gate: AdmissionGate,
    /// Counted up at each restart.
    life: u32,
    /// Servers of whose present process this balancer has been notified, by start time.
    notified: BTreeMap<u64, u64>,
}

/// The result of a release.
#[derive(Clone, Debug, Default)]
pub struct ReleaseResult {
    /// Cold servers that failed although over two thirds of their set-ups came from balancers that had been
    /// notified of the start.
    pub overloads: Vec<Overload>,
    /// Largest share of the tolerated set-ups that any cold server got within a window.
    pub peak_ratio: f64,
    /// Number of clients that lost their connection from the begin of the release on.
    pub displaced: usize,
    /// Time that they had no connection, in seconds, up to the end of the play.
    pub away_seconds: f64,
    /// Number of clients without a connection at the end.
    pub unserved: usize,
}

impl ReleaseResult {
    /// Mean time, in seconds, that a displaced client had no connection.
    pub fn mean_wait(&self) -> f64 {
        self.away_seconds / self.displaced.max(1) as f64
    }
}

/// Plays a release.
pub fn play(plan: &ReleasePlan) -> ReleaseResult {
    let mut world = World::new(plan);
    world.run();
    world.finish()
}

struct World<'a> {
    plan: &'a ReleasePlan,
    rng: Pcg64Mcg,
    now: f64,
    queue: BinaryHeap<Reverse<(Micros, u64, Happening)>>,
    sequence: u64,
    clients: Vec<Client>,
    balancers: Vec<BalancerInstance>,
    servers: BTreeMap<u64, EmulatedServer>,
    /// Servers to be replaced, in their order.
    leaving: Vec<u64>,
    next_server: u64,
    requests: BTreeMap<u32, OpenRequest>,
    next_request: u32,
    result: ReleaseResult,
    actions: Vec<Action>,
}

impl<'a> World<'a> {
    fn new(plan: &'a ReleasePlan) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed ^ 0x5eed);
        let servers: BTreeMap<u64, EmulatedServer> = (1..)
            .zip(&plan.servers)
            .map(|(id, size)| (id, EmulatedServer::new(id, *size, weight(plan, *size), 0.0)))
            .collect();
        let replaced = ((plan.replaced_ratio * servers.len() as f64) as usize).max(1);
        let mut clients = Vec::new();
        for (group, size) in (1_u64..).zip(&plan.groups) {
            for _ in 0..*size {
                clients.push(Client {
                    group,
                    key: rng.random(),
                    load: rng.random_range(0.3..1.7),
                    is_returning: false,
                    request: None,
                    away_since: BEGIN,
                });
            }
        }
        let mut world = World {
            leaving: servers.keys().copied().take(replaced).collect(),
            next_server: servers.len() as u64 + 1,
            plan,
            rng,
            now: BEGIN,
            queue: BinaryHeap::new(),
            sequence: 0,
            clients,
            balancers: Vec::new(),
            servers,
            requests: BTreeMap::new(),
            next_request: 1,
            result: ReleaseResult::default(),
            actions: Vec::new(),
        };
        world.schedule_plan();
        world
    }

    fn schedule_plan(&mut self) {
        for balancer in 0..self.plan.balancers {
            let gate = self.new_gate(balancer, 0);
            self.balancers.push(BalancerInstance { gate, life: 0, notified: BTreeMap::new() });
            self.start_balancer(balancer);
        }
        for client in 0..self.clients.len() {
            let after = self.rng.random_range(0.1..FILL_SECONDS);
            self.schedule(after, Happening::ClientComes(client));
        }
        let steps = self.plan.steps;
        for step in 0..steps {
            let after = RELEASE_AFTER_SECONDS + self.plan.duration * step as f64 / steps as f64;
            self.schedule(after, Happening::ReleaseStep(step));
        }
        let restarted = (self.plan.restarted_ratio * self.plan.balancers as f64) as usize;
        for balancer in 0..restarted {
            let after = RELEASE_AFTER_SECONDS + self.rng.random_range(0.0..self.plan.duration + 5.0);
            self.schedule(after, Happening::BalancerRestarts(balancer));
        }
        if self.plan.shares_loads {
            self.schedule(LOAD_REPORT_SECONDS, Happening::LoadsAreReported);
        }
    }

    fn schedule(&mut self, after: f64, happening: Happening) {
        self.sequence += 1;
        let at = micros_from_seconds(self.now + after);
        self.queue.push(Reverse((at, self.sequence, happening)));
    }

    fn run(&mut self) {
        let end = BEGIN + RELEASE_AFTER_SECONDS + self.plan.duration + SETTLE_SECONDS;
        while let Some(Reverse((at, _, happening))) = self.queue.pop() {
            self.now = seconds_from_micros(at);
            if self.now > end {
                break;
            }
            self.apply(happening);
        }
        self.now = end;
    }

    fn finish(mut self) -> ReleaseResult {
        for client in 0..self.clients.len() {
            if !self.is_connected(client) {
                self.result.unserved += 1;
                self.result.away_seconds += self.now - self.clients[client].away_since;
            }
        }
        let cold = self.servers.values().filter(|server| server.entry.started_at > 0.0);
        self.result.peak_ratio = cold.map(|server| server.peak_ratio).fold(0.0, f64::max);
        self.result
    }

    fn apply(&mut self, happening: Happening) {
        match happening {
            Happening::ClientComes(client) => self.on_client(client),
            Happening::SetupArrives { request, attempt, server } => {
                self.on_setup_arrived(request, attempt, server);
            }
            Happening::SetupCompletes { request, attempt, server } => {
                self.on_setup_completed(request, attempt, server);
            }
            Happening::ProbeEnds { balancer, life, server } => self.on_probe_end(balancer, life, server),
            Happening::TimerFires { balancer, life, token } => {
                if self.balancers[balancer].life == life {
                    self.handle(balancer, Event::TimerFired(token));
                }
            }
            Happening::ListArrives { balancer, changes } => self.on_list(balancer, &changes),
            Happening::ReleaseStep(step) => self.on_release_step(step),
            Happening::DeathIsListed(server) => self.announce(vec![server]),
            Happening::BalancerRestarts(balancer) => self.restart_balancer(balancer),
            Happening::LoadsAreReported => self.report_loads(),
        }
    }

    fn new_gate(&self, balancer: usize, life: u32) -> AdmissionGate {
        let seed = self.plan.seed ^ ((balancer as u64) << 32) ^ u64::from(life);
        let settings = self.plan.settings_of(balancer);
        AdmissionGate::new(micros_from_seconds(self.now), settings, seed, &OperatorSettings::default())
    }

    fn start_balancer(&mut self, balancer: usize) {
        self.handle(balancer, Event::Start);
        let entries: Vec<ServerEntry> = self.servers.values().map(|server| server.entry).collect();
        for entry in &entries {
            self.balancers[balancer].notified.insert(entry.server.0, entry.started_at.to_bits());
        }
        let listed = entries.into_iter().filter(|entry| entry.state != ServerState::Removed).collect();
        self.handle(balancer, Event::EndpointList { is_complete: true, is_cached: false, entries: listed });
    }

    fn restart_balancer(&mut self, balancer: usize) {
        let connected: Vec<u32> = self
            .requests
            .iter()
            .filter(|(_, open)| open.balancer == balancer)
            .map(|(request, _)| *request)
            .collect();
        for request in connected {
            self.drop_request(request);
        }
        let life = self.balancers[balancer].life + 1;
        let gate = self.new_gate(balancer, life);
        self.balancers[balancer] = BalancerInstance { gate, life, notified: BTreeMap::new() };
        self.start_balancer(balancer);
    }

    fn handle(&mut self, balancer: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancers[balancer].gate.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(balancer, action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, balancer: usize, action: Action) {
        let life = self.balancers[balancer].life;
        match action {
            Action::BeginAttempt { request, server, .. } => self.begin_attempt(request.0, server.0),
            Action::Reject { request, retry_after } => self.send_away(request.0, retry_after),
            Action::Fail(request) => self.send_away(request.0, 0.0),
            Action::CancelAttempt { request, .. } | Action::Migrate(request) => {
                self.disconnect(request.0, Outcome::Cancelled);
            }
            Action::SetTimer { after, token } => {
                self.schedule(after.max(0.001), Happening::TimerFires { balancer, life, token });
            }
            Action::Probe(server) => {
                let running = self.servers.get(&server.0).filter(|server| server.is_running);
                let slowness = running.map_or(1.0, |server| server.slowness(&self.plan.settings, self.now));
                let after = self.network_delay() + (PROBE_SECONDS * slowness).min(MAX_SETUP_SECONDS);
                self.schedule(after, Happening::ProbeEnds { balancer, life, server: server.0 });
            }
            Action::Subscribe | Action::RecordSlowStart(_) | Action::Log(_) => {}
        }
    }

    fn on_probe_end(&mut self, balancer: usize, life: u32, server: u64) {
        if self.balancers[balancer].life != life {
            return;
        }
        let is_running = self.servers.get(&server).is_some_and(|server| server.is_running);
        let outcome = if is_running { Outcome::Ok } else { Outcome::ConnectFailed };
        self.handle(balancer, Event::ProbeEnded { server: ServerId(server), outcome, load_ratio: None });
    }

    fn on_list(&mut self, balancer: usize, changes: &[u64]) {
        let entries: Vec<ServerEntry> = changes.iter().map(|id| self.servers[id].entry).collect();
        for entry in &entries {
            self.balancers[balancer].notified.insert(entry.server.0, entry.started_at.to_bits());
        }
        let entries = entries.into();
        self.handle(balancer, Event::EndpointList { is_complete: false, is_cached: false, entries });
    }

    /// Tells all balancers about changes of the endpoint list.
    fn announce(&mut self, changes: Vec<u64>) {
        for balancer in 0..self.balancers.len() {
            let after = self.rng.random_range(0.0..0.05);
            self.schedule(after, Happening::ListArrives { balancer, changes: changes.clone() });
        }
    }

    fn report_loads(&mut self) {
        let holdings: Vec<_> = self.balancers.iter().map(|balancer| balancer.gate.holdings()).collect();
        for balancer in 0..self.balancers.len() {
            let mut loads = BTreeMap::<ServerId, RemoteLoad>::new();
            let others = holdings.iter().enumerate().filter(|(index, _)| *index != balancer);
            for holding in others.flat_map(|(_, holdings)| holdings) {
                let remote = loads.entry(holding.server).or_default();
                remote.load += holding.load;
                remote.connections += f64::from(holding.connections);
                remote.groups.insert(holding.group as u32);
            }
            self.handle(balancer, Event::RemoteLoadsUpdated(Some(Arc::new(loads))));
        }
        self.schedule(LOAD_REPORT_SECONDS, Happening::LoadsAreReported);
    }

    fn is_connected(&self, client: usize) -> bool {
        let request = self.clients[client].request.and_then(|request| self.requests.get(&request));
        request.is_some_and(|open| open.is_established)
    }

    fn on_client(&mut self, client: usize) {
        let balancer = self.rng.random_range(0..self.balancers.len());
        let id = self.next_request;
        self.next_request += 1;
        let life = self.balancers[balancer].life;
        let open = OpenRequest { client, balancer, life, attempts: 0, server: None, is_established: false };
        self.requests.insert(id, open);
        let known = &mut self.clients[client];
        known.request = Some(id);
        let request = Request {
            id: RequestId(id),
            class: 0,
            tenant: 0,
            key: known.key,
            deadline: self.now + CLIENT_TIMEOUT_SECONDS,
            load: None,
            group: known.group,
            is_mid_flow: false,
            is_returning: known.is_returning,
        };
        self.handle(balancer, Event::RequestReceived(request));
    }

    /// A client comes again after its break, or after the time that it was told.
    fn schedule_return(&mut self, client: usize, retry_after: f64) {
        let pause = self.rng.random_range(0.054..0.53_f64);
        self.clients[client].request = None;
        self.schedule(pause.max(retry_after), Happening::ClientComes(client));
    }

    /// A client got its final answer without a connection.
    fn send_away(&mut self, request: u32, retry_after: f64) {
        let Some(open) = self.requests.remove(&request) else { return };
        self.schedule_return(open.client, retry_after);
    }

    fn lose_connection(&mut self, open: &OpenRequest) {
        if let Some(server) = open.server.and_then(|id| self.servers.get_mut(&id)) {
            server.clients.remove(&open.client);
        }
        if open.is_established && self.now >= BEGIN + RELEASE_AFTER_SECONDS {
            self.result.displaced += 1;
        }
        if open.is_established {
            self.clients[open.client].away_since = self.now;
            self.clients[open.client].is_returning = true;
        }
    }

    /// Ends a request with its balancer.
    fn drop_request(&mut self, request: u32) {
        let Some(open) = self.requests.remove(&request) else { return };
        self.lose_connection(&open);
        self.schedule_return(open.client, 0.0);
    }

    /// Ends a pending attempt or a connection, and tells the balancer.
    fn disconnect(&mut self, request: u32, outcome: Outcome) {
        let Some(open) = self.requests.get(&request).copied() else { return };
        let Some(server) = open.server else { return };
        self.lose_connection(&open);
        if open.is_established {
            self.requests.remove(&request);
            self.schedule_return(open.client, 0.0);
        } else if let Some(open) = self.requests.get_mut(&request) {
            open.server = None;
        }
        self.end_attempt(request, &open, server, outcome);
    }

    fn end_attempt(&mut self, request: u32, open: &OpenRequest, server: u64, outcome: Outcome) {
        if self.balancers[open.balancer].life != open.life {
            return;
        }
        let event = Event::AttemptEnded {
            request: RequestId(request),
            server: ServerId(server),
            attempt: open.attempts - 1,
            outcome,
            is_answered: open.is_established,
            load_ratio: None,
        };
        self.handle(open.balancer, event);
    }

    fn network_delay(&mut self) -> f64 {
        if self.rng.random_bool(LATE_CONNECTION_RATIO) {
            self.rng.random_range(0.0..self.plan.settings.connect_timeout)
        } else {
            self.rng.random_range(0.0002..0.003)
        }
    }

    fn begin_attempt(&mut self, request: u32, server: u64) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        open.attempts += 1;
        open.server = Some(server);
        let attempt = open.attempts;
        let after = self.network_delay();
        self.schedule(after, Happening::SetupArrives { request, attempt, server });
    }

    /// The request, if this attempt of it is still pending.
    fn pending(&self, request: u32, attempt: u32) -> Option<OpenRequest> {
        let open = self.requests.get(&request).copied()?;
        (open.attempts == attempt && open.server.is_some() && !open.is_established).then_some(open)
    }

    fn on_setup_arrived(&mut self, request: u32, attempt: u32, id: u64) {
        let open = self.pending(request, attempt);
        let now = self.now;
        let settings = &self.plan.settings;
        let Some(server) = self.servers.get_mut(&id).filter(|server| server.is_running) else {
            if open.is_some() {
                self.disconnect(request, Outcome::ConnectFailed);
            }
            return;
        };
        let started_at = server.entry.started_at.to_bits();
        let is_notified = open.is_some_and(|open| {
            self.balancers[open.balancer].notified.get(&id).is_some_and(|known| *known == started_at)
        });
        // A set-up weighs even if nobody waits for it any more.
        let fails = server.count_setup(settings, now, is_notified);
        let accepts = server.accepts(settings, now);
        let slowness = server.slowness(settings, now);
        if fails {
            return self.fail_by_overload(id);
        }
        if open.is_none() {
            return;
        }
        if accepts {
            let after = (SETUP_SECONDS * slowness).min(MAX_SETUP_SECONDS) + self.network_delay();
            self.schedule(after, Happening::SetupCompletes { request, attempt, server: id });
        } else {
            self.disconnect(request, Outcome::Rejected);
        }
    }

    fn on_setup_completed(&mut self, request: u32, attempt: u32, id: u64) {
        let Some(open) = self.pending(request, attempt) else { return };
        let settings = &self.plan.settings;
        let Some(server) = self.servers.get_mut(&id).filter(|server| server.is_running) else {
            return self.disconnect(request, Outcome::Reset);
        };
        if !server.accepts(settings, self.now) {
            return self.disconnect(request, Outcome::Rejected);
        }
        server.clients.insert(open.client);
        if let Some(open) = self.requests.get_mut(&request) {
            open.is_established = true;
        }
        let client = &self.clients[open.client];
        let load = client.load;
        if client.is_returning && self.now >= BEGIN + RELEASE_AFTER_SECONDS {
            self.result.away_seconds += self.now - client.away_since;
        }
        let id = RequestId(request);
        self.handle(open.balancer, Event::Established { request: id, attempt: attempt - 1 });
        self.handle(open.balancer, Event::LoadChanged { request: id, load });
    }
}

/// The listed weight of a server: the load that it can carry, or 1 where the list tells nothing.
fn weight(plan: &ReleasePlan, size: f64) -> f64 {
    if plan.hints == CapacityHints::Nothing { 1.0 } else { size }
}
