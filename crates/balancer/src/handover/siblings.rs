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
use crate::handover::messages::{Estate, Handed, LEAVES, VERSION, held};
use crate::handover::predecessor::Predecessor;
use crate::handover::successors::Successors;
use crate::overload::descriptor_budget::OWN_DESCRIPTORS;
use crate::workers::pool::{Crew, Order};

/// How often the old process tells what it holds: as its clients leave, the new one may take more.
const TELL: Micros = 100_000;
/// Standing connections that go along in one turn: those that stay, or wait for their turn to go, are not held up.
const PORTION: usize = 64;

/// The other processes of this balancer, as far as they are there.
#[derive(Debug, Default)]
pub struct Kin {
    /// Where a new one asks; nowhere without a folder in common.
    pub successors: Option<Successors>,
    /// The old one.
    pub predecessor: Option<Predecessor>,
    /// Two processes take clients, by what was put in force last.
    shared: bool,
    /// Descriptors that this process may hold beside a successor, by what it was told last.
    may_hold: Option<usize>,
    /// Other workers' standing connections that are to go along.
    going: VecDeque<Handed>,
}

impl Kin {
    /// Those that are there at the start.
    pub fn new(successors: Option<Successors>, predecessor: Option<Predecessor>) -> Self {
        Kin { successors, predecessor, ..Kin::default() }
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
    pub fn take_sharing_change(&mut self) -> Option<bool> {
        let shares = self.siblings.shares(self.shutdown_started_at.is_some());
        (std::mem::replace(&mut self.siblings.shared, shares) != shares).then_some(shares)
    }

    /// Whether two processes take clients, by what was asked last.
    pub fn is_sharing_clients(&self) -> bool {
        self.siblings.shared
    }

    /// The loop has seen something of another process.
    pub fn on_sibling_ready(&mut self, owner: EventSource) {
        let poller = &self.context.registry;
        match owner {
            EventSource::Successor(number) => {
                let now = self.context.now;
                self.siblings
                    .successors
                    .iter_mut()
                    .for_each(|successors| successors.ready(poller, now, number));
                // There may be room for more to go along.
                self.is_handover_due |= self.shutdown_started_at.is_some();
            }
            _ => {
                let Some(predecessor) = &mut self.siblings.predecessor else { return };
                let stays = predecessor.ready();
                for handed in predecessor.taken(!stays) {
                    let from = handed.0.client;
                    self.place_transferred(handed, from);
                }
                if !stays {
                    self.siblings.predecessor = None;
                }
                let others = self.siblings.predecessor.as_ref().map_or(0, |predecessor| predecessor.held);
                self.set_sibling_descriptors(others);
            }
        }
        self.on_successors_changed();
    }

    /// Other processes ask for what this one leaves; `memory` tells what the module knows.
    pub fn on_successors_connecting(&mut self, memory: impl FnOnce() -> Vec<Learned>) {
        let estate = Estate {
            version: VERSION,
            listeners: 0,
            held: self.descriptor_allowance(),
            known: self.endpoint_list(),
            memory: memory(),
            taken: self.context.now,
        };
        if let Some(successors) = &mut self.siblings.successors {
            successors.comes(&self.context.registry, || estate.clone());
        }
        self.on_successors_changed();
    }

    /// Hears successors before a planned end: one that serves has said so before this process was told to end.
    pub fn poll_successors(&mut self) {
        let poller = &self.context.registry;
        let now = self.context.now;
        self.siblings.successors.iter_mut().for_each(|successors| successors.hears_all(poller, now));
        self.on_successors_changed();
    }

    /// A standing connection goes on here: at this worker, or at another one that has fewer.
    fn place_transferred(&mut self, handed: Handed, from: SocketAddr) {
        let (now, clients) = (self.context.now, self.proxy.client_count());
        let better = self.workers.as_ref().and_then(|crew| Some((crew, crew.better(now, clients)?)));
        let left = match better {
            Some((crew, who)) => match crew.tell(who, Order::Stands(Box::new(handed))) {
                Err(Order::Stands(handed)) => Some(*handed),
                _ => None,
            },
            None => Some(handed),
        };
        if let Some(handed) = left {
            self.adopt_transferred(handed, from);
        }
    }

    /// A standing connection goes on here.
    pub fn adopt_transferred(&mut self, handed: Handed, from: SocketAddr) {
        if !self.proxy.adopt_transferred(&mut self.context, handed) {
            warn!(event = "not-taken-over", client = %from);
        }
    }

    /// Whether more may have come from the old process than was taken in.
    pub fn has_sibling_work(&self) -> bool {
        self.is_handover_due || self.siblings.predecessor.as_ref().is_some_and(|predecessor| predecessor.more)
    }

    /// Standing connections that are on their way to another process, or wait for that.
    pub fn connections_in_transfer(&self) -> usize {
        self.siblings.going.len() + self.siblings.successors.as_ref().map_or(0, Successors::on_their_way)
    }

    fn on_successors_changed(&mut self) {
        let back = self.siblings.successors.as_mut().map(Successors::take_back).unwrap_or_default();
        for handed in back {
            let from = handed.0.client;
            self.adopt_transferred(handed, from);
        }
        let has = self.siblings.has_successor();
        if !has {
            for handed in std::mem::take(&mut self.siblings.going) {
                let from = handed.0.client;
                self.adopt_transferred(handed, from);
            }
        }
        if has != self.proxy.has_successor {
            self.broadcast(|_| Order::Successor(has));
            self.set_has_successor(has);
        }
        if has && self.siblings.may_hold.is_none() {
            self.notify_successors();
        }
        if self.shutdown_started_at.is_none()
            && self.siblings.successors.as_ref().is_some_and(Successors::ends_this)
        {
            self.broadcast(|_| Order::Stop);
            self.begin_shutdown();
        }
    }

    /// Another process takes clients in this one's place, or no longer: it may have died, and who waits at the listener
    /// is this one's again.
    pub fn set_has_successor(&mut self, has: bool) {
        self.proxy.has_successor = has;
        if !has {
            self.resume_accepting();
        }
    }

    /// What this process holds or may take, told to its successors, and kept to.
    pub fn notify_successors(&mut self) {
        if !self.siblings.has_successor() {
            self.siblings.may_hold = None;
            return self.set_sibling_descriptors(0);
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
        self.set_sibling_descriptors(self.proxy.settings.sockets * self.worker_count() - may);
        self.context.schedule_after(TELL, TimerEvent::NotifySuccessors);
    }

    /// Hands standing connections to the process in this one's place, a portion of them. `module` tells what the module has
    /// of one. Workers but the first, which alone knows that process, give theirs to it.
    pub fn hand_over_connections(&mut self, module: impl Fn(RequestId) -> Option<(Request, Option<f64>)>) {
        if !std::mem::take(&mut self.is_handover_due) {
            return;
        }
        let now = self.context.now;
        let leads = self.workers.as_ref().is_none_or(Crew::leads);
        if leads {
            // What other workers know of that process they know from this one.
            self.siblings.successors.iter_mut().for_each(|successors| successors.look_after(now));
            self.on_successors_changed();
        }
        if !self.proxy.has_successor {
            return;
        }
        let can: Vec<_> = self.proxy.transferable_connections();
        let mut can = can.into_iter();
        for _ in 0..PORTION {
            // What waits for room there is told by the loop.
            if leads && !self.siblings.successors.as_mut().is_some_and(Successors::can_hand_over) {
                return;
            }
            let mut own = |event_loop: &mut EventLoop| {
                can.by_ref().find_map(|id| {
                    event_loop.proxy.detach_for_transfer(&mut event_loop.context, id, module(id)?)
                })
            };
            let Some(handed) = self.siblings.going.pop_front().or_else(|| own(self)) else { return };
            let from = handed.0.client;
            match (&mut self.siblings.successors, &self.workers) {
                (Some(successors), _) if leads => {
                    if !successors.hand_over(now, handed) {
                        return self.on_successors_changed();
                    }
                }
                (_, Some(crew)) => {
                    if let Err(Order::GoesAlong(handed)) = crew.tell(0, Order::GoesAlong(Box::new(handed))) {
                        self.adopt_transferred(*handed, from);
                    }
                }
                _ => self.adopt_transferred(handed, from),
            }
        }
        self.is_handover_due = true;
    }

    /// Another worker's standing connection is to go on in the process in this one's place.
    pub fn queue_for_transfer(&mut self, handed: Handed) {
        if self.proxy.has_successor {
            self.siblings.going.push_back(handed);
            self.is_handover_due = true;
        } else {
            let from = handed.0.client;
            self.adopt_transferred(handed, from);
        }
    }

    fn worker_count(&self) -> usize {
        self.workers.as_ref().map_or(1, Crew::len)
    }

    /// Descriptors that this process may hold beside another one: half of all, or what it has if that is more. One that
    /// ends takes no more than those who wait still need.
    fn descriptor_allowance(&self) -> usize {
        self.proxy.publish_gauges();
        let sums = self.admin.as_ref().map(|desk| Counts::of_all(&desk.counts)).unwrap_or_default();
        let limit = self.proxy.settings.sockets * self.worker_count();
        let holds =
            OWN_DESCRIPTORS * self.worker_count() + sums.descriptors + 2 * self.connections_in_transfer();
        let half = if self.shutdown_started_at.is_some() { 0 } else { limit / 2 };
        holds.max(half).min(limit)
    }

    /// Another process holds so many descriptors of those that are allowed.
    fn set_sibling_descriptors(&mut self, descriptors: usize) {
        let each = descriptors / self.worker_count();
        self.broadcast(|_| Order::OthersHold(each));
        self.proxy.set_sibling_descriptors(each);
    }

    /// The list as it stands, in discovery's form.
    fn endpoint_list(&self) -> EndpointList {
        let endpoints = self.proxy.servers.endpoints(&self.proxy.settings.names);
        EndpointList { index: self.discovery.index(), snapshot: true, endpoints }
    }
}
