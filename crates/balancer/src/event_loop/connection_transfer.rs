//! Transfers established connections to a successor process of this balancer, and adopts those of a predecessor.

use shorewharf_decisions::interface::{Request, RequestId};
use tracing::warn;

use crate::event_loop::dispatch::EventLoop;
use crate::handover::messages::TransferredConnection;
use crate::handover::successors::Successors;
use crate::workers::pool::{PRIMARY_WORKER, WorkerMessage};

/// Maximum number of established connections transferred in one iteration, so that other connections are not
/// delayed.
const MAX_TRANSFERS_PER_ITERATION: usize = 64;

impl EventLoop {
    /// Adopts a transferred connection at this worker, or passes it to a worker that has far fewer clients.
    pub(super) fn assign_transferred(&mut self, transferred: TransferredConnection) {
        let (now, clients) = (self.context.now, self.proxy.client_count());
        let less_loaded = self
            .workers
            .as_ref()
            .and_then(|workers| Some((workers, workers.less_loaded_worker(now, clients)?)));
        let kept = match less_loaded {
            Some((workers, worker)) => {
                match workers.send(worker, WorkerMessage::AdoptConnection(Box::new(transferred))) {
                    Err(WorkerMessage::AdoptConnection(transferred)) => Some(*transferred),
                    _ => None,
                }
            }
            None => Some(transferred),
        };
        if let Some(transferred) = kept {
            self.adopt_transferred(transferred);
        }
    }

    /// Adopts a transferred connection at this worker.
    pub(super) fn adopt_transferred(&mut self, transferred: TransferredConnection) {
        let client = transferred.state.client;
        if let Err(error) = self.proxy.adopt_transferred(&mut self.context, transferred) {
            warn!(event = "transfer-failed", client = %client, why = %error);
        }
    }

    /// Transfers established connections to the successor, up to the maximum of one iteration. `state_of`
    /// returns the request and the reported load that the decisions have stored for a connection. Workers
    /// other than the primary one send their connections to the primary one.
    pub fn hand_over_connections(&mut self, state_of: impl Fn(RequestId) -> Option<(Request, Option<f64>)>) {
        if !std::mem::take(&mut self.is_handover_due) {
            return;
        }
        let is_primary = self.is_primary();
        if is_primary {
            // Only this worker checks the successors; it tells the others of changes.
            if let Some(successors) = &mut self.siblings.successors {
                successors.check_stalled(self.context.now);
            }
            self.on_successors_changed();
        }
        if !self.proxy.has_successor {
            return;
        }
        let mut candidates = self.proxy.transferable_connections().into_iter();
        for _ in 0..MAX_TRANSFERS_PER_ITERATION {
            // Poll reports when a successor whose connection is full can receive more.
            if is_primary && !self.siblings.successors.as_mut().is_some_and(Successors::can_transfer) {
                return;
            }
            let next = self.siblings.queued.pop_front().or_else(|| {
                candidates
                    .by_ref()
                    .find_map(|id| self.proxy.detach_for_transfer(&mut self.context, id, state_of(id)?))
            });
            let Some(transferred) = next else { return };
            if !is_primary {
                self.send_to_primary(transferred);
            } else if !self.send_to_successor(transferred) {
                return self.on_successors_changed();
            }
        }
        self.is_handover_due = true;
    }

    /// Sends a connection to the successor. Returns false if it could not be sent and must be adopted again.
    fn send_to_successor(&mut self, transferred: TransferredConnection) -> bool {
        match &mut self.siblings.successors {
            Some(successors) => successors.transfer(self.context.now, transferred),
            None => {
                self.adopt_transferred(transferred);
                true
            }
        }
    }

    fn send_to_primary(&mut self, transferred: TransferredConnection) {
        let message = WorkerMessage::TransferToSuccessor(Box::new(transferred));
        let undelivered = match &self.workers {
            Some(workers) => workers.send(PRIMARY_WORKER, message).err(),
            None => Some(message),
        };
        if let Some(WorkerMessage::TransferToSuccessor(transferred)) = undelivered {
            self.adopt_transferred(*transferred);
        }
    }

    /// Queues a connection of another worker for its transfer to the successor.
    pub(super) fn queue_for_transfer(&mut self, transferred: TransferredConnection) {
        if self.proxy.has_successor {
            self.siblings.queued.push_back(transferred);
            self.is_handover_due = true;
        } else {
            self.adopt_transferred(transferred);
        }
    }
}
