//! What goes wrong, whom it strikes and when: the day's faults made out into single turns of nodes, balancers,
//! clients and discovery. Faults may overlap; a node or balancer that two of them hold down is back when both are
//! over, and it dies only once.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use shorewharf_units::{Micros, micros_from_seconds};

use crate::day::{Day, Fault, FaultKind};
use crate::edge::{BalancerId, NodeId};

/// Machines that return together do so within this time, uniformly distributed.
const BACK_WITHIN: Micros = 1_000_000;
/// A draining node is given so long where the fault names no time.
const DRAIN: Micros = 5_000_000;
/// A release takes at most one part in so many of the nodes at once.
const WAVES: usize = 20;
/// A planned end of a balancer lasts the longest wait of a client, or this where that is shorter ...
const END_LEAST: Micros = 3_000_000;
/// ... and so much more; then it is killed (the platform's figures).
const END_MORE: Micros = 700_000;

/// What happens to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeEvent {
    /// It begins to drain.
    Drain,
    /// It has drained and ends.
    Stop,
    /// Its process dies.
    Crash,
    /// Its process starts, cold.
    Start,
    /// Something else is wrong with it, or no longer.
    Fault {
        /// What.
        kind: FaultKind,
        /// It begins, or it ends.
        on: bool,
        /// How much, as the kind says.
        size: f64,
    },
}

/// What happens to a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BalancerEvent {
    /// Its process starts.
    Start,
    /// It is killed outright. A balancer that ended by itself before is not there any more.
    Kill,
    /// A planned end begins.
    Terminate,
    /// It is told that its configuration has changed.
    Reload {
        /// Discovery has moved.
        moved: bool,
    },
}

/// One turn of the schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultEvent {
    /// To a node.
    Node(NodeId, NodeEvent),
    /// To a balancer.
    Balancer(BalancerId, BalancerEvent),
    /// The day's fault at this place strikes the clients.
    Clients(usize),
    /// The day's fault at this place begins or ends at discovery.
    Discovery(usize, bool),
}

/// A fault as reports show it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultInterval {
    /// What happened.
    pub kind: FaultKind,
    /// From then ...
    pub from: Micros,
    /// ... until then.
    pub to: Micros,
    /// Nodes or balancers struck, by place; empty where it strikes clients or discovery.
    pub on: Vec<u32>,
}

/// All turns of a day, in order.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    events: Vec<(Micros, FaultEvent)>,
    next: usize,
    intervals: Vec<FaultInterval>,
}

/// Whom a kind of fault strikes.
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

/// Who of these is struck: those named, or a part drawn from the zone or from all.
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

/// A time for which a machine is away.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Micros,
    to: Micros,
    /// A draining or planned end begins then.
    warned: Option<Micros>,
}

/// Joins what overlaps, so that a machine goes and comes once for each time that it is away.
fn merge_overlapping(mut outages: Vec<Outage>) -> Vec<Outage> {
    outages.sort_by_key(|o| o.from);
    let mut merge_overlapping: Vec<Outage> = Vec::new();
    for o in outages {
        match merge_overlapping.last_mut().filter(|last| o.from <= last.to) {
            Some(last) => last.to = last.to.max(o.to),
            None => merge_overlapping.push(o),
        }
    }
    merge_overlapping
}

/// Works the turns out.
struct Plan<'a> {
    day: &'a Day,
    rng: Pcg64Mcg,
    events: Vec<(Micros, FaultEvent)>,
    nodes: Vec<Vec<Outage>>,
    balancers: Vec<Vec<Outage>>,
}

impl Plan<'_> {
    /// Strikes these nodes. Says when it is over.
    fn plan_node_fault(&mut self, fault: &Fault, on: &[u32]) -> Micros {
        let (from, mut to) = (fault.at, fault.at + fault.len);
        let drain = if fault.size > 0.0 { micros_from_seconds(fault.size) } else { DRAIN };
        match fault.kind {
            FaultKind::Crash => {
                for &i in on {
                    let back = to + self.rng.random_range(0..BACK_WITHIN);
                    self.nodes[i as usize].push(Outage { from, to: back, warned: None });
                }
            }
            FaultKind::Release => {
                let wave = (self.day.nodes.len() / WAVES).max(1);
                for (n, part) in on.chunks(wave).enumerate() {
                    let begins = from + n as Micros * (drain + fault.len + BACK_WITHIN);
                    for &i in part {
                        let back = begins + drain + fault.len + self.rng.random_range(0..BACK_WITHIN);
                        let outage = Outage { from: begins + drain, to: back, warned: Some(begins) };
                        self.nodes[i as usize].push(outage);
                        to = to.max(back);
                    }
                }
            }
            FaultKind::Drain => {
                for &i in on {
                    let outage = Outage { from: to.max(from + 1), to: Micros::MAX, warned: Some(from) };
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

    /// Strikes these balancers. Says when it is over.
    fn plan_balancer_fault(&mut self, fault: &Fault, on: &[u32]) -> Micros {
        let longest = self.day.classes.iter().map(|c| c.give_up).max().unwrap_or(0).max(END_LEAST);
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
                    self.balancers[i as usize].push(Outage { from: fault.at, to, warned: None });
                }
                // In turn: the next one's end begins when this one is back.
                _ => {
                    let from = begins + longest + END_MORE;
                    let to = from + fault.len;
                    self.balancers[i as usize].push(Outage { from, to, warned: Some(begins) });
                    begins = to;
                }
            }
        }
        begins.max(fault.at + fault.len)
    }

    /// Strikes clients or discovery. Says when it is over.
    fn plan_other_fault(&mut self, fault: &Fault, place: usize) -> Micros {
        match fault.kind {
            FaultKind::ListStale | FaultKind::ListDown => {
                self.events.push((fault.at, FaultEvent::Discovery(place, true)));
                self.events.push((fault.at + fault.len, FaultEvent::Discovery(place, false)));
            }
            FaultKind::ListMoved => {
                self.events.push((fault.at, FaultEvent::Discovery(place, true)));
                for i in 0..self.day.balancers.len() as u32 {
                    let event = BalancerEvent::Reload { moved: true };
                    self.events.push((fault.at, FaultEvent::Balancer(BalancerId(i), event)));
                }
            }
            _ => self.events.push((fault.at, FaultEvent::Clients(place))),
        }
        fault.at + fault.len
    }

    /// Makes turns of all times away.
    fn plan_outages(&mut self) {
        for (i, outages) in std::mem::take(&mut self.nodes).into_iter().enumerate() {
            let node = |event| FaultEvent::Node(NodeId(i as u32), event);
            let mut back = 0;
            for o in merge_overlapping(outages) {
                let ends = match o.warned {
                    Some(at) => {
                        // Not while it is still away for another cause.
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
                if let Some(at) = o.warned {
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
    /// Works out all that the day's faults do. Balancers' first starts are among the turns, at the times that the day
    /// names.
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
        let mut bands = Vec::new();
        for (place, fault) in day.faults.iter().enumerate() {
            let on = match targets(fault.kind) {
                FaultTargets::Nodes => affected(fault, &node_zones, &mut plan.rng),
                FaultTargets::Balancers => affected(fault, &balancer_zones, &mut plan.rng),
                FaultTargets::Other => Vec::new(),
            };
            let to = match targets(fault.kind) {
                FaultTargets::Nodes => plan.plan_node_fault(fault, &on),
                FaultTargets::Balancers => plan.plan_balancer_fault(fault, &on),
                FaultTargets::Other => plan.plan_other_fault(fault, place),
            };
            bands.push(FaultInterval { kind: fault.kind, from: fault.at, to, on });
        }
        plan.plan_outages();
        let mut events = plan.events;
        // The sort keeps the order of what falls on one time.
        events.sort_by_key(|t| t.0);
        FaultSchedule { events, next: 0, intervals: bands }
    }

    /// When the next turn is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.events.get(self.next).map(|t| t.0)
    }

    /// Hands out the turns up to `now`, in order.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<FaultEvent>) {
        while let Some(&(_, event)) = self.events.get(self.next).filter(|t| t.0 <= now) {
            self.next += 1;
            out.push(event);
        }
    }

    /// The faults for reports, in the order of the day.
    pub fn intervals(&self) -> &[FaultInterval] {
        &self.intervals
    }
}
