//! Handles messages between the event loops of a process, with which one worker does something for another.

use shorewharf_decisions::interface::ServerId;
use shorewharf_driver::{Effects, NetworkEvent};
use tracing::error;

use crate::event_loop::dispatch::EventLoop;
use crate::servers::probes::Requester;
use crate::workers::pool::{NeighbourListener, WorkerMessage, WorkerPool};

impl EventLoop {
    /// Returns the next message of another worker, to be handled by [`EventLoop::on_message`] unless it is a
    /// configuration.
    pub fn next_message(&self) -> Option<WorkerMessage> {
        self.workers.as_ref().and_then(WorkerPool::next_message)
    }

    /// Handles a message of another worker. A configuration concerns the whole worker, which handles it itself.
    pub fn on_message(&mut self, message: WorkerMessage) {
        match message {
            WorkerMessage::ForwardedClient(stream, client) => {
                self.proxy.accept_client(&mut self.context, stream, client);
            }
            WorkerMessage::DiscoveryEvent(event) => self.apply_discovery_event(event),
            WorkerMessage::WatchEndpoints => self.watch_endpoints(),
            WorkerMessage::RequestProbe(worker, server) => {
                self.begin_probe(server, Requester::Worker(worker));
            }
            WorkerMessage::ServerChanged(change) => self.apply_admin_change(change),
            WorkerMessage::DescriptorsHeldBySiblings(descriptors) => {
                self.proxy.set_sibling_descriptors(descriptors);
            }
            WorkerMessage::SuccessorServing(has_successor) => self.set_has_successor(has_successor),
            WorkerMessage::ProbeEnded(server, outcome) => {
                self.context.emit(NetworkEvent::ProbeEnded(server, outcome));
            }
            WorkerMessage::Shutdown => self.begin_shutdown(),
            WorkerMessage::TransferToSuccessor(transferred) => self.queue_for_transfer(*transferred),
            WorkerMessage::AdoptConnection(transferred) => self.adopt_transferred(*transferred),
            WorkerMessage::EndDuplicates(open_id) => self.proxy.end_duplicates(&mut self.context, open_id),
            // Announcing changes, and placing requests with confirmed ids, is done in each iteration.
            WorkerMessage::OpenIdsChanged | WorkerMessage::OpenIdsConfirmed | WorkerMessage::Config(_) => {}
        }
    }

    /// Sends a message to each other worker; `message` builds it from that worker's index.
    pub fn broadcast(&self, message: impl Fn(usize) -> WorkerMessage) {
        if let Some(workers) = &self.workers {
            workers.broadcast(message);
        }
    }

    /// Probes a server for this worker or another one.
    pub(super) fn begin_probe(&mut self, server: ServerId, requester: Requester) {
        let address = self.proxy.servers.address(server).filter(|_| self.proxy.has_capacity());
        self.proxy.probes.begin(&mut self.context, server, address, requester);
    }

    /// Sends other workers the results of their probes, and takes over the neighbour's listener while that worker stalls.
    pub(super) fn run_housekeeping(&mut self) {
        let Some(workers) = &mut self.workers else { return };
        for result in self.proxy.probes.take_worker_results() {
            // A worker that has ended needs no result.
            let _ = workers.send(result.worker, WorkerMessage::ProbeEnded(result.server, result.outcome));
        }
        // After a stall of the whole machine, every worker seems to have stalled.
        if self.context.now < self.context.earliest_timeout() {
            return;
        }
        let registry = &self.context.registry;
        let (is_serving, registered) = match workers.check_neighbour(self.context.now) {
            Some(NeighbourListener::Serve(listener)) => {
                (true, registry.register_neighbour_listener(listener))
            }
            Some(NeighbourListener::Release(listener)) => {
                (false, registry.deregister_neighbour_listener(listener))
            }
            None => return,
        };
        self.acceptor.set_serving_neighbour(is_serving);
        if let Err(e) = registered {
            error!(event = "neighbour-listener-failed", error = %e);
        }
    }
}
