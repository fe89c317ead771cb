//! Hands this process's connections over to a successor, takes those of a predecessor, and divides the descriptors between
//! the processes while both run.

use shorewharf_decisions::interface::{Request, RequestId};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_recovery::memory::Learned;
use shorewharf_units::Micros;
use tracing::warn;

use super::hub::EventLoop;
use super::iteration::TimerEvent;
use super::poll::EventSource;
use crate::admin::counters::WorkerCounters;
use crate::handover::messages::{HandoverState, PredecessorMessage, TransferredConnection, VERSION};
use crate::handover::successors::Successors;
use crate::overload::descriptor_budget::OWN_DESCRIPTORS;
use crate::workers::pool::{WorkerMessage, WorkerPool};

/// How often a draining process announces the descriptors that it holds: as its clients leave, the successor may use more.
const ANNOUNCE_INTERVAL: Micros = 100_000;
/// Connections transferred in one iteration, so that the others are not held up.
const MAX_TRANSFERS_PER_ITERATION: usize = 64;

impl EventLoop {
    /// Updates whether two processes of this balancer accept clients; returns whether that has changed.
    pub fn update_sharing(&mut self) -> bool {
        let shares = self.siblings.are_two_accepting(self.shutdown_started_at.is_some());
        std::mem::replace(&mut self.siblings.shares_limits, shares) != shares
    }

    /// Whether two processes of this balancer accept clients, by the last update.
    pub fn shares_limits(&self) -> bool {
        self.siblings.shares_limits
    }

    /// The socket of another process is ready.
    pub fn on_sibling_ready(&mut self, source: EventSource) {
        if let EventSource::Successor(number) = source {
            if let Some(successors) = &mut self.siblings.successors {
                successors.on_ready(&self.turn.poller, self.turn.now, number);
            }
            // It may take more connections now.
            self.has_connections_to_transfer |= self.shutdown_started_at.is_some();
            self.on_successors_changed();
        } else if self.siblings.predecessor.is_some() {
            self.receive_from_predecessor();
            self.on_successors_changed();
        }
    }

    fn receive_from_predecessor(&mut self) {
        let Some(predecessor) = &mut self.siblings.predecessor else { return };
        let is_running = predecessor.receive();
        for connection in predecessor.take_connections(!is_running) {
            self.place_connection(connection);
        }
        if !is_running {
            self.siblings.predecessor = None;
        }
        let descriptors = self.siblings.predecessor.as_ref().map_or(0, |predecessor| predecessor.descriptors);
        self.set_descriptors_held_by_siblings(descriptors);
    }

    /// Accepts processes that connect to replace this one, and sends them its state. `export` returns what the decisions have
    /// learned.
    pub fn accept_successors(&mut self, export: impl FnOnce() -> Vec<Learned>) {
        let state = HandoverState {
            version: VERSION,
            listener_count: 0,
            descriptors: self.descriptor_allowance(),
            endpoints: self.endpoint_list(),
            learned: export(),
            exported_at: self.turn.now,
        };
        if let Some(successors) = &mut self.siblings.successors {
            successors.accept(&self.turn.poller, || state.clone());
        }
        self.on_successors_changed();
    }

    /// Receives what successors have sent before a shutdown begins: one that serves has said so before it.
    pub fn receive_from_successors(&mut self) {
        if let Some(successors) = &mut self.siblings.successors {
            successors.receive_all(&self.turn.poller, self.turn.now);
        }
        self.on_successors_changed();
    }

    /// Gives a connection from another process to this worker, or to one that holds far fewer.
    fn place_connection(&mut self, connection: TransferredConnection) {
        let (now, clients) = (self.turn.now, self.serving.clients());
        if let Some(pool) = &self.worker_pool
            && let Some(index) = pool.less_loaded_worker(now, clients)
        {
            let message = WorkerMessage::AdoptConnection(Box::new(connection));
            if let Err(WorkerMessage::AdoptConnection(connection)) = pool.send(index, message) {
                self.adopt_connection(*connection);
            }
            return;
        }
        self.adopt_connection(connection);
    }

    /// Goes on with a connection from another process at this worker.
    pub fn adopt_connection(&mut self, connection: TransferredConnection) {
        let client = connection.state.client;
        if !self.serving.take_over(&mut self.turn, connection) {
            warn!(event = "not-taken-over", %client);
        }
    }

    /// Whether connections are waiting to be transferred, or to be received.
    pub fn has_sibling_work(&self) -> bool {
        let predecessor = self.siblings.predecessor.as_ref();
        self.has_connections_to_transfer || predecessor.is_some_and(|predecessor| predecessor.has_more)
    }

    /// Connections on their way to another process, or waiting for that.
    pub fn connections_in_transit(&self) -> usize {
        self.siblings.connections_in_transit()
    }

    /// Applies what successors have said, or that they are gone.
    fn on_successors_changed(&mut self) {
        let successors = self.siblings.successors.as_mut();
        for connection in successors.map(Successors::take_returned).unwrap_or_default() {
            self.adopt_connection(connection);
        }
        let is_serving = self.siblings.has_serving_successor();
        if !is_serving {
            for connection in std::mem::take(&mut self.siblings.outgoing) {
                self.adopt_connection(connection);
            }
        }
        if is_serving != self.serving.has_successor {
            self.broadcast(|_| WorkerMessage::SuccessorServing(is_serving));
            self.set_successor_serving(is_serving);
        }
        if is_serving && self.siblings.announced_descriptors.is_none() {
            self.announce_descriptors();
        }
        if self.shutdown_started_at.is_none() && self.siblings.wants_termination() {
            self.broadcast(|_| WorkerMessage::Shutdown);
            self.stop_soon();
        }
    }

    /// Another process accepts clients in place of this one, or no longer: if it has died, the clients that wait at the
    /// listener are this process's again.
    pub fn set_successor_serving(&mut self, is_serving: bool) {
        self.serving.has_successor = is_serving;
        if !is_serving {
            self.accepts_again();
        }
    }

    /// Announces to successors how many descriptors this process holds or may still open, and keeps to that.
    pub fn announce_descriptors(&mut self) {
        if !self.siblings.has_serving_successor() {
            self.siblings.announced_descriptors = None;
            self.set_descriptors_held_by_siblings(0);
            return;
        }
        // Never more than before: descriptors held for a moment to reject clients must not become its own.
        let announced = self.siblings.announced_descriptors.unwrap_or(usize::MAX);
        let allowance = self.descriptor_allowance().min(announced);
        self.siblings.announced_descriptors = Some(allowance);
        if let Some(successors) = &mut self.siblings.successors {
            if self.shutdown_started_at.is_some() {
                successors.broadcast(&PredecessorMessage::Draining);
            }
            successors.broadcast(&PredecessorMessage::Descriptors(allowance));
        }
        let limit = self.serving.terms.sockets * self.worker_count();
        self.set_descriptors_held_by_siblings(limit - allowance);
        self.turn.after(ANNOUNCE_INTERVAL, TimerEvent::AnnounceDescriptors);
    }

    /// Transfers a number of connections to the successor. `request_of` returns what the decisions know of one. Other workers
    /// than the primary, which alone knows the successor, pass theirs to it.
    pub fn transfer_connections(&mut self, request_of: impl Fn(RequestId) -> Option<(Request, Option<f64>)>) {
        if !std::mem::take(&mut self.has_connections_to_transfer) {
            return;
        }
        let is_primary = self.worker_pool.as_ref().is_none_or(WorkerPool::is_primary);
        if is_primary {
            if let Some(successors) = &mut self.siblings.successors {
                successors.check_stalled(self.turn.now);
            }
            self.on_successors_changed();
        }
        if !self.serving.has_successor {
            return;
        }
        let mut transferable = self.serving.can_go().into_iter();
        for _ in 0..MAX_TRANSFERS_PER_ITERATION {
            // Once the successor can take more, its socket becomes writable.
            if is_primary && !self.siblings.successors.as_mut().is_some_and(Successors::can_transfer) {
                return;
            }
            let connection = self.siblings.outgoing.pop_front().or_else(|| {
                transferable.find_map(|id| self.serving.goes(&mut self.turn, id, request_of(id)?))
            });
            let Some(connection) = connection else { return };
            if !self.transfer(connection, is_primary) {
                self.on_successors_changed();
                return;
            }
        }
        self.has_connections_to_transfer = true;
    }

    /// Transfers one connection; returns whether the successor can take more.
    fn transfer(&mut self, connection: TransferredConnection, is_primary: bool) -> bool {
        match (&mut self.siblings.successors, &self.worker_pool) {
            (Some(successors), _) if is_primary => return successors.transfer(self.turn.now, connection),
            (_, Some(pool)) => {
                let message = WorkerMessage::TransferToSuccessor(Box::new(connection));
                if let Err(WorkerMessage::TransferToSuccessor(connection)) = pool.send(0, message) {
                    self.adopt_connection(*connection);
                }
            }
            _ => self.adopt_connection(connection),
        }
        true
    }

    /// Queues a connection of another worker for the successor.
    pub fn queue_for_successor(&mut self, connection: TransferredConnection) {
        if self.serving.has_successor {
            self.siblings.outgoing.push_back(connection);
            self.has_connections_to_transfer = true;
        } else {
            self.adopt_connection(connection);
        }
    }

    fn worker_count(&self) -> usize {
        self.worker_pool.as_ref().map_or(1, WorkerPool::worker_count)
    }

    /// Descriptors that this process may hold beside another one: half of all, or what it holds if that is more. During a
    /// shutdown it may only keep what it holds.
    fn descriptor_allowance(&self) -> usize {
        self.serving.note_held();
        let counters = self.admin.as_ref().map_or(&[][..], |admin| &admin.counters);
        let connections = WorkerCounters::sum(counters).descriptors;
        let limit = self.serving.terms.sockets * self.worker_count();
        let held = OWN_DESCRIPTORS * self.worker_count() + connections + 2 * self.connections_in_transit();
        let half = if self.shutdown_started_at.is_some() { 0 } else { limit / 2 };
        held.max(half).min(limit)
    }

    /// Other processes hold so many of the descriptors that this balancer may hold.
    fn set_descriptors_held_by_siblings(&mut self, descriptors: usize) {
        let per_worker = descriptors / self.worker_count();
        self.broadcast(|_| WorkerMessage::DescriptorsHeldBySiblings(per_worker));
        self.serving.others_hold(per_worker);
    }

    /// The endpoint list, as this worker has it.
    fn endpoint_list(&self) -> EndpointList {
        let endpoints = self.serving.servers.endpoints(&self.serving.terms.names);
        EndpointList { index: self.discovery.index(), snapshot: true, endpoints }
    }
}
