//! Tracks connections without an open request: those whose first line is awaited, and those that have been
//! sent their final answer.

use std::collections::BTreeSet;

use shorewharf_decisions::interface::RequestId;
use shorewharf_units::Micros;

/// Idle connections, each with the time at which it became idle.
#[derive(Debug, Default)]
pub struct IdleConnections {
    opening: BTreeSet<(Micros, RequestId)>,
    closing: BTreeSet<(Micros, RequestId)>,
}

impl IdleConnections {
    /// Adds a connection whose first line is awaited.
    pub fn add_opening(&mut self, since: Micros, id: RequestId) {
        self.opening.insert((since, id));
    }

    /// Adds a connection that has been sent its final answer.
    pub fn add_closing(&mut self, since: Micros, id: RequestId) {
        self.closing.insert((since, id));
    }

    /// Removes a connection; `since` must be the time with which it was added.
    pub fn remove(&mut self, since: Micros, id: RequestId) {
        self.opening.remove(&(since, id));
        self.closing.remove(&(since, id));
    }

    /// The number of idle connections.
    pub fn len(&self) -> usize {
        self.opening.len() + self.closing.len()
    }

    /// Returns the connection to close first when descriptors are short: of those that have been sent a final
    /// answer the one that has been idle longest, or if there is none, the one that has waited longest for
    /// its first line.
    pub fn eviction_candidate(&self) -> Option<RequestId> {
        self.closing.first().or(self.opening.first()).map(|(_, id)| *id)
    }
}

#[cfg(test)]
mod tests;
