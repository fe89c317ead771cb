//! The registry of discovery: it observes changes of processes after a delay, publishes the list at a fixed
//! period, and numbers each published change as a version. While the registry is stale, observations are
//! delayed further.

use shorewharf_units::Micros;
use std::collections::BTreeSet;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::day;
use crate::edge::{Listed, NodeId, Stage};

/// The detection time of a process's end deviates from the configured mean by up to this ratio, uniformly
/// distributed.
const DETECTION_SPREAD_RATIO: f64 = 0.2;
/// The time until a new process is listed deviates from the configured mean by up to this ratio, uniformly
/// distributed.
const LISTING_SPREAD_RATIO: f64 = 0.3;

/// A change of a process that discovery can observe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// The process starts.
    Started,
    /// The process announces that it drains.
    Draining,
    /// The process ends, and its machine closes its connections.
    Ended,
    /// The process hangs or its machine is cut off from the network.
    Silent,
    /// The process is reachable again.
    Reachable,
}

/// The true state of a process.
#[derive(Clone, Copy, Debug)]
struct ProcessState {
    up: bool,
    draining: bool,
    is_reachable: bool,
    started_at: Option<Micros>,
    /// Incremented by every observable change; pending observations of an older epoch are dropped.
    epoch: u32,
}

impl ProcessState {
    fn stage(&self) -> Stage {
        match (self.up && self.is_reachable, self.draining) {
            (false, _) => Stage::Gone,
            (true, true) => Stage::Draining,
            (true, false) => Stage::Ready,
        }
    }
}

/// A change that will be observed later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingChange {
    due: Micros,
    /// Orders changes with the same due time by their arrival.
    number: u64,
    node: NodeId,
    epoch: u32,
    /// Whether a stale registry has already postponed the observation.
    is_postponed: bool,
}

/// The endpoint list, its versions, and the changes that are not yet observed.
#[derive(Clone, Debug)]
pub struct Registry {
    config: day::Discovery,
    processes: Vec<ProcessState>,
    pending_changes: BTreeSet<PendingChange>,
    next_number: u64,
    /// The observed entries, which the next write publishes.
    observed: Vec<Listed>,
    unwritten: BTreeSet<NodeId>,
    next_write: Micros,
    listed: Vec<Listed>,
    /// The number of listed entries that are not gone.
    lines: usize,
    /// For each version after the first: the previous values of the entries that it changed.
    previous_entries: Vec<Vec<Listed>>,
    /// For each version: the number of changes up to and including it.
    cumulative_changes: Vec<u64>,
    /// The active periods of staleness, each with its additional delay.
    staleness: Vec<Micros>,
    rng: Pcg64Mcg,
}

impl Registry {
    /// Creates a registry with the state of all nodes at the start of the day; `up` says which of them run.
    pub fn new(config: &day::Discovery, up: impl Iterator<Item = bool>, rng: Pcg64Mcg) -> Registry {
        let process: Vec<ProcessState> = up
            .map(|up| ProcessState { up, draining: false, is_reachable: true, started_at: None, epoch: 0 })
            .collect();
        let entry = |(i, t): (usize, &ProcessState)| Listed {
            node: NodeId(i as u32),
            stage: t.stage(),
            started_at: None,
        };
        let listed: Vec<Listed> = process.iter().enumerate().map(entry).collect();
        Registry {
            config: config.clone(),
            lines: listed.iter().filter(|l| l.stage != Stage::Gone).count(),
            processes: process,
            pending_changes: BTreeSet::new(),
            next_number: 0,
            observed: listed.clone(),
            unwritten: BTreeSet::new(),
            next_write: 0,
            listed,
            previous_entries: Vec::new(),
            cumulative_changes: vec![0],
            staleness: Vec::new(),
            rng,
        }
    }

    /// Records a change of a process at `now`; the registry observes it later.
    pub fn on_process_change(&mut self, now: Micros, node: NodeId, what: Process) {
        let config = &self.config;
        let process = &mut self.processes[node.0 as usize];
        // Changes of an unreachable process are observed only once it is reachable again.
        let is_observable = process.is_reachable || (what == Process::Reachable && process.up);
        let (mean, spread) = match what {
            Process::Started => {
                (process.up, process.draining, process.started_at) = (true, false, Some(now));
                (config.add, LISTING_SPREAD_RATIO)
            }
            // The process announces its drain itself, as a new process announces its start.
            Process::Draining => {
                process.draining = true;
                (config.add, LISTING_SPREAD_RATIO)
            }
            Process::Ended => {
                process.up = false;
                (config.notice, DETECTION_SPREAD_RATIO)
            }
            Process::Silent => {
                process.is_reachable = false;
                (config.silent_notice, DETECTION_SPREAD_RATIO)
            }
            Process::Reachable => {
                process.is_reachable = true;
                (config.add, LISTING_SPREAD_RATIO)
            }
        };
        if !is_observable {
            return;
        }
        process.epoch += 1;
        let epoch = process.epoch;
        let delay = mean as f64 * self.rng.random_range(1.0 - spread..1.0 + spread);
        self.next_number += 1;
        let due = now + delay as Micros;
        self.pending_changes.insert(PendingChange {
            due,
            number: self.next_number,
            node,
            epoch,
            is_postponed: false,
        });
    }

    /// Begins a period in which observations are delayed by an additional `by`.
    pub fn begin_staleness(&mut self, by: Micros) {
        self.staleness.push(by);
    }

    /// Ends such a period: postponed changes are observed now, or after the delay of the other active
    /// periods.
    pub fn end_staleness(&mut self, now: Micros, by: Micros) {
        if let Some(index) = self.staleness.iter().position(|&s| s == by) {
            self.staleness.remove(index);
        }
        let latest = now + self.staleness.iter().sum::<Micros>();
        let limit_due =
            |c: PendingChange| if c.is_postponed { PendingChange { due: c.due.min(latest), ..c } } else { c };
        self.pending_changes = std::mem::take(&mut self.pending_changes).into_iter().map(limit_due).collect();
    }

    /// The time of the next observation or write.
    pub fn next_due(&self) -> Option<Micros> {
        let writes = (!self.unwritten.is_empty()).then_some(self.next_write);
        [writes, self.pending_changes.first().map(|c| c.due)].into_iter().flatten().min()
    }

    /// Handles the observations and the write due at `now`, which must be the time returned by `next_due`.
    /// Returns whether a new version was published.
    pub fn advance(&mut self, now: Micros) -> bool {
        while let Some(&c) = self.pending_changes.first().filter(|c| c.due <= now) {
            self.pending_changes.pop_first();
            self.observe(c);
        }
        if self.unwritten.is_empty() || self.next_write > now {
            return false;
        }
        self.write_version()
    }

    fn observe(&mut self, c: PendingChange) {
        let process = self.processes[c.node.0 as usize];
        if process.epoch != c.epoch {
            return;
        }
        let additional_delay = self.staleness.iter().sum::<Micros>();
        if additional_delay > 0 && !c.is_postponed {
            self.pending_changes.insert(PendingChange {
                due: c.due + additional_delay,
                is_postponed: true,
                ..c
            });
            return;
        }
        let entry = &mut self.observed[c.node.0 as usize];
        entry.stage = process.stage();
        if entry.stage != Stage::Gone {
            entry.started_at = process.started_at;
        }
        if self.unwritten.is_empty() {
            // The list is written at multiples of the period, counted from the start of the day.
            let period = self.config.period.max(1);
            self.next_write = c.due.div_ceil(period) * period;
        }
        self.unwritten.insert(c.node);
    }

    fn write_version(&mut self) -> bool {
        let mut before = Vec::new();
        for node in std::mem::take(&mut self.unwritten) {
            let (entry, updated) = (&mut self.listed[node.0 as usize], self.observed[node.0 as usize]);
            if *entry != updated {
                before.push(std::mem::replace(entry, updated));
            }
        }
        if before.is_empty() {
            return false;
        }
        self.lines = self.listed.iter().filter(|l| l.stage != Stage::Gone).count();
        self.cumulative_changes
            .push(self.cumulative_changes[self.cumulative_changes.len() - 1] + before.len() as u64);
        self.previous_entries.push(before);
        true
    }

    /// The version of the list; the list at the start of the day is version 0.
    pub fn version(&self) -> usize {
        self.previous_entries.len()
    }

    /// The number of listed entries that are not gone.
    pub fn lines(&self) -> usize {
        self.lines
    }

    /// The number of single changes since a version.
    pub fn changes_since(&self, version: usize) -> u64 {
        self.cumulative_changes[self.cumulative_changes.len() - 1] - self.cumulative_changes[version]
    }

    /// The update for a watcher at this version: the changes if it is the latest version or the one before,
    /// else the full list. The flag is true for a full list.
    pub fn update_since(&self, version: usize) -> (bool, Vec<Listed>) {
        match self.version() - version {
            0 => (false, Vec::new()),
            1 => (false, self.latest_changes().collect()),
            _ => (true, self.full_list()),
        }
    }

    /// The present values of the entries that the latest version changed.
    pub fn latest_changes(&self) -> impl Iterator<Item = Listed> {
        self.previous_entries.last().into_iter().flatten().map(|b| self.listed[b.node.0 as usize])
    }

    /// The full published list without gone entries.
    pub fn full_list(&self) -> Vec<Listed> {
        self.listed.iter().filter(|l| l.stage != Stage::Gone).copied().collect()
    }

    /// The full list at a version, without gone entries.
    pub fn full_list_at(&self, version: usize) -> Vec<Listed> {
        let mut list = self.listed.clone();
        for before in self.previous_entries[version..].iter().rev() {
            for entry in before {
                list[entry.node.0 as usize] = *entry;
            }
        }
        list.retain(|l| l.stage != Stage::Gone);
        list
    }
}
