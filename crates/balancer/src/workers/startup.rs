//! Starts the balancer: opens its sockets, takes over from the process that it replaces, and runs each worker
//! on a thread.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use mio::net::TcpListener;
use shorewharf_protocol::endpoint_list::EndpointList;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use thiserror::Error;
use tracing::{error, info};

use super::handover_start::{
    SOCKET_NAME, SiblingStart, connect_siblings, open_shared_folder, request_handover,
};
use super::listeners::{listen, listen_for_admin};
use super::pool::{NewWorker, WorkerPool};
use super::worker::{PrimaryWorker, WorkerStart};
use crate::admin::counters::WorkerCounters;
use crate::admin::handler::AdminListener;
use crate::admin::shared_folder::SharedFolder;
use crate::clients::open_ids::OpenIds;
use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::event_loop::dispatch::WorkerContext;
use crate::event_loop::poll::{EventPoller, EventSource};
use crate::fleet::budgets::{BudgetClient, StartError};
use crate::handover::predecessor::ReceivedHandover;
use crate::handover::siblings::SiblingProcesses;
use crate::snapshot::{RestoredSnapshot, SnapshotState, WorkerId, WorkerSnapshots};

/// Exit code when a worker's thread panics, the same as for a panic of the main thread.
const PANIC_EXIT_CODE: i32 = 101;

/// The reason why the balancer could not start or had to stop.
#[derive(Debug, Error)]
pub enum RunError {
    /// A value of the configuration can't be used on this machine.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A system call failed.
    #[error("{0}")]
    System(#[from] io::Error),
}

impl From<StartError> for RunError {
    fn from(error: StartError) -> Self {
        match error {
            StartError::Config(error) => RunError::Config(error),
            StartError::Thread(error) => RunError::System(error),
        }
    }
}

/// Exits the process when dropped by a thread that panics, since clients must not wait for a worker that has
/// ended.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if thread::panicking() {
            exit(PANIC_EXIT_CODE);
        }
    }
}

/// Runs the balancer until it is shut down. On SIGHUP, applies the configuration that `read_config` returns.
/// With `take_over`, replaces the process that offers a hand-over at that socket, if there is one, and has it
/// terminate.
///
/// # Errors
/// Returns an error if the balancer can't listen at a configured address, or polling fails. With `take_over`,
/// also if a process serves there and can't be taken over; that process goes on unchanged.
pub fn run(
    config: Config,
    take_over: Option<PathBuf>,
    read_config: impl Fn() -> Result<Config, ConfigError> + Send + 'static,
) -> Result<(), RunError> {
    let worker_count = config.operator.workers;
    let pollers = (0..worker_count).map(|_| EventPoller::new()).collect::<io::Result<Vec<_>>>()?;
    // Registered before anything is opened, since an unhandled SIGHUP would end the process.
    let signals = register_signals(&pollers[0])?;
    let clock = Clock::new();
    let mut startup = Startup::open(config, take_over.as_deref())?;
    let snapshots = startup.open_snapshots();
    let endpoints = Arc::new(std::mem::take(&mut startup.config.initial_endpoints));
    let siblings = startup.connect_siblings(take_over, &pollers[0])?;
    let contexts = startup.worker_contexts(siblings, &pollers)?;
    let config = startup.config;

    let mut starts = Vec::new();
    for (index, ((poller, context), snapshots)) in
        pollers.into_iter().zip(contexts).zip(snapshots).enumerate()
    {
        starts.push(WorkerStart {
            poller,
            context,
            config: config.for_worker(index, worker_count),
            endpoints: Arc::clone(&endpoints),
            clock,
            snapshot_task: snapshots.task,
            restored: snapshots.restored.map(|restored| restored.state),
            primary: None,
        });
    }
    drop(endpoints);
    let mut primary = starts.remove(0);
    let threads = spawn_workers(starts)?;
    let budgets = BudgetClient::start(&config, clock)?;
    let read_config = Box::new(read_config);
    primary.primary = Some(PrimaryWorker { signals, read_config, config, worker_count, budgets });
    let mut clients = primary.run()?;
    for thread in threads {
        clients += thread.join().unwrap_or(0);
    }
    info!(event = "stopped", sessions = clients);
    Ok(())
}

fn register_signals(poller: &EventPoller) -> io::Result<Signals> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    poller.registry()?.register_readable(&mut signals, EventSource::Signals)?;
    Ok(signals)
}

/// Runs each worker on a thread, which returns the number of clients that were still connected at its end.
fn spawn_workers(starts: Vec<WorkerStart>) -> io::Result<Vec<JoinHandle<usize>>> {
    let mut threads = Vec::new();
    for (index, start) in (1..).zip(starts) {
        let run = move || {
            let _exit_on_panic = ExitOnPanic;
            start.run().unwrap_or_else(|e| {
                error!(event = "cannot-run", worker = index, error = %e);
                exit(1);
            })
        };
        threads.push(thread::Builder::new().name(format!("worker-{index}")).spawn(run)?);
    }
    Ok(threads)
}

/// The resources of the process that are opened before the workers start.
struct Startup {
    config: Config,
    /// The listeners for clients, one for each worker.
    listeners: Vec<StdTcpListener>,
    admin_listener: Option<StdTcpListener>,
    shared_folder: Option<SharedFolder>,
    /// The hand-over received from the process that is replaced.
    handover: Option<ReceivedHandover>,
}

impl Startup {
    /// Requests a hand-over from the process that runs, if there is one, and opens the listeners that are
    /// missing.
    fn open(config: Config, take_over: Option<&Path>) -> Result<Self, RunError> {
        // With an admin address, another process of this balancer may listen at the same address.
        let has_admin = config.admin_address.is_some();
        let is_port_known = config.listen.port() != 0;
        let mut shared_folder =
            (has_admin && is_port_known).then(|| open_shared_folder(config.listen)).flatten();
        let mut handover = request_handover(&config, take_over, shared_folder.as_ref())?;
        let mut listeners =
            handover.as_mut().map(|handover| std::mem::take(&mut handover.listeners)).unwrap_or_default();
        let worker_count = config.operator.workers;
        if listeners.is_empty() {
            listeners.push(listen(config.listen, worker_count > 1 || has_admin)?);
        }
        let admin_address = config.admin_address;
        let admin_listener =
            admin_address.map(|address| listen_for_admin(address, take_over.is_some())).transpose()?;
        // The system may have chosen the port of the first listener.
        let address = listeners[0].local_addr()?;
        listen_for_workers(&mut listeners, address, worker_count)?;
        if has_admin && shared_folder.is_none() {
            shared_folder = open_shared_folder(address);
        }
        Ok(Startup { config, listeners, admin_listener, shared_folder, handover })
    }

    /// Opens the snapshots of each worker. State that was handed over is restored instead of the snapshots.
    /// The endpoint list of the restored state of the primary worker replaces that of the configuration,
    /// unless it is empty.
    fn open_snapshots(&mut self) -> Vec<WorkerSnapshots> {
        let count = self.listeners.len();
        let open = |index| WorkerSnapshots::open(&self.config, WorkerId { index, count });
        let mut snapshots: Vec<_> = (0..count).map(open).collect();
        if let Some(handover) = &mut self.handover {
            for worker in &mut snapshots {
                worker.restored = None;
            }
            snapshots[0].restored = Some(take_handed_over_state(handover));
        }
        let restored = snapshots[0].restored.as_ref();
        if let Some(restored) = restored.filter(|restored| !restored.endpoints.endpoints.is_empty()) {
            self.config.initial_endpoints = restored.endpoints.clone();
        }
        snapshots
    }

    /// Connects to the other processes of this balancer. Without `take_over` and without a shared folder,
    /// this process has no socket at which it offers a hand-over.
    fn connect_siblings(
        &mut self,
        take_over: Option<PathBuf>,
        poller: &EventPoller,
    ) -> io::Result<SiblingProcesses> {
        let terminate_predecessor = take_over.is_some();
        let folder = self.shared_folder.as_ref().filter(|_| self.admin_listener.is_some());
        let shared_path = folder.map(|folder| folder.join(SOCKET_NAME));
        let Some(path) = take_over.or(shared_path) else { return Ok(SiblingProcesses::default()) };
        let (listeners, handover) = (&self.listeners[..], self.handover.take());
        let start = SiblingStart { path, listeners, handover, terminate_predecessor };
        connect_siblings(start, &poller.registry()?)
    }

    /// Creates the context of each worker. The first one, that of the primary worker, gets the admin listener
    /// and the connections to other processes.
    fn worker_contexts(
        &mut self,
        siblings: SiblingProcesses,
        pollers: &[EventPoller],
    ) -> io::Result<Vec<WorkerContext>> {
        let pools = connect_workers(pollers, &self.listeners)?;
        let counters: Vec<_> = pollers.iter().map(|_| WorkerCounters::default()).collect();
        let open_ids = OpenIds::default();
        let mut siblings = siblings;
        if let Some(predecessor) = &mut siblings.predecessor {
            // Before any worker accepts a client.
            predecessor.apply_id_messages(&open_ids);
            open_ids.changes().set_has_siblings(true);
            open_ids.changes().set_confirmed(predecessor.confirmed_ids());
        }
        let folder = self.shared_folder.as_mut();
        let disabled_servers = folder.and_then(|f| f.read(&BTreeMap::new()).ok()).unwrap_or_default();
        let mut siblings = Some(siblings);
        let mut contexts = Vec::new();
        let listeners = std::mem::take(&mut self.listeners);
        for ((listener, workers), own_counters) in listeners.into_iter().zip(pools).zip(&counters) {
            contexts.push(WorkerContext {
                listener: TcpListener::from_std(listener),
                workers,
                open_ids: open_ids.clone(),
                counters: own_counters.clone(),
                admin: self.take_admin_listener(&counters),
                disabled_servers: disabled_servers.clone(),
                siblings: siblings.take().unwrap_or_default(),
            });
        }
        Ok(contexts)
    }

    /// Takes the admin listener with what it needs for serving operators. Returns `None` if there is none,
    /// and on further calls.
    fn take_admin_listener(&mut self, counters: &[WorkerCounters]) -> Option<AdminListener> {
        let listener = TcpListener::from_std(self.admin_listener.take()?);
        Some(AdminListener { listener, counters: counters.to_vec(), folder: self.shared_folder.take() })
    }
}

/// Opens more listeners at the address until there is one for each worker.
fn listen_for_workers(
    listeners: &mut Vec<StdTcpListener>,
    address: SocketAddr,
    worker_count: usize,
) -> io::Result<()> {
    for _ in listeners.len()..worker_count {
        listeners.push(listen(address, true)?);
    }
    Ok(())
}

/// Takes the learned state and the endpoint list from a hand-over.
fn take_handed_over_state(handover: &mut ReceivedHandover) -> RestoredSnapshot {
    let state = SnapshotState {
        entries: std::mem::take(&mut handover.state.learned),
        exported_at: handover.state.exported_at,
        are_connections_lost: false,
        source: "predecessor process".to_owned(),
    };
    let endpoints: EndpointList = std::mem::take(&mut handover.state.endpoints);
    RestoredSnapshot { state, endpoints }
}

/// Connects the workers to each other. Returns each worker's view of the pool, or `None` for the only worker
/// of a process.
fn connect_workers(
    pollers: &[EventPoller],
    listeners: &[StdTcpListener],
) -> io::Result<Vec<Option<WorkerPool>>> {
    if pollers.len() == 1 {
        return Ok(vec![None]);
    }
    let mut workers = Vec::new();
    for (poller, listener) in pollers.iter().zip(listeners) {
        workers.push(NewWorker::new(poller.waker()?, TcpListener::from_std(listener.try_clone()?)));
    }
    Ok(WorkerPool::connect(workers).into_iter().map(Some).collect())
}
