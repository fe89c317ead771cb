//! The other processes of this balancer: which are there, and what is agreed with them.
//!
//! While two processes run, together they keep to what one process may take. The event loop acts on this state
//! (`event_loop/handover.rs`).

use std::collections::VecDeque;

use crate::handover::messages::TransferredConnection;
use crate::handover::predecessor::Predecessor;
use crate::handover::successors::Successors;

/// The other processes of this balancer, as far as they are there.
#[derive(Debug, Default)]
pub struct SiblingProcesses {
    /// Where a new process connects; `None` without a shared folder.
    pub successors: Option<Successors>,
    /// The process that this one replaces, until it has ended.
    pub predecessor: Option<Predecessor>,
    /// Two processes accept clients, by the settings that were put in force last.
    is_sharing_clients: bool,
    /// Descriptors that this process may hold beside a successor, as it was told last.
    pub descriptor_allowance: Option<usize>,
    /// Established connections of other workers that wait for their transfer.
    pub queued: VecDeque<TransferredConnection>,
}

impl SiblingProcesses {
    /// The processes that are there at the start.
    pub fn new(successors: Option<Successors>, predecessor: Option<Predecessor>) -> Self {
        SiblingProcesses { successors, predecessor, ..SiblingProcesses::default() }
    }

    /// Whether another process has taken over from this one.
    pub fn has_successor(&self) -> bool {
        self.successors.as_ref().is_some_and(Successors::is_any_serving)
    }

    /// Whether two processes accept clients since or until now, if that has changed since the last call.
    pub fn take_sharing_change(&mut self, is_shutting_down: bool) -> Option<bool> {
        let is_sharing = (self.has_successor() && !is_shutting_down)
            || self.predecessor.as_ref().is_some_and(|predecessor| !predecessor.is_draining);
        (std::mem::replace(&mut self.is_sharing_clients, is_sharing) != is_sharing).then_some(is_sharing)
    }

    /// Whether two processes accept clients, as of the last [`SiblingProcesses::take_sharing_change`].
    pub fn is_sharing_clients(&self) -> bool {
        self.is_sharing_clients
    }

    /// Whether the predecessor may have sent more than was read.
    pub fn has_unread(&self) -> bool {
        self.predecessor.as_ref().is_some_and(|predecessor| predecessor.has_more)
    }

    /// Descriptors that the predecessor holds.
    pub fn predecessor_descriptors(&self) -> usize {
        self.predecessor.as_ref().map_or(0, |predecessor| predecessor.descriptors)
    }

    /// Established connections that are on their way to a successor, or wait for that.
    pub fn connections_in_transfer(&self) -> usize {
        self.queued.len() + self.successors.as_ref().map_or(0, Successors::in_transit)
    }
}
