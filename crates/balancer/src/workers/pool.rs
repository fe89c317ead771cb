//! The pool of workers as each worker sees it: the load of the other workers, and the messages between
//! workers.
//!
//! The kernel distributes clients over the workers' listeners at random, so a worker that has far more
//! clients than another one forwards new clients to it. Each worker has a neighbour, the worker with the next
//! index, and serves the neighbour's listener while the neighbour has stalled or after it has ended, so that
//! new clients do not wait for it.

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

/// The index of the primary worker, which watches discovery, probes servers, and is connected to operators and to other
/// processes on behalf of all workers.
pub const PRIMARY_WORKER: usize = 0;
/// A worker has stalled if its next iteration is overdue by this much.
const STALL_TIMEOUT: Micros = 1_000_000;
/// A worker forwards new clients if it has more clients than the least loaded worker by more than a margin.
/// The margin is the number of clients of the least loaded worker divided by this, but at least
/// [`MIN_FORWARD_MARGIN`].
const FORWARD_MARGIN_DIVISOR: usize = 8;
/// Minimum margin, in clients.
const MIN_FORWARD_MARGIN: usize = 16;

/// A message from one worker to another.
#[derive(Debug)]
pub enum WorkerMessage {
    /// A client that was accepted by the sender and is to be served by the recipient.
    ForwardedClient(TcpStream, SocketAddr),
    /// An event of discovery, sent by the primary worker, which watches the endpoint list for all.
    DiscoveryEvent(DiscoveryEvent),
    /// To the primary worker: begin to watch the endpoint list.
    WatchEndpoints,
    /// To the primary worker: probe a server for the worker with this index.
    RequestProbe(usize, ServerId),
    /// The result of a probe that was requested with [`WorkerMessage::RequestProbe`].
    ProbeEnded(ServerId, Outcome),
    /// An operator has disabled or enabled a server.
    ServerChanged(AdminChange),
    /// The number of descriptors from the recipient's share that another process of this balancer holds.
    DescriptorsHeldBySiblings(usize),
    /// Whether another process serves in place of this one.
    SuccessorServing(bool),
    /// Apply this configuration.
    Config(Box<Config>),
    /// Shut down gracefully.
    Shutdown,
    /// To the primary worker: transfer an established connection to the successor.
    TransferToSuccessor(Box<TransferredConnection>),
    /// Adopt an established connection that another process has transferred.
    AdoptConnection(Box<TransferredConnection>),
    /// To the primary worker: announce the changes of open ids to the other processes.
    OpenIdsChanged,
    /// The other processes know more of the open ids of this one: place the requests that wait for that.
    OpenIdsConfirmed,
    /// End the requests with this id: a transferred connection has it.
    EndDuplicates(u64),
}

/// The part of a worker's state that the other workers access.
#[derive(Debug)]
struct WorkerHandle {
    messages: Sender<WorkerMessage>,
    waker: Waker,
    /// A duplicate of the worker's listener, for the worker whose neighbour this is.
    listener: TcpListener,
    /// The number of clients that the worker has, and of those that were just forwarded to it.
    clients: AtomicUsize,
    /// The latest time at which the worker's next iteration is to begin; 0 once the worker has ended.
    next_iteration_by: AtomicU64,
}

impl WorkerHandle {
    /// Whether the worker has ended.
    fn has_ended(&self) -> bool {
        self.next_iteration_by.load(Relaxed) == 0
    }
}

/// A worker that has not joined a pool yet.
#[derive(Debug)]
pub struct NewWorker {
    handle: WorkerHandle,
    inbox: Receiver<WorkerMessage>,
}

impl NewWorker {
    /// Creates a worker that `waker` wakes up. `listener` is a duplicate of its listener, for the worker
    /// whose neighbour it becomes.
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
    /// Whether this worker serves its neighbour's listener.
    serves_neighbour: bool,
}

impl WorkerPool {
    /// Creates a pool of these workers. Returns each worker's view of it, by index.
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
        self.index == PRIMARY_WORKER
    }

    /// The number of workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// This worker's index.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Takes the next message to this worker.
    pub fn next_message(&self) -> Option<WorkerMessage> {
        self.inbox.try_recv().ok()
    }

    /// Sends a message to the worker with this index.
    ///
    /// # Errors
    /// Returns the message if that worker has ended.
    pub fn send(&self, index: usize, message: WorkerMessage) -> Result<(), WorkerMessage> {
        let worker = &self.workers[index];
        worker.messages.send(message).map_err(|e| e.0)?;
        // Waking up fails only if the system has no memory left. The worker then receives the message in its
        // next iteration, which begins within a second.
        let _ = worker.waker.wake();
        Ok(())
    }

    /// Sends a message to every other worker; `message` creates it from the worker's index.
    pub fn broadcast(&self, message: impl Fn(usize) -> WorkerMessage) {
        for (index, _) in self.others() {
            // A worker that has ended needs no messages.
            let _ = self.send(index, message(index));
        }
    }

    /// Returns the worker that a new client is to be forwarded to: the least loaded worker that has not
    /// stalled, if it has far fewer clients than this worker, which has `clients`. The new client is added to
    /// that worker's count at once.
    pub fn less_loaded_worker(&self, now: Micros, clients: usize) -> Option<usize> {
        let running =
            self.others().filter(|(_, worker)| !has_stalled(worker.next_iteration_by.load(Relaxed), now));
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
        self.others().all(|(_, worker)| worker.has_ended())
    }

    /// Whether no other worker has clients, according to what each of them published last.
    pub fn are_others_without_clients(&self) -> bool {
        self.others().all(|(_, worker)| worker.has_ended() || worker.clients.load(Relaxed) == 0)
    }

    /// The other workers, each with its index.
    fn others(&self) -> impl Iterator<Item = (usize, &WorkerHandle)> {
        self.workers.iter().enumerate().filter(|(index, _)| *index != self.index)
    }

    /// The listeners of all workers, including those that have ended.
    pub fn listeners(&self) -> impl Iterator<Item = &TcpListener> {
        self.workers.iter().map(|worker| &worker.listener)
    }

    /// Publishes at the end of an iteration the number of clients of this worker, and the latest time at
    /// which its next iteration is to begin.
    pub fn publish_state(&self, clients: usize, next_iteration_by: Micros) {
        let own = &self.workers[self.index];
        own.clients.store(clients, Relaxed);
        own.next_iteration_by.store(next_iteration_by, Relaxed);
    }

    /// Checks whether the neighbour has stalled, ended or recovered. Returns what is to be done with its
    /// listener if that has changed since the last call.
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

/// Whether a worker has stalled or ended whose next iteration was to begin by `next_iteration_by`.
fn has_stalled(next_iteration_by: Micros, now: Micros) -> bool {
    next_iteration_by.saturating_add(STALL_TIMEOUT) <= now
}

/// Marks the worker as ended, so that other workers do not wait for it and one of them serves its listener.
impl Drop for WorkerPool {
    fn drop(&mut self) {
        self.workers[self.index].next_iteration_by.store(0, Relaxed);
    }
}

/// What is to be done with the neighbour's listener.
#[derive(Debug)]
pub enum NeighbourListener<'a> {
    /// The neighbour has stalled or ended: serve its listener.
    Serve(&'a TcpListener),
    /// The neighbour has recovered: stop serving its listener.
    Release(&'a TcpListener),
}

#[cfg(test)]
mod tests;
