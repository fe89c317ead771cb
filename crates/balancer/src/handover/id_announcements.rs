//! Tracks which ids another process of this balancer knows from this one.

use std::collections::HashMap;

use super::messages::OpenIdMessage;
use crate::clients::open_ids::IdState;

/// The ids that have been announced to a process as open or retained, and not been withdrawn.
#[derive(Debug, Default)]
pub struct IdAnnouncements(HashMap<u64, IdState>);

impl IdAnnouncements {
    /// Creates the state of a process that knows these ids.
    pub fn new(open: &[u64], retained: &[u64]) -> Self {
        let retained = retained.iter().map(|id| (*id, IdState::Retained));
        IdAnnouncements(retained.chain(open.iter().map(|id| (*id, IdState::Open))).collect())
    }

    /// Updates the state of these ids to what `state_of` returns. Returns the changes to send.
    pub fn update(&mut self, ids: &[u64], state_of: impl Fn(u64) -> IdState) -> Vec<OpenIdMessage> {
        ids.iter().filter_map(|id| self.update_one(*id, state_of(*id))).collect()
    }

    fn update_one(&mut self, id: u64, state: IdState) -> Option<OpenIdMessage> {
        let previous = match state {
            IdState::Free => self.0.remove(&id),
            state => self.0.insert(id, state),
        };
        match (previous, state) {
            (previous, state) if previous == Some(state) => None,
            (_, IdState::Open) => Some(OpenIdMessage::Opened(id)),
            (_, IdState::Retained) => Some(OpenIdMessage::Retained(id)),
            (Some(IdState::Open), IdState::Free) => Some(OpenIdMessage::Closed(id)),
            // The other process retains the id by itself.
            (_, IdState::Free) => None,
        }
    }
}

#[cfg(test)]
mod tests;
