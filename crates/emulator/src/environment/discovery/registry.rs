//! The registry of discovery: it observes changes of processes after a delay, publishes the list at a fixed period, and
//! numbers each published change as a version. While its view is stale, observations are delayed further.

use shorewharf_units::Micros;
use std::collections::BTreeSet;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::day;
use crate::edge::{Listed, NodeId, Stage};

/// The end of a process is detected within this ratio of the stated time, uniformly distributed.
const DETECTION_SPREAD_RATIO: f64 = 0.2;
/// A new process is listed within this ratio of the stated time, uniformly distributed.
const LISTING_SPREAD_RATIO: f64 = 0.3;

/// A change of a process that discovery can observe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// It starts anew.
    Started,
    /// It says that it drains.
    Draining,
    /// It ends: its machine closes what it held, and says so.
    Ended,
    /// Its machine falls silent.
    Silent,
    /// Its machine is heard again.
    Reachable,
}

/// The true state of a process.
#[derive(Clone, Copy, Debug)]
struct ProcessState {
    up: bool,
    draining: bool,
    is_reachable: bool,
    started_at: Option<Micros>,
    /// Goes up with whatever an observer would see: what was to be noticed of an older state is worth nothing then.
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
    /// Keeps equal times in the order in which they came.
    number: u64,
    node: NodeId,
    epoch: u32,
    /// A stale view has put it off already.
    is_postponed: bool,
}

/// The endpoint list, its versions, and the changes that are not observed yet.
#[derive(Clone, Debug)]
pub struct Registry {
    figures: day::Discovery,
    processes: Vec<ProcessState>,
    pending_changes: BTreeSet<PendingChange>,
    next_number: u64,
    /// Observed entries; published at the next write.
    observed: Vec<Listed>,
    unwritten: BTreeSet<NodeId>,
    next_write: Micros,
    listed: Vec<Listed>,
    /// Entries of the list that are not gone.
    lines: usize,
    /// By version but the first: what each changed entry had been.
    previous_entries: Vec<Vec<Listed>>,
    /// By version: changes up to and with it.
    cumulative_changes: Vec<u64>,
    /// The active periods of staleness, each with its additional delay.
    staleness: Vec<Micros>,
    rng: Pcg64Mcg,
}

impl Registry {
    /// A registry that knows all nodes as they are when the day starts; `up` says who runs.
    pub fn new(figures: &day::Discovery, up: impl Iterator<Item = bool>, rng: Pcg64Mcg) -> Registry {
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
            figures: figures.clone(),
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
        let f = &self.figures;
        let process = &mut self.processes[node.0 as usize];
        // What a silent machine's process does shows only once the machine is heard again.
        let shows = process.is_reachable || (what == Process::Reachable && process.up);
        let (mean, spread) = match what {
            Process::Started => {
                (process.up, process.draining, process.started_at) = (true, false, Some(now));
                (f.add, LISTING_SPREAD_RATIO)
            }
            // It says so by itself, as a new process does.
            Process::Draining => {
                process.draining = true;
                (f.add, LISTING_SPREAD_RATIO)
            }
            Process::Ended => {
                process.up = false;
                (f.notice, DETECTION_SPREAD_RATIO)
            }
            Process::Silent => {
                process.is_reachable = false;
                (f.silent_notice, DETECTION_SPREAD_RATIO)
            }
            Process::Reachable => {
                process.is_reachable = true;
                (f.add, LISTING_SPREAD_RATIO)
            }
        };
        if !shows {
            return;
        }
        process.epoch += 1;
        let epoch = process.epoch;
        let late = mean as f64 * self.rng.random_range(1.0 - spread..1.0 + spread);
        self.next_number += 1;
        let due = now + late as Micros;
        self.pending_changes.insert(PendingChange {
            due,
            number: self.next_number,
            node,
            epoch,
            is_postponed: false,
        });
    }

    /// A spell begins in which the view runs `by` further behind.
    pub fn begin_staleness(&mut self, by: Micros) {
        self.staleness.push(by);
    }

    /// Such a spell ends: what it put off is noticed now, or after what the other spells still add.
    pub fn end_staleness(&mut self, now: Micros, by: Micros) {
        if let Some(place) = self.staleness.iter().position(|&s| s == by) {
            self.staleness.remove(place);
        }
        let latest = now + self.staleness.iter().sum::<Micros>();
        let sooner =
            |c: PendingChange| if c.is_postponed { PendingChange { due: c.due.min(latest), ..c } } else { c };
        self.pending_changes = std::mem::take(&mut self.pending_changes).into_iter().map(sooner).collect();
    }

    /// When something is noticed or written next.
    pub fn next_due(&self) -> Option<Micros> {
        let writes = (!self.unwritten.is_empty()).then_some(self.next_write);
        [writes, self.pending_changes.first().map(|c| c.due)].into_iter().flatten().min()
    }

    /// Notices and writes what is due at `now`, which must be what `next_due` said. True for a new version.
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
        let behind = self.staleness.iter().sum::<Micros>();
        if behind > 0 && !c.is_postponed {
            self.pending_changes.insert(PendingChange { due: c.due + behind, is_postponed: true, ..c });
            return;
        }
        let entry = &mut self.observed[c.node.0 as usize];
        entry.stage = process.stage();
        if entry.stage != Stage::Gone {
            entry.started_at = process.started_at;
        }
        if self.unwritten.is_empty() {
            // The list is written at whole periods of the day's clock.
            let period = self.figures.period.max(1);
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

    /// The list's version; the one at the day's start is 0.
    pub fn version(&self) -> usize {
        self.previous_entries.len()
    }

    /// Entries of the list that are not gone.
    pub fn lines(&self) -> usize {
        self.lines
    }

    /// Changes since a version, counted one by one.
    pub fn changes_since(&self, version: usize) -> u64 {
        self.cumulative_changes[self.cumulative_changes.len() - 1] - self.cumulative_changes[version]
    }

    /// What to tell someone who holds that version: the changes if it is the present one or the one before, else the
    /// whole list. The flag says which.
    pub fn update_since(&self, version: usize) -> (bool, Vec<Listed>) {
        match self.version() - version {
            0 => (false, Vec::new()),
            1 => (false, self.latest_changes().collect()),
            _ => (true, self.full_list()),
        }
    }

    /// What the latest version changed, as it is now.
    pub fn latest_changes(&self) -> impl Iterator<Item = Listed> {
        self.previous_entries.last().into_iter().flatten().map(|b| self.listed[b.node.0 as usize])
    }

    /// The whole list as it is written now, without what is gone.
    pub fn full_list(&self) -> Vec<Listed> {
        self.listed.iter().filter(|l| l.stage != Stage::Gone).copied().collect()
    }

    /// The whole list as it was at a version.
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
