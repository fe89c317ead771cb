//! What discovery knows of processes: events reach it late, wait for the next writing of the list, and each writing
//! that changes anything is a version. While its view is stale, what it would notice waits longer.

use shorewharf_units::Micros;
use std::collections::BTreeSet;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::day;
use crate::edge::{Listed, NodeId, Stage};

/// The end of a process is noticed within this much of the stated time (measured at the simulator: even between
/// 0.8 and 1.2 of it).
const NOTICE_SPREAD: f64 = 0.2;
/// A new process is listed within this much of the stated time (measured: even between 0.7 and 1.3 of it).
const ADD_SPREAD: f64 = 0.3;

/// What happens to a process, as far as discovery can learn of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// It starts anew.
    Starts,
    /// It says that it drains.
    Drains,
    /// It ends: its machine closes what it held, and says so.
    Ends,
    /// Its machine falls silent.
    FallsSilent,
    /// Its machine is heard again.
    Speaks,
}

/// What a process truly is.
#[derive(Clone, Copy, Debug)]
struct ProcessState {
    up: bool,
    draining: bool,
    heard: bool,
    born: Option<Micros>,
    /// Goes up with whatever an observer would see: what was to be noticed of an older state is worth nothing then.
    epoch: u32,
}

impl ProcessState {
    fn stage(&self) -> Stage {
        match (self.up && self.heard, self.draining) {
            (false, _) => Stage::Gone,
            (true, true) => Stage::Draining,
            (true, false) => Stage::Ready,
        }
    }
}

/// Something that will be noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingChange {
    due: Micros,
    /// Keeps equal times in the order in which they came.
    number: u64,
    node: NodeId,
    epoch: u32,
    /// A stale view has put it off already.
    put_off: bool,
}

/// The list, its versions, and what has not been noticed yet.
#[derive(Clone, Debug)]
pub struct Registry {
    figures: day::Discovery,
    truth: Vec<ProcessState>,
    coming: BTreeSet<PendingChange>,
    numbers: u64,
    /// What has been noticed; in the list from the next writing on.
    noticed: Vec<Listed>,
    unwritten: BTreeSet<NodeId>,
    writes_at: Micros,
    listed: Vec<Listed>,
    /// Entries of the list that are not gone.
    lines: usize,
    /// By version but the first: what each changed entry had been.
    before: Vec<Vec<Listed>>,
    /// By version: changes up to and with it.
    changes: Vec<u64>,
    /// The spells that are on, each with how much further behind the view runs.
    stale: Vec<Micros>,
    rng: Pcg64Mcg,
}

impl Registry {
    /// A registry that knows all nodes as they are when the day starts; `up` says who runs.
    pub fn new(figures: &day::Discovery, up: impl Iterator<Item = bool>, rng: Pcg64Mcg) -> Registry {
        let truth: Vec<ProcessState> =
            up.map(|up| ProcessState { up, draining: false, heard: true, born: None, epoch: 0 }).collect();
        let entry =
            |(i, t): (usize, &ProcessState)| Listed { node: NodeId(i as u32), stage: t.stage(), born: None };
        let listed: Vec<Listed> = truth.iter().enumerate().map(entry).collect();
        Registry {
            figures: figures.clone(),
            lines: listed.iter().filter(|l| l.stage != Stage::Gone).count(),
            truth,
            coming: BTreeSet::new(),
            numbers: 0,
            noticed: listed.clone(),
            unwritten: BTreeSet::new(),
            writes_at: 0,
            listed,
            before: Vec::new(),
            changes: vec![0],
            stale: Vec::new(),
            rng,
        }
    }

    /// Something happens to a process at `now`; the registry learns of it later.
    pub fn happens(&mut self, now: Micros, node: NodeId, what: Process) {
        let f = &self.figures;
        let truth = &mut self.truth[node.0 as usize];
        // What a silent machine's process does shows only once the machine is heard again.
        let shows = truth.heard || (what == Process::Speaks && truth.up);
        let (mean, spread) = match what {
            Process::Starts => {
                (truth.up, truth.draining, truth.born) = (true, false, Some(now));
                (f.add, ADD_SPREAD)
            }
            // It says so by itself, as a new process does.
            Process::Drains => {
                truth.draining = true;
                (f.add, ADD_SPREAD)
            }
            Process::Ends => {
                truth.up = false;
                (f.notice, NOTICE_SPREAD)
            }
            Process::FallsSilent => {
                truth.heard = false;
                (f.silent_notice, NOTICE_SPREAD)
            }
            Process::Speaks => {
                truth.heard = true;
                (f.add, ADD_SPREAD)
            }
        };
        if !shows {
            return;
        }
        truth.epoch += 1;
        let epoch = truth.epoch;
        let late = mean as f64 * self.rng.random_range(1.0 - spread..1.0 + spread);
        self.numbers += 1;
        let due = now + late as Micros;
        self.coming.insert(PendingChange { due, number: self.numbers, node, epoch, put_off: false });
    }

    /// A spell begins in which the view runs `by` further behind.
    pub fn falls_behind(&mut self, by: Micros) {
        self.stale.push(by);
    }

    /// Such a spell ends: what it put off is noticed now, or after what the other spells still add.
    pub fn catches_up(&mut self, now: Micros, by: Micros) {
        if let Some(place) = self.stale.iter().position(|&s| s == by) {
            self.stale.remove(place);
        }
        let latest = now + self.stale.iter().sum::<Micros>();
        let sooner =
            |c: PendingChange| if c.put_off { PendingChange { due: c.due.min(latest), ..c } } else { c };
        self.coming = std::mem::take(&mut self.coming).into_iter().map(sooner).collect();
    }

    /// When something is noticed or written next.
    pub fn next_due(&self) -> Option<Micros> {
        let writes = (!self.unwritten.is_empty()).then_some(self.writes_at);
        [writes, self.coming.first().map(|c| c.due)].into_iter().flatten().min()
    }

    /// Notices and writes what is due at `now`, which must be what `next_due` said. True for a new version.
    pub fn advance(&mut self, now: Micros) -> bool {
        while let Some(&c) = self.coming.first().filter(|c| c.due <= now) {
            self.coming.pop_first();
            self.notices(c);
        }
        if self.unwritten.is_empty() || self.writes_at > now {
            return false;
        }
        self.writes()
    }

    fn notices(&mut self, c: PendingChange) {
        let truth = self.truth[c.node.0 as usize];
        if truth.epoch != c.epoch {
            return;
        }
        let behind = self.stale.iter().sum::<Micros>();
        if behind > 0 && !c.put_off {
            self.coming.insert(PendingChange { due: c.due + behind, put_off: true, ..c });
            return;
        }
        let entry = &mut self.noticed[c.node.0 as usize];
        entry.stage = truth.stage();
        if entry.stage != Stage::Gone {
            entry.born = truth.born;
        }
        if self.unwritten.is_empty() {
            // The list is written at whole periods of the day's clock.
            let period = self.figures.period.max(1);
            self.writes_at = c.due.div_ceil(period) * period;
        }
        self.unwritten.insert(c.node);
    }

    fn writes(&mut self) -> bool {
        let mut before = Vec::new();
        for node in std::mem::take(&mut self.unwritten) {
            let (entry, news) = (&mut self.listed[node.0 as usize], self.noticed[node.0 as usize]);
            if *entry != news {
                before.push(std::mem::replace(entry, news));
            }
        }
        if before.is_empty() {
            return false;
        }
        self.lines = self.listed.iter().filter(|l| l.stage != Stage::Gone).count();
        self.changes.push(self.changes[self.changes.len() - 1] + before.len() as u64);
        self.before.push(before);
        true
    }

    /// The list's version; the one at the day's start is 0.
    pub fn version(&self) -> usize {
        self.before.len()
    }

    /// Entries of the list that are not gone.
    pub fn lines(&self) -> usize {
        self.lines
    }

    /// Changes since a version, counted one by one.
    pub fn changes_since(&self, version: usize) -> u64 {
        self.changes[self.changes.len() - 1] - self.changes[version]
    }

    /// What to tell someone who holds that version: the changes if it is the present one or the one before, else the
    /// whole list. The flag says which.
    pub fn news_since(&self, version: usize) -> (bool, Vec<Listed>) {
        match self.version() - version {
            0 => (false, Vec::new()),
            1 => (false, self.latest().collect()),
            _ => (true, self.whole()),
        }
    }

    /// What the latest version changed, as it is now.
    pub fn latest(&self) -> impl Iterator<Item = Listed> {
        self.before.last().into_iter().flatten().map(|b| self.listed[b.node.0 as usize])
    }

    /// The whole list as it is written now, without what is gone.
    pub fn whole(&self) -> Vec<Listed> {
        self.listed.iter().filter(|l| l.stage != Stage::Gone).copied().collect()
    }

    /// The whole list as it was at a version.
    pub fn whole_at(&self, version: usize) -> Vec<Listed> {
        let mut list = self.listed.clone();
        for before in self.before[version..].iter().rev() {
            for entry in before {
                list[entry.node.0 as usize] = *entry;
            }
        }
        list.retain(|l| l.stage != Stage::Gone);
        list
    }
}
