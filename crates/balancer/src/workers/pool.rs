//! The worker pool as each worker sees it: who the others are, how loaded they are, and the messages between them.
//!
//! The kernel spreads clients over the workers' listeners at random, so a worker that holds many more clients than another
//! forwards new ones. The listener of a worker that has stalled or ended is served by its neighbour, so that new clients
//! do not wait for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, Sender, channel};

use mio::Waker;
use mio::net::{TcpListener, TcpStream};
use shorewharf_decisions::interface::{Outcome, ServerId};
use shorewharf_units::Micros;
use tracing::{info, warn};

use crate::config::Config;
use crate::discovery::client::DiscoveryEvent;
use crate::handover::messages::TransferredConnection;
use crate::servers::disabled::AdminChange;

/// A worker whose iteration is overdue by this much has stalled.
const STALL_TIMEOUT: Micros = 1_000_000;
/// A worker forwards new clients once it holds more than the least loaded one by this fraction of what that one holds ...
const FORWARD_MARGIN_DIVISOR: usize = 8;
/// ... or by this many clients, whichever is more.
const MIN_FORWARD_MARGIN: usize = 16;

/// A message from one worker to another.
#[derive(Debug)]
pub enum WorkerMessage {
    /// A client that has connected at another worker.
    ForwardedClient(TcpStream, SocketAddr),
    /// An event of the discovery watch, which the primary worker keeps.
    DiscoveryEvent(DiscoveryEvent),
    /// To the primary worker: watch the endpoint list.
    WatchEndpoints,
    /// To the primary worker: probe a server for the worker of this index.
    RequestProbe(usize, ServerId),
    /// The result of such a probe.
    ProbeEnded(ServerId, Outcome),
    /// An operator has disabled or enabled a server.
    ServerChanged(AdminChange),
    /// Another process of this balancer holds so many of this worker's descriptors.
    DescriptorsHeldBySiblings(usize),
    /// Whether another process serves in place of this one.
    SuccessorServing(bool),
    /// Another configuration is in force.
    Config(Box<Config>),
    /// Shut down.
    Shutdown,
    /// To the primary worker: an established connection for the successor.
    TransferToSuccessor(Box<TransferredConnection>),
    /// An established connection that came from another process.
    AdoptConnection(Box<TransferredConnection>),
}

/// What the other workers need of a worker.
#[derive(Debug)]
struct WorkerHandle {
    messages: Sender<WorkerMessage>,
    waker: Waker,
    /// Its listener, for its neighbour.
    listener: TcpListener,
    /// Clients that it holds.
    clients: AtomicUsize,
    /// When its next iteration begins at the latest; 0 once it has ended.
    next_iteration_by: AtomicU64,
}

/// A worker that is to join the pool.
#[derive(Debug)]
pub struct NewWorker {
    handle: WorkerHandle,
    inbox: Receiver<WorkerMessage>,
}

impl NewWorker {
    /// A worker with this waker, whose neighbour gets its listener.
    pub fn new(waker: Waker, listener: TcpListener) -> Self {
        let (messages, inbox) = channel();
        let handle = WorkerHandle {
            messages,
            waker,
            listener,
            clients: AtomicUsize::new(0),
            next_iteration_by: AtomicU64::new(Micros::MAX),
        };
        NewWorker { handle, inbox }
    }
}

/// One worker's view of the pool.
#[derive(Debug)]
pub struct WorkerPool {
    index: usize,
    workers: Arc<Vec<WorkerHandle>>,
    inbox: Receiver<WorkerMessage>,
    /// It serves its neighbour's listener.
    serves_neighbour: bool,
}

impl WorkerPool {
    /// Creates the pool of these workers, as each of them sees it.
    pub fn connect(workers: Vec<NewWorker>) -> Vec<WorkerPool> {
        let (handles, inboxes): (Vec<_>, Vec<_>) =
            workers.into_iter().map(|worker| (worker.handle, worker.inbox)).unzip();
        let workers = Arc::new(handles);
        let view = |(index, inbox)| {
            let workers = Arc::clone(&workers);
            WorkerPool { index, workers, inbox, serves_neighbour: false }
        };
        inboxes.into_iter().enumerate().map(view).collect()
    }

    /// Whether this is the primary worker, which watches discovery and probes servers for all.
    pub fn is_primary(&self) -> bool {
        self.index == 0
    }

    /// How many workers there are.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// This worker's index.
    pub fn index(&self) -> usize {
        self.index
    }

    /// The next message to this worker.
    pub fn next_message(&self) -> Option<WorkerMessage> {
        self.inbox.try_recv().ok()
    }

    /// Sends a message to the worker of this index.
    ///
    /// # Errors
    /// The message, if that worker has ended.
    pub fn send(&self, index: usize, message: WorkerMessage) -> Result<(), WorkerMessage> {
        let worker = &self.workers[index];
        worker.messages.send(message).map_err(|e| e.0)?;
        // Fails only where the system has no memory left; the next iteration is a second away then.
        let _ = worker.waker.wake();
        Ok(())
    }

    /// Sends a message to each other worker.
    pub fn broadcast(&self, message: impl Fn(usize) -> WorkerMessage) {
        for index in (0..self.workers.len()).filter(|index| *index != self.index) {
            // A worker that has ended needs no messages.
            let _ = self.send(index, message(index));
        }
    }

    /// The worker that is to take a new client instead of this one, which holds `clients`: the least loaded that has not
    /// stalled, if it holds far fewer. The client is counted there at once.
    pub fn less_loaded_worker(&self, now: Micros, clients: usize) -> Option<usize> {
        let others = self.workers.iter().enumerate().filter(|(index, _)| *index != self.index);
        let running = others.filter(|(_, worker)| !has_stalled(worker.next_iteration_by.load(Relaxed), now));
        let (fewest, index) = running.map(|(index, worker)| (worker.clients.load(Relaxed), index)).min()?;
        let margin = (fewest / FORWARD_MARGIN_DIVISOR).max(MIN_FORWARD_MARGIN);
        if clients <= fewest + margin {
            return None;
        }
        self.workers[index].clients.fetch_add(1, Relaxed);
        Some(index)
    }

    /// Whether all other workers have ended.
    pub fn have_others_ended(&self) -> bool {
        let mut others = self.workers.iter().enumerate().filter(|(index, _)| *index != self.index);
        others.all(|(_, worker)| worker.next_iteration_by.load(Relaxed) == 0)
    }

    /// Publishes at the end of an iteration how many clients this worker holds, and when the next one begins at the latest.
    pub fn publish_state(&self, clients: usize, next_iteration_by: Micros) {
        let own = &self.workers[self.index];
        own.clients.store(clients, Relaxed);
        own.next_iteration_by.store(next_iteration_by, Relaxed);
    }

    /// Checks whether the neighbour has stalled or is back. Returns what is to be done with its listener, if that changes.
    pub fn check_neighbour(&mut self, now: Micros) -> Option<NeighbourListener<'_>> {
        let index = (self.index + 1) % self.workers.len();
        let neighbour = &self.workers[index];
        let due = neighbour.next_iteration_by.load(Relaxed);
        let serve = has_stalled(due, now);
        if std::mem::replace(&mut self.serves_neighbour, serve) == serve {
            return None;
        }
        if !serve {
            info!(event = "worker-recovered", worker = index);
            return Some(NeighbourListener::Release(&neighbour.listener));
        }
        if due > 0 {
            warn!(event = "worker-stalled", worker = index, ms = (now - due) / 1000);
        }
        Some(NeighbourListener::Serve(&neighbour.listener))
    }

    /// The neighbour's listener, while this worker serves it.
    pub fn neighbour_listener(&self) -> Option<&TcpListener> {
        let neighbour = &self.workers[(self.index + 1) % self.workers.len()];
        self.serves_neighbour.then_some(&neighbour.listener)
    }
}

/// Whether a worker whose next iteration was due then has stalled, or ended.
fn has_stalled(next_iteration_by: Micros, now: Micros) -> bool {
    next_iteration_by.saturating_add(STALL_TIMEOUT) <= now
}

/// The worker has ended: nobody waits for it, and its neighbour serves its listener.
impl Drop for WorkerPool {
    fn drop(&mut self) {
        self.workers[self.index].next_iteration_by.store(0, Relaxed);
    }
}

/// What is to be done with the listener of the neighbour.
#[derive(Debug)]
pub enum NeighbourListener<'a> {
    /// The neighbour has stalled: serve it.
    Serve(&'a TcpListener),
    /// The neighbour is back: stop serving it.
    Release(&'a TcpListener),
}

#[cfg(test)]
mod tests;
