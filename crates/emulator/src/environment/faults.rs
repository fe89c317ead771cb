//! The fault schedule: expands the faults of a day into events for nodes, balancers, clients and discovery.
//!
//! Faults may overlap. A node or balancer that is down because of two faults stops once, and starts when both
//! faults have ended.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use shorewharf_units::{Micros, micros_from_seconds};

use crate::day::{Day, Fault, FaultKind};
use crate::edge::{BalancerId, NodeId};

/// Machines whose outage ends at the same time restart within this time after it, uniformly distributed.
const RESTART_SPREAD: Micros = 1_000_000;
/// The time between the drain and the stop of a node if the fault does not specify one.
const DEFAULT_DRAIN_TIME: Micros = 5_000_000;
/// A release restarts the nodes in waves of at most this fraction (1/20) of all nodes.
const RELEASE_WAVES: usize = 20;
/// The shortest time, in microseconds, that a terminating balancer has before the margin. It has the longest
/// client timeout if that is longer. The value is that of the emulated platform.
const MIN_TERMINATION_TIME: Micros = 3_000_000;
/// The margin, in microseconds, after which a terminating balancer is killed. The value is that of the emulated
/// platform.
const TERMINATION_MARGIN: Micros = 700_000;

/// An event that happens to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeEvent {
    /// The node begins to drain.
    Drain,
    /// The drain is over and the process exits.
    Stop,
    /// The process crashes.
    Crash,
    /// The process starts cold and begins to warm up.
    Start,
    /// Another fault of the node begins or ends.
    Fault {
        /// The kind of fault.
        kind: FaultKind,
        /// True if the fault begins, false if it ends.
        on: bool,
        /// The strength of the fault; its meaning depends on the kind.
        size: f64,
    },
}

/// An event that happens to a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BalancerEvent {
    /// The process starts.
    Start,
    /// The process is killed. This has no effect on a balancer that has already exited by itself.
    Kill,
    /// A planned termination begins (SIGTERM).
    Terminate,
    /// The balancer is notified that its configuration has changed (SIGHUP).
    Reload {
        /// Whether discovery has moved to another address.
        moved: bool,
    },
}

/// An event of the schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultEvent {
    /// An event of a node.
    Node(NodeId, NodeEvent),
    /// An event of a balancer.
    Balancer(BalancerId, BalancerEvent),
    /// The fault with this index in the day's list begins to affect the clients.
    Clients(usize),
    /// The fault with this index in the day's list begins (true) or ends (false) at discovery.
    Discovery(usize, bool),
}

/// A fault as shown in reports.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultInterval {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When the fault begins.
    pub from: Micros,
    /// When the fault is over; for a release or a rolling restart, when the last machine is back.
    pub to: Micros,
    /// Indices of the affected nodes or balancers; empty if the fault affects clients or discovery.
    pub on: Vec<u32>,
}

/// All events of a day, ordered by time.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    events: Vec<(Micros, FaultEvent)>,
    next: usize,
    intervals: Vec<FaultInterval>,
}

/// The type of target that a kind of fault affects.
enum FaultTargets {
    Nodes,
    Balancers,
    Other,
}

fn targets(kind: FaultKind) -> FaultTargets {
    use FaultKind::{
        BalancerKill, BalancerReload, BalancerRestart, Crash, CutOff, Drain, Failing, Full, HalfDead, Hang,
        ListDown, ListMoved, ListStale, Reconnect, Release, Resetting, Slow, Surge, TenantFlood,
        WrongAnswers,
    };
    match kind {
        Crash | Hang | CutOff | HalfDead | Slow | Failing | Resetting | Full | WrongAnswers | Release
        | Drain => FaultTargets::Nodes,
        BalancerKill | BalancerRestart | BalancerReload => FaultTargets::Balancers,
        ListStale | ListDown | ListMoved | Reconnect | Surge | TenantFlood => FaultTargets::Other,
    }
}

/// Returns the indices of the machines that the fault affects: those that it lists, else all machines of
/// its zone, or of the day if it has no zone. Of these, a random part is kept if the fault states a part.
fn affected(fault: &Fault, zones: &[u32], rng: &mut Pcg64Mcg) -> Vec<u32> {
    if !fault.on.is_empty() {
        return fault.on.iter().copied().filter(|&i| (i as usize) < zones.len()).collect();
    }
    let in_zone = |&i: &u32| fault.zone.is_none_or(|z| zones[i as usize] == z);
    let mut all: Vec<u32> = (0..zones.len() as u32).filter(in_zone).collect();
    if let Some(part) = fault.part {
        let count = (part * all.len() as f64).round().max(1.0) as usize;
        all.shuffle(rng);
        all.truncate(count);
    }
    all
}

/// A period during which a machine is down.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Micros,
    to: Micros,
    /// When the drain or planned termination before the outage begins; none for a crash or kill.
    announced_at: Option<Micros>,
}

/// Merges overlapping outages, so that a machine stops and starts once per outage.
fn merge_overlapping(mut outages: Vec<Outage>) -> Vec<Outage> {
    outages.sort_by_key(|o| o.from);
    let mut merged: Vec<Outage> = Vec::new();
    for o in outages {
        match merged.last_mut().filter(|last| o.from <= last.to) {
            Some(last) => last.to = last.to.max(o.to),
            None => merged.push(o),
        }
    }
    merged
}

/// Builds the events of a schedule from the faults of a day.
struct Plan<'a> {
    day: &'a Day,
    rng: Pcg64Mcg,
    events: Vec<(Micros, FaultEvent)>,
    nodes: Vec<Vec<Outage>>,
    balancers: Vec<Vec<Outage>>,
}

impl Plan<'_> {
    /// Adds the events or outages of a fault of these nodes. Returns when the fault is over.
    fn plan_node_fault(&mut self, fault: &Fault, on: &[u32]) -> Micros {
        let (from, mut to) = (fault.at, fault.at + fault.len);
        let drain = if fault.size > 0.0 { micros_from_seconds(fault.size) } else { DEFAULT_DRAIN_TIME };
        match fault.kind {
            FaultKind::Crash => {
                for &i in on {
                    let back = to + self.rng.random_range(0..RESTART_SPREAD);
                    self.nodes[i as usize].push(Outage { from, to: back, announced_at: None });
                }
            }
            FaultKind::Release => {
                let wave = (self.day.nodes.len() / RELEASE_WAVES).max(1);
                for (n, part) in on.chunks(wave).enumerate() {
                    let begins = from + n as Micros * (drain + fault.len + RESTART_SPREAD);
                    for &i in part {
                        let back = begins + drain + fault.len + self.rng.random_range(0..RESTART_SPREAD);
                        let outage = Outage { from: begins + drain, to: back, announced_at: Some(begins) };
                        self.nodes[i as usize].push(outage);
                        to = to.max(back);
                    }
                }
            }
            FaultKind::Drain => {
                for &i in on {
                    let outage = Outage { from: to.max(from + 1), to: Micros::MAX, announced_at: Some(from) };
                    self.nodes[i as usize].push(outage);
                }
            }
            kind => {
                for &i in on {
                    for (at, on) in [(from, true), (to, false)] {
                        let event = NodeEvent::Fault { kind, on, size: fault.size };
                        self.events.push((at, FaultEvent::Node(NodeId(i), event)));
                    }
                }
            }
        }
        to
    }

    /// Adds the events or outages of a fault of these balancers. Returns when the fault is over.
    fn plan_balancer_fault(&mut self, fault: &Fault, on: &[u32]) -> Micros {
        let longest_timeout =
            self.day.classes.iter().map(|c| c.give_up).max().unwrap_or(0).max(MIN_TERMINATION_TIME);
        let mut begins = fault.at;
        for &i in on {
            let balancer = BalancerId(i);
            match fault.kind {
                FaultKind::BalancerReload => {
                    self.events.push((
                        fault.at,
                        FaultEvent::Balancer(balancer, BalancerEvent::Reload { moved: false }),
                    ));
                }
                FaultKind::BalancerKill => {
                    let to = fault.at + fault.len;
                    self.balancers[i as usize].push(Outage { from: fault.at, to, announced_at: None });
                }
                // A rolling restart: the next termination begins when this balancer starts again.
                _ => {
                    let from = begins + longest_timeout + TERMINATION_MARGIN;
                    let to = from + fault.len;
                    self.balancers[i as usize].push(Outage { from, to, announced_at: Some(begins) });
                    begins = to;
                }
            }
        }
        begins.max(fault.at + fault.len)
    }

    /// Adds the events of a fault of clients or discovery. Returns when the fault is over.
    fn plan_other_fault(&mut self, fault: &Fault, index: usize) -> Micros {
        match fault.kind {
            FaultKind::ListStale | FaultKind::ListDown => {
                self.events.push((fault.at, FaultEvent::Discovery(index, true)));
                self.events.push((fault.at + fault.len, FaultEvent::Discovery(index, false)));
            }
            FaultKind::ListMoved => {
                self.events.push((fault.at, FaultEvent::Discovery(index, true)));
                for i in 0..self.day.balancers.len() as u32 {
                    let event = BalancerEvent::Reload { moved: true };
                    self.events.push((fault.at, FaultEvent::Balancer(BalancerId(i), event)));
                }
            }
            _ => self.events.push((fault.at, FaultEvent::Clients(index))),
        }
        fault.at + fault.len
    }

    /// Adds the events of all outages.
    fn plan_outages(&mut self) {
        for (i, outages) in std::mem::take(&mut self.nodes).into_iter().enumerate() {
            let node = |event| FaultEvent::Node(NodeId(i as u32), event);
            let mut back = 0;
            for o in merge_overlapping(outages) {
                let ends = match o.announced_at {
                    Some(at) => {
                        // A drain cannot begin while the node is still down because of another fault.
                        self.events.push((at.max(back), node(NodeEvent::Drain)));
                        NodeEvent::Stop
                    }
                    None => NodeEvent::Crash,
                };
                back = o.to;
                self.events.push((o.from, node(ends)));
                if o.to < Micros::MAX {
                    self.events.push((o.to, node(NodeEvent::Start)));
                }
            }
        }
        for (i, outages) in std::mem::take(&mut self.balancers).into_iter().enumerate() {
            let balancer = |event| FaultEvent::Balancer(BalancerId(i as u32), event);
            let mut back = 0;
            for o in merge_overlapping(outages) {
                if let Some(at) = o.announced_at {
                    self.events.push((at.max(back), balancer(BalancerEvent::Terminate)));
                }
                back = o.to;
                self.events.push((o.from, balancer(BalancerEvent::Kill)));
                self.events.push((o.to, balancer(BalancerEvent::Start)));
            }
        }
    }
}

impl FaultSchedule {
    /// Expands the faults of the day into events. The events include the first start of each balancer at the
    /// time that the day specifies.
    pub fn new(day: &Day, rng: Pcg64Mcg) -> FaultSchedule {
        let node_zones: Vec<u32> = day.nodes.iter().map(|n| n.zone).collect();
        let balancer_zones: Vec<u32> = day.balancers.iter().map(|b| b.zone).collect();
        let starts = day
            .balancers
            .iter()
            .enumerate()
            .map(|(i, b)| (b.start, FaultEvent::Balancer(BalancerId(i as u32), BalancerEvent::Start)));
        let mut plan = Plan {
            day,
            rng,
            events: starts.collect(),
            nodes: vec![Vec::new(); day.nodes.len()],
            balancers: vec![Vec::new(); day.balancers.len()],
        };
        let mut intervals = Vec::new();
        for (index, fault) in day.faults.iter().enumerate() {
            let on = match targets(fault.kind) {
                FaultTargets::Nodes => affected(fault, &node_zones, &mut plan.rng),
                FaultTargets::Balancers => affected(fault, &balancer_zones, &mut plan.rng),
                FaultTargets::Other => Vec::new(),
            };
            let to = match targets(fault.kind) {
                FaultTargets::Nodes => plan.plan_node_fault(fault, &on),
                FaultTargets::Balancers => plan.plan_balancer_fault(fault, &on),
                FaultTargets::Other => plan.plan_other_fault(fault, index),
            };
            intervals.push(FaultInterval { kind: fault.kind, from: fault.at, to, on });
        }
        plan.plan_outages();
        let mut events = plan.events;
        // The sort is stable: events at the same time stay in the order in which they were added.
        events.sort_by_key(|t| t.0);
        FaultSchedule { events, next: 0, intervals }
    }

    /// The time of the next event.
    pub fn next_due(&self) -> Option<Micros> {
        self.events.get(self.next).map(|t| t.0)
    }

    /// Appends the events up to `now` to `out`, in order.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<FaultEvent>) {
        while let Some(&(_, event)) = self.events.get(self.next).filter(|t| t.0 <= now) {
            self.next += 1;
            out.push(event);
        }
    }

    /// The faults for reports, in the order of the day's list.
    pub fn intervals(&self) -> &[FaultInterval] {
        &self.intervals
    }
}
