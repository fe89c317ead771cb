//! The listeners at which a worker accepts clients, and what is known of the clients that wait there.

use std::io;
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};

use crate::transport::connection::is_shortage;
use crate::workers::pool::WorkerPool;

/// How often accept(2) is tried that fails transiently: mostly the next call succeeds, and poll reports a waiting client
/// only once.
const MAX_ACCEPT_TRIES: usize = 4;

/// A listener, and what is known of clients that wait at it.
#[derive(Debug)]
pub struct Acceptor {
    listener: TcpListener,
    /// The last accept did not show that the backlog is empty.
    has_backlog: bool,
    /// The same for the listener of the neighbour, while that worker stalls.
    has_neighbour_backlog: bool,
    /// Clients are to be accepted in this iteration, or in the next if more wait than one iteration accepts.
    is_due: bool,
    is_retry_scheduled: bool,
}

impl Acceptor {
    /// Creates an acceptor for a listener whose backlog has not been looked at.
    pub fn new(listener: TcpListener) -> Self {
        Acceptor {
            listener,
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

    /// Takes the mark that clients are to be accepted in this iteration.
    pub fn take_due(&mut self) -> bool {
        std::mem::take(&mut self.is_due)
    }

    /// Clients may wait at the listener.
    pub fn on_listener_ready(&mut self) {
        (self.has_backlog, self.is_due) = (true, true);
    }

    /// Clients may wait at the neighbour's listener.
    pub fn on_neighbour_ready(&mut self) {
        (self.has_neighbour_backlog, self.is_due) = (true, true);
    }

    /// Begins or ends accepting at the neighbour's listener. Clients that wait there already are not reported by poll.
    pub fn set_serving_neighbour(&mut self, is_serving: bool) {
        self.has_neighbour_backlog = is_serving;
        self.is_due |= is_serving;
    }

    /// Marks that a retry has been scheduled; returns whether one was scheduled before.
    pub fn mark_retry_scheduled(&mut self) -> bool {
        std::mem::replace(&mut self.is_retry_scheduled, true)
    }

    /// The delay after a shortage is over.
    pub fn on_retry_timer(&mut self) {
        self.is_retry_scheduled = false;
        self.accept_if_waiting();
    }

    /// Whether clients may wait at either listener.
    pub fn has_waiting_clients(&self) -> bool {
        self.has_backlog || self.has_neighbour_backlog
    }

    /// Goes on in the next iteration if clients may wait.
    pub fn accept_if_waiting(&mut self) {
        self.is_due = self.has_waiting_clients();
    }

    /// No client waits at either listener.
    pub fn on_backlogs_empty(&mut self) {
        (self.has_backlog, self.has_neighbour_backlog) = (false, false);
    }

    /// Accepts the next client that waits here, or at the neighbour's listener.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if no client waits; otherwise the error of accept(2).
    pub fn accept(&mut self, workers: Option<&WorkerPool>) -> io::Result<(TcpStream, SocketAddr)> {
        if self.has_backlog {
            match accept_with_retries(&self.listener) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.has_backlog = false,
                accepted => return accepted,
            }
        }
        match workers.and_then(WorkerPool::neighbour_listener) {
            Some(listener) if self.has_neighbour_backlog => accept_with_retries(listener),
            _ => Err(io::ErrorKind::WouldBlock.into()),
        }
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

/// Whether an error of accept(2) concerns that call only: the client has left, or a signal came.
pub fn is_transient(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
