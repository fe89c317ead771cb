//! The part of the event loop that follows other processes of this balancer: its successors and its
//! predecessor.

use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_recovery::snapshot_state::SnapshotEntry;

use crate::event_loop::dispatch::EventLoop;
use crate::event_loop::poll::EventSource;
use crate::handover::messages::{HandoverState, VERSION};
use crate::handover::successors::Successors;
use crate::workers::pool::WorkerMessage;

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
            self.claim_transferred(&transferred);
            self.assign_transferred(transferred);
        }
        self.apply_sibling_ids();
        if !is_connected {
            self.siblings.predecessor = None;
            self.release_predecessor_ids();
        }
        self.set_sibling_descriptors(self.siblings.predecessor_descriptors());
        true
    }

    /// Accepts new processes of this balancer and sends each the state to hand over. `export_state` returns
    /// the learned state of the decisions.
    pub fn on_successors_connecting(&mut self, export_state: impl FnOnce() -> Vec<SnapshotEntry>) {
        // From here on, changes of the ids are recorded for the new process.
        self.open_ids.changes().set_has_siblings(true);
        let change_count = self.open_ids.changes().count();
        let offer = HandoverState {
            version: VERSION,
            listener_count: 0,
            descriptors: self.descriptor_allowance(),
            endpoints: self.endpoint_list(),
            learned: export_state(),
            exported_at: self.context.now,
            open_ids: self.open_ids.open(),
            retained_ids: self.open_ids.retained(),
            syncs_ids: true,
        };
        if let Some(successors) = &mut self.siblings.successors {
            successors.accept(&self.context.registry, change_count, || offer.clone());
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

    pub(super) fn on_successors_changed(&mut self) {
        if self.is_primary() {
            self.apply_sibling_ids();
        }
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
        let requests_termination =
            self.siblings.successors.as_ref().is_some_and(Successors::requests_termination);
        if !self.is_shutting_down() && requests_termination {
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

    /// The current endpoint list, in discovery's format.
    fn endpoint_list(&self) -> EndpointList {
        let endpoints = self.proxy.servers.endpoints(&self.proxy.settings.names);
        EndpointList { index: self.discovery.index(), snapshot: true, endpoints }
    }
}
