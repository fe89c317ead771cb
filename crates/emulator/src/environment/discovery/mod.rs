//! Discovery: one service for all balancers, which observes the nodes' processes late and serves calls and list updates
//! in order. [`registry`] holds the list and its versions, [`service_queue`] the calls and watchers.
//!
//! A call is rejected at once if it would be served too late, and even that costs a little work. A watch is a call
//! whose answer stays open: each new version of the list is work for every watcher, in the order of their numbers,
//! and what a watcher gets is the list as it stands when its turn comes: changes if it is one version behind, else
//! everything.

pub mod registry;
pub mod service_queue;

use rand_pcg::Pcg64Mcg;
use shorewharf_units::{Micros, micros_from_seconds};

use crate::day::{Day, Fault, FaultKind};
use crate::edge::{BalancerId, Listed, NodeId, ToBalancer};
use crate::environment::faults::NodeEvent;
use registry::{Process, Registry};
use service_queue::{Call, ServiceQueue};

/// How long the old address is served after a move.
const MOVE_GRACE: Micros = 1_500_000;

/// Discovery as one service.
#[derive(Clone, Debug)]
pub struct Discovery {
    registry: Registry,
    service_queue: ServiceQueue,
    /// Spells of being down that are on.
    down: u32,
    /// Watches opened before the second time end at the first.
    moves: Vec<(Micros, Micros)>,
}

impl Discovery {
    /// Discovery at the start of a day: it knows every node as it is.
    pub fn new(day: &Day, rng: Pcg64Mcg, desk_rng: Pcg64Mcg) -> Discovery {
        Discovery {
            registry: Registry::new(&day.discovery, day.nodes.iter().map(|n| n.up), rng),
            service_queue: ServiceQueue::new(&day.discovery, day.net.cross, day.balancers.len(), desk_rng),
            down: 0,
            moves: Vec::new(),
        }
    }

    /// Something happens to a node; what of it discovery can see, it learns late.
    pub fn node(&mut self, now: Micros, node: NodeId, what: NodeEvent) {
        use FaultKind::{CutOff, Hang};
        let seen = match what {
            NodeEvent::Crash | NodeEvent::Stop => Process::Ended,
            NodeEvent::Start => Process::Started,
            NodeEvent::Drain => Process::Draining,
            // Heartbeats stop with the process or with the machine's network; whatever else is wrong with a node,
            // its process runs, and more the list does not know.
            NodeEvent::Fault { kind: Hang | CutOff, on: true, .. } => Process::Silent,
            NodeEvent::Fault { kind: Hang | CutOff, on: false, .. } => Process::Reachable,
            NodeEvent::Fault { .. } => return,
        };
        self.registry.on_process_change(now, node, seen);
    }

    /// One of its own faults begins or ends.
    pub fn struck(&mut self, now: Micros, fault: &Fault, on: bool) {
        match (fault.kind, on) {
            (FaultKind::ListStale, true) => self.registry.begin_staleness(micros_from_seconds(fault.size)),
            (FaultKind::ListStale, false) => {
                self.registry.end_staleness(now, micros_from_seconds(fault.size));
            }
            (FaultKind::ListDown, true) => {
                self.down += 1;
                self.service_queue.shut_down(now);
            }
            (FaultKind::ListDown, false) => self.down = self.down.saturating_sub(1),
            (FaultKind::ListMoved, true) => self.moves.push((now + MOVE_GRACE, now)),
            _ => {}
        }
    }

    /// A balancer asks to watch the list; the answer comes as its first news.
    pub fn watch(&mut self, now: Micros, balancer: BalancerId) {
        self.calls(now, balancer, Call::Watch);
    }

    /// A balancer asks for the whole list, once.
    pub fn fetch(&mut self, now: Micros, balancer: BalancerId) {
        self.calls(now, balancer, Call::Fetch);
    }

    fn calls(&mut self, now: Micros, balancer: BalancerId, call: Call) {
        if self.down > 0 {
            self.service_queue.fail_call(now, balancer);
        } else {
            self.service_queue.enqueue_call(now, balancer, call, &self.registry);
        }
    }

    /// A balancer ends its watch.
    pub fn unwatch(&mut self, balancer: BalancerId) {
        self.service_queue.unwatch(balancer);
    }

    /// A balancer's process has ended: its watch and its calls are lost. What it had last is what it knows at its
    /// next start.
    pub fn ended(&mut self, balancer: BalancerId) {
        self.service_queue.on_balancer_exit(balancer);
    }

    /// The list that a balancer knows when it starts: the one it had last, which may be old.
    pub fn known_list(&self, balancer: BalancerId) -> Vec<Listed> {
        self.registry.full_list_at(self.service_queue.version_of(balancer))
    }

    /// The version that a balancer has been sent last; it only grows. The list at the day's start is version 0.
    pub fn version_of(&self, balancer: BalancerId) -> usize {
        self.service_queue.version_of(balancer)
    }

    /// The list as it is written now.
    pub fn list(&self) -> Vec<Listed> {
        self.registry.full_list()
    }

    /// When it is due next.
    pub fn next_due(&self) -> Option<Micros> {
        let moved = self.moves.iter().map(|m| m.0).min();
        [self.registry.next_due(), self.service_queue.next_due(), moved].into_iter().flatten().min()
    }

    /// Does all that is due up to `now`, in order of time. Hands out what reaches balancers (lists and failures) and
    /// what has been written into the list, for those who judge what could have been known.
    pub fn advance(
        &mut self,
        now: Micros,
        told: &mut Vec<(BalancerId, ToBalancer)>,
        written: &mut Vec<Listed>,
    ) {
        while let Some(at) = self.next_due().filter(|&at| at <= now) {
            if self.registry.next_due().is_some_and(|due| due <= at) && self.registry.advance(at) {
                self.service_queue.enqueue_updates(at, &self.registry);
                written.extend(self.registry.latest_changes());
            }
            while let Some(place) = self.moves.iter().position(|m| m.0 <= at) {
                let (_, since) = self.moves.swap_remove(place);
                self.service_queue.break_watches(at, since);
            }
            self.service_queue.advance(at, &self.registry, told);
        }
    }
}
