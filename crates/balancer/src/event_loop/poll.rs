//! Waits for sockets with `mio`: the sources that the event loop watches, and their readiness.

use std::io;
use std::os::fd::AsRawFd;
use std::time::Duration;

use mio::event::Source;
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Registry, Token, Waker};
use shorewharf_decisions::interface::RequestId;

use crate::transport::connection::Connection;
use crate::transport::readiness::Readiness;

/// Maximum number of events reported by one wait; further events are reported by the next.
const MAX_EVENTS_PER_WAIT: usize = 1024;

/// The source of an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EventSource {
    /// A client session.
    Session(RequestId),
    /// The attempt of a request.
    Attempt(RequestId),
    /// The probe with this number.
    Probe(u64),
    /// The connection to discovery.
    DiscoveryClient,
    /// The listener for clients.
    Listener,
    /// Signals to the process.
    Signals,
    /// Messages from other workers.
    WorkerMessages,
    /// The listener of the neighbour worker, while that worker stalls.
    NeighbourListener,
    /// The listener for operators.
    AdminListener,
    /// The operator's connection with this number.
    AdminConnection(u64),
    /// The socket to which new processes of this balancer connect.
    HandoverListener,
    /// The connection to the successor with this number.
    Successor(u64),
    /// The connection to the process that this one replaces.
    Predecessor,
    /// Datagrams from other balancers.
    Gossip,
}

/// The lowest bit of a source's kind in its token; the bits below hold the source's number.
const KIND_SHIFT: u32 = 56;
const _: () = assert!(usize::BITS == 64, "tokens hold a kind above a number of 56 bits");

impl EventSource {
    /// Whether the source is served ahead of clients: operators wait for one iteration at most, whatever the load.
    pub fn is_prioritized(self) -> bool {
        matches!(self, EventSource::AdminListener | EventSource::AdminConnection(_))
    }

    fn to_token(self) -> Token {
        let (kind, number) = match self {
            EventSource::Session(id) => (0, u64::from(id.0)),
            EventSource::Attempt(id) => (1, u64::from(id.0)),
            EventSource::Probe(number) => (2, number),
            EventSource::DiscoveryClient => (3, 0),
            EventSource::Listener => (4, 0),
            EventSource::Signals => (5, 0),
            EventSource::WorkerMessages => (6, 0),
            EventSource::NeighbourListener => (7, 0),
            EventSource::AdminListener => (8, 0),
            EventSource::AdminConnection(number) => (9, number),
            EventSource::HandoverListener => (10, 0),
            EventSource::Successor(number) => (11, number),
            EventSource::Predecessor => (12, 0),
            EventSource::Gossip => (13, 0),
        };
        Token((kind << KIND_SHIFT | number) as usize)
    }

    fn from_token(token: Token) -> EventSource {
        let number = token.0 as u64 & ((1 << KIND_SHIFT) - 1);
        match token.0 as u64 >> KIND_SHIFT {
            0 => EventSource::Session(RequestId(number as u32)),
            1 => EventSource::Attempt(RequestId(number as u32)),
            2 => EventSource::Probe(number),
            3 => EventSource::DiscoveryClient,
            4 => EventSource::Listener,
            5 => EventSource::Signals,
            6 => EventSource::WorkerMessages,
            7 => EventSource::NeighbourListener,
            8 => EventSource::AdminListener,
            9 => EventSource::AdminConnection(number),
            10 => EventSource::HandoverListener,
            11 => EventSource::Successor(number),
            12 => EventSource::Predecessor,
            _ => EventSource::Gossip,
        }
    }
}

/// Waits for events of registered sources.
#[derive(Debug)]
pub struct EventPoller {
    poll: Poll,
    events: Events,
}

impl EventPoller {
    /// Creates a poller that watches nothing yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the system provides no descriptor.
    pub fn new() -> io::Result<Self> {
        Ok(EventPoller { poll: Poll::new()?, events: Events::with_capacity(MAX_EVENTS_PER_WAIT) })
    }

    /// The registry of the sources that this poller watches.
    ///
    /// # Errors
    ///
    /// Returns an error if the system provides no descriptor.
    pub fn registry(&self) -> io::Result<SourceRegistry> {
        Ok(SourceRegistry(self.poll.registry().try_clone()?))
    }

    /// Creates a waker, with which other workers wake this poller after they have sent a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the system provides no descriptor.
    pub fn waker(&self) -> io::Result<Waker> {
        Waker::new(self.poll.registry(), EventSource::WorkerMessages.to_token())
    }

    /// Waits for events for at most `timeout`, rounded up to whole milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if polling fails for any reason other than a signal.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<()> {
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => Err(e),
            _ => Ok(()),
        }
    }

    /// The events of the last wait. Their sources may have been closed since.
    pub fn events(&self) -> impl Iterator<Item = (EventSource, Readiness)> + Clone {
        self.events.iter().map(|event| (EventSource::from_token(event.token()), Readiness::from(event)))
    }
}

/// Registers the sources that a poller watches. All of them are edge-triggered.
#[derive(Debug)]
pub struct SourceRegistry(Registry);

impl SourceRegistry {
    /// Registers a connection for reading and writing until it is closed; the connection itself remembers its
    /// readiness. Returns false if it can't be registered.
    pub fn register(&self, connection: &mut Connection, source: EventSource) -> bool {
        self.register_source(connection.stream(), source).is_ok()
    }

    /// Ends the registration of a connection that is transferred to another process.
    pub fn deregister(&self, connection: &mut Connection) {
        // Fails only if it was not registered.
        let _ = self.0.deregister(connection.stream());
    }

    /// Registers any source for reading and writing.
    ///
    /// # Errors
    ///
    /// Returns an error if the system can't watch the source.
    pub fn register_source(&self, stream: &mut impl Source, source: EventSource) -> io::Result<()> {
        self.0.register(stream, source.to_token(), Interest::READABLE | Interest::WRITABLE)
    }

    /// Registers a source for reading only.
    ///
    /// # Errors
    ///
    /// Returns an error if the system can't watch the source.
    pub fn register_readable(&self, stream: &mut impl Source, source: EventSource) -> io::Result<()> {
        self.0.register(stream, source.to_token(), Interest::READABLE)
    }

    /// Registers the listener of another worker.
    ///
    /// # Errors
    ///
    /// Returns an error if the system can't watch the source.
    pub fn register_neighbour_listener(&self, listener: &impl AsRawFd) -> io::Result<()> {
        self.register_readable(&mut SourceFd(&listener.as_raw_fd()), EventSource::NeighbourListener)
    }

    /// Ends the registration of another worker's listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener was not registered.
    pub fn deregister_neighbour_listener(&self, listener: &impl AsRawFd) -> io::Result<()> {
        self.0.deregister(&mut SourceFd(&listener.as_raw_fd()))
    }
}

#[cfg(test)]
mod tests;
