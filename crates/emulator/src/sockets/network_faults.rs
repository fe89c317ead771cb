//! Network faults between the processes: links by direction and by group, list events, gossip datagrams, and stalled
//! balancers. The world does not know of them: to each side the other one appears silent.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use crate::edge::{BalancerId, LinkId, NodeId, Reachability, ToBalancer};

/// The kinds of network faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkFaultKind {
    /// Connections to the nodes are refused; established ones continue.
    Refused,
    /// Packets are dropped in both directions: connections are neither established nor closed.
    Silent,
    /// Messages from nodes are lost; those from balancers arrive.
    AnswersLost,
    /// Established connections are reset once, at the begin.
    Reset,
    /// Messages from nodes are delayed by this much.
    Slow(Micros),
    /// List events do not arrive, and calls to discovery are not answered.
    NewsLost,
    /// Gossip datagrams are dropped.
    NotesLost,
    /// Gossip datagrams are duplicated.
    NotesDoubled,
    /// Gossip datagrams are delayed by up to this much, each by itself.
    NotesLate(Micros),
    /// The balancers' processes are stopped (SIGSTOP), and continued at the end (SIGCONT).
    Stall,
}

/// A network fault during an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkFault {
    /// What.
    pub what: NetworkFaultKind,
    /// From then ...
    pub from: Micros,
    /// ... until then, on the day's clock.
    pub to: Micros,
    /// For these balancers ...
    pub balancers: Vec<BalancerId>,
    /// ... and these nodes, where it is a link to nodes ...
    pub nodes: Vec<NodeId>,
    /// ... and what they say to these, where it is a way between balancers.
    pub others: Vec<BalancerId>,
}

/// How the network faults affect one datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// It is dropped.
    pub lost: bool,
    /// It is duplicated.
    pub doubled: bool,
    /// The largest delay; each datagram draws its own, so that they may be reordered.
    pub late: Micros,
}

/// The begin or the end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FaultTransition {
    /// The index of the fault.
    pub index: usize,
    /// It begins.
    pub begins: bool,
}

/// All of them, and what waits on slow or silent links.
#[derive(Debug, Default)]
pub(super) struct NetworkFaults {
    faults: Vec<NetworkFault>,
    edges: Vec<(Micros, FaultTransition)>,
    next: usize,
    /// What is slow now: the breaks' places.
    slow: Vec<usize>,
    /// What comes later, by the time and in order.
    later: BTreeMap<(Micros, u64), (BalancerId, ToBalancer)>,
    /// The last of each link that waits there.
    last: BTreeMap<LinkId, Micros>,
    count: u64,
}

impl NetworkFaults {
    pub fn new(faults: &[NetworkFault]) -> Self {
        let edge = |(place, b): (usize, &NetworkFault)| {
            [
                (b.from, FaultTransition { index: place, begins: true }),
                (b.to.max(b.from), FaultTransition { index: place, begins: false }),
            ]
        };
        let mut edges: Vec<(Micros, FaultTransition)> = faults.iter().enumerate().flat_map(edge).collect();
        // What begins and ends at one time begins first.
        edges.sort_by_key(|(at, edge)| (*at, !edge.begins));
        NetworkFaults { faults: faults.to_vec(), edges, ..NetworkFaults::default() }
    }

    pub fn get(&self, place: usize) -> &NetworkFault {
        &self.faults[place]
    }

    pub fn next_due(&self) -> Option<Micros> {
        let edge = self.edges.get(self.next).map(|(at, _)| *at);
        edge.into_iter().chain(self.later.keys().next().map(|(at, _)| *at)).min()
    }

    /// The next edge that is due by now.
    pub fn next_transition(&mut self, now: Micros) -> Option<FaultTransition> {
        let (_, edge) = self.edges.get(self.next).filter(|(at, _)| *at <= now).copied()?;
        self.next += 1;
        if matches!(self.faults[edge.index].what, NetworkFaultKind::Slow(_)) {
            self.slow.retain(|place| *place != edge.index);
            self.slow.extend(edge.begins.then_some(edge.index));
        }
        Some(edge)
    }

    /// How connections meet between these two now, for links' own sake.
    pub fn reachability(&self, now: Micros, who: BalancerId, node: NodeId) -> Reachability {
        let of = |b: &&NetworkFault| {
            b.from <= now && now < b.to && b.balancers.contains(&who) && b.nodes.contains(&node)
        };
        let reach = |b: &NetworkFault| match b.what {
            NetworkFaultKind::Refused => Reachability::Refused,
            NetworkFaultKind::Silent => Reachability::Silent,
            NetworkFaultKind::AnswersLost => Reachability::Mute,
            NetworkFaultKind::Reset
            | NetworkFaultKind::Slow(_)
            | NetworkFaultKind::NewsLost
            | NetworkFaultKind::Stall => Reachability::Open,
            NetworkFaultKind::NotesLost | NetworkFaultKind::NotesDoubled | NetworkFaultKind::NotesLate(_) => {
                Reachability::Open
            }
        };
        self.faults.iter().filter(of).map(reach).fold(Reachability::Open, worse)
    }

    /// Whether discovery's words don't come to this balancer now.
    pub fn is_list_blocked(&self, now: Micros, who: BalancerId) -> bool {
        let of = |b: &NetworkFault| b.from <= now && now < b.to && b.balancers.contains(&who);
        self.faults.iter().any(|b| b.what == NetworkFaultKind::NewsLost && of(b))
    }

    /// What becomes of a datagram from one balancer to another now.
    pub fn datagram_delivery(&self, now: Micros, from: BalancerId, to: BalancerId) -> Delivery {
        let mut fate = Delivery::default();
        for b in self.faults.iter().filter(|b| b.from <= now && now < b.to) {
            if b.balancers.contains(&from) && b.others.contains(&to) {
                match b.what {
                    NetworkFaultKind::NotesLost => fate.lost = true,
                    NetworkFaultKind::NotesDoubled => fate.doubled = true,
                    NetworkFaultKind::NotesLate(by) => fate.late = fate.late.max(by),
                    _ => {}
                }
            }
        }
        fate
    }

    /// Takes what a node says on a link if it has to come later.
    pub fn delay(
        &mut self,
        now: Micros,
        node: NodeId,
        link: LinkId,
        who: BalancerId,
        what: &ToBalancer,
    ) -> bool {
        let slow = |place: &usize| {
            let b = &self.faults[*place];
            match b.what {
                NetworkFaultKind::Slow(by) if b.balancers.contains(&who) && b.nodes.contains(&node) => by,
                _ => 0,
            }
        };
        let by = self.slow.iter().map(slow).max().unwrap_or(0);
        // Nothing overtakes what was said before.
        let due = self.last.get(&link).copied().unwrap_or(0).max(now + by);
        if due <= now {
            return false;
        }
        self.count += 1;
        self.last.insert(link, due);
        self.later.insert((due, self.count), (who, what.clone()));
        true
    }

    /// What has waited until now.
    pub fn pop_arrived(&mut self, now: Micros) -> Option<(BalancerId, ToBalancer)> {
        let first = self.later.first_entry().filter(|e| e.key().0 <= now)?;
        let arrived = first.remove();
        if let ToBalancer::NodeMessage(link, _) | ToBalancer::NodeEnded(link, _) = arrived.1
            && self.last.get(&link).is_some_and(|last| *last <= now)
        {
            self.last.remove(&link);
        }
        Some(arrived)
    }
}

/// The worse of two: what one machine refuses no link brings up.
pub(super) fn worse(a: Reachability, b: Reachability) -> Reachability {
    let rank = |r: &Reachability| match r {
        Reachability::Open => 0,
        Reachability::Mute => 1,
        Reachability::Refused => 2,
        Reachability::Silent => 3,
    };
    if rank(&a) >= rank(&b) { a } else { b }
}
