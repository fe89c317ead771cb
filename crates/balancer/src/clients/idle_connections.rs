//! Connections without a request: those whose first line is awaited, and those that have had their final answer.

use std::collections::BTreeSet;

use shorewharf_decisions::interface::RequestId;
use shorewharf_units::Micros;

/// Idle connections, each with the time since when it has been idle.
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

    /// Adds a connection that has had its final answer.
    pub fn add_closing(&mut self, since: Micros, id: RequestId) {
        self.closing.insert((since, id));
    }

    /// Removes a connection that was added with this time.
    pub fn remove(&mut self, since: Micros, id: RequestId) {
        self.opening.remove(&(since, id));
        self.closing.remove(&(since, id));
    }

    /// The number of idle connections.
    pub fn len(&self) -> usize {
        self.opening.len() + self.closing.len()
    }

    /// The connection to close first when descriptors are short: the one with a final answer that has been idle longest,
    /// or else the one that has been silent longest.
    pub fn eviction_candidate(&self) -> Option<RequestId> {
        self.closing.first().or(self.opening.first()).map(|(_, id)| *id)
    }
}

#[cfg(test)]
mod tests;
