//! Handing over to another process of this balancer, and taking over from one, as part of the event loop.

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

/// How often a successor is told how many descriptors this process holds: as clients leave, it may take more.
const NOTIFY_INTERVAL: Micros = 100_000;
/// Established connections that are transferred in one iteration, so that other connections are not held up.
const MAX_TRANSFERS_PER_ITERATION: usize = 64;
/// The worker that is connected to the other processes.
const PRIMARY_WORKER: usize = 0;

/// Readiness of other processes, and changes of which are there.
impl EventLoop {
    /// Another process can be read from or written to.
    pub(super) fn on_sibling_ready(&mut self, source: EventSource) {
        if let EventSource::Successor(number) = source {
            if let Some(successors) = &mut self.siblings.successors {
                successors.on_ready(&self.context.registry, self.context.now, number);
            }
            // It may take more connections now.
            self.is_handover_due |= self.shutdown_started_at.is_some();
        } else if !self.read_predecessor() {
            return;
        }
        self.on_successors_changed();
    }

    /// Takes over what the predecessor has sent. Returns whether there is one.
    fn read_predecessor(&mut self) -> bool {
        let Some(predecessor) = &mut self.siblings.predecessor else { return false };
        let is_there = predecessor.receive();
        for transferred in predecessor.take_connections(!is_there) {
            self.place_transferred(transferred);
        }
        if !is_there {
            self.siblings.predecessor = None;
        }
        self.set_sibling_descriptors(self.siblings.predecessor_descriptors());
        true
    }

    /// New processes connect: each is sent what this one hands over. `export_state` reads what the decisions know.
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

    /// Reads what successors have sent before a shutdown begins: one that serves has said so before this process was told
    /// to end.
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
        let ends_this = self.siblings.successors.as_ref().is_some_and(Successors::wants_termination);
        if self.shutdown_started_at.is_none() && ends_this {
            self.broadcast(|_| WorkerMessage::Shutdown);
            self.begin_shutdown();
        }
    }

    /// Another process accepts clients in place of this one, or no longer: it may have died, and the clients that wait at
    /// the listener are this one's again.
    pub(super) fn set_has_successor(&mut self, has_successor: bool) {
        self.proxy.has_successor = has_successor;
        if !has_successor {
            self.acceptor.on_listener_ready();
        }
    }

    /// Whether two processes accept clients since or until now, if that has changed since the last call.
    pub fn take_sharing_change(&mut self) -> Option<bool> {
        self.siblings.take_sharing_change(self.shutdown_started_at.is_some())
    }

    /// Whether there is more to read from the predecessor, or to send to a successor.
    pub(super) fn has_sibling_work(&self) -> bool {
        self.is_handover_due || self.siblings.has_unread()
    }

    /// Established connections that are on their way to a successor, or wait for that.
    pub(super) fn connections_in_transfer(&self) -> usize {
        self.siblings.connections_in_transfer()
    }
}

/// Established connections that are transferred.
impl EventLoop {
    /// Takes over a transferred connection: at this worker, or at another one that has fewer.
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

    /// Takes over a transferred connection at this worker.
    pub(super) fn adopt_transferred(&mut self, transferred: TransferredConnection) {
        let client = transferred.state.client;
        if !self.proxy.adopt_transferred(&mut self.context, transferred) {
            warn!(event = "transfer-failed", client = %client);
        }
    }

    /// Transfers established connections to the successor, as many as one iteration may. `state_of` reads what the
    /// decisions know of a request. Workers other than the primary one send theirs to it.
    pub fn hand_over_connections(&mut self, state_of: impl Fn(RequestId) -> Option<(Request, Option<f64>)>) {
        if !std::mem::take(&mut self.is_handover_due) {
            return;
        }
        let is_primary = self.workers.as_ref().is_none_or(WorkerPool::is_primary);
        if is_primary {
            // Other workers know of the successor what this one tells them.
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
            // Poll reports when a successor that is full can take more.
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

    /// Sends a connection to the successor; returns false if it could not be sent and is to be taken back.
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

/// Descriptors that two processes share.
impl EventLoop {
    /// Tells successors how many descriptors this process holds or may take, and keeps to that.
    pub(super) fn notify_successors(&mut self) {
        if !self.siblings.has_successor() {
            self.siblings.descriptor_allowance = None;
            return self.set_sibling_descriptors(0);
        }
        // Never raised: what is held beyond it for a moment, to reject clients, must not become the allowance.
        let last_allowance = self.siblings.descriptor_allowance.unwrap_or(usize::MAX);
        let allowance = self.descriptor_allowance().min(last_allowance);
        self.siblings.descriptor_allowance = Some(allowance);
        if let Some(successors) = &mut self.siblings.successors {
            if self.shutdown_started_at.is_some() {
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

    /// Descriptors that this process may hold beside another one: half of all, or what it holds if that is more. During a
    /// shutdown it takes no more than its remaining clients need.
    fn descriptor_allowance(&self) -> usize {
        self.proxy.publish_gauges();
        let sums = self.admin.as_ref().map(|admin| WorkerCounters::sum(&admin.counters)).unwrap_or_default();
        let limit = self.proxy.settings.max_descriptors * self.worker_count();
        let in_use = RESERVED_FOR_PROCESS * self.worker_count()
            + sums.descriptors
            + 2 * self.connections_in_transfer();
        let half = if self.shutdown_started_at.is_some() { 0 } else { limit / 2 };
        in_use.max(half).min(limit)
    }

    /// Deducts the descriptors of another process from the limits of all workers.
    fn set_sibling_descriptors(&mut self, descriptors: usize) {
        let per_worker = descriptors / self.worker_count();
        self.broadcast(|_| WorkerMessage::DescriptorsHeldBySiblings(per_worker));
        self.proxy.set_sibling_descriptors(per_worker);
    }

    /// The endpoint list as it is now, in discovery's form.
    fn endpoint_list(&self) -> EndpointList {
        let endpoints = self.proxy.servers.endpoints(&self.proxy.settings.names);
        EndpointList { index: self.discovery.index(), snapshot: true, endpoints }
    }
}
