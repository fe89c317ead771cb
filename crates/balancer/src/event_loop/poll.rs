//! Between the loop and the peers: which connections the loop watches, and what it has seen of them.
//!
//! `mio` rather than a loop of callbacks: those cost an allocation for each connection, and the loop that was here
//! before made five system calls for a wait where one does.

use std::io;
use std::os::fd::AsRawFd;
use std::time::Duration;

use mio::event::{Event, Source};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Registry, Token, Waker};
use shorewharf_decisions::interface::RequestId;

use crate::transport::connection::Connection;

/// What is told of connections in one turn at most; the rest is told in the next.
const MAX_EVENTS_PER_WAIT: usize = 1024;

/// Who something that is watched belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EventSource {
    /// A client session.
    Session(RequestId),
    /// The attempt for a req.
    Attempt(RequestId),
    /// The probe of this number.
    Probe(u64),
    /// The discovery's watch.
    DiscoveryClient,
    /// The listener: clients wait to be accepted.
    Listener,
    /// Signals of the system's.
    Signals,
    /// Orders of other workers.
    WorkerMessages,
    /// The listener of a worker that stalls.
    Neighbour,
    /// The door at which operators call.
    AdminListener,
    /// The operator's connection of this number.
    AdminConnection(u64),
    /// The socket at which new processes of this balancer ask.
    Successors,
    /// The one of this number, which has asked.
    Successor(u64),
    /// The process that this one has asked.
    Predecessor,
    /// Datagrams of other balancers.
    Gossip,
}

/// An owner's kind stands in a token above its number.
const KIND_SHIFT: u32 = 56;
const _: () = assert!(usize::BITS == 64, "tokens hold a kind above a number of 56 bits");

impl EventSource {
    /// Whether it is looked at before clients are: operators wait for one turn at most, whatever the load.
    pub fn comes_first(self) -> bool {
        matches!(self, EventSource::AdminListener | EventSource::AdminConnection(_))
    }

    fn token(self) -> Token {
        let (kind, number) = match self {
            EventSource::Session(id) => (0, u64::from(id.0)),
            EventSource::Attempt(id) => (1, u64::from(id.0)),
            EventSource::Probe(number) => (2, number),
            EventSource::DiscoveryClient => (3, 0),
            EventSource::Listener => (4, 0),
            EventSource::Signals => (5, 0),
            EventSource::WorkerMessages => (6, 0),
            EventSource::Neighbour => (7, 0),
            EventSource::AdminListener => (8, 0),
            EventSource::AdminConnection(number) => (9, number),
            EventSource::Successors => (10, 0),
            EventSource::Successor(number) => (11, number),
            EventSource::Predecessor => (12, 0),
            EventSource::Gossip => (13, 0),
        };
        Token((kind << KIND_SHIFT | number) as usize)
    }

    fn of(token: Token) -> EventSource {
        let number = token.0 as u64 & ((1 << KIND_SHIFT) - 1);
        match token.0 as u64 >> KIND_SHIFT {
            0 => EventSource::Session(RequestId(number as u32)),
            1 => EventSource::Attempt(RequestId(number as u32)),
            2 => EventSource::Probe(number),
            3 => EventSource::DiscoveryClient,
            4 => EventSource::Listener,
            5 => EventSource::Signals,
            6 => EventSource::WorkerMessages,
            7 => EventSource::Neighbour,
            8 => EventSource::AdminListener,
            9 => EventSource::AdminConnection(number),
            10 => EventSource::Successors,
            11 => EventSource::Successor(number),
            12 => EventSource::Predecessor,
            _ => EventSource::Gossip,
        }
    }
}

/// What a connection is ready for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Readiness {
    /// Something can be read.
    pub read: bool,
    /// Something can be written, or the connect has failed.
    pub write: bool,
    /// The peer has ended its side or the connection broke: reading on comes to that.
    pub ends: bool,
}

impl Readiness {
    /// Something may be there to be read of which the loop has not told yet.
    pub const READ: Readiness = Readiness { read: true, write: false, ends: false };
}

impl From<&Event> for Readiness {
    fn from(event: &Event) -> Self {
        let ends = event.is_read_closed() || event.is_error();
        Readiness { read: event.is_readable() || ends, write: event.is_writable() || event.is_error(), ends }
    }
}

/// What the loop waits with.
#[derive(Debug)]
pub struct EventPoller {
    poll: Poll,
    events: Events,
}

impl EventPoller {
    /// Nothing is watched yet.
    pub fn new() -> io::Result<Self> {
        Ok(EventPoller { poll: Poll::new()?, events: Events::with_capacity(MAX_EVENTS_PER_WAIT) })
    }

    /// What has connections watched.
    pub fn poller(&self) -> io::Result<SourceRegistry> {
        Ok(SourceRegistry(self.poll.registry().try_clone()?))
    }

    /// What wakes the loop for orders.
    pub fn waker(&self) -> io::Result<Waker> {
        Waker::new(self.poll.registry(), EventSource::WorkerMessages.token())
    }

    /// Waits until something has come, at most so long, rounded up to whole milliseconds.
    pub fn wait(&mut self, most: Duration) -> io::Result<()> {
        match self.poll.poll(&mut self.events, Some(most)) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => Err(e),
            _ => Ok(()),
        }
    }

    /// What has come; owners may be gone by now.
    pub fn seen(&self) -> impl Iterator<Item = (EventSource, Readiness)> + Clone {
        self.events.iter().map(|event| (EventSource::of(event.token()), Readiness::from(event)))
    }
}

/// Has the loop watch connections.
#[derive(Debug)]
pub struct SourceRegistry(Registry);

impl SourceRegistry {
    /// Has the loop watch a connection; false where it can't. Edge-triggered, for both directions and from start
    /// to end: the link remembers what it is ready for. Its end is the end of the watch.
    pub fn watch(&self, link: &mut Connection, owner: EventSource) -> bool {
        self.0.register(link.stream(), owner.token(), Interest::READABLE | Interest::WRITABLE).is_ok()
    }

    /// No longer, though its other side goes on elsewhere.
    pub fn unwatch(&self, link: &mut Connection) {
        // Fails only where it was not watched.
        let _ = self.0.deregister(link.stream());
    }

    /// The same for what is no link.
    pub fn watch_source(&self, source: &mut impl Source, owner: EventSource) -> io::Result<()> {
        self.0.register(source, owner.token(), Interest::READABLE | Interest::WRITABLE)
    }

    /// Has the loop watch something that is only read.
    pub fn listen(&self, source: &mut impl Source, owner: EventSource) -> io::Result<()> {
        self.0.register(source, owner.token(), Interest::READABLE)
    }

    /// Has the loop watch another worker's listener.
    pub fn help(&self, listener: &impl AsRawFd) -> io::Result<()> {
        self.0.register(
            &mut SourceFd(&listener.as_raw_fd()),
            EventSource::Neighbour.token(),
            Interest::READABLE,
        )
    }

    /// No longer.
    pub fn help_no_more(&self, listener: &impl AsRawFd) -> io::Result<()> {
        self.0.deregister(&mut SourceFd(&listener.as_raw_fd()))
    }
}

#[cfg(test)]
mod tests;
