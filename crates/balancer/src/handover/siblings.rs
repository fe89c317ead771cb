//! The connections to other processes of this balancer, and the state that is shared with them.
//!
//! While two processes run, together they keep to the limits of one process. The event loop acts on this
//! state (`event_loop/handover.rs`).

use std::collections::VecDeque;

use shorewharf_decisions::interface::SlotSharing;

use crate::handover::messages::TransferredConnection;
use crate::handover::predecessor::Predecessor;
use crate::handover::successors::Successors;

/// The other processes of this balancer.
#[derive(Debug, Default)]
pub struct SiblingProcesses {
    /// The socket that new processes connect to, and those that have connected; `None` if no hand-over is
    /// offered.
    pub successors: Option<Successors>,
    /// The process that this one replaces, until it has ended.
    pub predecessor: Option<Predecessor>,
    /// Whether two processes accept clients, as of the last [`SiblingProcesses::take_sharing_change`].
    is_sharing_clients: bool,
    /// The number of descriptors that this process may hold beside a successor, as last sent to the
    /// successor.
    pub descriptor_allowance: Option<usize>,
    /// Established connections of other workers that are still to be transferred to a successor.
    pub queued: VecDeque<TransferredConnection>,
}

impl SiblingProcesses {
    /// Creates the state at the start of this process.
    pub fn new(successors: Option<Successors>, predecessor: Option<Predecessor>) -> Self {
        SiblingProcesses { successors, predecessor, ..SiblingProcesses::default() }
    }

    /// Whether another process of this balancer is connected.
    pub fn has_any(&self) -> bool {
        self.predecessor.is_some() || self.successors.as_ref().is_some_and(Successors::is_any_connected)
    }

    /// The number of the last change of open ids that all other processes know, as far as they have to be waited for.
    pub fn confirmed_ids(&self) -> u64 {
        let by_successors = self.successors.as_ref().map_or(u64::MAX, Successors::confirmed_ids);
        by_successors.min(self.predecessor.as_ref().map_or(u64::MAX, Predecessor::confirmed_ids))
    }

    /// Whether another process waits for the answer to its sync request.
    pub fn is_sync_reply_due(&self) -> bool {
        self.successors.as_ref().is_some_and(Successors::is_sync_reply_due)
            || self.predecessor.as_ref().is_some_and(Predecessor::is_sync_reply_due)
    }

    /// Whether another process serves in place of this one.
    pub fn has_successor(&self) -> bool {
        self.successors.as_ref().is_some_and(Successors::is_any_serving)
    }

    /// Returns whether two processes accept clients now, if that has changed since the last call.
    pub fn take_sharing_change(&mut self, is_shutting_down: bool) -> Option<bool> {
        let is_sharing = (self.has_successor() && !is_shutting_down)
            || self.predecessor.as_ref().is_some_and(|predecessor| !predecessor.is_draining);
        (std::mem::replace(&mut self.is_sharing_clients, is_sharing) != is_sharing).then_some(is_sharing)
    }

    /// How this process shares its turns at warming servers, as of the last
    /// [`SiblingProcesses::take_sharing_change`].
    pub fn slot_sharing(&self) -> SlotSharing {
        match (self.is_sharing_clients, self.has_successor()) {
            (false, _) => SlotSharing::Alone,
            (true, true) => SlotSharing::BesideSuccessor,
            (true, false) => SlotSharing::BesidePredecessor,
        }
    }

    /// Whether the predecessor may have sent more than has been read.
    pub fn has_unread(&self) -> bool {
        self.predecessor.as_ref().is_some_and(|predecessor| predecessor.has_more)
    }

    /// The number of descriptors that the predecessor holds or may still open.
    pub fn predecessor_descriptors(&self) -> usize {
        self.predecessor.as_ref().map_or(0, |predecessor| predecessor.descriptors)
    }

    /// The number of established connections that are being transferred to a successor, or are queued for
    /// their transfer.
    pub fn connections_in_transfer(&self) -> usize {
        self.queued.len() + self.successors.as_ref().map_or(0, Successors::in_transit)
    }
}
