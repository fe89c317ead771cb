//! Accepts clients as far as descriptors and load allow, and passes some of them to other workers.

use std::io;
use std::net::SocketAddr;

use mio::net::TcpStream;
use shorewharf_units::Micros;
use tracing::{error, info};

use crate::event_loop::acceptor::is_transient;
use crate::event_loop::context::TimerEvent;
use crate::event_loop::dispatch::EventLoop;
use crate::transport::connection::is_shortage;
use crate::workers::pool::WorkerMessage;

/// How long clients wait in the backlog before capacity is checked again.
const ACCEPT_RETRY_DELAY: Micros = 100_000;
/// Maximum number of calls of accept(2) before the listener is closed: twice the length of its backlog, since
/// calls may fail.
const MAX_LAST_ACCEPTS: usize = 8192;

impl EventLoop {
    /// Accepts waiting clients, up to the maximum of one iteration. Calls `process_events` after each client.
    pub(super) fn accept_clients(&mut self, mut process_events: impl FnMut(&mut Self)) {
        if self.is_shutting_down() && self.proxy.has_successor {
            // The successor has the same listener and accepts the waiting clients.
            return;
        }
        for _ in 0..self.context.overload.max_accepts() {
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
                // The next call may succeed.
                Err(e) if is_transient(&e) => {}
                // Retried only after a delay, since a permanent error must not cause a busy loop.
                Err(e) => {
                    error!(event = "accept-failed", error = %e);
                    return self.schedule_accept_retry();
                }
            }
        }
        // Without capacity, clients are accepted only after a delay, so that a flood does not keep the loop
        // busy with rejecting them.
        if self.proxy.has_capacity() {
            self.acceptor.update_due();
        } else {
            self.schedule_accept_retry();
        }
    }

    fn on_accept_shortage(&mut self) {
        self.proxy.set_descriptor_shortage(true);
        self.schedule_accept_retry();
    }

    pub(super) fn schedule_accept_retry(&mut self) {
        if !self.acceptor.mark_retry_scheduled() {
            self.context.schedule_after(ACCEPT_RETRY_DELAY, TimerEvent::Accept);
        }
    }

    /// Handles the timer after a shortage or a failure: clients are accepted again.
    pub(super) fn on_accept_timer(&mut self) {
        self.acceptor.on_retry_timer();
        if self.proxy.has_capacity() {
            self.proxy.set_descriptor_shortage(false);
        }
    }

    /// Accepts a waiting client before the listener is closed; further clients are accepted in this iteration
    /// and the next. Returns false if no client waits.
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

    /// Rejects all clients that wait at the listener, and closes it.
    pub(super) fn close_listener(&mut self) {
        // A successor has the same listener and accepts the waiting clients.
        if !self.proxy.has_successor {
            let clients = self.reject_backlog();
            if clients > 0 {
                info!(event = "backlog-rejected", clients);
            }
        }
        self.acceptor.close();
    }

    /// Rejects the clients that wait at the listeners of the process, whether their requests are complete or
    /// not. Returns their number.
    fn reject_backlog(&mut self) -> usize {
        let mut clients = 0;
        for _ in 0..MAX_LAST_ACCEPTS {
            match self.acceptor.accept_at_any(self.workers.as_ref()) {
                Ok((stream, client)) => {
                    self.proxy.reject_client(&mut self.context, stream, client);
                    clients += 1;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if is_shortage(&e) => self.proxy.free_descriptor(&mut self.context),
                // The next call may succeed.
                Err(_) => {}
            }
        }
        clients
    }

    /// Serves an accepted client, or passes it to a worker that has far fewer clients. In a shutdown no client is
    /// passed on, since the other worker may end before it reads the message.
    fn assign_client(&mut self, stream: TcpStream, client: SocketAddr) {
        let workers = self.workers.as_ref().filter(|_| !self.is_shutting_down());
        let less_loaded = workers.and_then(|workers| {
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
