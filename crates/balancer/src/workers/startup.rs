//! The loops: one, or as many as the operator wants, each on a thread of its own.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mio::net::TcpListener;
use shorewharf_driver::{Driver, Effects};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use socket2::{Domain, Socket, Type};
use thiserror::Error;
use tracing::{error, info, warn};

use crate::admin::counters::WorkerCounters;
use crate::admin::handler::AdminListener;
use crate::admin::shared_folder::SharedFolder;
use crate::clients::open_ids::OpenIds;
use crate::clock::Clock;
use crate::config::proxy_settings::ProxySettings;
use crate::config::{Config, ConfigError, InvalidValue};
use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::event_loop::dispatch::{EventLoop, WorkerContext};
use crate::event_loop::poll::{EventPoller, EventSource, SourceRegistry};
use crate::fleet::budgets::{BudgetClient, StartError};
use crate::fleet::gossip::GossipTransport;
use crate::handover::predecessor::{self, Predecessor, ReceivedHandover};
use crate::handover::siblings::SiblingProcesses;
use crate::handover::successors::Successors;
use crate::reload;
use crate::snapshot::{self, SnapshotState, SnapshotTask, everything};
use crate::supervisor;
use crate::transport::connection::is_shortage;
use crate::transport::readiness::Readiness;
use crate::workers::pool::{NewWorker, WorkerMessage, WorkerPool};

/// Connections that the system holds until they are accepted.
const BACKLOG: i32 = 4096;
/// A worker's thread has panicked, which ends the program as it would with one thread.
const PANICKED: i32 = 101;

/// Reads the configuration again, whole.
type Reread = Box<dyn Fn() -> Result<Config, ConfigError> + Send>;

/// What the first worker does for all.
struct Lead {
    signals: Signals,
    reread: Reread,
    /// The configuration in force, the whole program's.
    config: Config,
    workers: usize,
}

impl Lead {
    /// What one of the workers goes by. Two processes that take clients are one balancer: each keeps to half of what
    /// pushes a cold server over.
    fn own(&self, worker: usize, shares: bool) -> Config {
        let mut own = self.config.for_worker(worker, self.workers);
        if shares {
            own.settings.overload_ratio *= 0.5;
        }
        own
    }
}

/// The peers of a worker, and the driver that stands between them and the decisions.
struct Worker {
    event_loop: EventLoop,
    driver: Driver,
    lead: Option<Lead>,
    keeping: Option<SnapshotTask>,
    shares: Option<BudgetClient>,
}

impl Worker {
    /// A turn: each peer that the loop has seen something of acts, and the module hears of it before the next does.
    fn run_iteration(&mut self, now: Micros, seen: impl Iterator<Item = (EventSource, Readiness)> + Clone) {
        self.event_loop.begin_iteration(now);
        let gate = self.driver.gate();
        let first = seen.clone().filter(|s| s.0.is_prioritized());
        self.event_loop.serve_admin(first, || gate.unavailable_servers(seconds_from_micros(now)));
        self.driver.process_events(&mut self.event_loop);
        for (owner, ready) in seen.filter(|s| !s.0.is_prioritized()) {
            match owner {
                EventSource::Signals => self.signalled(),
                EventSource::WorkerMessages => self.ordered(),
                EventSource::HandoverListener => {
                    let gate = self.driver.gate();
                    self.event_loop.on_successors_connecting(|| everything(gate));
                }
                owner => self.event_loop.dispatch_readiness(owner, ready),
            }
            self.driver.process_events(&mut self.event_loop);
        }
        let driver = &mut self.driver;
        self.event_loop.finish_iteration(|event_loop| driver.process_events(event_loop));
        let gate = driver.gate();
        self.event_loop.hand_over_connections(|id| gate.established(id));
        driver.process_events(&mut self.event_loop);
        if self.event_loop.take_sharing_change().is_some() {
            self.enforce();
        }
        if let Some(tells) = &mut self.event_loop.gossip
            && tells.is_due()
        {
            tells.tell(&mut self.event_loop.context, self.driver.gate().holdings());
            self.driver.process_events(&mut self.event_loop);
        }
        if let Some(keeping) = &mut self.keeping {
            keeping.on_iteration(&mut self.event_loop, &mut self.driver);
        }
    }

    /// Puts the configuration in force again: another process of this balancer has come or gone.
    fn enforce(&mut self) {
        let Some(lead) = &self.lead else { return };
        let shares = self.event_loop.siblings.is_sharing_clients();
        self.event_loop.broadcast(|worker| WorkerMessage::Config(Box::new(lead.own(worker, shares))));
        if let (Some(budgets), Some(fleet)) = (&self.shares, &lead.config.budgets) {
            budgets.update_totals(fleet);
        }
        reload::apply(&lead.own(0, shares), &mut self.event_loop, &mut self.driver);
    }

    fn ordered(&mut self) {
        while let Some(order) = self.event_loop.next_message() {
            match order {
                WorkerMessage::Config(config) => {
                    reload::apply(&config, &mut self.event_loop, &mut self.driver)
                }
                order => self.event_loop.on_message(order),
            }
            self.driver.process_events(&mut self.event_loop);
        }
    }

    fn signalled(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        let came: Vec<_> = lead.signals.pending().collect();
        for signal in came {
            if signal == SIGHUP {
                self.reload();
            } else {
                self.event_loop.broadcast(|_| WorkerMessage::Shutdown);
                self.event_loop.begin_shutdown();
            }
        }
    }

    /// SIGHUP has come. Several close together may come as one: the file is read as it is now.
    fn reload(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        let taken = (lead.reread)().and_then(|next| reload::replace(&mut lead.config, next));
        if let Err(e) = taken {
            // Nothing of a file that is wrong anywhere is applied.
            return error!(event = "reload-refused", key = e.key(), why = %e.reason());
        }
        self.enforce();
    }
}

/// What a worker starts with.
struct Start {
    watch: EventPoller,
    place: WorkerContext,
    config: Config,
    known: Arc<EndpointList>,
    clock: Clock,
    keeping: Option<SnapshotTask>,
    /// What one before has known.
    memory: Option<SnapshotState>,
    /// The first one's.
    lead: Option<Lead>,
    /// The fleet's budgets.
    shares: Option<BudgetClient>,
}

impl Start {
    /// Works until the planned end; tells how many clients were still here.
    fn work(mut self) -> io::Result<usize> {
        let (config, clock) = (self.config, self.clock);
        let mut place = self.place;
        let poller = self.watch.registry()?;
        poller.register_readable(&mut place.listener, EventSource::Listener)?;
        let address = place.listener.local_addr()?;
        let operator = place.admin.as_ref().and_then(|desk| desk.listener.local_addr().ok());
        if let Some(desk) = &mut place.admin {
            poller.register_readable(&mut desk.listener, EventSource::AdminListener)?;
        }
        let context = LoopContext::new(poller, clock.read());
        let mut event_loop = EventLoop::new(context, place, config.discovery, ProxySettings::from(&config));
        if let Some(peers) = &config.gossip {
            event_loop.gossip = Some(GossipTransport::new(
                &mut event_loop.context,
                &config.name,
                address,
                peers,
                config.seed,
            ));
        }
        // Held once: by the tables from now on.
        let known = event_loop.restore_endpoints(&self.known);
        drop(self.known);
        let servers = known.len();
        let budgets = self.shares.as_ref().and_then(|s| s.admission(&config));
        let mut driver =
            Driver::start(config.settings, &config.operator, config.seed, known, &mut event_loop);
        if let Some(budgets) = budgets {
            driver.gate().set_budgets(budgets);
        }
        if let Some(memory) = self.memory {
            memory.recall(event_loop.now(), driver.gate());
        }
        if self.keeping.is_some() {
            event_loop.context.schedule_after(
                micros_from_seconds(config.operator.snapshot.interval_s),
                TimerEvent::Snapshot,
            );
        }
        if let Some(lead) = &self.lead {
            // The address that is bound: the port may have been left to the system.
            let workers = (lead.workers > 1).then_some(lead.workers);
            let operator = operator.map(tracing::field::display);
            info!(event = "serving", name = config.name, listen = %address, operator, servers, workers);
            supervisor::serves();
        }
        let mut worker =
            Worker { event_loop, driver, lead: self.lead, keeping: self.keeping, shares: self.shares };
        worker.run_iteration(clock.read(), std::iter::empty());
        loop {
            if let Some(clients) = worker.event_loop.clients_at_end() {
                if let Some(keeping) = worker.keeping {
                    keeping.ends(&worker.event_loop, &mut worker.driver);
                }
                if let Some(shares) = worker.shares {
                    shares.leave();
                }
                return Ok(clients);
            }
            let now = clock.read();
            let wait = worker.event_loop.end_iteration(now).saturating_sub(now);
            self.watch.wait(Duration::from_micros(wait))?;
            worker.run_iteration(clock.read(), self.watch.events());
        }
    }
}

/// A socket that could not be had for want of descriptors or memory is asked for again so often, after this pause: at the
/// start, others of the machine may hold them for a moment.
const SOCKET_TRIES: usize = 50;
const SOCKET_PAUSE: Duration = Duration::from_millis(20);

fn new_socket(at: SocketAddr) -> io::Result<Socket> {
    for _ in 1..SOCKET_TRIES {
        match Socket::new(Domain::for_address(at), Type::STREAM, None) {
            Err(e) if is_shortage(&e) => thread::sleep(SOCKET_PAUSE),
            made => return made,
        }
    }
    Socket::new(Domain::for_address(at), Type::STREAM, None)
}

/// Listens for one of several workers or processes, or the only one.
fn listen(at: SocketAddr, one_of_several: bool) -> io::Result<std::net::TcpListener> {
    let socket = new_socket(at)?;
    // A balancer comes back under its address while connections of its past life linger.
    socket.set_reuse_address(true)?;
    if one_of_several {
        socket.set_reuse_port(true)?;
    }
    // Lines are short and wanted at once; connections that are accepted take it over.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Why the program could not run, or not go on.
#[derive(Debug, Error)]
pub enum Failure {
    /// A key of the configuration can't be put in force on this machine.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The system does not give what is needed.
    #[error("{0}")]
    System(#[from] io::Error),
}

impl From<StartError> for Failure {
    fn from(error: StartError) -> Self {
        match error {
            StartError::Config(error) => Failure::Config(error),
            StartError::Thread(error) => Failure::System(error),
        }
    }
}

/// Listens for operators, where one process takes another's place beside it. That they can't call is found out at the start, not when they do.
fn listen_to_operators(at: SocketAddr, beside: bool) -> Result<std::net::TcpListener, ConfigError> {
    listen(at, beside)
        .map_err(|e| ConfigError::invalid("operator", InvalidValue::CannotListen { address: at, source: e }))
}

/// What processes of this balancer have in common; none where there is no place for it.
fn common_folder(listen: SocketAddr) -> Option<SharedFolder> {
    let common = std::env::var_os("TMPDIR").filter(|path| !path.is_empty());
    let opened = match &common {
        Some(path) => SharedFolder::open(Path::new(path), listen),
        None => Err(io::Error::new(io::ErrorKind::NotFound, "TMPDIR is not set")),
    };
    opened
        .inspect_err(|e| {
            warn!(event = "not-kept", error = %e, why = "other processes of this balancer do not hear of calls");
        })
        .ok()
}

/// Where new processes ask this one.
const SOCKET: &str = "process";

/// What another process of this balancer leaves, with its listeners; none where nobody is there.
fn inherit(
    path: &Path,
    config: &Config,
) -> io::Result<Option<(Vec<std::net::TcpListener>, ReceivedHandover)>> {
    let mut inherited = match predecessor::request_state(path) {
        Err(e) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
            return Ok(None);
        }
        asked => asked?,
    };
    let listeners = std::mem::take(&mut inherited.listeners);
    let fits = listeners.len() == config.operator.workers
        && listeners.iter().all(|l| l.local_addr().is_ok_and(|at| at == config.listen));
    if !fits {
        let n = listeners.len();
        let why = format!("{n} listeners, not all at {} or not for as many workers", config.listen);
        return Err(io::Error::new(io::ErrorKind::InvalidData, why));
    }
    Ok(Some((listeners, inherited)))
}

/// Stands between the process before and the next: tells the one that this one serves, and offers all to the other.
fn between(
    path: PathBuf,
    listeners: &[std::net::TcpListener],
    inherited: Option<ReceivedHandover>,
    ends: bool,
    poller: &SourceRegistry,
) -> io::Result<SiblingProcesses> {
    let listeners = listeners.iter().map(|l| l.try_clone()).collect::<io::Result<_>>()?;
    let successors = Successors::open(path, listeners, poller).inspect_err(|e| {
        warn!(event = "not-offered", why = %e);
    });
    let predecessor = inherited.map(|i| Predecessor::announce(i, ends, poller)).transpose();
    Ok(SiblingProcesses::new(successors.ok(), predecessor.unwrap_or(None)))
}

/// Ends the program if its thread panics: clients must not wait for a worker that is gone.
struct OneForAll;

impl Drop for OneForAll {
    fn drop(&mut self) {
        if thread::panicking() {
            exit(PANICKED);
        }
    }
}

/// Runs the balancer until it is told to end. On SIGHUP it takes what `reread` brings. With `take_over` it takes the place of
/// the process that serves at that socket, if there is one, and has it end.
///
/// # Errors
/// Where it can't listen at a configured address, or the event loop fails; with `take_over`, where a process is there and
/// can't be taken over: nothing has changed then.
pub fn run(
    mut config: Config,
    take_over: Option<PathBuf>,
    reread: impl Fn() -> Result<Config, ConfigError> + Send + 'static,
) -> Result<(), Failure> {
    let workers = config.operator.workers;
    let watches = (0..workers).map(|_| EventPoller::new()).collect::<io::Result<Vec<_>>>()?;
    // Before anything is opened: a SIGHUP that nobody waits for ends the program.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    watches[0].registry()?.register_readable(&mut signals, EventSource::Signals)?;
    // Where operators may call there may be another process of this balancer, with as many listeners.
    let mut folder = config.admin_address.filter(|_| config.listen.port() != 0);
    let mut folder = folder.take().and_then(|_| common_folder(config.listen));
    let inherited = match (&take_over, &folder) {
        // Whoever wants the other one's place does not want to stand beside it.
        (Some(path), _) => inherit(path, &config).map_err(|e| {
            io::Error::new(e.kind(), format!("nothing is taken over from {}: {e}", path.display()))
        })?,
        (None, Some(folder)) => inherit(&folder.join(SOCKET), &config).unwrap_or_else(|e| {
            warn!(event = "not-inherited", why = %e);
            None
        }),
        (None, None) => None,
    };
    let (mut listeners, mut inherited) = match inherited {
        Some((listeners, inherited)) => (listeners, Some(inherited)),
        // It may have to listen beside another one.
        None => (vec![listen(config.listen, workers > 1 || config.admin_address.is_some())?], None),
    };
    let mut door = config.admin_address.map(|at| listen_to_operators(at, take_over.is_some())).transpose()?;
    // The port may have been left to the system for the first one only.
    let at = listeners[0].local_addr()?;
    for _ in listeners.len()..workers {
        listeners.push(listen(at, true)?);
    }
    let mut crew = Vec::new();
    if workers > 1 {
        for (watch, listener) in watches.iter().zip(&listeners) {
            crew.push(NewWorker::new(watch.waker()?, TcpListener::from_std(listener.try_clone()?)));
        }
    }
    let mut crew = WorkerPool::connect(crew).into_iter().map(Some).collect::<Vec<_>>();
    crew.resize_with(workers, || None);
    let (clock, open_ids) = (Clock::new(), OpenIds::default());
    if door.is_some() && folder.is_none() {
        folder = common_folder(at);
    }
    let taken_out = folder.as_mut().and_then(|f| f.read(&BTreeMap::new()).ok()).unwrap_or_default();
    let counters: Vec<_> = (0..workers).map(|_| WorkerCounters::default()).collect();
    let opened =
        |worker| snapshot::open(&config, (worker, workers)).map_or((None, None), |(k, f)| (Some(k), f));
    let mut kept: Vec<_> = (0..workers).map(opened).collect();
    if let Some(inherited) = &mut inherited {
        // What the process before knows goes before what was kept of it.
        kept.iter_mut().for_each(|(_, found)| *found = None);
        let (learned, taken) = (std::mem::take(&mut inherited.state.learned), inherited.state.exported_at);
        let memory = SnapshotState { learned, taken, away: false, from: "the process before".to_owned() };
        kept[0].1 = Some((memory, std::mem::take(&mut inherited.state.endpoints)));
    }
    if let Some((_, list)) = kept[0].1.as_ref().filter(|(_, list)| !list.endpoints.is_empty()) {
        config.initial_endpoints = list.clone();
    }
    let known = Arc::new(std::mem::take(&mut config.initial_endpoints));
    let mut kin = SiblingProcesses::default();
    let place = folder.as_ref().filter(|_| door.is_some()).map(|folder| folder.join(SOCKET));
    let ends = take_over.is_some();
    if let Some(place) = take_over.or(place) {
        kin = between(place, &listeners, inherited, ends, &watches[0].registry()?)?;
    }
    let mut kin = Some(kin);
    let place = |((listener, crew), own): (_, &WorkerCounters)| WorkerContext {
        listener: TcpListener::from_std(listener),
        workers: crew,
        open_ids: open_ids.clone(),
        counters: own.clone(),
        admin: door.take().map(|door| AdminListener {
            listener: TcpListener::from_std(door),
            counters: counters.clone(),
            folder: folder.take(),
        }),
        disabled_servers: taken_out.clone(),
        siblings: kin.take().unwrap_or_default(),
    };
    let places = listeners.into_iter().zip(crew).zip(&counters).map(place);
    let mut starts: Vec<Start> = watches
        .into_iter()
        .zip(places)
        .zip(kept)
        .enumerate()
        .map(|(worker, ((watch, place), (keeping, found)))| {
            let config = config.for_worker(worker, workers);
            let memory = found.map(|(memory, _)| memory);
            let known = Arc::clone(&known);
            Start { watch, place, config, known, clock, keeping, memory, lead: None, shares: None }
        })
        .collect();
    drop(known);
    let mut first = starts.remove(0);
    let mut threads = Vec::new();
    for (i, start) in starts.into_iter().enumerate() {
        let work = move || {
            let _ends = OneForAll;
            start.work().unwrap_or_else(|e| {
                error!(event = "cannot-run", worker = i + 1, error = %e);
                exit(1);
            })
        };
        threads.push(thread::Builder::new().name(format!("worker-{}", i + 1)).spawn(work)?);
    }
    first.shares = BudgetClient::start(&config, clock)?;
    first.lead = Some(Lead { signals, reread: Box::new(reread), config, workers });
    let mut clients = first.work()?;
    for thread in threads {
        clients += thread.join().unwrap_or(0);
    }
    info!(event = "left", sessions = clients);
    Ok(())
}
