//! What a mutant does by itself, and when.

use std::collections::{BTreeMap, VecDeque};

use shorewharf_emulator::edge::{ConnId, End, FromBalancer, LinkId, NodeId, ToBalancer};
use shorewharf_units::Micros;

/// One act.
#[derive(Clone, Debug)]
pub enum ScheduledAction {
    /// It does this.
    Does(FromBalancer),
    /// It has its instance hear this.
    Hears(ToBalancer),
}

/// Acts to come, in order of time.
#[derive(Debug)]
pub struct ActionSchedule {
    first_link: u64,
    next_link: u64,
    to_come: BTreeMap<Micros, VecDeque<ScheduledAction>>,
}

impl ActionSchedule {
    /// None yet; links of the mutant's own are numbered from here on.
    pub fn new(first_link: u64) -> Self {
        ActionSchedule { first_link, next_link: first_link, to_come: BTreeMap::new() }
    }

    /// Whether a link is the mutant's own.
    pub fn owns(&self, link: LinkId) -> bool {
        link.0 >= self.first_link
    }

    /// The process is gone.
    pub fn clear(&mut self) {
        self.to_come.clear();
    }

    /// Plans an act.
    pub fn at(&mut self, when: Micros, act: ScheduledAction) {
        self.to_come.entry(when).or_default().push_back(act);
    }

    /// Plans an attempt that is given up after so long.
    pub fn tries(&mut self, when: Micros, conn: ConnId, node: NodeId, long: Micros) {
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.at(when, ScheduledAction::Does(FromBalancer::Link { link, node, conn: Some(conn) }));
        self.at(when + long, ScheduledAction::Does(FromBalancer::EndLink(link, End::Fin)));
    }

    /// When the next one is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.to_come.keys().next().copied()
    }

    /// Does what is due by now.
    pub fn due(&mut self, now: Micros, out: &mut Vec<FromBalancer>, heard: &mut Vec<ToBalancer>) {
        while let Some(entry) = self.to_come.first_entry().filter(|e| *e.key() <= now) {
            for act in entry.remove() {
                match act {
                    ScheduledAction::Does(word) => out.push(word),
                    ScheduledAction::Hears(word) => heard.push(word),
                }
            }
        }
    }
}
