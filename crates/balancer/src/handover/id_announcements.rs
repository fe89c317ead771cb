//! Tracks which open ids another process of this balancer knows from this one.

use std::collections::HashSet;

use super::messages::OpenIdChange;

/// The open ids that have been announced to a process and not withdrawn.
#[derive(Debug, Default)]
pub struct IdAnnouncements(HashSet<u64>);

impl IdAnnouncements {
    /// Creates the state of a process that knows these ids.
    pub fn new(announced: &[u64]) -> Self {
        IdAnnouncements(announced.iter().copied().collect())
    }

    /// Updates the state of these ids. `is_held` tells whether the process must know an id. Returns the changes to send.
    pub fn update(&mut self, ids: &[u64], is_held: impl Fn(u64) -> bool) -> Vec<OpenIdChange> {
        let mut changes = Vec::new();
        for id in ids.iter().copied() {
            if is_held(id) {
                let is_new = self.0.insert(id);
                changes.extend(is_new.then_some(OpenIdChange::Opened(id)));
            } else {
                let was_announced = self.0.remove(&id);
                changes.extend(was_announced.then_some(OpenIdChange::Closed(id)));
            }
        }
        changes
    }
}

#[cfg(test)]
mod tests;
