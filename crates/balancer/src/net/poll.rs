//! Between the loop and the peers: which connections the loop watches, and what it has seen of them. The loop
//! only notes what has come; the peers act on the notes, in their order, once it has returned.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness};
use shorewharf_decisions::interface::RequestId;

use super::link::Link;

/// Who a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Owner {
    /// A client session.
    Session(RequestId),
    /// The fetch for a req.
    Fetch(RequestId),
    /// The probe of this number.
    Probe(u64),
    /// The director's watch.
    Director,
}

/// What the loop has seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// A connection is ready to be read or written.
    Ready {
        /// Whose it is; it may be over by now.
        owner: Owner,
        /// Something can be read, the end or an error included.
        read: bool,
        /// Something can be written.
        write: bool,
    },
    /// Clients wait to be accepted.
    Clients,
    /// The program is told to end.
    Stop,
    /// The program is told to read its configuration again.
    Reload,
}

/// The loop's data: what it has seen this turn.
pub type Notes = Vec<Seen>;

/// Has the loop watch connections.
#[derive(Debug)]
pub struct Poller(LoopHandle<'static, Notes>);

impl Poller {
    /// A poller for the loop of this handle.
    pub fn new(handle: LoopHandle<'static, Notes>) -> Self {
        Poller(handle)
    }

    /// Has the loop watch a connection; false where it can't. Edge-triggered, for both directions and from start
    /// to end: the link remembers what it is ready for.
    pub fn watch(&self, link: &mut Link, owner: Owner) -> bool {
        let source = Generic::new(link.stream(), Interest::BOTH, Mode::Edge);
        let inserted = self.0.insert_source(source, move |ready: Readiness, _, notes: &mut Notes| {
            let (read, write) = (ready.readable || ready.error, ready.writable || ready.error);
            notes.push(Seen::Ready { owner, read, write });
            Ok(PostAction::Continue)
        });
        link.source = inserted.ok();
        link.source.is_some()
    }

    /// Ends a connection and frees its descriptor.
    pub fn close(&self, mut link: Link) {
        if let Some(source) = link.source.take() {
            self.0.remove(source);
        }
    }
}
