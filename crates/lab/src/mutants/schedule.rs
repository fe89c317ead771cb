//! Actions that a mutant takes by itself, by time.

use std::collections::{BTreeMap, VecDeque};

use shorewharf_emulator::edge::{ConnId, End, FromBalancer, LinkId, NodeId, ToBalancer};
use shorewharf_units::Micros;

/// One action.
#[derive(Clone, Debug)]
pub enum ScheduledAction {
    /// Emits this as the balancer.
    Does(FromBalancer),
    /// Delivers this to the wrapped instance.
    Hears(ToBalancer),
}

/// Pending actions in order of time.
#[derive(Debug)]
pub struct ActionSchedule {
    first_link: u64,
    next_link: u64,
    to_come: BTreeMap<Micros, VecDeque<ScheduledAction>>,
}

impl ActionSchedule {
    /// Creates an empty schedule; `first_link` numbers the mutant's own links.
    pub fn new(first_link: u64) -> Self {
        ActionSchedule { first_link, next_link: first_link, to_come: BTreeMap::new() }
    }

    /// Whether a link is the mutant's own.
    pub fn owns(&self, link: LinkId) -> bool {
        link.0 >= self.first_link
    }

    /// Drops all actions, when the process ends.
    pub fn clear(&mut self) {
        self.to_come.clear();
    }

    /// Schedules an action.
    pub fn at(&mut self, when: Micros, act: ScheduledAction) {
        self.to_come.entry(when).or_default().push_back(act);
    }

    /// Schedules an attempt that is closed after `duration`.
    pub fn tries(&mut self, when: Micros, conn: ConnId, node: NodeId, duration: Micros) {
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.at(when, ScheduledAction::Does(FromBalancer::Link { link, node, conn: Some(conn) }));
        self.at(when + duration, ScheduledAction::Does(FromBalancer::EndLink(link, End::Fin)));
    }

    /// When the next one is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.to_come.keys().next().copied()
    }

    /// Runs all actions that are due.
    pub fn due(&mut self, now: Micros, out: &mut Vec<FromBalancer>, inputs: &mut Vec<ToBalancer>) {
        while let Some(entry) = self.to_come.first_entry().filter(|e| *e.key() <= now) {
            for act in entry.remove() {
                match act {
                    ScheduledAction::Does(message) => out.push(message),
                    ScheduledAction::Hears(message) => inputs.push(message),
                }
            }
        }
    }
}
