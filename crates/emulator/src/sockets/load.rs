//! Load on one balancer, open loop: set-ups and lines come when they are due, whether or not those before have been
//! answered, and every time is counted from when it was due. A program that stalls is not asked less for it.
//!
//! Nodes take every connection at once and return every line, so that what is measured is the balancer and the two
//! machines' system. The same is done in the same run past the balancer, straight to a node, at a tenth of the rate:
//! what that takes is the lab's own part.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::io;
use std::path::Path;

use serde::Serialize;
use shorewharf_protocol::message::{Message, parse_message};
use shorewharf_units::{Micros, seconds_from_micros};
use thiserror::Error;

use super::addresses::Addresses;
use super::clock::{Clock, Distribution, MAX_LATENESS, duration_until};
use super::connection_log::ConnectionLog;
use super::directory::Directory;
use super::discovery::Discovery;
use super::fleet::{Fleet, ProcessIncarnation, StartConfig};
use super::harness::{BalancerObservation, Observations};
use super::lines::LineConnection;
use super::net::{Net, Ready, Role};
use super::nodes::Nodes;
use super::plain;
use super::process::{ProcessError, Program};
use crate::day::Day;
use crate::edge::{
    BalancerId, ConnId, End, FromBalancer, Listed, NodeId, NodeMessage, RequestLine, Stage as ListStage,
};

/// The balancer that is loaded, and those who pass it by: a node knows both as balancers of their own.
const VIA_BALANCER: BalancerId = BalancerId(0);
const DIRECT: BalancerId = BalancerId(1);
/// Of what goes through the balancer, this part goes past it too.
const DIRECT_INTERVAL: u64 = 10;
/// A set-up or a line that has no answer by then is lost.
const LOSS_TIMEOUT: Micros = 5_000_000;
/// Standing connections are opened this far apart before the clock starts.
const OPEN_EVERY: Micros = 500;
/// The balancer must be ready, and those who stand be up, within this.
const READY_TIMEOUT: Micros = 30_000_000;
/// Nothing is counted in the first second: the balancer's first list and everybody's caches fall in it.
const WARM_UP: Micros = 1_000_000;
const MAX_WAIT: Micros = 5_000;

/// What load is put on.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: Program,
    /// New connections a second.
    pub setups_per_s: f64,
    /// Connections that stand all the time, besides the new ones.
    pub established_connections: u32,
    /// A new connection stays so long.
    pub hold: Micros,
    /// On each that stands, a line is sent this often.
    pub line_interval: Micros,
    /// Load lasts so long, after a second that is not counted.
    pub duration: Micros,
    /// Nodes behind the balancer.
    pub nodes: u32,
    /// The settings that the balancer is told.
    pub settings: fn(&Day, BalancerId) -> String,
}

/// Why load could not be put on.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A figure makes no load.
    #[error("{0}: {1} is not above 0")]
    Figure(&'static str, f64),
    /// The settings are no JSON.
    #[error("settings: {0}")]
    Settings(#[from] serde_json::Error),
    /// The balancer did not start.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// It did not become ready, or ended under load.
    #[error("the balancer {0}; its log ends: {1}")]
    Balancer(&'static str, String),
    /// The system refused something that the lab needs.
    #[error("the lab's own sockets: {0}")]
    Io(#[from] io::Error),
}

/// What came of one way to the nodes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PathResult {
    /// From when a set-up was due to its `UP`.
    pub set_up: Distribution,
    /// From when a line was due to its return.
    pub line: Distribution,
    /// Set-ups that were answered otherwise, refused or cut off.
    pub failed: u64,
    /// Set-ups and lines without an answer.
    pub lost: u64,
}

/// What came of the load.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Through the balancer.
    pub through: PathResult,
    /// Past it, straight to a node.
    pub past: PathResult,
    /// Set-ups a second that came up, through the balancer.
    pub set_ups_per_s: f64,
    /// Lines a second that came back, through the balancer.
    pub lines_per_s: f64,
    /// Connections that stood through the balancer, at most.
    pub stood: usize,
    /// The balancer's time on a core, as a share of the run.
    pub cores: f64,
    /// Its life.
    pub life: ProcessIncarnation,
    /// How late the lab was.
    pub late: Distribution,
    /// Why none of this counts, if so.
    pub void: Option<String>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |micros: Micros| micros as f64 / 1e3;
        writeln!(
            f,
            "{:22} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "ms, from when due", "p50", "p90", "p99", "p99.9", "max", "count"
        )?;
        for (name, spread) in [
            ("set-up, through", &self.through.set_up),
            ("set-up, past", &self.past.set_up),
            ("line, through", &self.through.line),
            ("line, past", &self.past.line),
            ("the lab's lateness", &self.late),
        ] {
            let at = |share| ms(spread.quantile(share));
            let (p50, p90, p99, p999) = (at(0.5), at(0.9), at(0.99), at(0.999));
            let (max, count) = (ms(spread.max()), spread.len());
            writeln!(f, "{name:22} {p50:9.2} {p90:9.2} {p99:9.2} {p999:9.2} {max:9.2} {count:9}")?;
        }
        writeln!(
            f,
            "set-ups a second {:.0}, lines a second {:.0}, stood at most {}",
            self.set_ups_per_s, self.lines_per_s, self.stood
        )?;
        let usage = &self.life.usage;
        writeln!(
            f,
            "balancer: {:.2} cores, {:.1} MB, {} descriptors",
            self.cores, usage.memory_mb, usage.descriptors
        )?;
        for (name, path) in [("through", &self.through), ("past", &self.past)] {
            if path.failed + path.lost > 0 {
                writeln!(f, "{name}: {} set-ups failed, {} set-ups and lines lost", path.failed, path.lost)?;
            }
        }
        self.void.as_ref().map_or(Ok(()), |why| writeln!(f, "VOID: {why}"))
    }
}

#[derive(Debug)]
struct Client {
    connection: LineConnection,
    path: usize,
    /// When its set-up was due; none once it stands.
    set_up_due: Option<Micros>,
    /// It stays to the end.
    is_permanent: bool,
    /// It leaves once all its lines have come back.
    is_closing: bool,
    /// Lines that have not come back: when due, and their number.
    outstanding_lines: VecDeque<(Micros, u64)>,
    last_line: u64,
}

struct Load {
    clock: Clock,
    net: Net,
    directory: Directory,
    connection_log: ConnectionLog,
    fleet: Fleet,
    nodes: Nodes,
    discovery: Discovery,
    paths: [PathResult; 2],
    lateness: Distribution,
    clients: BTreeMap<u32, Client>,
    next_id: u32,
    /// Standing through the balancer.
    established: usize,
    max_established: usize,
    /// Lines and ends that are due, each in order: their spans are the same for all.
    due_lines: VecDeque<(Micros, u32)>,
    due_ends: VecDeque<(Micros, u32)>,
    /// What is due is counted from then on.
    measure_from: Micros,
    line_interval: Micros,
    hold: Micros,
    observations: Observations,
    ready: Vec<Ready>,
    crashed: bool,
}

/// Puts load on a balancer; its files go into this folder.
///
/// # Errors
///
/// Fails if an option is out of range, the balancer does not start or ends under load, or the sockets fail.
pub fn run(options: &Options, folder: &Path) -> Result<Outcome, LoadError> {
    for (name, figure) in [
        ("set-ups a second", options.setups_per_s),
        ("length", options.duration as f64),
        ("hold", options.hold as f64),
        ("line every", options.line_interval as f64),
        ("nodes", f64::from(options.nodes)),
    ] {
        if figure.is_nan() || figure <= 0.0 {
            return Err(LoadError::Figure(name, figure));
        }
    }
    let limits = options.program.limits;
    let day = plain::day(2, options.nodes, options.duration, limits.memory_mb, limits.sockets);
    let mut load = Load::begin(options, &day, folder)?;
    load.open_established_connections(options.established_connections)?;
    load.apply_load(options)
}

impl Load {
    fn begin(options: &Options, day: &Day, folder: &Path) -> Result<Self, LoadError> {
        let mut net = Net::new()?;
        let addresses = Addresses::for_next_run();
        let nodes = Nodes::new(&mut net, addresses, 2, options.nodes)?;
        let directory = Directory::new(day, nodes.addresses(2));
        let mut discovery = Discovery::new(&mut net, addresses, 1)?;
        let listed = |n| Listed { node: NodeId(n), stage: ListStage::Ready, started_at: None };
        let known: Vec<Listed> = (0..options.nodes).map(listed).collect();
        let index = discovery.on_balancer_start(VIA_BALANCER, &known);
        let start = StartConfig {
            seed: 1,
            known: directory.endpoint_list(VIA_BALANCER, index, true, &known),
            settings: serde_json::from_str(&(options.settings)(day, VIA_BALANCER))?,
            discovery: discovery.address(VIA_BALANCER),
        };
        let mut fleet = Fleet::new(options.program.clone(), day.limits.cores, addresses, 1, folder)?;
        let clock = Clock::start();
        fleet.start(&mut net, clock.now(), VIA_BALANCER, &start)?;
        Ok(Load {
            connection_log: ConnectionLog::new(day, &directory),
            clock,
            net,
            directory,
            fleet,
            nodes,
            discovery,
            paths: Default::default(),
            lateness: Distribution::default(),
            clients: BTreeMap::new(),
            next_id: 0,
            established: 0,
            max_established: 0,
            due_lines: VecDeque::new(),
            due_ends: VecDeque::new(),
            measure_from: Micros::MAX,
            line_interval: options.line_interval,
            hold: options.hold,
            observations: Vec::new(),
            ready: Vec::new(),
            crashed: false,
        })
    }

    fn failed(&self, how: &'static str) -> LoadError {
        LoadError::Balancer(how, self.fleet.files(VIA_BALANCER).log_tail(5))
    }

    /// Opens the connections that stand all the time.
    fn open_established_connections(&mut self, standing: u32) -> Result<(), LoadError> {
        let limit = self.clock.now() + READY_TIMEOUT;
        while !self.fleet.is_ready(VIA_BALANCER) {
            self.run_iteration(Micros::MAX)?;
            if self.crashed || self.clock.now() > limit {
                return Err(self.failed("did not become ready"));
            }
        }
        let (began, limit) =
            (self.clock.now(), self.clock.now() + READY_TIMEOUT + u64::from(standing) * OPEN_EVERY);
        let (through, past) = (u64::from(standing), u64::from(standing) / DIRECT_INTERVAL);
        let (mut opened, mut opened_past) = (0, 0);
        while opened < through || self.established < standing as usize {
            let now = self.clock.now();
            while opened < through && began + opened * OPEN_EVERY <= now {
                self.connect(0, now, true);
                opened += 1;
                if opened_past < past && opened % DIRECT_INTERVAL == 0 {
                    self.connect(1, now, true);
                    opened_past += 1;
                }
            }
            self.run_iteration(if opened < through { began + opened * OPEN_EVERY } else { Micros::MAX })?;
            if self.crashed || self.clock.now() > limit {
                return Err(self.failed("did not take the connections that stand"));
            }
        }
        Ok(())
    }

    /// Presses for as long as wanted and waits for the last answers.
    fn apply_load(mut self, options: &Options) -> Result<Outcome, LoadError> {
        let start = self.clock.now();
        self.measure_from = start + WARM_UP;
        self.lateness = Distribution::default();
        let stop = self.measure_from + options.duration;
        let due = |i: u64| start + (i as f64 * 1e6 / options.setups_per_s) as Micros;
        let mut before = None;
        let mut set_ups = 0;
        loop {
            let now = self.clock.now();
            if before.is_none() && now >= self.measure_from {
                before = Some(self.fleet.sample_usage(VIA_BALANCER));
            }
            while due(set_ups) <= now && due(set_ups) < stop {
                self.lateness.record(now - due(set_ups));
                self.connect(0, due(set_ups), false);
                if set_ups % DIRECT_INTERVAL == 0 {
                    self.connect(1, due(set_ups), false);
                }
                set_ups += 1;
            }
            if now >= stop {
                break;
            }
            self.run_iteration(due(set_ups).min(stop))?;
            if self.crashed {
                return Err(self.failed("ended under load"));
            }
        }
        let used = self.fleet.sample_usage(VIA_BALANCER).cpu_ms - before.map_or(0.0, |u| u.cpu_ms);
        // Nothing more is sent; what is out may still be answered.
        self.due_lines.clear();
        let limit = self.clock.now() + LOSS_TIMEOUT;
        while self.clock.now() < limit && self.is_awaiting_replies() {
            self.run_iteration(limit)?;
        }
        Ok(self.into_outcome(options, used))
    }

    fn is_awaiting_replies(&self) -> bool {
        self.clients.values().any(|c| c.set_up_due.is_some() || !c.outstanding_lines.is_empty())
    }

    fn into_outcome(mut self, options: &Options, used_ms: f64) -> Outcome {
        for client in self.clients.values() {
            let path = &mut self.paths[client.path];
            path.lost += u64::from(client.set_up_due.is_some_and(|due| due >= self.measure_from));
            path.lost +=
                client.outstanding_lines.iter().filter(|(due, _)| *due >= self.measure_from).count() as u64;
        }
        let now = self.clock.now();
        self.fleet.stop(&mut self.net, now);
        let [through, past] = self.paths;
        let seconds = seconds_from_micros(options.duration);
        let lateness = self.lateness.quantile(0.99);
        let void = if lateness > MAX_LATENESS {
            Some(format!("the lab was late: p99 {:.1} ms", lateness as f64 / 1e3))
        } else {
            self.net
                .ran_out_of_descriptors()
                .then(|| "the lab's descriptors ran out: it holds two for each connection".to_owned())
        };
        Outcome {
            set_ups_per_s: through.set_up.len() as f64 / seconds,
            lines_per_s: through.line.len() as f64 / seconds,
            stood: self.max_established,
            cores: used_ms / 1e3 / seconds,
            life: self.fleet.incarnations.remove(0),
            void,
            late: self.lateness,
            through,
            past,
        }
    }

    fn connect(&mut self, path: usize, due: Micros, stays: bool) {
        let id = self.next_id;
        self.next_id += 1;
        let conn = ConnId(u64::from(id) + 1);
        let node = NodeId(id % self.directory.node_count() as u32);
        let (who, to) = match path {
            0 => (VIA_BALANCER, self.fleet.address(VIA_BALANCER)),
            _ => (DIRECT, self.directory.address(DIRECT, node)),
        };
        let ask = RequestLine {
            conn,
            key: conn.0.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            class: 0,
            tenant: 0,
            group: 0,
            timeout: LOSS_TIMEOUT,
            hint: None,
            retry: false,
            is_reconnect: false,
            previous_node: None,
        };
        let line = self.connection_log.record_request(who, &ask, LOSS_TIMEOUT, &self.directory);
        let Ok(mut connection) = self.net.connect(to, Role::Load(id)) else {
            self.paths[path].failed += u64::from(due >= self.measure_from);
            return;
        };
        connection.send(&mut self.net, line.as_bytes());
        let client = Client {
            connection,
            path,
            set_up_due: Some(due),
            is_permanent: stays,
            is_closing: false,
            outstanding_lines: VecDeque::new(),
            last_line: 0,
        };
        self.clients.insert(id, client);
    }

    /// Does what is due, waits for what is next, but no longer than until `next`, and handles it.
    fn run_iteration(&mut self, next: Micros) -> Result<(), LoadError> {
        let now = self.clock.now();
        self.fleet.run_due(&mut self.net, now, &mut self.lateness);
        self.discovery.run_due(&mut self.net, now, |_| false, &mut self.observations);
        while let Some((due, id)) = self.due_lines.front().copied().filter(|e| e.0 <= now) {
            self.due_lines.pop_front();
            let Some(client) = self.clients.get_mut(&id).filter(|c| !c.is_closing) else { continue };
            self.lateness.record(now - due);
            client.last_line += 1;
            client.outstanding_lines.push_back((due, client.last_line));
            client.connection.send(&mut self.net, format!("M {id:x} {}\r\n", client.last_line).as_bytes());
            self.due_lines.push_back((due + self.line_interval, id));
        }
        while let Some((_, id)) = self.due_ends.front().copied().filter(|e| e.0 <= now) {
            self.due_ends.pop_front();
            let Some(client) = self.clients.get_mut(&id) else { continue };
            client.is_closing = true;
            if client.outstanding_lines.is_empty() {
                self.close(id, End::Fin);
            }
        }
        let own = [self.fleet.next_due(), self.discovery.next_due(), now + MAX_WAIT];
        let fronts = [&self.due_lines, &self.due_ends].map(|q| q.front().map_or(Micros::MAX, |e| e.0));
        let next = own.into_iter().chain(fronts).fold(next, Micros::min);
        let mut ready = std::mem::take(&mut self.ready);
        self.net.wait(duration_until(self.clock.now(), next), &mut ready)?;
        let woke = self.clock.now();
        for one in &ready {
            self.handle(*one);
        }
        if !ready.is_empty() {
            self.lateness.record(self.clock.now() - woke);
        }
        self.ready = ready;
        for (_, what) in self.observations.drain(..) {
            match what {
                BalancerObservation::Action(FromBalancer::Probe(link)) => {
                    self.nodes.send(&mut self.net, link, NodeMessage::Pong, &mut self.connection_log);
                }
                BalancerObservation::Action(FromBalancer::Exited) => self.crashed = true,
                _ => {}
            }
        }
        Ok(())
    }

    fn handle(&mut self, one: Ready) {
        let now = self.clock.now();
        let (net, observations) = (&mut self.net, &mut self.observations);
        match one.role {
            Role::Load(id) => self.on_client_ready(now, id, one),
            Role::Link(link) => self.nodes.on_ready(net, link, one, &mut self.connection_log, observations),
            Role::NodeListener(who, node) => {
                self.nodes.on_listener_ready(net, who, node, &mut self.connection_log, observations);
            }
            Role::Call(id) => self.discovery.on_ready(net, now, id, one, &self.directory, observations),
            Role::DiscoveryListener(who, moves) => {
                self.discovery.on_listener_ready(net, now, (who, moves), &self.directory, observations);
            }
            Role::Ping(who) => self.fleet.on_ping_ready(net, now, who, one, observations),
            Role::Exit(who, life) => self.fleet.on_process_exited(net, now, who, life, observations),
            Role::Client(_) | Role::MisbehavingClient(_) | Role::DatagramProxy(_) | Role::Timer => {}
        }
    }

    fn on_client_ready(&mut self, now: Micros, id: u32, ready: Ready) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.connection.on_ready(&mut self.net, ready);
        let path = &mut self.paths[client.path];
        let mut fails = false;
        while let Ok(Some(line)) = client.connection.next_line() {
            if let Some(due) = client.set_up_due {
                if !matches!(parse_message(line), Message::Accepted(_)) {
                    fails = true;
                    break;
                }
                client.set_up_due = None;
                if due >= self.measure_from {
                    path.set_up.record(now - due);
                }
                if client.path == 0 {
                    self.established += 1;
                    self.max_established = self.max_established.max(self.established);
                }
                self.due_lines.push_back((now + self.line_interval, id));
                if !client.is_permanent {
                    self.due_ends.push_back((now + self.hold, id));
                }
            } else if let Some((due, number)) = client.outstanding_lines.front().copied()
                && line == format!("M {id:x} {number}").as_bytes()
            {
                client.outstanding_lines.pop_front();
                if due >= self.measure_from {
                    path.line.record(now - due);
                }
            }
        }
        client.connection.compact(&mut self.net);
        if client.is_closing && client.outstanding_lines.is_empty() {
            return self.close(id, End::Fin);
        }
        if fails || client.connection.ended().is_some() {
            let waits = client.set_up_due;
            path.failed += u64::from(waits.is_some_and(|due| due >= self.measure_from));
            path.lost +=
                client.outstanding_lines.iter().filter(|(due, _)| *due >= self.measure_from).count() as u64;
            self.close(id, End::Fin);
        }
    }

    fn close(&mut self, id: u32, how: End) {
        let Some(client) = self.clients.remove(&id) else { return };
        if client.path == 0 && client.set_up_due.is_none() {
            self.established -= 1;
        }
        self.net.close(client.connection, how);
    }
}
