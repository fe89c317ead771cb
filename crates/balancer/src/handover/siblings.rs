//! While two processes of one balancer run: what each may take, so that together they keep to what one may.

use std::collections::VecDeque;
use std::net::SocketAddr;

use shorewharf_decisions::interface::{Request, RequestId};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_recovery::memory::Learned;
use shorewharf_units::Micros;
use tracing::warn;

use crate::admin::counters::WorkerCounters;
use crate::event_loop::hub::EventLoop;
use crate::event_loop::iteration::TimerEvent;
use crate::event_loop::poll::EventSource;
use crate::handover::messages::{HandoverState, LEAVES, TransferredConnection, VERSION, held};
use crate::handover::predecessor::Predecessor;
use crate::handover::successors::Successors;
use crate::overload::descriptor_budget::OWN_DESCRIPTORS;
use crate::workers::pool::{WorkerMessage, WorkerPool};

/// How often the old process tells what it holds: as its clients leave, the new one may take more.
const TELL: Micros = 100_000;
/// Standing connections that go along in one turn: those that stay, or wait for their turn to go, are not held up.
const PORTION: usize = 64;

/// The other processes of this balancer, as far as they are there.
#[derive(Debug, Default)]
pub struct SiblingProcesses {
    /// Where a new one asks; nowhere without a folder in common.
    pub successors: Option<Successors>,
    /// The old one.
    pub predecessor: Option<Predecessor>,
    /// Two processes take clients, by what was put in force last.
    shared: bool,
    /// Descriptors that this process may hold beside a successor, by what it was told last.
    may_hold: Option<usize>,
    /// Other workers' standing connections that are to go along.
    going: VecDeque<TransferredConnection>,
}

impl SiblingProcesses {
    /// Those that are there at the start.
    pub fn new(successors: Option<Successors>, predecessor: Option<Predecessor>) -> Self {
        SiblingProcesses { successors, predecessor, ..SiblingProcesses::default() }
    }

    /// Whether another process has taken this one's place.
    pub fn has_successor(&self) -> bool {
        self.successors.as_ref().is_some_and(Successors::has_one)
    }

    /// Whether two processes take clients now.
    fn shares(&self, leaving: bool) -> bool {
        (self.has_successor() && !leaving) || self.predecessor.as_ref().is_some_and(|f| !f.leaves)
    }
}

impl EventLoop {
    /// Whether two processes of this balancer take clients now, where that is to be put in force anew.
    pub fn update_sharing(&mut self) -> Option<bool> {
        let shares = self.siblings.shares(self.shutdown_started_at.is_some());
        (std::mem::replace(&mut self.siblings.shared, shares) != shares).then_some(shares)
    }

    /// Whether two processes take clients, by what was asked last.
    pub fn shares_limits(&self) -> bool {
        self.siblings.shared
    }

    /// The loop has seen something of another process.
    pub fn on_sibling_ready(&mut self, owner: EventSource) {
        let poller = &self.turn.poller;
        match owner {
            EventSource::Successor(number) => {
                let now = self.turn.now;
                self.siblings
                    .successors
                    .iter_mut()
                    .for_each(|successors| successors.ready(poller, now, number));
                // There may be room for more to go along.
                self.has_connections_to_transfer |= self.shutdown_started_at.is_some();
            }
            _ => {
                let Some(predecessor) = &mut self.siblings.predecessor else { return };
                let stays = predecessor.ready();
                for handed in predecessor.taken(!stays) {
                    let from = handed.0.client;
                    self.place_connection(handed, from);
                }
                if !stays {
                    self.siblings.predecessor = None;
                }
                let others = self.siblings.predecessor.as_ref().map_or(0, |predecessor| predecessor.held);
                self.set_descriptors_held_by_siblings(others);
            }
        }
        self.on_successors_changed();
    }

    /// Other processes ask for what this one leaves; `memory` tells what the module knows.
    pub fn accept_successors(&mut self, memory: impl FnOnce() -> Vec<Learned>) {
        let estate = HandoverState {
            version: VERSION,
            listeners: 0,
            held: self.descriptor_allowance(),
            known: self.endpoint_list(),
            memory: memory(),
            taken: self.turn.now,
        };
        if let Some(successors) = &mut self.siblings.successors {
            successors.comes(&self.turn.poller, || estate.clone());
        }
        self.on_successors_changed();
    }

    /// Hears successors before a planned end: one that serves has said so before this process was told to end.
    pub fn receive_from_successors(&mut self) {
        let poller = &self.turn.poller;
        let now = self.turn.now;
        self.siblings.successors.iter_mut().for_each(|successors| successors.hears_all(poller, now));
        self.on_successors_changed();
    }

    /// A standing connection goes on here: at this worker, or at another one that has fewer.
    fn place_connection(&mut self, handed: TransferredConnection, from: SocketAddr) {
        let (now, clients) = (self.turn.now, self.serving.clients());
        let better =
            self.worker_pool.as_ref().and_then(|crew| Some((crew, crew.less_loaded_worker(now, clients)?)));
        let left = match better {
            Some((crew, who)) => match crew.send(who, WorkerMessage::AdoptConnection(Box::new(handed))) {
                Err(WorkerMessage::AdoptConnection(handed)) => Some(*handed),
                _ => None,
            },
            None => Some(handed),
        };
        if let Some(handed) = left {
            self.adopt_connection(handed, from);
        }
    }

    /// A standing connection goes on here.
    pub fn adopt_connection(&mut self, handed: TransferredConnection, from: SocketAddr) {
        if !self.serving.take_over(&mut self.turn, handed) {
            warn!(event = "not-taken-over", client = %from);
        }
    }

    /// Whether more may have come from the old process than was taken in.
    pub fn has_sibling_work(&self) -> bool {
        self.has_connections_to_transfer
            || self.siblings.predecessor.as_ref().is_some_and(|predecessor| predecessor.more)
    }

    /// Standing connections that are on their way to another process, or wait for that.
    pub fn connections_in_transit(&self) -> usize {
        self.siblings.going.len() + self.siblings.successors.as_ref().map_or(0, Successors::on_their_way)
    }

    fn on_successors_changed(&mut self) {
        let back = self.siblings.successors.as_mut().map(Successors::take_back).unwrap_or_default();
        for handed in back {
            let from = handed.0.client;
            self.adopt_connection(handed, from);
        }
        let has = self.siblings.has_successor();
        if !has {
            for handed in std::mem::take(&mut self.siblings.going) {
                let from = handed.0.client;
                self.adopt_connection(handed, from);
            }
        }
        if has != self.serving.has_successor {
            self.broadcast(|_| WorkerMessage::SuccessorServing(has));
            self.set_successor_serving(has);
        }
        if has && self.siblings.may_hold.is_none() {
            self.announce_descriptors();
        }
        if self.shutdown_started_at.is_none()
            && self.siblings.successors.as_ref().is_some_and(Successors::ends_this)
        {
            self.broadcast(|_| WorkerMessage::Shutdown);
            self.stop_soon();
        }
    }

    /// Another process takes clients in this one's place, or no longer: it may have died, and who waits at the listener
    /// is this one's again.
    pub fn set_successor_serving(&mut self, has: bool) {
        self.serving.has_successor = has;
        if !has {
            self.accepts_again();
        }
    }

    /// What this process holds or may take, told to its successors, and kept to.
    pub fn announce_descriptors(&mut self) {
        if !self.siblings.has_successor() {
            self.siblings.may_hold = None;
            return self.set_descriptors_held_by_siblings(0);
        }
        // Only ever less: what it holds at times beyond that, to turn clients away, is not to become its own.
        let may = self.descriptor_allowance().min(self.siblings.may_hold.unwrap_or(usize::MAX));
        self.siblings.may_hold = Some(may);
        if let Some(successors) = &mut self.siblings.successors {
            if self.shutdown_started_at.is_some() {
                successors.tell(&[LEAVES, b"\n"].concat());
            }
            successors.tell(held(may).as_bytes());
        }
        self.set_descriptors_held_by_siblings(self.serving.terms.sockets * self.worker_count() - may);
        self.turn.after(TELL, TimerEvent::AnnounceDescriptors);
    }

    /// Hands standing connections to the process in this one's place, a portion of them. `module` tells what the module has
    /// of one. Workers but the first, which alone knows that process, give theirs to it.
    pub fn transfer_connections(&mut self, module: impl Fn(RequestId) -> Option<(Request, Option<f64>)>) {
        if !std::mem::take(&mut self.has_connections_to_transfer) {
            return;
        }
        let now = self.turn.now;
        let leads = self.worker_pool.as_ref().is_none_or(WorkerPool::is_primary);
        if leads {
            // What other workers know of that process they know from this one.
            self.siblings.successors.iter_mut().for_each(|successors| successors.look_after(now));
            self.on_successors_changed();
        }
        if !self.serving.has_successor {
            return;
        }
        let can: Vec<_> = self.serving.can_go();
        let mut can = can.into_iter();
        for _ in 0..PORTION {
            // What waits for room there is told by the loop.
            if leads && !self.siblings.successors.as_mut().is_some_and(Successors::can_hand_over) {
                return;
            }
            let mut own = |net: &mut EventLoop| {
                can.by_ref().find_map(|id| net.serving.goes(&mut net.turn, id, module(id)?))
            };
            let Some(handed) = self.siblings.going.pop_front().or_else(|| own(self)) else { return };
            let from = handed.0.client;
            match (&mut self.siblings.successors, &self.worker_pool) {
                (Some(successors), _) if leads => {
                    if !successors.hand_over(now, handed) {
                        return self.on_successors_changed();
                    }
                }
                (_, Some(crew)) => {
                    if let Err(WorkerMessage::TransferToSuccessor(handed)) =
                        crew.send(0, WorkerMessage::TransferToSuccessor(Box::new(handed)))
                    {
                        self.adopt_connection(*handed, from);
                    }
                }
                _ => self.adopt_connection(handed, from),
            }
        }
        self.has_connections_to_transfer = true;
    }

    /// Another worker's standing connection is to go on in the process in this one's place.
    pub fn queue_for_successor(&mut self, handed: TransferredConnection) {
        if self.serving.has_successor {
            self.siblings.going.push_back(handed);
            self.has_connections_to_transfer = true;
        } else {
            let from = handed.0.client;
            self.adopt_connection(handed, from);
        }
    }

    fn worker_count(&self) -> usize {
        self.worker_pool.as_ref().map_or(1, WorkerPool::worker_count)
    }

    /// Descriptors that this process may hold beside another one: half of all, or what it has if that is more. One that
    /// ends takes no more than those who wait still need.
    fn descriptor_allowance(&self) -> usize {
        self.serving.note_held();
        let sums = self.admin.as_ref().map(|desk| WorkerCounters::of_all(&desk.counts)).unwrap_or_default();
        let limit = self.serving.terms.sockets * self.worker_count();
        let holds =
            OWN_DESCRIPTORS * self.worker_count() + sums.descriptors + 2 * self.connections_in_transit();
        let half = if self.shutdown_started_at.is_some() { 0 } else { limit / 2 };
        holds.max(half).min(limit)
    }

    /// Another process holds so many descriptors of those that are allowed.
    fn set_descriptors_held_by_siblings(&mut self, descriptors: usize) {
        let each = descriptors / self.worker_count();
        self.broadcast(|_| WorkerMessage::DescriptorsHeldBySiblings(each));
        self.serving.others_hold(each);
    }

    /// The list as it stands, in discovery's form.
    fn endpoint_list(&self) -> EndpointList {
        let endpoints = self.serving.servers.endpoints(&self.serving.terms.names);
        EndpointList { index: self.discovery.index(), snapshot: true, endpoints }
    }
}
