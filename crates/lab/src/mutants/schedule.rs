//! Actions that a mutant takes independently of the wrapped instance, ordered by time.

use std::collections::{BTreeMap, VecDeque};

use shorewharf_emulator::edge::{ConnId, End, FromBalancer, LinkId, NodeId, ToBalancer};
use shorewharf_units::Micros;

/// An action of a mutant.
#[derive(Clone, Debug)]
pub enum ScheduledAction {
    /// Emits an output as the balancer.
    Emit(FromBalancer),
    /// Delivers an input to the wrapped instance.
    Deliver(ToBalancer),
}

/// Pending actions in order of their times.
#[derive(Debug)]
pub struct ActionSchedule {
    /// First number of the mutant's own links; those of the instance are lower.
    first_link: u64,
    next_link: u64,
    pending: BTreeMap<Micros, VecDeque<ScheduledAction>>,
}

impl ActionSchedule {
    /// Creates an empty schedule; `first_link` numbers the mutant's own links.
    pub fn new(first_link: u64) -> Self {
        ActionSchedule { first_link, next_link: first_link, pending: BTreeMap::new() }
    }

    /// Whether a link is the mutant's own.
    pub fn owns(&self, link: LinkId) -> bool {
        link.0 >= self.first_link
    }

    /// Drops all pending actions; called when the process ends.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Schedules an action for a time.
    pub fn schedule(&mut self, at: Micros, action: ScheduledAction) {
        self.pending.entry(at).or_default().push_back(action);
    }

    /// Schedules an attempt of the mutant itself, whose link is closed after `duration`.
    pub fn schedule_attempt(&mut self, at: Micros, conn: ConnId, node: NodeId, duration: Micros) {
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.schedule(at, ScheduledAction::Emit(FromBalancer::Link { link, node, conn: Some(conn) }));
        self.schedule(at + duration, ScheduledAction::Emit(FromBalancer::EndLink(link, End::Fin)));
    }

    /// The time of the next pending action.
    pub fn next_due(&self) -> Option<Micros> {
        self.pending.keys().next().copied()
    }

    /// Runs all actions that are due: appends outputs to `out` and inputs for the instance to `inputs`.
    pub fn run_due(&mut self, now: Micros, out: &mut Vec<FromBalancer>, inputs: &mut Vec<ToBalancer>) {
        while let Some(entry) = self.pending.first_entry().filter(|e| *e.key() <= now) {
            for action in entry.remove() {
                match action {
                    ScheduledAction::Emit(message) => out.push(message),
                    ScheduledAction::Deliver(message) => inputs.push(message),
                }
            }
        }
    }
}
