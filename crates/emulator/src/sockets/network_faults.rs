//! Network faults between the processes: they affect links to nodes, list events, gossip datagrams and the execution of
//! balancers. The world does not model them: each side only sees that the other one does not respond as usual.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use crate::edge::{BalancerId, LinkId, NodeId, Reachability, ToBalancer};

/// The kinds of network faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkFaultKind {
    /// Connections to the nodes are refused; established ones continue.
    ConnectionsRefused,
    /// Packets are dropped in both directions: connections are neither established nor closed.
    HalfOpen,
    /// Messages from nodes are lost; those from balancers arrive.
    AnswersLost,
    /// Established connections are reset once, when the fault begins.
    ConnectionsReset,
    /// Messages from nodes are delayed by this much.
    AnswersDelayed(Micros),
    /// List events do not arrive, and calls to discovery are not answered.
    EndpointListLost,
    /// Gossip datagrams are dropped.
    GossipLost,
    /// Gossip datagrams are duplicated.
    GossipDuplicated,
    /// Gossip datagrams are delayed by up to this much, each independently.
    GossipDelayed(Micros),
    /// The balancers' processes are stopped (SIGSTOP), and continued at the end (SIGCONT).
    ProcessStopped,
}

/// A network fault during an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkFault {
    /// The kind.
    pub kind: NetworkFaultKind,
    /// The begin, on the day's clock.
    pub from: Micros,
    /// The end, on the day's clock.
    pub to: Micros,
    /// The balancers that it affects; for a gossip fault, the senders.
    pub balancers: Vec<BalancerId>,
    /// The nodes that it affects, if it concerns links to nodes.
    pub nodes: Vec<NodeId>,
    /// The receivers of the affected datagrams, if it concerns gossip.
    pub gossip_receivers: Vec<BalancerId>,
}

impl NetworkFault {
    fn is_active(&self, now: Micros) -> bool {
        self.from <= now && now < self.to
    }
}

/// How the network faults affect one datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// Whether it is dropped.
    pub is_dropped: bool,
    /// Whether it is duplicated.
    pub is_duplicated: bool,
    /// The largest delay. The delay of each datagram is drawn at random, so that datagrams may be reordered.
    pub max_delay: Micros,
}

/// The begin or the end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FaultTransition {
    /// The index of the fault.
    pub index: usize,
    /// Whether the fault begins; otherwise it ends.
    pub begins: bool,
}

/// The network faults of a run, and the messages that they delay.
#[derive(Debug, Default)]
pub(super) struct NetworkFaults {
    faults: Vec<NetworkFault>,
    /// The begins and ends of the faults in order of time.
    transitions: Vec<(Micros, FaultTransition)>,
    /// The index of the next transition.
    next: usize,
    /// The indices of the faults that delay messages now.
    delaying: Vec<usize>,
    /// Delayed messages, by due time and order.
    delayed: BTreeMap<(Micros, u64), (BalancerId, ToBalancer)>,
    /// The due time of the last delayed message of each link.
    last_due: BTreeMap<LinkId, Micros>,
    delayed_count: u64,
}

impl NetworkFaults {
    pub fn new(faults: &[NetworkFault]) -> Self {
        let begin_and_end = |(index, fault): (usize, &NetworkFault)| {
            [
                (fault.from, FaultTransition { index, begins: true }),
                (fault.to.max(fault.from), FaultTransition { index, begins: false }),
            ]
        };
        let mut transitions: Vec<(Micros, FaultTransition)> =
            faults.iter().enumerate().flat_map(begin_and_end).collect();
        // At equal times begins come before ends, so that a fault of zero length begins before it ends.
        transitions.sort_by_key(|(at, transition)| (*at, !transition.begins));
        NetworkFaults { faults: faults.to_vec(), transitions, ..NetworkFaults::default() }
    }

    pub fn get(&self, index: usize) -> &NetworkFault {
        &self.faults[index]
    }

    pub fn next_due(&self) -> Option<Micros> {
        let transition = self.transitions.get(self.next).map(|(at, _)| *at);
        transition.into_iter().chain(self.delayed.keys().next().map(|(at, _)| *at)).min()
    }

    /// The next begin or end of a fault that is due by `now`.
    pub fn next_transition(&mut self, now: Micros) -> Option<FaultTransition> {
        let (_, transition) = self.transitions.get(self.next).filter(|(at, _)| *at <= now).copied()?;
        self.next += 1;
        if matches!(self.faults[transition.index].kind, NetworkFaultKind::AnswersDelayed(_)) {
            self.delaying.retain(|index| *index != transition.index);
            self.delaying.extend(transition.begins.then_some(transition.index));
        }
        Some(transition)
    }

    /// How the network faults affect connections between a balancer and a node now.
    pub fn reachability(&self, now: Micros, who: BalancerId, node: NodeId) -> Reachability {
        let is_active =
            |f: &&NetworkFault| f.is_active(now) && f.balancers.contains(&who) && f.nodes.contains(&node);
        let effect = |f: &NetworkFault| match f.kind {
            NetworkFaultKind::ConnectionsRefused => Reachability::Refused,
            NetworkFaultKind::HalfOpen => Reachability::Silent,
            NetworkFaultKind::AnswersLost => Reachability::Mute,
            NetworkFaultKind::ConnectionsReset
            | NetworkFaultKind::AnswersDelayed(_)
            | NetworkFaultKind::EndpointListLost
            | NetworkFaultKind::ProcessStopped => Reachability::Open,
            NetworkFaultKind::GossipLost
            | NetworkFaultKind::GossipDuplicated
            | NetworkFaultKind::GossipDelayed(_) => Reachability::Open,
        };
        self.faults.iter().filter(is_active).map(effect).fold(Reachability::Open, most_restrictive)
    }

    /// Whether list events do not reach this balancer now.
    pub fn is_list_blocked(&self, now: Micros, who: BalancerId) -> bool {
        let blocks =
            |f: &NetworkFault| f.kind == NetworkFaultKind::EndpointListLost && f.balancers.contains(&who);
        self.faults.iter().any(|f| f.is_active(now) && blocks(f))
    }

    /// How a datagram from one balancer to another is delivered now.
    pub fn datagram_delivery(&self, now: Micros, from: BalancerId, to: BalancerId) -> Delivery {
        let mut delivery = Delivery::default();
        for fault in self.faults.iter().filter(|f| f.is_active(now)) {
            if fault.balancers.contains(&from) && fault.gossip_receivers.contains(&to) {
                match fault.kind {
                    NetworkFaultKind::GossipLost => delivery.is_dropped = true,
                    NetworkFaultKind::GossipDuplicated => delivery.is_duplicated = true,
                    NetworkFaultKind::GossipDelayed(delay) => {
                        delivery.max_delay = delivery.max_delay.max(delay);
                    }
                    _ => {}
                }
            }
        }
        delivery
    }

    /// Queues a node's message if a fault delays its link, or if an earlier message of the link is still queued; returns
    /// whether it did.
    pub fn delay(
        &mut self,
        now: Micros,
        node: NodeId,
        link: LinkId,
        who: BalancerId,
        what: &ToBalancer,
    ) -> bool {
        let delay = |index: &usize| {
            let fault = &self.faults[*index];
            let is_affected = fault.balancers.contains(&who) && fault.nodes.contains(&node);
            match fault.kind {
                NetworkFaultKind::AnswersDelayed(delay) if is_affected => delay,
                _ => 0,
            }
        };
        let delay = self.delaying.iter().map(delay).max().unwrap_or(0);
        // The messages of a link stay in order.
        let due = self.last_due.get(&link).copied().unwrap_or(0).max(now + delay);
        if due <= now {
            return false;
        }
        self.delayed_count += 1;
        self.last_due.insert(link, due);
        self.delayed.insert((due, self.delayed_count), (who, what.clone()));
        true
    }

    /// Removes and returns the next delayed message that is due by `now`.
    pub fn pop_arrived(&mut self, now: Micros) -> Option<(BalancerId, ToBalancer)> {
        let first = self.delayed.first_entry().filter(|e| e.key().0 <= now)?;
        let arrived = first.remove();
        if let ToBalancer::NodeMessage(link, _) | ToBalancer::NodeEnded(link, _) = arrived.1
            && self.last_due.get(&link).is_some_and(|due| *due <= now)
        {
            self.last_due.remove(&link);
        }
        Some(arrived)
    }
}

/// The more restrictive of two, as a connection has to pass both the node's machine and the link.
pub(super) fn most_restrictive(a: Reachability, b: Reachability) -> Reachability {
    let severity = |r: &Reachability| match r {
        Reachability::Open => 0,
        Reachability::Mute => 1,
        Reachability::Refused => 2,
        Reachability::Silent => 3,
    };
    if severity(&a) >= severity(&b) { a } else { b }
}
