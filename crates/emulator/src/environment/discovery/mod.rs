//! Discovery: one service for all balancers, which observes the nodes' processes with a delay and serves
//! calls and list updates in order. [`registry`] holds the list and its versions, [`service_queue`] the calls
//! and watchers.
//!
//! A call that would be served too late is rejected at once, which also costs a little work. A watch is a
//! call whose response stays open: each new version of the list adds work for every watcher, in the order of
//! the balancers' indices. A watcher is sent the list as it is when the update is served: the changes if the
//! watcher is at most one version behind, else the full list.

pub mod registry;
pub mod service_queue;

use rand_pcg::Pcg64Mcg;
use shorewharf_units::{Micros, micros_from_seconds};

use crate::day::{Day, Fault, FaultKind};
use crate::edge::{BalancerId, Listed, NodeId, ToBalancer};
use crate::environment::faults::NodeEvent;
use registry::{Process, Registry};
use service_queue::{Call, ServiceQueue};

/// How long the old address is served after discovery has moved to another address.
const MOVE_GRACE: Micros = 1_500_000;

/// The discovery service.
#[derive(Clone, Debug)]
pub struct Discovery {
    registry: Registry,
    service_queue: ServiceQueue,
    /// The number of outages of the service that are active.
    active_outages: u32,
    /// Moves to another address: at the first time, watches opened up to the second time end.
    moves: Vec<(Micros, Micros)>,
}

impl Discovery {
    /// Creates the service at the start of a day, with the true state of every node.
    pub fn new(day: &Day, rng: Pcg64Mcg, queue_rng: Pcg64Mcg) -> Discovery {
        Discovery {
            registry: Registry::new(&day.discovery, day.nodes.iter().map(|n| n.up), rng),
            service_queue: ServiceQueue::new(&day.discovery, day.net.cross, day.balancers.len(), queue_rng),
            active_outages: 0,
            moves: Vec::new(),
        }
    }

    /// Handles an event of a node. Discovery observes, with a delay, only changes of the process and its
    /// reachability.
    pub fn on_node_event(&mut self, now: Micros, node: NodeId, what: NodeEvent) {
        use FaultKind::{CutOff, Hang};
        let change = match what {
            NodeEvent::Crash | NodeEvent::Stop => Process::Ended,
            NodeEvent::Start => Process::Started,
            NodeEvent::Drain => Process::Draining,
            // Heartbeats stop when the process hangs or its machine is cut off. With any other fault the
            // process still sends them, and the list shows nothing else.
            NodeEvent::Fault { kind: Hang | CutOff, on: true, .. } => Process::Silent,
            NodeEvent::Fault { kind: Hang | CutOff, on: false, .. } => Process::Reachable,
            NodeEvent::Fault { .. } => return,
        };
        self.registry.on_process_change(now, node, change);
    }

    /// Begins or ends a fault of discovery itself.
    pub fn apply_fault(&mut self, now: Micros, fault: &Fault, on: bool) {
        match (fault.kind, on) {
            (FaultKind::ListStale, true) => self.registry.begin_staleness(micros_from_seconds(fault.size)),
            (FaultKind::ListStale, false) => {
                self.registry.end_staleness(now, micros_from_seconds(fault.size));
            }
            (FaultKind::ListDown, true) => {
                self.active_outages += 1;
                self.service_queue.shut_down(now);
            }
            (FaultKind::ListDown, false) => self.active_outages = self.active_outages.saturating_sub(1),
            (FaultKind::ListMoved, true) => self.moves.push((now + MOVE_GRACE, now)),
            _ => {}
        }
    }

    /// Handles a balancer's call to watch the list; the first list update is the response.
    pub fn watch(&mut self, now: Micros, balancer: BalancerId) {
        self.call(now, balancer, Call::Watch);
    }

    /// Handles a balancer's call to get the full list once.
    pub fn fetch(&mut self, now: Micros, balancer: BalancerId) {
        self.call(now, balancer, Call::Fetch);
    }

    fn call(&mut self, now: Micros, balancer: BalancerId, call: Call) {
        if self.active_outages > 0 {
            self.service_queue.fail_call(now, balancer);
        } else {
            self.service_queue.enqueue_call(now, balancer, call, &self.registry);
        }
    }

    /// Ends a balancer's watch.
    pub fn unwatch(&mut self, balancer: BalancerId) {
        self.service_queue.unwatch(balancer);
    }

    /// Handles the end of a balancer's process: its watch and its calls are lost. At its next start it knows
    /// the list version that it was sent last.
    pub fn on_balancer_exit(&mut self, balancer: BalancerId) {
        self.service_queue.on_balancer_exit(balancer);
    }

    /// The list that a balancer knows when it starts: the version that it was sent last, which may be
    /// outdated.
    pub fn known_list(&self, balancer: BalancerId) -> Vec<Listed> {
        self.registry.full_list_at(self.service_queue.version_of(balancer))
    }

    /// The list version that a balancer was sent last, which never decreases. The list at the start of the
    /// day is version 0.
    pub fn version_of(&self, balancer: BalancerId) -> usize {
        self.service_queue.version_of(balancer)
    }

    /// The latest published list.
    pub fn list(&self) -> Vec<Listed> {
        self.registry.full_list()
    }

    /// The time of the next event.
    pub fn next_due(&self) -> Option<Micros> {
        let next_move = self.moves.iter().map(|m| m.0).min();
        [self.registry.next_due(), self.service_queue.next_due(), next_move].into_iter().flatten().min()
    }

    /// Handles all events up to `now`, in order of time. Appends the messages that reach balancers (lists and
    /// failures) to `messages` and the published entries to `written`, from which the auditor derives what
    /// balancers could know.
    pub fn advance(
        &mut self,
        now: Micros,
        messages: &mut Vec<(BalancerId, ToBalancer)>,
        written: &mut Vec<Listed>,
    ) {
        while let Some(at) = self.next_due().filter(|&at| at <= now) {
            if self.registry.next_due().is_some_and(|due| due <= at) && self.registry.advance(at) {
                self.service_queue.enqueue_updates(at, &self.registry);
                written.extend(self.registry.latest_changes());
            }
            while let Some(index) = self.moves.iter().position(|m| m.0 <= at) {
                let (_, since) = self.moves.swap_remove(index);
                self.service_queue.break_watches(at, since);
            }
            self.service_queue.advance(at, &self.registry, messages);
        }
    }
}
