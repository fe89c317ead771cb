//! The established connections of a node, and their load.
//!
//! The sum of the loads is updated whenever a connection is added, changes or is removed, so that the load of
//! a node is known at any time without a pass over its connections.

use shorewharf_units::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use super::load_oscillation::LoadOscillation;
use crate::day::Day;
use crate::edge::{BalancerId, LinkId, RequestLine};

/// The cost of an established connection beside its own load, in usual loads.
const HOLDING_COST: f64 = 0.1;

/// An established connection.
#[derive(Clone, Copy, Debug)]
struct EstablishedConnection {
    by: BalancerId,
    class: u32,
    group: u64,
    key: u64,
    /// The mean load of its client, in usual loads.
    mean: f64,
    /// The present load, in usual loads.
    load: f64,
    /// When the load changes next; none if it does not.
    next_change: Option<Micros>,
}

/// The established connections of a node.
#[derive(Debug)]
pub(super) struct EstablishedConnections {
    /// By link, which orders them from the oldest to the newest.
    all: BTreeMap<LinkId, EstablishedConnection>,
    /// The number of connections of each group.
    groups: BTreeMap<u64, u32>,
    /// The sum of the loads, in usual loads.
    load: f64,
    /// The next load changes. Entries of removed connections are skipped when they are due.
    pending_changes: BinaryHeap<Reverse<(Micros, LinkId)>>,
    oscillations: Vec<LoadOscillation>,
    group_cost: f64,
}

impl EstablishedConnections {
    pub fn new(day: &Day) -> EstablishedConnections {
        EstablishedConnections {
            all: BTreeMap::new(),
            groups: BTreeMap::new(),
            load: 0.0,
            pending_changes: BinaryHeap::new(),
            oscillations: day.classes.iter().map(LoadOscillation::new).collect(),
            group_cost: day.streams.group_cost,
        }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// The total load in usual loads. `traffic_factor` is the day's present factor on the loads of
    /// connections; it does not apply to the costs of holding connections and groups.
    pub fn demand(&self, traffic_factor: f64) -> f64 {
        self.load * traffic_factor
            + HOLDING_COST * self.all.len() as f64
            + self.group_cost * self.groups.len() as f64
    }

    /// Adds a connection and returns its present load, in usual loads.
    pub fn add(&mut self, now: Micros, link: LinkId, by: BalancerId, ask: &RequestLine, mean: f64) -> f64 {
        let (factor, next_change) = self.load_factor(ask.class, ask.key, now);
        let load = mean * factor;
        let connection = EstablishedConnection {
            by,
            class: ask.class,
            group: ask.group,
            key: ask.key,
            mean,
            load,
            next_change,
        };
        self.all.insert(link, connection);
        self.load += load;
        if ask.group != 0 {
            *self.groups.entry(ask.group).or_default() += 1;
        }
        if let Some(at) = next_change {
            self.pending_changes.push(Reverse((at, link)));
        }
        load
    }

    fn load_factor(&self, class: u32, key: u64, now: Micros) -> (f64, Option<Micros>) {
        self.oscillations.get(class as usize).map_or((1.0, None), |s| s.at(key, now))
    }

    /// Removes a connection; returns whether it was established.
    pub fn remove(&mut self, link: LinkId) -> bool {
        let Some(connection) = self.all.remove(&link) else { return false };
        self.load -= connection.load;
        if self.all.is_empty() {
            // Discard the accumulated rounding error.
            self.load = 0.0;
            self.pending_changes.clear();
        }
        if connection.group != 0 {
            let remaining = self.groups.get_mut(&connection.group).map_or(0, |count| {
                *count -= 1;
                *count
            });
            if remaining == 0 {
                self.groups.remove(&connection.group);
            }
        }
        true
    }

    /// The time of the next load change, or an earlier time that belongs to a removed connection.
    pub fn next_due(&self) -> Option<Micros> {
        self.pending_changes.peek().map(|Reverse((at, _))| *at)
    }

    /// Applies the next load change due by `now`; returns the link and its new load, in usual loads.
    pub fn pop_load_change(&mut self, now: Micros) -> Option<(LinkId, f64)> {
        while self.next_due().is_some_and(|at| at <= now) {
            let Some(Reverse((at, link))) = self.pending_changes.pop() else { break };
            let Some(connection) =
                self.all.get(&link).filter(|connection| connection.next_change == Some(at)).copied()
            else {
                continue;
            };
            let (factor, next_change) = self.load_factor(connection.class, connection.key, at);
            let load = connection.mean * factor;
            self.load += load - connection.load;
            self.all.insert(link, EstablishedConnection { load, next_change, ..connection });
            if let Some(at) = next_change {
                self.pending_changes.push(Reverse((at, link)));
            }
            return Some((link, load));
        }
        None
    }

    /// The groups with at least one established connection.
    pub fn groups(&self) -> Vec<u64> {
        self.groups.keys().copied().collect()
    }

    /// The links, from the oldest to the newest.
    pub fn links(&self) -> impl DoubleEndedIterator<Item = LinkId> + '_ {
        self.all.keys().copied()
    }

    /// The links, from the highest to the lowest load.
    pub fn heaviest(&self) -> Vec<LinkId> {
        let mut links: Vec<(f64, LinkId)> =
            self.all.iter().map(|(link, connection)| (connection.load, *link)).collect();
        links.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        links.into_iter().map(|(_, link)| link).collect()
    }

    /// The oldest link of each balancer that has a connection.
    pub fn oldest_by_balancer(&self) -> BTreeMap<BalancerId, LinkId> {
        let mut links = BTreeMap::new();
        for (link, c) in &self.all {
            links.entry(c.by).or_insert(*link);
        }
        links
    }
}

#[cfg(test)]
impl EstablishedConnections {
    /// Whether the sum of the loads and the group counts match the connections.
    pub fn sums_are_right(&self) -> bool {
        let load: f64 = self.all.values().map(|connection| connection.load).sum();
        let mut groups = BTreeMap::new();
        self.all
            .values()
            .filter(|connection| connection.group != 0)
            .for_each(|connection| *groups.entry(connection.group).or_default() += 1);
        (load - self.load).abs() < 1e-9 * load.max(1.0) && groups == self.groups
    }
}
