//! An open-loop load generator for one balancer: setups and lines are sent when they are due, whether or not earlier ones
//! have been answered, and every latency counts from the due time. A balancer that stalls does not receive less load.
//!
//! Nodes accept every connection at once and return every line, so that the balancer and the operating system determine
//! the latencies. In the same run, a tenth as many connections go directly to the nodes; their latencies show the load
//! generator's own share.

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

/// The balancer under load, and a second id for direct connections, which nodes serve like those of another balancer.
const VIA_BALANCER: BalancerId = BalancerId(0);
const DIRECT: BalancerId = BalancerId(1);
/// The number of connections through the balancer for each connection that goes directly to a node.
const DIRECT_INTERVAL: u64 = 10;
/// A setup or a line that is not answered within this time is lost; the run waits as long for the last answers.
const LOSS_TIMEOUT: Micros = 5_000_000;
/// The interval at which permanent connections are opened before the measurement.
const OPEN_INTERVAL: Micros = 500;
/// The time within which the balancer must become ready, and within which permanent connections must be established.
const READY_TIMEOUT: Micros = 30_000_000;
/// Setups and lines that are due in the first second are not counted: it includes the balancer's first endpoint list and
/// the filling of caches.
const WARM_UP: Micros = 1_000_000;
/// The longest wait of the event loop.
const MAX_WAIT: Micros = 5_000;

/// The options of a load run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The balancer program.
    pub program: Program,
    /// The number of new connections per second through the balancer.
    pub setups_per_s: f64,
    /// The number of permanent connections through the balancer, which are opened before the measurement.
    pub established_connections: u32,
    /// The lifetime of a new connection.
    pub hold: Micros,
    /// The interval at which a line is sent on each established connection.
    pub line_interval: Micros,
    /// The duration of the measurement, which follows `WARM_UP`.
    pub duration: Micros,
    /// The number of nodes.
    pub nodes: u32,
    /// Returns the balancer's settings as JSON text.
    pub settings: fn(&Day, BalancerId) -> String,
}

/// Why a load run failed.
#[derive(Debug, Error)]
pub enum LoadError {
    /// An option is not a positive number.
    #[error("{0}: found {1}, expected a number above 0")]
    Figure(&'static str, f64),
    /// The settings are not valid JSON.
    #[error("the balancer's settings are not valid JSON: {0}")]
    Settings(#[from] serde_json::Error),
    /// The balancer could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The balancer did not become ready, did not accept the permanent connections, or exited. Holds what happened and the
    /// end of its log.
    #[error("the balancer {0}; its log ends: {1}")]
    Balancer(&'static str, String),
    /// A socket operation of the load generator failed.
    #[error("the lab's own sockets failed: {0}")]
    Io(#[from] io::Error),
}

/// The results of one path to the nodes: through the balancer, or direct.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PathResult {
    /// The times from a setup's due time to its `UP`.
    pub set_up: Distribution,
    /// The times from a line's due time to its return.
    pub line: Distribution,
    /// The number of setups that were rejected, failed or refused, or whose connection was closed.
    pub failed: u64,
    /// The number of setups and lines without an answer.
    pub lost: u64,
}

/// The result of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The results through the balancer.
    pub through: PathResult,
    /// The results of direct connections to a node.
    pub past: PathResult,
    /// The number of successful setups per second through the balancer.
    pub set_ups_per_s: f64,
    /// The number of returned lines per second through the balancer.
    pub lines_per_s: f64,
    /// The largest number of established connections through the balancer.
    pub stood: usize,
    /// The balancer's CPU time divided by the duration of the measurement.
    pub cores: f64,
    /// The record of the balancer's process.
    pub life: ProcessIncarnation,
    /// The lateness of the load generator.
    pub late: Distribution,
    /// Why the result is invalid; none if it is valid.
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
        for (name, durations) in [
            ("setup, through", &self.through.set_up),
            ("setup, direct", &self.past.set_up),
            ("line, through", &self.through.line),
            ("line, direct", &self.past.line),
            ("the lab's lateness", &self.late),
        ] {
            let at = |quantile| ms(durations.quantile(quantile));
            let (p50, p90, p99, p999) = (at(0.5), at(0.9), at(0.99), at(0.999));
            let (max, count) = (ms(durations.max()), durations.len());
            writeln!(f, "{name:22} {p50:9.2} {p90:9.2} {p99:9.2} {p999:9.2} {max:9.2} {count:9}")?;
        }
        writeln!(
            f,
            "setups per second {:.0}, lines per second {:.0}, at most {} established",
            self.set_ups_per_s, self.lines_per_s, self.stood
        )?;
        let usage = &self.life.usage;
        writeln!(
            f,
            "balancer: {:.2} cores, {:.1} MB, {} descriptors",
            self.cores, usage.memory_mb, usage.descriptors
        )?;
        for (name, path) in [("through", &self.through), ("direct", &self.past)] {
            if path.failed + path.lost > 0 {
                writeln!(f, "{name}: {} setups failed, {} setups and lines lost", path.failed, path.lost)?;
            }
        }
        self.void.as_ref().map_or(Ok(()), |why| writeln!(f, "VOID: {why}"))
    }
}

#[derive(Debug)]
struct Client {
    connection: LineConnection,
    /// The index of its path: 0 through the balancer, 1 direct.
    path: usize,
    /// When its setup was due; none once it is established.
    setup_due: Option<Micros>,
    /// Whether it stays connected to the end of the run.
    is_permanent: bool,
    /// Whether it closes the connection once all its lines have been returned.
    is_closing: bool,
    /// Lines that have not been returned: the due time and the line's number.
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
    /// The results through the balancer and of direct connections.
    paths: [PathResult; 2],
    lateness: Distribution,
    clients: BTreeMap<u32, Client>,
    next_id: u32,
    /// The number of established connections through the balancer.
    established: usize,
    max_established: usize,
    /// When each client's next line is due; in order of time, since all clients have the same interval.
    due_lines: VecDeque<(Micros, u32)>,
    /// When each client is to close its connection; in order of time, since all connections have the same lifetime.
    due_ends: VecDeque<(Micros, u32)>,
    /// The begin of the measurement: only setups and lines that are due later are counted.
    measure_from: Micros,
    line_interval: Micros,
    hold: Micros,
    observations: Observations,
    ready: Vec<Ready>,
    crashed: bool,
}

/// Starts a balancer with its files in `folder`, and measures it under load.
///
/// # Errors
///
/// Fails if an option is out of range, the balancer does not start or ends under load, or the sockets fail.
pub fn run(options: &Options, folder: &Path) -> Result<Outcome, LoadError> {
    for (name, figure) in [
        ("setups per second", options.setups_per_s),
        ("duration", options.duration as f64),
        ("hold", options.hold as f64),
        ("line interval", options.line_interval as f64),
        ("nodes", f64::from(options.nodes)),
    ] {
        if figure.is_nan() || figure <= 0.0 {
            return Err(LoadError::Figure(name, figure));
        }
    }
    let limits = options.program.limits;
    let day = plain::day(2, options.nodes, options.duration, limits.memory_mb, limits.sockets);
    let mut load = Load::start(options, &day, folder)?;
    load.open_permanent_connections(options.established_connections)?;
    load.apply_load(options)
}

impl Load {
    fn start(options: &Options, day: &Day, folder: &Path) -> Result<Self, LoadError> {
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

    /// The error that the balancer did this, with the end of its log.
    fn failure(&self, what: &'static str) -> LoadError {
        LoadError::Balancer(what, self.fleet.files(VIA_BALANCER).log_tail(5))
    }

    /// Waits for the balancer to become ready, and opens the permanent connections.
    fn open_permanent_connections(&mut self, count: u32) -> Result<(), LoadError> {
        let limit = self.clock.now() + READY_TIMEOUT;
        while !self.fleet.is_ready(VIA_BALANCER) {
            self.run_iteration(Micros::MAX)?;
            if self.crashed || self.clock.now() > limit {
                return Err(self.failure("did not become ready"));
            }
        }
        let (began, limit) =
            (self.clock.now(), self.clock.now() + READY_TIMEOUT + u64::from(count) * OPEN_INTERVAL);
        let (through, direct) = (u64::from(count), u64::from(count) / DIRECT_INTERVAL);
        let (mut opened, mut opened_direct) = (0, 0);
        while opened < through || self.established < count as usize {
            let now = self.clock.now();
            while opened < through && began + opened * OPEN_INTERVAL <= now {
                self.connect(0, now, true);
                opened += 1;
                if opened_direct < direct && opened % DIRECT_INTERVAL == 0 {
                    self.connect(1, now, true);
                    opened_direct += 1;
                }
            }
            self.run_iteration(if opened < through { began + opened * OPEN_INTERVAL } else { Micros::MAX })?;
            if self.crashed || self.clock.now() > limit {
                return Err(self.failure("did not accept the permanent connections in time"));
            }
        }
        Ok(())
    }

    /// Applies the load for the warm-up and the measurement, and waits for the last answers.
    fn apply_load(mut self, options: &Options) -> Result<Outcome, LoadError> {
        let start = self.clock.now();
        self.measure_from = start + WARM_UP;
        self.lateness = Distribution::default();
        let stop = self.measure_from + options.duration;
        let due = |i: u64| start + (i as f64 * 1e6 / options.setups_per_s) as Micros;
        let mut usage_before = None;
        let mut setups = 0;
        loop {
            let now = self.clock.now();
            if usage_before.is_none() && now >= self.measure_from {
                usage_before = Some(self.fleet.sample_usage(VIA_BALANCER));
            }
            while due(setups) <= now && due(setups) < stop {
                self.lateness.record(now - due(setups));
                self.connect(0, due(setups), false);
                if setups % DIRECT_INTERVAL == 0 {
                    self.connect(1, due(setups), false);
                }
                setups += 1;
            }
            if now >= stop {
                break;
            }
            self.run_iteration(due(setups).min(stop))?;
            if self.crashed {
                return Err(self.failure("exited under load"));
            }
        }
        let cpu_ms = self.fleet.sample_usage(VIA_BALANCER).cpu_ms - usage_before.map_or(0.0, |u| u.cpu_ms);
        // No more lines are sent; those already sent may still be answered.
        self.due_lines.clear();
        let limit = self.clock.now() + LOSS_TIMEOUT;
        while self.clock.now() < limit && self.is_awaiting_replies() {
            self.run_iteration(limit)?;
        }
        Ok(self.into_outcome(options, cpu_ms))
    }

    fn is_awaiting_replies(&self) -> bool {
        self.clients.values().any(|c| c.setup_due.is_some() || !c.outstanding_lines.is_empty())
    }

    fn into_outcome(mut self, options: &Options, cpu_ms: f64) -> Outcome {
        for client in self.clients.values() {
            let path = &mut self.paths[client.path];
            path.lost += u64::from(client.setup_due.is_some_and(|due| due >= self.measure_from));
            path.lost +=
                client.outstanding_lines.iter().filter(|(due, _)| *due >= self.measure_from).count() as u64;
        }
        let now = self.clock.now();
        self.fleet.stop(&mut self.net, now);
        let [through, past] = self.paths;
        let seconds = seconds_from_micros(options.duration);
        let lateness = self.lateness.quantile(0.99);
        let void = if lateness > MAX_LATENESS {
            Some(format!(
                "the lab was late: p99 {:.1} ms, limit {:.0} ms",
                lateness as f64 / 1e3,
                MAX_LATENESS as f64 / 1e3
            ))
        } else {
            self.net
                .ran_out_of_descriptors()
                .then(|| "the lab ran out of descriptors: it needs two for each connection".to_owned())
        };
        Outcome {
            set_ups_per_s: through.set_up.len() as f64 / seconds,
            lines_per_s: through.line.len() as f64 / seconds,
            stood: self.max_established,
            cores: cpu_ms / 1e3 / seconds,
            life: self.fleet.incarnations.remove(0),
            void,
            late: self.lateness,
            through,
            past,
        }
    }

    fn connect(&mut self, path: usize, due: Micros, is_permanent: bool) {
        let id = self.next_id;
        self.next_id += 1;
        let conn = ConnId(u64::from(id) + 1);
        let node = NodeId(id % self.directory.node_count() as u32);
        let (who, address) = match path {
            0 => (VIA_BALANCER, self.fleet.address(VIA_BALANCER)),
            _ => (DIRECT, self.directory.address(DIRECT, node)),
        };
        let request = RequestLine {
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
        let line = self.connection_log.record_request(who, &request, LOSS_TIMEOUT, &self.directory);
        let Ok(mut connection) = self.net.connect(address, Role::Load(id)) else {
            self.paths[path].failed += u64::from(due >= self.measure_from);
            return;
        };
        connection.send(&mut self.net, line.as_bytes());
        let client = Client {
            connection,
            path,
            setup_due: Some(due),
            is_permanent,
            is_closing: false,
            outstanding_lines: VecDeque::new(),
            last_line: 0,
        };
        self.clients.insert(id, client);
    }

    /// Runs one iteration of the event loop: due work, one wait until the next due time or `next`, and the events that it
    /// returned.
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
        let limits = [self.fleet.next_due(), self.discovery.next_due(), now + MAX_WAIT];
        let fronts = [&self.due_lines, &self.due_ends].map(|q| q.front().map_or(Micros::MAX, |e| e.0));
        let next = limits.into_iter().chain(fronts).fold(next, Micros::min);
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
        let mut is_failed = false;
        while let Ok(Some(line)) = client.connection.next_line() {
            if let Some(due) = client.setup_due {
                if !matches!(parse_message(line), Message::Accepted(_)) {
                    is_failed = true;
                    break;
                }
                client.setup_due = None;
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
        if is_failed || client.connection.ended().is_some() {
            path.failed += u64::from(client.setup_due.is_some_and(|due| due >= self.measure_from));
            path.lost +=
                client.outstanding_lines.iter().filter(|(due, _)| *due >= self.measure_from).count() as u64;
            self.close(id, End::Fin);
        }
    }

    fn close(&mut self, id: u32, how: End) {
        let Some(client) = self.clients.remove(&id) else { return };
        if client.path == 0 && client.setup_due.is_none() {
            self.established -= 1;
        }
        self.net.close(client.connection, how);
    }
}
