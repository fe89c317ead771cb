//! The connections that stand at a node, and the load that they ask for.
//!
//! Sums are kept as connections come, change and go, so that a node's load is known at any time without a look over
//! its connections.

use shorewharf_units::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use super::load_oscillation::LoadOscillation;
use crate::day::Day;
use crate::edge::{BalancerId, LinkId, RequestLine};

/// What each open connection costs beside its own load, in usual loads.
const HOLDING: f64 = 0.1;

/// A connection that stands.
#[derive(Clone, Copy, Debug)]
struct EstablishedConnection {
    by: BalancerId,
    class: u32,
    group: u64,
    key: u64,
    /// Mean load of its client, in usual loads.
    mean: f64,
    /// Load now, in usual loads.
    load: f64,
    changes: Option<Micros>,
}

/// All that stand at one node.
#[derive(Debug)]
pub(super) struct EstablishedConnections {
    /// By link: the oldest first.
    all: BTreeMap<LinkId, EstablishedConnection>,
    groups: BTreeMap<u64, u32>,
    /// Sum of their loads.
    load: f64,
    /// Changes to come; what has gone stays in until its time.
    changes: BinaryHeap<Reverse<(Micros, LinkId)>>,
    swings: Vec<LoadOscillation>,
    group_cost: f64,
}

impl EstablishedConnections {
    pub fn new(day: &Day) -> EstablishedConnections {
        EstablishedConnections {
            all: BTreeMap::new(),
            groups: BTreeMap::new(),
            load: 0.0,
            changes: BinaryHeap::new(),
            swings: day.classes.iter().map(LoadOscillation::new).collect(),
            group_cost: day.streams.group_cost,
        }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Load asked for, in usual loads, while the day's course makes loads `course` times as large. What is paid for
    /// holding connections and groups does not follow the course.
    pub fn demand(&self, course: f64) -> f64 {
        self.load * course + HOLDING * self.all.len() as f64 + self.group_cost * self.groups.len() as f64
    }

    /// A connection begins to stand; its load now, in usual loads.
    pub fn add(&mut self, now: Micros, link: LinkId, by: BalancerId, ask: &RequestLine, mean: f64) -> f64 {
        let (swing, changes) = self.swing(ask.class, ask.key, now);
        let load = mean * swing;
        let one = EstablishedConnection {
            by,
            class: ask.class,
            group: ask.group,
            key: ask.key,
            mean,
            load,
            changes,
        };
        self.all.insert(link, one);
        self.load += load;
        if ask.group != 0 {
            *self.groups.entry(ask.group).or_default() += 1;
        }
        if let Some(at) = changes {
            self.changes.push(Reverse((at, link)));
        }
        load
    }

    fn swing(&self, class: u32, key: u64, now: Micros) -> (f64, Option<Micros>) {
        self.swings.get(class as usize).map_or((1.0, None), |s| s.at(key, now))
    }

    /// It stands no more; false if it did not.
    pub fn remove(&mut self, link: LinkId) -> bool {
        let Some(one) = self.all.remove(&link) else { return false };
        self.load -= one.load;
        if self.all.is_empty() {
            // What rounding has left ends here.
            self.load = 0.0;
            self.changes.clear();
        }
        if one.group != 0 {
            let of = self.groups.get_mut(&one.group).map_or(0, |of| {
                *of -= 1;
                *of
            });
            if of == 0 {
                self.groups.remove(&one.group);
            }
        }
        true
    }

    /// The next change of a load, or earlier.
    pub fn next_due(&self) -> Option<Micros> {
        self.changes.peek().map(|Reverse((at, _))| *at)
    }

    /// The next load that has changed by now, in usual loads.
    pub fn change(&mut self, now: Micros) -> Option<(LinkId, f64)> {
        while self.next_due().is_some_and(|at| at <= now) {
            let Some(Reverse((at, link))) = self.changes.pop() else { break };
            let Some(one) = self.all.get(&link).filter(|one| one.changes == Some(at)).copied() else {
                continue;
            };
            let (swing, changes) = self.swing(one.class, one.key, at);
            let load = one.mean * swing;
            self.load += load - one.load;
            self.all.insert(link, EstablishedConnection { load, changes, ..one });
            if let Some(at) = changes {
                self.changes.push(Reverse((at, link)));
            }
            return Some((link, load));
        }
        None
    }

    /// Groups of which any stands here.
    pub fn groups(&self) -> Vec<u64> {
        self.groups.keys().copied().collect()
    }

    /// The links, the oldest first.
    pub fn links(&self) -> impl DoubleEndedIterator<Item = LinkId> + '_ {
        self.all.keys().copied()
    }

    /// The links, the heaviest first.
    pub fn heaviest(&self) -> Vec<LinkId> {
        let mut by: Vec<(f64, LinkId)> = self.all.iter().map(|(link, one)| (one.load, *link)).collect();
        by.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        by.into_iter().map(|(_, link)| link).collect()
    }

    /// One link of each balancer that has any here, the oldest.
    pub fn one_by_balancer(&self) -> BTreeMap<BalancerId, LinkId> {
        let mut one = BTreeMap::new();
        for (link, c) in &self.all {
            one.entry(c.by).or_insert(*link);
        }
        one
    }
}

#[cfg(test)]
impl EstablishedConnections {
    /// The sums are those of what stands.
    pub fn sums_are_right(&self) -> bool {
        let load: f64 = self.all.values().map(|one| one.load).sum();
        let mut groups = BTreeMap::new();
        self.all
            .values()
            .filter(|one| one.group != 0)
            .for_each(|one| *groups.entry(one.group).or_default() += 1);
        (load - self.load).abs() < 1e-9 * load.max(1.0) && groups == self.groups
    }
}
