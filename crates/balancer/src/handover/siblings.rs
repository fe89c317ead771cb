//! While two processes of one balancer run: what each may take, so that together they keep to what one may.

use std::collections::VecDeque;
use std::net::SocketAddr;

use shorewharf_decisions::interface::{Request, RequestId};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_recovery::memory::Learned;
use shorewharf_units::Micros;
use tracing::warn;

use crate::admin::counters::Counts;
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
    pub fn shares_anew(&mut self) -> Option<bool> {
        let shares = self.kin.shares(self.leaving.is_some());
        (std::mem::replace(&mut self.kin.shared, shares) != shares).then_some(shares)
    }

    /// Whether two processes take clients, by what was asked last.
    pub fn shares(&self) -> bool {
        self.kin.shared
    }

    /// The loop has seen something of another process.
    pub fn kin_ready(&mut self, owner: EventSource) {
        let poller = &self.turn.poller;
        match owner {
            EventSource::Successor(number) => {
                let now = self.turn.now;
                self.kin.successors.iter_mut().for_each(|successors| successors.ready(poller, now, number));
                // There may be room for more to go along.
                self.hands_over |= self.leaving.is_some();
            }
            _ => {
                let Some(predecessor) = &mut self.kin.predecessor else { return };
                let stays = predecessor.ready();
                for handed in predecessor.taken(!stays) {
                    let from = handed.0.client;
                    self.takes_over(handed, from);
                }
                if !stays {
                    self.kin.predecessor = None;
                }
                let others = self.kin.predecessor.as_ref().map_or(0, |predecessor| predecessor.held);
                self.others_hold(others);
            }
        }
        self.successors_change();
    }

    /// Other processes ask for what this one leaves; `memory` tells what the module knows.
    pub fn successors_ask(&mut self, memory: impl FnOnce() -> Vec<Learned>) {
        let estate = HandoverState {
            version: VERSION,
            listeners: 0,
            held: self.may_hold(),
            known: self.listing(),
            memory: memory(),
            taken: self.turn.now,
        };
        if let Some(successors) = &mut self.kin.successors {
            successors.comes(&self.turn.poller, || estate.clone());
        }
        self.successors_change();
    }

    /// Hears successors before a planned end: one that serves has said so before this process was told to end.
    pub fn hears_successors(&mut self) {
        let poller = &self.turn.poller;
        let now = self.turn.now;
        self.kin.successors.iter_mut().for_each(|successors| successors.hears_all(poller, now));
        self.successors_change();
    }

    /// A standing connection goes on here: at this worker, or at another one that has fewer.
    fn takes_over(&mut self, handed: TransferredConnection, from: SocketAddr) {
        let (now, clients) = (self.turn.now, self.serving.clients());
        let better = self.crew.as_ref().and_then(|crew| Some((crew, crew.less_loaded_worker(now, clients)?)));
        let left = match better {
            Some((crew, who)) => match crew.send(who, WorkerMessage::AdoptConnection(Box::new(handed))) {
                Err(WorkerMessage::AdoptConnection(handed)) => Some(*handed),
                _ => None,
            },
            None => Some(handed),
        };
        if let Some(handed) = left {
            self.stands_here(handed, from);
        }
    }

    /// A standing connection goes on here.
    pub fn stands_here(&mut self, handed: TransferredConnection, from: SocketAddr) {
        if !self.serving.take_over(&mut self.turn, handed) {
            warn!(event = "not-taken-over", client = %from);
        }
    }

    /// Whether more may have come from the old process than was taken in.
    pub fn kin_is_busy(&self) -> bool {
        self.hands_over || self.kin.predecessor.as_ref().is_some_and(|predecessor| predecessor.more)
    }

    /// Standing connections that are on their way to another process, or wait for that.
    pub fn on_their_way(&self) -> usize {
        self.kin.going.len() + self.kin.successors.as_ref().map_or(0, Successors::on_their_way)
    }

    fn successors_change(&mut self) {
        let back = self.kin.successors.as_mut().map(Successors::take_back).unwrap_or_default();
        for handed in back {
            let from = handed.0.client;
            self.stands_here(handed, from);
        }
        let has = self.kin.has_successor();
        if !has {
            for handed in std::mem::take(&mut self.kin.going) {
                let from = handed.0.client;
                self.stands_here(handed, from);
            }
        }
        if has != self.serving.has_successor {
            self.tell_others(|_| WorkerMessage::SuccessorServing(has));
            self.has_successor(has);
        }
        if has && self.kin.may_hold.is_none() {
            self.tells_successors();
        }
        if self.leaving.is_none() && self.kin.successors.as_ref().is_some_and(Successors::ends_this) {
            self.tell_others(|_| WorkerMessage::Shutdown);
            self.stop_soon();
        }
    }

    /// Another process takes clients in this one's place, or no longer: it may have died, and who waits at the listener
    /// is this one's again.
    pub fn has_successor(&mut self, has: bool) {
        self.serving.has_successor = has;
        if !has {
            self.accepts_again();
        }
    }

    /// What this process holds or may take, told to its successors, and kept to.
    pub fn tells_successors(&mut self) {
        if !self.kin.has_successor() {
            self.kin.may_hold = None;
            return self.others_hold(0);
        }
        // Only ever less: what it holds at times beyond that, to turn clients away, is not to become its own.
        let may = self.may_hold().min(self.kin.may_hold.unwrap_or(usize::MAX));
        self.kin.may_hold = Some(may);
        if let Some(successors) = &mut self.kin.successors {
            if self.leaving.is_some() {
                successors.tell(&[LEAVES, b"\n"].concat());
            }
            successors.tell(held(may).as_bytes());
        }
        self.others_hold(self.serving.terms.sockets * self.workers() - may);
        self.turn.after(TELL, TimerEvent::Kin);
    }

    /// Hands standing connections to the process in this one's place, a portion of them. `module` tells what the module has
    /// of one. Workers but the first, which alone knows that process, give theirs to it.
    pub fn hands_over(&mut self, module: impl Fn(RequestId) -> Option<(Request, Option<f64>)>) {
        if !std::mem::take(&mut self.hands_over) {
            return;
        }
        let now = self.turn.now;
        let leads = self.crew.as_ref().is_none_or(WorkerPool::is_primary);
        if leads {
            // What other workers know of that process they know from this one.
            self.kin.successors.iter_mut().for_each(|successors| successors.look_after(now));
            self.successors_change();
        }
        if !self.serving.has_successor {
            return;
        }
        let can: Vec<_> = self.serving.can_go();
        let mut can = can.into_iter();
        for _ in 0..PORTION {
            // What waits for room there is told by the loop.
            if leads && !self.kin.successors.as_mut().is_some_and(Successors::can_hand_over) {
                return;
            }
            let mut own = |net: &mut EventLoop| {
                can.by_ref().find_map(|id| net.serving.goes(&mut net.turn, id, module(id)?))
            };
            let Some(handed) = self.kin.going.pop_front().or_else(|| own(self)) else { return };
            let from = handed.0.client;
            match (&mut self.kin.successors, &self.crew) {
                (Some(successors), _) if leads => {
                    if !successors.hand_over(now, handed) {
                        return self.successors_change();
                    }
                }
                (_, Some(crew)) => {
                    if let Err(WorkerMessage::TransferToSuccessor(handed)) =
                        crew.send(0, WorkerMessage::TransferToSuccessor(Box::new(handed)))
                    {
                        self.stands_here(*handed, from);
                    }
                }
                _ => self.stands_here(handed, from),
            }
        }
        self.hands_over = true;
    }

    /// Another worker's standing connection is to go on in the process in this one's place.
    pub fn goes_along(&mut self, handed: TransferredConnection) {
        if self.serving.has_successor {
            self.kin.going.push_back(handed);
            self.hands_over = true;
        } else {
            let from = handed.0.client;
            self.stands_here(handed, from);
        }
    }

    fn workers(&self) -> usize {
        self.crew.as_ref().map_or(1, WorkerPool::worker_count)
    }

    /// Descriptors that this process may hold beside another one: half of all, or what it has if that is more. One that
    /// ends takes no more than those who wait still need.
    fn may_hold(&self) -> usize {
        self.serving.note_held();
        let sums = self.desk.as_ref().map(|desk| Counts::of_all(&desk.counts)).unwrap_or_default();
        let limit = self.serving.terms.sockets * self.workers();
        let holds = OWN_DESCRIPTORS * self.workers() + sums.descriptors + 2 * self.on_their_way();
        let half = if self.leaving.is_some() { 0 } else { limit / 2 };
        holds.max(half).min(limit)
    }

    /// Another process holds so many descriptors of those that are allowed.
    fn others_hold(&mut self, descriptors: usize) {
        let each = descriptors / self.workers();
        self.tell_others(|_| WorkerMessage::DescriptorsHeldBySiblings(each));
        self.serving.others_hold(each);
    }

    /// The list as it stands, in discovery's form.
    fn listing(&self) -> EndpointList {
        let endpoints = self.serving.servers.endpoints(&self.serving.terms.names);
        EndpointList { index: self.discovery.index(), snapshot: true, endpoints }
    }
}
