//! Shares the ids of open requests with the other processes of this balancer, so that no id has an open request in two of them.

use tracing::{debug, warn};

use crate::clients::open_ids::SiblingLink;
use crate::event_loop::dispatch::EventLoop;
use crate::handover::messages::TransferredConnection;
use crate::workers::pool::{PRIMARY_WORKER, WorkerMessage, WorkerPool};

impl EventLoop {
    /// Applies the changes that the other processes have reported of their open ids.
    pub(super) fn apply_sibling_ids(&mut self) {
        let successors = self.siblings.successors.as_mut();
        let by_successors = successors.map_or(0, |successors| successors.apply_id_messages(&self.open_ids));
        let predecessor = self.siblings.predecessor.as_mut();
        let by_predecessor =
            predecessor.map_or(0, |predecessor| predecessor.apply_id_messages(&self.open_ids));
        if by_successors + by_predecessor > 0 {
            debug!(event = "sibling-ids-changed", by_successors, by_predecessor);
        }
        self.update_confirmed_ids();
    }

    /// Updates which ids all other processes know, and has the other workers place their requests with these ids.
    fn update_confirmed_ids(&mut self) {
        self.open_ids.changes().set_has_siblings(self.siblings.has_any());
        if self.open_ids.changes().set_confirmed(self.siblings.confirmed_ids()) {
            self.broadcast(|_| WorkerMessage::OpenIdsConfirmed);
        }
    }

    /// Releases the ids of the predecessor, which has ended.
    pub(super) fn release_predecessor_ids(&mut self) {
        self.open_ids.release_sibling(SiblingLink::Predecessor);
        self.update_confirmed_ids();
    }

    /// Announces to the other processes which ids have been opened and closed in this iteration, and answers their sync requests
    /// after that. Workers other than the primary one have it do that.
    pub fn announce_open_ids(&mut self) {
        if !self.open_ids.changes().is_any_recorded() && !self.siblings.is_sync_reply_due() {
            return;
        }
        if let Some(workers) = self.workers.as_ref().filter(|workers| !workers.is_primary()) {
            // If the primary worker has ended, the whole process is about to end.
            return drop(workers.send(PRIMARY_WORKER, WorkerMessage::OpenIdsChanged));
        }
        let changes = self.open_ids.changes().take();
        if let Some(successors) = &mut self.siblings.successors {
            successors.announce_ids(&changes, &self.open_ids);
        }
        if let Some(predecessor) = &mut self.siblings.predecessor {
            predecessor.announce_ids(&changes, &self.open_ids);
        }
    }

    /// Claims the id of a connection that the predecessor has transferred. If another request of this process has the same id,
    /// the transferred connection, which is the older one, keeps it, and the other request ends.
    pub(super) fn claim_transferred(&mut self, transferred: &TransferredConnection) {
        let open_id = transferred.state.open_id;
        if !self.open_ids.claim_transferred(open_id) {
            return;
        }
        warn!(event = "open-id-conflict", id = %format_args!("{open_id:x}"), client = %transferred.state.client);
        self.broadcast(|_| WorkerMessage::EndDuplicates(open_id));
        self.proxy.end_duplicates(&mut self.context, open_id);
    }

    /// Whether this worker is the one that is connected to the other processes.
    pub(super) fn is_primary(&self) -> bool {
        self.workers.as_ref().is_none_or(WorkerPool::is_primary)
    }
}
