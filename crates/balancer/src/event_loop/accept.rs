//! Accepting clients: at the worker's own listener, and at the neighbour's while that worker stalls.

use std::io;
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};
use shorewharf_units::Micros;
use tracing::error;

use crate::event_loop::context::TimerEvent;
use crate::event_loop::dispatch::EventLoop;
use crate::transport::connection::is_shortage;
use crate::workers::pool::{WorkerMessage, WorkerPool};

/// How long clients wait in the backlog before capacity is checked again.
const ACCEPT_RETRY_DELAY: Micros = 100_000;
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

    /// The delay after a shortage is over.
    pub fn on_retry_timer(&mut self) {
        self.is_retry_scheduled = false;
        self.accept_if_waiting();
    }

    fn has_waiting_clients(&self) -> bool {
        self.has_backlog || self.has_neighbour_backlog
    }

    fn accept_if_waiting(&mut self) {
        self.is_due = self.has_waiting_clients();
    }

    fn on_backlogs_empty(&mut self) {
        (self.has_backlog, self.has_neighbour_backlog) = (false, false);
    }

    /// Accepts the next client that waits here, or at the neighbour's listener.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if no client waits; otherwise the error of accept(2).
    fn accept(&mut self, workers: Option<&WorkerPool>) -> io::Result<(TcpStream, SocketAddr)> {
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
fn is_transient(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}

impl EventLoop {
    /// Accepts waiting clients, as many as one iteration may. Calls `process_events` after each.
    pub(super) fn accept_clients(&mut self, mut process_events: impl FnMut(&mut Self)) {
        if self.shutdown_started_at.is_some() && self.proxy.has_successor {
            // The successor has the same listener: the waiting clients are its own.
            return;
        }
        for _ in 0..self.context.overload.accepts() {
            if !self.acceptor.has_waiting_clients() {
                break;
            }
            // Without descriptors, clients wait in the backlog.
            if !self.proxy.can_accept() {
                return self.on_accept_shortage();
            }
            match self.acceptor.accept(self.workers.as_ref()) {
                Ok((stream, client)) => {
                    self.assign_client(stream, client);
                    process_events(self);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.acceptor.on_backlogs_empty(),
                Err(e) if is_shortage(&e) => return self.on_accept_shortage(),
                // The next client may be fine.
                Err(e) if is_transient(&e) => {}
                // A permanent error must not become a busy loop.
                Err(e) => {
                    error!(event = "accept-failed", error = %e);
                    return self.schedule_accept_retry();
                }
            }
        }
        // A flood must not keep the loop busy with rejecting clients.
        if self.proxy.has_capacity() {
            self.acceptor.accept_if_waiting();
        } else {
            self.schedule_accept_retry();
        }
    }

    fn on_accept_shortage(&mut self) {
        self.proxy.set_descriptor_shortage(true);
        self.schedule_accept_retry();
    }

    pub(super) fn schedule_accept_retry(&mut self) {
        if !std::mem::replace(&mut self.acceptor.is_retry_scheduled, true) {
            self.context.schedule_after(ACCEPT_RETRY_DELAY, TimerEvent::Accept);
        }
    }

    /// The delay after a shortage is over: clients are accepted again.
    pub(super) fn on_accept_timer(&mut self) {
        self.acceptor.on_retry_timer();
        if self.proxy.has_capacity() {
            self.proxy.set_descriptor_shortage(false);
        }
    }

    /// Accepts one client before the listener is closed; further ones are accepted in this iteration and the next.
    /// Returns whether any may wait.
    pub(super) fn accept_last_client(&mut self) -> bool {
        self.acceptor.on_listener_ready();
        match self.acceptor.accept(self.workers.as_ref()) {
            Ok((stream, client)) => {
                self.assign_client(stream, client);
                true
            }
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Takes an accepted client, or passes it to a worker that has far fewer.
    fn assign_client(&mut self, stream: TcpStream, client: SocketAddr) {
        let less_loaded = self.workers.as_ref().and_then(|workers| {
            Some((workers, workers.less_loaded_worker(self.context.now, self.proxy.client_count())?))
        });
        let kept = match less_loaded {
            Some((workers, worker)) => {
                workers.send(worker, WorkerMessage::ForwardedClient(stream, client)).err()
            }
            None => Some(WorkerMessage::ForwardedClient(stream, client)),
        };
        if let Some(WorkerMessage::ForwardedClient(stream, client)) = kept {
            self.proxy.accept_client(&mut self.context, stream, client);
        }
    }
}
