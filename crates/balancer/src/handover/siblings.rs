//! The other processes of this balancer, and what they share with this one while both run.

use std::collections::VecDeque;

use super::messages::TransferredConnection;
use super::predecessor::Predecessor;
use super::successors::Successors;

/// The other processes of this balancer that are running.
#[derive(Debug, Default)]
pub struct SiblingProcesses {
    /// Processes that are to replace this one; none without a path for their socket.
    pub successors: Option<Successors>,
    /// The process that this one replaces.
    pub predecessor: Option<Predecessor>,
    /// Two processes accept clients, and each keeps to its share of the limits.
    pub shares_limits: bool,
    /// Descriptors that this process may hold beside a successor, as announced last.
    pub announced_descriptors: Option<usize>,
    /// Connections of other workers that are to be transferred to the successor.
    pub outgoing: VecDeque<TransferredConnection>,
}

impl SiblingProcesses {
    /// The processes that are there at the start.
    pub fn new(successors: Option<Successors>, predecessor: Option<Predecessor>) -> Self {
        SiblingProcesses { successors, predecessor, ..SiblingProcesses::default() }
    }

    /// Whether another process serves in place of this one.
    pub fn has_serving_successor(&self) -> bool {
        self.successors.as_ref().is_some_and(Successors::is_any_serving)
    }

    /// Whether a successor asks this process to terminate.
    pub fn wants_termination(&self) -> bool {
        self.successors.as_ref().is_some_and(Successors::wants_termination)
    }

    /// Whether two processes accept clients now.
    pub fn are_two_accepting(&self, is_shutting_down: bool) -> bool {
        let has_accepting_predecessor =
            self.predecessor.as_ref().is_some_and(|predecessor| !predecessor.is_draining);
        (self.has_serving_successor() && !is_shutting_down) || has_accepting_predecessor
    }

    /// Connections that were sent to a successor and not acknowledged, or wait to be sent.
    pub fn connections_in_transit(&self) -> usize {
        self.outgoing.len() + self.successors.as_ref().map_or(0, Successors::in_transit)
    }
}
