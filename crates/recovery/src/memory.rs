//! What was learned of servers and loads, to outlive the instance that learned it: the same rules as for the decision
//! module's own memory. A record is small, a few numbers a server, and is read in portions with the module's.

use serde::{Deserialize, Serialize};
use shorewharf_decisions::interface::ServerId;
use shorewharf_decisions::persistence::{RestoreCounts, StateRecord, valid_load};

use crate::care::Guarded;
use crate::estimate::Estimate;
use crate::table::Table;

/// One thing that is known, the decision module's things among them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Learned {
    /// By the decision module.
    Module(StateRecord),
    /// Of loads and set-ups as a whole.
    Loads(Loads),
    /// What a server bears, and whether attempts failed there.
    Bears(Bears),
}

/// What was learned of loads and set-ups as a whole.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Loads {
    /// Mean load of a standing connection, and how many tell of it.
    pub mean: f64,
    /// How many told of it.
    pub loads: f64,
    /// Logarithm of a usual set-up's work.
    pub work: f64,
    /// How many told of that.
    pub set_ups: f64,
}

/// What was learned of a server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bears {
    /// The server.
    pub server: u64,
    /// When its process had started, as listed.
    pub born: f64,
    /// What this balancer may put there over its even part of the listed size.
    pub factor: f64,
    /// When it said last that messages are slow; none if it never did.
    pub noted: Option<f64>,
    /// It takes no moves before then; none if no attempt failed there.
    pub barred: Option<f64>,
}

/// How far a reading has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cursor {
    /// In the decision module's memory.
    Module(shorewharf_decisions::persistence::ExportCursor),
    /// Behind this server.
    Servers(Option<ServerId>),
    /// Everything was read.
    End,
}

impl Default for Cursor {
    fn default() -> Self {
        Cursor::Module(Default::default())
    }
}

impl Guarded {
    /// Reads on: so many things at most, and where to go on from.
    pub fn recollect(&self, from: Cursor, most: usize, out: &mut Vec<Learned>) -> Cursor {
        match from {
            Cursor::Module(at) => {
                let mut known = Vec::new();
                let at = self.module.export_state(at, most, &mut known);
                out.extend(known.into_iter().map(Learned::Module));
                match at {
                    shorewharf_decisions::persistence::ExportCursor::End => Cursor::Servers(None),
                    at => Cursor::Module(at),
                }
            }
            Cursor::Servers(last) => {
                if last.is_none() {
                    out.push(Learned::Loads(self.estimate.loads()));
                }
                let some = self.estimate.learned(last, most);
                let behind = some.last().map(|(id, ..)| *id);
                let read = some.len();
                out.extend(some.into_iter().map(|(id, born, factor, noted)| {
                    let barred = self.care.table().barred(id);
                    Learned::Bears(Bears { server: id.0, born, factor, noted, barred })
                }));
                if read < most { Cursor::End } else { Cursor::Servers(behind) }
            }
            Cursor::End => Cursor::End,
        }
    }

    /// Recalls what one before has known `past` seconds ago; the list is to be told first. Clients that stood are expected
    /// back if their connections are `away`.
    pub fn recall(&mut self, now: f64, past: f64, away: bool, learned: Vec<Learned>) -> RestoreCounts {
        let mut known = Vec::new();
        let mut recalled = RestoreCounts::default();
        for learned in learned {
            match learned {
                Learned::Module(one) => known.push(one),
                Learned::Loads(loads) => match self.estimate.recall_loads(&loads) {
                    true => {
                        self.care.table_mut().recall_mean(loads.mean);
                        recalled.restored += 1;
                    }
                    false => recalled.invalid += 1,
                },
                Learned::Bears(bears) => {
                    let fate = self.estimate.recall(now, past, &bears);
                    match fate {
                        None => recalled.invalid += 1,
                        Some(false) => recalled.outdated += 1,
                        Some(true) => {
                            self.care.table_mut().recall(now, ServerId(bears.server), bears.barred);
                            recalled.restored += 1;
                        }
                    }
                }
            }
        }
        self.module.restore(now, past, away, &known).and(recalled)
    }
}

/// What one server's record says: server, start, factor, and when it last said that it is slow.
pub(crate) type OneServer = (ServerId, f64, f64, Option<f64>);

/// Share of what was learned of a server that still holds a second later: what it bears changes with what else runs
/// there. Within half a minute about half is left.
const HOLDS: f64 = 0.98;

impl Estimate {
    /// Recalls what loads and set-ups were like; false where a number can't be.
    fn recall_loads(&mut self, known: &Loads) -> bool {
        let all = [known.mean, known.loads, known.work, known.set_ups];
        let mean = known.mean == 0.0 || valid_load(known.mean).is_some();
        let good = all.into_iter().all(f64::is_finite) && mean && known.loads >= 0.0;
        if good && known.set_ups >= 0.0 {
            self.start_from(known);
        }
        good && known.set_ups >= 0.0
    }

    /// Recalls what a server bears: none where a number can't be, false where it speaks of another process.
    fn recall(&mut self, now: f64, past: f64, known: &Bears) -> Option<bool> {
        if !(known.factor.is_finite() && known.factor > 0.0 && known.born.is_finite()) {
            return None;
        }
        let factor = known.factor.ln() * HOLDS.powf(past.max(0.0));
        let noted = known.noted.filter(|at| at.is_finite() && *at <= now);
        Some(self.start_server(ServerId(known.server), known.born, factor.exp(), noted))
    }
}

impl Table {
    fn recall_mean(&mut self, mean: f64) {
        if mean > 0.0 {
            self.start_mean(mean);
        }
    }

    fn recall(&mut self, now: f64, server: ServerId, barred: Option<f64>) {
        if let Some(until) = barred.filter(|until| *until > now) {
            self.bar(now, server, until);
        }
    }
}
