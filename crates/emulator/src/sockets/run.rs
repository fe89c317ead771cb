//! Runs a day in real time: one thread advances the harness by the monotonic clock and passes commands and
//! observations between it and the sockets.
//!
//! Before the day begins, the balancers start, and the connections that were established before it are restored. Until
//! then nodes and discovery answer without the harness, and the day's clock is zero.

mod commands;
mod faults;

use shorewharf_units::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ffi::OsString;
use std::io;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use tempfile::TempDir;
use thiserror::Error;

use super::addresses::{Addresses, MAX_BALANCERS, MAX_NODES};
use super::clients::Clients;
use super::clock::{Clock, Distribution, MAX_LATENESS, duration_until};
use super::connection_log::ConnectionLog;
use super::datagram_proxy::DatagramProxy;
use super::directory::Directory;
use super::discovery::Discovery;
use super::fleet::Fleet;
use super::harness::{BalancerObservation, BalancerStatus, Commands, Harness, Observations};
use super::misbehaving_clients::{MisbehavingClients, UnknownKind};
pub use super::net::raise_descriptors;
use super::net::{Net, Ready, Role};
use super::network_faults::{NetworkFault, NetworkFaults};
use super::nodes::Nodes;
use super::process::{ProcessError, Program};
pub use super::report::Report;
use crate::day::Day;
use crate::edge::{
    Answer, BalancerId, ConnId, End, FromBalancer, LinkId, NodeId, NodeMessage, RequestLine, ToBalancer,
};

/// A balancer that is not ready after this time has failed to start.
const READY_TIMEOUT: Micros = 30_000_000;
/// A connection from before the day that is not restored after this time is lost.
const RESTORE_TIMEOUT: Micros = 40_000_000;
/// The maximum number of connections from before the day that are opened concurrently; more would only wait in queues.
const MAX_CONCURRENT_OPENS: usize = 128;
/// The longest wait of the event loop, so that lateness is sampled while nothing happens, too.
const MAX_WAIT: Micros = 5_000;

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The balancer program under test.
    pub program: Program,
    /// The folder for configurations and logs. If none is given, a temporary one is used and removed at the end.
    pub folder: Option<PathBuf>,
    /// Returns a balancer's settings as JSON text.
    pub settings: fn(&Day, BalancerId) -> String,
    /// The network faults between the processes.
    pub network_faults: Vec<NetworkFault>,
    /// Enables gossip between the balancers if given: the contents of the operator's file, to which the gossip section is
    /// appended.
    pub gossip_operator_settings: Option<String>,
    /// Additional arguments of single balancers, by index; balancers beyond its end have none.
    pub balancer_args: Vec<Vec<OsString>>,
}

/// Why a day could not be run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The day has more balancers or nodes than there are addresses for.
    #[error(
        "the day has {0} balancers and {1} nodes; there are addresses for at most {MAX_BALANCERS} and {MAX_NODES}"
    )]
    TooMany(usize, usize),
    /// The day names an unknown kind of misbehaving client.
    #[error(transparent)]
    Bad(#[from] UnknownKind),
    /// A balancer's settings are not valid JSON.
    #[error("the settings of {0} are not valid JSON: {1}")]
    Settings(String, serde_json::Error),
    /// A process could not be started or configured.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A balancer exited or did not become ready before the day began. Holds its name and the end of its log.
    #[error("{0} did not become ready; its log ends: {1}")]
    NotReady(String, String),
    /// A socket or file operation of the driver failed.
    #[error("the driver's own sockets or files failed: {0}")]
    Io(#[from] io::Error),
}

/// Connections from before the day, while they are being restored.
#[derive(Default)]
struct Prelude {
    /// Connections that have not been opened yet.
    to_open: VecDeque<(BalancerId, RequestLine)>,
    /// Connections whose request has not been answered.
    opening: BTreeSet<ConnId>,
    /// The previous server of each connection.
    previous_servers: BTreeMap<ConnId, NodeId>,
    /// Restored connections, each with its balancer, link and node.
    established: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>,
    /// The number of connections that could not be restored.
    missed: usize,
}

struct Driver<'a, S: Harness> {
    harness: &'a mut S,
    day: &'a Day,
    options: &'a Options,
    clock: Clock,
    /// When the day began on the driver's clock; none before.
    started_at: Option<Micros>,
    net: Net,
    directory: Directory,
    connection_log: ConnectionLog,
    fleet: Fleet,
    nodes: Nodes,
    clients: Clients,
    discovery: Discovery,
    misbehaving_clients: MisbehavingClients,
    network_faults: NetworkFaults,
    datagram_proxy: Option<DatagramProxy>,
    /// List events for balancers whose path from discovery is blocked.
    lost_list_events: Vec<(BalancerId, ToBalancer)>,
    /// List events for balancers that had no open call when the event was due.
    pending_list_events: Vec<(BalancerId, ToBalancer)>,
    lateness: Distribution,
    handling_time: Distribution,
    /// Observations that have not been reported to the harness.
    observations: Observations,
    commands: Commands,
    ready: Vec<Ready>,
    /// The day's time at which the harness was last advanced.
    harness_time: Micros,
    /// When the next status sample is due, on the day's clock.
    next_status_sample: Micros,
    /// When the last wait returned.
    woke_at: Micros,
    prelude: Prelude,
    malformed_first_lines: u64,
}

/// Runs a day in real time against the program.
///
/// # Errors
///
/// Fails if the day has more parties than there are addresses, a process cannot be started or configured, a balancer
/// does not become ready in time, or the driver's own sockets fail.
pub fn run_day<S: Harness>(harness: &mut S, day: &Day, options: &Options) -> Result<Report, RunError> {
    // The temporary folder is removed when it is dropped, at the end of the run.
    let (folder, _temporary) = match &options.folder {
        Some(folder) => (folder.clone(), None),
        None => {
            let temporary = TempDir::with_prefix("shorewharf-lab-")?;
            (temporary.path().to_owned(), Some(temporary))
        }
    };
    let (balancers, nodes) = (day.balancers.len() as u32, day.nodes.len() as u32);
    if balancers > MAX_BALANCERS || nodes > MAX_NODES {
        return Err(RunError::TooMany(day.balancers.len(), day.nodes.len()));
    }
    let mut net = Net::new()?;
    let addresses = Addresses::for_next_run();
    let nodes = Nodes::new(&mut net, addresses, balancers, nodes)?;
    let directory = Directory::new(day, nodes.addresses(balancers));
    let mut fleet = Fleet::new(options.program.clone(), day.limits.cores, addresses, balancers, &folder)?;
    let mut datagram_proxy = None;
    if let Some(operator) = &options.gossip_operator_settings {
        let balancer_addresses = (0..balancers).map(|who| fleet.address(BalancerId(who))).collect();
        let proxy = DatagramProxy::open(&mut net, addresses, balancer_addresses, day.seed)?;
        fleet.set_args(vec!["--operator".into(), proxy.write_operator_file(&folder, operator)?.into()]);
        datagram_proxy = Some(proxy);
    }
    fleet.set_balancer_args(&options.balancer_args);
    let mut driver = Driver {
        harness,
        day,
        options,
        clock: Clock::start(),
        started_at: None,
        connection_log: ConnectionLog::new(day, &directory),
        directory,
        fleet,
        nodes,
        clients: Clients::new(day.clients.line_every),
        discovery: Discovery::new(&mut net, addresses, balancers)?,
        misbehaving_clients: MisbehavingClients::new(day)?,
        network_faults: NetworkFaults::new(&options.network_faults),
        datagram_proxy,
        lost_list_events: Vec::new(),
        pending_list_events: Vec::new(),
        net,
        lateness: Distribution::default(),
        handling_time: Distribution::default(),
        observations: Vec::new(),
        commands: Vec::new(),
        ready: Vec::new(),
        harness_time: 0,
        next_status_sample: 0,
        woke_at: 0,
        prelude: Prelude::default(),
        malformed_first_lines: 0,
    };
    driver.start_balancers()?;
    driver.run_day()?;
    Ok(driver.into_report())
}

impl<S: Harness> Driver<'_, S> {
    /// Starts the balancers that run from the begin of the day, and restores the connections from before it.
    fn start_balancers(&mut self) -> Result<(), RunError> {
        self.harness.advance(0, &mut self.commands);
        self.execute_commands()?;
        let first: Vec<BalancerId> = (0..self.day.balancers.len() as u32)
            .map(BalancerId)
            .filter(|w| self.fleet.pid(*w).is_some())
            .collect();
        let limit = self.clock.now() + READY_TIMEOUT;
        while let Some(who) = first.iter().find(|w| !self.fleet.is_ready(**w)) {
            if self.clock.now() > limit || self.fleet.pid(*who).is_none() {
                let files = self.fleet.files(*who);
                return Err(RunError::NotReady(files.name().to_owned(), files.log_tail(5)));
            }
            self.run_iteration()?;
        }
        self.prelude.to_open = self.harness.connections_at_start().into();
        let previous_servers = self
            .prelude
            .to_open
            .iter()
            .filter_map(|(_, request)| Some((request.conn, request.previous_node?)));
        self.prelude.previous_servers = previous_servers.collect();
        let limit = self.clock.now() + RESTORE_TIMEOUT;
        while !self.prelude.opening.is_empty() || !self.prelude.to_open.is_empty() {
            if self.clock.now() > limit {
                break;
            }
            while self.prelude.opening.len() < MAX_CONCURRENT_OPENS {
                let Some((who, request)) = self.prelude.to_open.pop_front() else { break };
                self.prelude.opening.insert(request.conn);
                self.open_client(who, &request, request.timeout);
            }
            self.run_iteration()?;
        }
        let established = std::mem::take(&mut self.prelude.established);
        let now = self.clock.now();
        for conn in self.prelude.previous_servers.keys().filter(|conn| !established.contains_key(conn)) {
            self.prelude.missed += 1;
            self.clients.close(&mut self.net, now, *conn, End::Reset);
        }
        self.harness.on_connections_restored(established);
        Ok(())
    }

    /// Runs the day to its end.
    fn run_day(&mut self) -> Result<(), RunError> {
        let now = self.clock.now();
        self.started_at = Some(now);
        self.woke_at = now;
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.directory.set_epoch(epoch.as_secs_f64() * 1e3);
        self.nodes.begin_day();
        self.discovery.begin_day();
        // Lateness before the day does not count.
        (self.lateness, self.handling_time) = (Distribution::default(), Distribution::default());
        while !self.harness.is_over(self.day_time(self.clock.now())) {
            self.run_iteration()?;
        }
        Ok(())
    }

    fn into_report(mut self) -> Report {
        let now = self.clock.now();
        let ended = self.day_time(now);
        self.misbehaving_clients.stop(&mut self.net);
        self.fleet.stop(&mut self.net, now);
        let worst = self.lateness.quantile(0.99).max(self.handling_time.quantile(0.99));
        let void = if worst > MAX_LATENESS {
            Some(format!(
                "the driver was late: p99 {:.1} ms, limit {:.0} ms",
                worst as f64 / 1e3,
                MAX_LATENESS as f64 / 1e3
            ))
        } else if self.net.ran_out_of_descriptors() {
            Some("the driver ran out of descriptors: it needs two for each connection".to_owned())
        } else if self.malformed_first_lines > 0 {
            Some(format!(
                "nodes received {} first lines that no client had sent in that form",
                self.malformed_first_lines
            ))
        } else {
            None
        };
        let mut strange = self.discovery.invalid_requests;
        strange.append(&mut self.fleet.violations);
        Report {
            void,
            late: self.lateness,
            handled: self.handling_time,
            clients: self.clients.statistics,
            bad: self.misbehaving_clients.report(),
            lives: self.fleet.incarnations,
            syntax: self.malformed_first_lines,
            early: self.nodes.early_lines,
            strange,
            missed: self.prelude.missed,
            notes: self.datagram_proxy.map(|n| n.statistics).unwrap_or_default(),
            ended,
        }
    }

    /// The day's clock; zero before it begins.
    fn day_time(&self, now: Micros) -> Micros {
        self.started_at.map_or(0, |start| now - start)
    }

    /// Runs one iteration of the event loop: due work, one wait, and the events that it returned.
    fn run_iteration(&mut self) -> Result<(), RunError> {
        let now = self.clock.now();
        if self.started_at.is_some() {
            let time = self.day_time(now);
            if let Some(due) = self.harness.next_due().filter(|due| *due <= time) {
                self.lateness.record(time - due);
            }
            self.advance(now)?;
            if time >= self.next_status_sample {
                self.sample_status(time);
            }
        }
        self.fleet.run_due(&mut self.net, now, &mut self.lateness);
        let (network_faults, time) = (&self.network_faults, self.day_time(now));
        self.discovery.run_due(
            &mut self.net,
            now,
            |who| network_faults.is_list_blocked(time, who),
            &mut self.observations,
        );
        self.clients.run_due(&mut self.net, now, &mut self.lateness, &mut self.observations);
        self.run_misbehaving_clients(now);
        self.report_observations()?;

        let now = self.clock.now();
        let next = self.next_due().min(now + MAX_WAIT);
        let mut ready = std::mem::take(&mut self.ready);
        self.net.wait(duration_until(now, next), &mut ready)?;
        let woke = self.clock.now();
        let before = std::mem::replace(&mut self.woke_at, woke);
        if ready.is_empty() {
            self.lateness.record(woke.saturating_sub(next));
        } else {
            if self.started_at.is_some() {
                self.advance(woke)?;
            }
            ready.iter().for_each(|one| self.handle(*one));
            self.report_observations()?;
            // If the wait returned at once, events may have occurred at any time since the previous wait returned.
            let since = if woke > now + 50 { woke } else { before };
            self.handling_time.record(self.clock.now() - since);
        }
        self.ready = ready;
        Ok(())
    }

    fn next_due(&self) -> Micros {
        let mut next = self.fleet.next_due().min(self.discovery.next_due()).min(self.clients.next_due());
        if let Some(start) = self.started_at {
            next = next.min(self.misbehaving_clients.next_due(start));
            next = next.min(self.harness.next_due().map_or(Micros::MAX, |due| start + due));
            let datagram_due = self.datagram_proxy.as_ref().and_then(DatagramProxy::next_due);
            let fault_due = self.network_faults.next_due().into_iter().chain(datagram_due).min();
            next = next.min(fault_due.map_or(Micros::MAX, |due| start + due));
        }
        next
    }

    fn run_misbehaving_clients(&mut self, now: Micros) {
        let Some(start) = self.started_at else { return };
        let (fleet, clients, count) = (&self.fleet, &self.clients, self.day.balancers.len() as u64);
        let is_day = now < start + self.day.length;
        self.misbehaving_clients.run_due(
            &mut self.net,
            now,
            start,
            is_day,
            &mut self.connection_log,
            |number| {
                let who = BalancerId((number % count.max(1)) as u32);
                fleet.is_ready(who).then(|| (who, fleet.address(who), clients.any_active(who)))
            },
        );
    }

    fn handle(&mut self, one: Ready) {
        let now = self.clock.now();
        let (net, observations) = (&mut self.net, &mut self.observations);
        match one.role {
            Role::Client(conn) => {
                self.clients.on_ready(net, now, conn, one, &self.connection_log, observations);
            }
            Role::MisbehavingClient(id) => {
                self.misbehaving_clients.on_ready(net, now, id, one, &mut self.connection_log, observations);
            }
            Role::Link(link) => self.nodes.on_ready(net, link, one, &mut self.connection_log, observations),
            Role::Call(id) => self.discovery.on_ready(net, now, id, one, &self.directory, observations),
            Role::Ping(who) => self.fleet.on_ping_ready(net, now, who, one, observations),
            Role::NodeListener(who, node) => {
                self.nodes.on_listener_ready(net, who, node, &mut self.connection_log, observations);
            }
            Role::DiscoveryListener(who, moves) => {
                self.discovery.on_listener_ready(net, now, (who, moves), &self.directory, observations);
            }
            Role::Exit(who, incarnation) => {
                self.fleet.on_process_exited(net, now, who, incarnation, observations);
            }
            Role::DatagramProxy(to) => {
                let (time, faults) = (self.started_at.map_or(0, |start| now - start), &self.network_faults);
                self.datagram_proxy.iter_mut().for_each(|proxy| proxy.on_ready(time, to, faults));
            }
            Role::Load(_) | Role::Timer => {}
        }
    }

    /// Advances the harness to `now` and brings the sockets to the harness's state, so that later observations refer to
    /// a platform that both agree on and are reported in order of time.
    fn advance(&mut self, now: Micros) -> Result<(), RunError> {
        self.harness_time = self.day_time(now);
        self.harness.advance(self.harness_time, &mut self.commands);
        for node in (0..self.day.nodes.len() as u32).map(NodeId) {
            self.nodes.set_node_reachability(
                &mut self.net,
                node,
                self.harness.reachability(node),
                &mut self.observations,
            )?;
        }
        self.execute_commands()?;
        self.apply_network_faults()
    }

    fn sample_status(&mut self, time: Micros) {
        self.next_status_sample = (time / 1_000_000 + 1) * 1_000_000;
        let count = self.day.balancers.len();
        let clients = self.clients.established_per_balancer(count).into_iter().enumerate();
        let status = |(who, clients)| {
            let who = BalancerId(who as u32);
            BalancerStatus { runs: self.fleet.pid(who).is_some(), ready: self.fleet.is_ready(who), clients }
        };
        let statuses: Vec<BalancerStatus> = clients.map(status).collect();
        self.harness.on_status_sample(time, &statuses);
    }

    /// Reports the observations to the harness.
    fn report_observations(&mut self) -> Result<(), RunError> {
        let observations = std::mem::take(&mut self.observations);
        let time = self.harness_time;
        for (who, observation) in &observations {
            match *observation {
                BalancerObservation::Action(what) => {
                    self.malformed_first_lines +=
                        u64::from(matches!(what, FromBalancer::MalformedRequest(_)));
                    if self.started_at.is_some() || !self.observe_prelude(*who, what) {
                        self.harness.on_balancer_action(time, *who, what, &mut self.commands);
                    }
                }
                BalancerObservation::Connection(observation) if self.started_at.is_some() => {
                    self.harness.on_observation(time, *who, observation);
                }
                BalancerObservation::Connection(_) => {}
            }
        }
        self.observations = observations;
        self.observations.clear();
        self.execute_commands()
    }

    /// Handles an observation made before the day; returns false if the harness has to handle it.
    fn observe_prelude(&mut self, who: BalancerId, what: FromBalancer) -> bool {
        match what {
            FromBalancer::Answer(conn, answer) => {
                self.prelude.opening.remove(&conn);
                let link = if let Answer::Up(link) = answer { Some(link) } else { None };
                let accepted = link.and_then(|link| Some((link, self.nodes.node_and_conn(link)?.0)));
                // Only the previous server resumes a connection without a setup.
                if let Some((link, node)) =
                    accepted.filter(|n| self.prelude.previous_servers.get(&conn) == Some(&n.1))
                {
                    self.prelude.established.insert(conn, (who, link, node));
                }
            }
            FromBalancer::EndClient(conn, _) | FromBalancer::ConnectionRefused(conn) => {
                self.prelude.opening.remove(&conn);
                self.prelude.established.remove(&conn);
            }
            FromBalancer::Probe(link) => {
                self.nodes.send(&mut self.net, link, NodeMessage::Pong, &mut self.connection_log);
            }
            FromBalancer::Link { .. }
            | FromBalancer::Forward { .. }
            | FromBalancer::EndLink(..)
            | FromBalancer::Pass(_) => {}
            _ => return false,
        }
        true
    }
}

/// All pairs of a balancer and a node that a fault affects.
fn affected_pairs(fault: &NetworkFault) -> impl Iterator<Item = (BalancerId, NodeId)> {
    fault.balancers.iter().flat_map(|who| fault.nodes.iter().map(|node| (*who, *node)))
}
