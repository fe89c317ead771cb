//! Connections that ask for nothing: those whose first line is still to come, and those that have had their last
//! words.

use std::collections::BTreeSet;

use shorewharf_decisions::interface::RequestId;
use shorewharf_units::Micros;

/// Connections that ask for nothing, each with the time since when.
#[derive(Debug, Default)]
pub struct IdleConnections {
    opening: BTreeSet<(Micros, RequestId)>,
    ending: BTreeSet<(Micros, RequestId)>,
}

impl IdleConnections {
    /// A connection has come, and its first line has not.
    pub fn add_opening(&mut self, since: Micros, id: RequestId) {
        self.opening.insert((since, id));
    }

    /// A connection has its last words.
    pub fn add_closing(&mut self, since: Micros, id: RequestId) {
        self.ending.insert((since, id));
    }

    /// A connection that was told of at this time asks for something now, or is over.
    pub fn remove(&mut self, since: Micros, id: RequestId) {
        self.opening.remove(&(since, id));
        self.ending.remove(&(since, id));
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.opening.len() + self.ending.len()
    }

    /// The one that can best be done without: those with their last words on the way have been answered and come
    /// first, then the one that has asked for nothing for longest.
    pub fn oldest(&self) -> Option<RequestId> {
        self.ending.first().or(self.opening.first()).map(|(_, id)| *id)
    }
}

#[cfg(test)]
mod tests;
