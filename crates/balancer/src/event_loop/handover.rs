//! The part of the event loop that hands over to a successor process of this balancer and takes over from a
//! predecessor.

use shorewharf_decisions::interface::{Request, RequestId};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_recovery::snapshot_state::SnapshotEntry;
use shorewharf_units::Micros;
use tracing::warn;

use crate::admin::counters::WorkerCounters;
use crate::event_loop::context::TimerEvent;
use crate::event_loop::dispatch::EventLoop;
use crate::event_loop::poll::EventSource;
use crate::handover::messages::{HandoverState, PredecessorMessage, TransferredConnection, VERSION};
use crate::handover::successors::Successors;
use crate::overload::descriptor_budget::RESERVED_FOR_PROCESS;
use crate::workers::pool::{WorkerMessage, WorkerPool};

/// How often successors are told how many descriptors this process may hold: as clients leave, successors may
/// use more.
const NOTIFY_INTERVAL: Micros = 100_000;
/// Maximum number of established connections transferred in one iteration, so that other connections are not
/// delayed.
const MAX_TRANSFERS_PER_ITERATION: usize = 64;
/// The index of the worker that is connected to the other processes.
const PRIMARY_WORKER: usize = 0;

/// Messages from other processes, and changes in which of them are connected.
impl EventLoop {
    /// Handles readiness of the connection to another process.
    pub(super) fn on_sibling_ready(&mut self, source: EventSource) {
        if let EventSource::Successor(number) = source {
            if let Some(successors) = &mut self.siblings.successors {
                successors.on_ready(&self.context.registry, self.context.now, number);
            }
            // The successor may have room for more connections now.
            self.is_handover_due |= self.is_shutting_down();
        } else if !self.read_predecessor() {
            return;
        }
        self.on_successors_changed();
    }

    /// Reads the predecessor's messages and adopts the connections that it has transferred. Returns whether
    /// there was a predecessor.
    fn read_predecessor(&mut self) -> bool {
        let Some(predecessor) = &mut self.siblings.predecessor else { return false };
        let is_connected = predecessor.receive();
        for transferred in predecessor.take_connections(!is_connected) {
            self.place_transferred(transferred);
        }
        if !is_connected {
            self.siblings.predecessor = None;
        }
        self.set_sibling_descriptors(self.siblings.predecessor_descriptors());
        true
    }

    /// Accepts new processes of this balancer and sends each the state to hand over. `export_state` returns
    /// the learned state of the decisions.
    pub fn on_successors_connecting(&mut self, export_state: impl FnOnce() -> Vec<SnapshotEntry>) {
        let offer = HandoverState {
            version: VERSION,
            listener_count: 0,
            descriptors: self.descriptor_allowance(),
            endpoints: self.endpoint_list(),
            learned: export_state(),
            exported_at: self.context.now,
        };
        if let Some(successors) = &mut self.siblings.successors {
            successors.accept(&self.context.registry, || offer.clone());
        }
        self.on_successors_changed();
    }

    /// Reads the messages of successors before a shutdown begins: a successor that serves has reported that
    /// before this process was told to end.
    pub(super) fn poll_successors(&mut self) {
        if let Some(successors) = &mut self.siblings.successors {
            successors.receive_all(&self.context.registry, self.context.now);
        }
        self.on_successors_changed();
    }

    fn on_successors_changed(&mut self) {
        let returned = self.siblings.successors.as_mut().map(Successors::take_returned).unwrap_or_default();
        for transferred in returned {
            self.adopt_transferred(transferred);
        }
        let has_successor = self.siblings.has_successor();
        if !has_successor {
            for transferred in std::mem::take(&mut self.siblings.queued) {
                self.adopt_transferred(transferred);
            }
        }
        if has_successor != self.proxy.has_successor {
            self.broadcast(|_| WorkerMessage::SuccessorServing(has_successor));
            self.set_has_successor(has_successor);
        }
        if has_successor && self.siblings.descriptor_allowance.is_none() {
            self.notify_successors();
        }
        let wants_termination = self.siblings.successors.as_ref().is_some_and(Successors::wants_termination);
        if !self.is_shutting_down() && wants_termination {
            self.broadcast(|_| WorkerMessage::Shutdown);
            self.begin_shutdown();
        }
    }

    /// Records whether another process accepts clients in place of this one. If none does any more, for example
    /// because the successor has ended, this process accepts the clients that wait at the listener.
    pub(super) fn set_has_successor(&mut self, has_successor: bool) {
        self.proxy.has_successor = has_successor;
        if !has_successor {
            self.acceptor.on_listener_ready();
        }
    }

    /// Returns whether two processes accept clients now, if that has changed since the last call.
    pub fn take_sharing_change(&mut self) -> Option<bool> {
        self.siblings.take_sharing_change(self.is_shutting_down())
    }

    /// Whether there is more to read from the predecessor, or to send to a successor.
    pub(super) fn has_sibling_work(&self) -> bool {
        self.is_handover_due || self.siblings.has_unread()
    }

    /// The number of established connections that are being transferred to a successor or are queued for
    /// that.
    pub(super) fn connections_in_transfer(&self) -> usize {
        self.siblings.connections_in_transfer()
    }
}

/// Transfers of established connections.
impl EventLoop {
    /// Adopts a transferred connection at this worker, or passes it to a worker that has far fewer clients.
    fn place_transferred(&mut self, transferred: TransferredConnection) {
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
        if !self.proxy.adopt_transferred(&mut self.context, transferred) {
            warn!(event = "transfer-failed", client = %client);
        }
    }

    /// Transfers established connections to the successor, up to the maximum of one iteration. `state_of`
    /// returns the request and the reported load that the decisions have stored for a connection. Workers
    /// other than the primary one send their connections to the primary one.
    pub fn hand_over_connections(&mut self, state_of: impl Fn(RequestId) -> Option<(Request, Option<f64>)>) {
        if !std::mem::take(&mut self.is_handover_due) {
            return;
        }
        let is_primary = self.workers.as_ref().is_none_or(WorkerPool::is_primary);
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

/// The division of descriptors between two processes.
impl EventLoop {
    /// Tells successors how many descriptors this process may hold, and limits this process to that number.
    pub(super) fn notify_successors(&mut self) {
        if !self.siblings.has_successor() {
            self.siblings.descriptor_allowance = None;
            return self.set_sibling_descriptors(0);
        }
        // The allowance is never raised: descriptors that are held beyond it for a short time, to reject
        // clients, must not become part of it.
        let last_allowance = self.siblings.descriptor_allowance.unwrap_or(usize::MAX);
        let allowance = self.descriptor_allowance().min(last_allowance);
        self.siblings.descriptor_allowance = Some(allowance);
        let is_shutting_down = self.is_shutting_down();
        if let Some(successors) = &mut self.siblings.successors {
            if is_shutting_down {
                successors.broadcast(&PredecessorMessage::Draining);
            }
            successors.broadcast(&PredecessorMessage::Descriptors(allowance));
        }
        self.set_sibling_descriptors(self.proxy.settings.max_descriptors * self.worker_count() - allowance);
        self.context.schedule_after(NOTIFY_INTERVAL, TimerEvent::NotifySuccessors);
    }

    fn worker_count(&self) -> usize {
        self.workers.as_ref().map_or(1, WorkerPool::worker_count)
    }

    /// The number of descriptors that this process may hold while another process runs: half of the limit, or
    /// the number that it holds if that is larger. During a shutdown it is no more than the remaining clients
    /// need.
    fn descriptor_allowance(&self) -> usize {
        self.proxy.publish_gauges();
        let sums = self.admin.as_ref().map(|admin| WorkerCounters::sum(&admin.counters)).unwrap_or_default();
        let limit = self.proxy.settings.max_descriptors * self.worker_count();
        let in_use = RESERVED_FOR_PROCESS * self.worker_count()
            + sums.descriptors
            + 2 * self.connections_in_transfer();
        let half = if self.is_shutting_down() { 0 } else { limit / 2 };
        in_use.max(half).min(limit)
    }

    /// Deducts the descriptors of another process from the limits of all workers, in equal shares.
    fn set_sibling_descriptors(&mut self, descriptors: usize) {
        let per_worker = descriptors / self.worker_count();
        self.broadcast(|_| WorkerMessage::DescriptorsHeldBySiblings(per_worker));
        self.proxy.set_sibling_descriptors(per_worker);
    }

    /// The current endpoint list, in discovery's format.
    fn endpoint_list(&self) -> EndpointList {
        let endpoints = self.proxy.servers.endpoints(&self.proxy.settings.names);
        EndpointList { index: self.discovery.index(), snapshot: true, endpoints }
    }
}
