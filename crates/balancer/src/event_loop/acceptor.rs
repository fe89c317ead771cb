//! The listeners at which a worker accepts clients, and whether clients may be waiting there.

use std::io;
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};

use crate::transport::connection::is_shortage;
use crate::workers::pool::WorkerPool;

/// Maximum number of calls of accept(2) while it fails transiently. In most cases the second call succeeds, and
/// poll reports a waiting client only once.
const MAX_ACCEPT_TRIES: usize = 4;

/// A listener, and whether clients are to be accepted at it.
#[derive(Debug)]
pub struct Acceptor {
    /// The listener; `None` once it is closed.
    listener: Option<TcpListener>,
    /// Whether clients may wait at the listener: the last accept did not show that its backlog is empty.
    has_backlog: bool,
    /// Whether clients may wait at the listener of the neighbour worker, while that worker stalls.
    has_neighbour_backlog: bool,
    /// Whether clients are to be accepted in this iteration, or in the next if more wait than one iteration
    /// accepts.
    is_due: bool,
    /// Whether a timer is set after which clients are accepted again.
    is_retry_scheduled: bool,
}

impl Acceptor {
    /// Creates an acceptor for a listener whose backlog has not been checked yet.
    pub fn new(listener: TcpListener) -> Self {
        Acceptor {
            listener: Some(listener),
            has_backlog: true,
            has_neighbour_backlog: false,
            is_due: true,
            is_retry_scheduled: false,
        }
    }

    /// Whether clients are to be accepted in the next iteration.
    pub fn is_due(&self) -> bool {
        self.is_due
    }

    /// Returns whether clients are to be accepted in this iteration, and clears that mark.
    pub fn take_due(&mut self) -> bool {
        std::mem::take(&mut self.is_due)
    }

    /// Records that clients may wait at the listener.
    pub fn on_listener_ready(&mut self) {
        (self.has_backlog, self.is_due) = (true, true);
    }

    /// Records that clients may wait at the neighbour's listener.
    pub fn on_neighbour_ready(&mut self) {
        (self.has_neighbour_backlog, self.is_due) = (true, true);
    }

    /// Begins or ends accepting at the neighbour's listener. Accepting is due at once, since poll does not
    /// report clients that wait there already.
    pub fn set_serving_neighbour(&mut self, is_serving: bool) {
        self.has_neighbour_backlog = is_serving;
        self.is_due |= is_serving;
    }

    /// Records that a retry has been scheduled. Returns whether one was scheduled before.
    pub fn mark_retry_scheduled(&mut self) -> bool {
        std::mem::replace(&mut self.is_retry_scheduled, true)
    }

    /// Handles the retry timer after a shortage or a failure.
    pub fn on_retry_timer(&mut self) {
        self.is_retry_scheduled = false;
        self.update_due();
    }

    /// Whether clients may wait at either listener.
    pub fn has_waiting_clients(&self) -> bool {
        self.has_backlog || self.has_neighbour_backlog
    }

    /// Makes accepting due in the next iteration if clients may wait, and not due otherwise.
    pub fn update_due(&mut self) {
        self.is_due = self.has_waiting_clients();
    }

    /// Records that no client waits at either listener.
    pub fn on_backlogs_empty(&mut self) {
        (self.has_backlog, self.has_neighbour_backlog) = (false, false);
    }

    /// Accepts the next client that waits at the listener or, if none does, at the neighbour's listener.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if no client waits; otherwise the error of accept(2).
    pub fn accept(&mut self, workers: Option<&WorkerPool>) -> io::Result<(TcpStream, SocketAddr)> {
        if let Some(listener) = self.listener.as_ref().filter(|_| self.has_backlog) {
            match accept_with_retries(listener) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.has_backlog = false,
                accepted => return accepted,
            }
        }
        match workers.and_then(WorkerPool::neighbour_listener) {
            Some(listener) if self.has_neighbour_backlog => accept_with_retries(listener),
            _ => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    /// Accepts the next client that waits at any listener of the process, whether its worker has ended or not.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if no client waits; otherwise the error of accept(2).
    pub fn accept_at_any(&self, workers: Option<&WorkerPool>) -> io::Result<(TcpStream, SocketAddr)> {
        let of_workers = workers.into_iter().flat_map(WorkerPool::listeners);
        for listener in self.listener.iter().chain(of_workers) {
            match accept_with_retries(listener) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                accepted => return accepted,
            }
        }
        Err(io::ErrorKind::WouldBlock.into())
    }

    /// Closes the listener: further connects are refused instead of waiting for a process that ends.
    pub fn close(&mut self) {
        self.listener = None;
        self.on_backlogs_empty();
        self.update_due();
    }
}

fn accept_with_retries(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    for _ in 1..MAX_ACCEPT_TRIES {
        match listener.accept() {
            Err(e) if is_transient(&e) || is_shortage(&e) => {}
            accepted => return accepted,
        }
    }
    listener.accept()
}

/// Whether an error of accept(2) concerns a single call only: the client has left, or a signal has
/// interrupted the call.
pub fn is_transient(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
