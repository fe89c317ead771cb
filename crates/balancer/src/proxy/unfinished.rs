//! The connections that have used up their turn in an iteration of the event loop and have more to forward or to read.

use rustc_hash::FxHashSet;
use shorewharf_decisions::interface::RequestId;

/// A queue of connections, each of which is in it at most once: whatever peers send, a connection gets one turn in an iteration.
#[derive(Debug, Default)]
pub struct UnfinishedConnections {
    queue: Vec<RequestId>,
    queued: FxHashSet<RequestId>,
}

impl UnfinishedConnections {
    /// Adds a connection, unless it is in the queue already.
    pub fn add(&mut self, id: RequestId) {
        if self.queued.insert(id) {
            self.queue.push(id);
        }
    }

    /// Whether a connection waits for its next turn.
    pub fn contains(&self, id: RequestId) -> bool {
        self.queued.contains(&id)
    }

    /// Whether no connection waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes all connections, in the order in which they were added.
    pub fn take(&mut self) -> Vec<RequestId> {
        self.queued.clear();
        std::mem::take(&mut self.queue)
    }
}
