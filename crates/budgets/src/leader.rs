//! The one who divides: what it believes of the others, and what it gives them.
//!
//! Of each member it keeps what *may* be in use there. That goes up with what it gives, before it is given, and down only when
//! the member has acknowledged less, or when its lease has surely ended: one lease and a margin after the last beat that was
//! read of it. All that may be in use together is never above what is divided.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use crate::divide::divide;
use crate::rows::{Amounts, Grant, Row, amount};
use crate::rules::{Kind, Rules};

/// Grants that go out in one write at most; the store takes a hundred records at once, of which the head is one and two may be removed.
const BATCH: usize = 97;
/// A member that was silent for so many leases is forgotten, and its records removed.
const FORGOTTEN: u64 = 20;

/// What is known of one life of a member.
#[derive(Clone, Debug)]
struct Entry {
    row: Row,
    /// When its last beat was read.
    heard_at: Micros,
    /// The beat that was confirmed last.
    confirmed: u64,
    may: Amounts,
    given: Amounts,
    /// The epoch of its last grant in this term; 0 for none.
    epoch: u64,
    /// It was seen in this term, and not only its grant from before.
    alive: bool,
}

/// A life whose records are to be removed, and whether it was the last of its name.
pub type Gone = (String, u64, bool);

/// A leader in its term.
#[derive(Clone, Debug)]
pub struct Leader {
    /// The number of its time.
    pub term: u64,
    epoch: u64,
    /// Before then more of a level may stand than the records say: the store may have been set back.
    levels_from: Micros,
    entries: BTreeMap<(String, u64), Entry>,
    /// Rows were read in this term.
    has_read: bool,
    /// Lives whose records are no longer needed, and whether they were the last of their name.
    gone: Vec<Gone>,
}

impl Leader {
    /// One whose term begins. Nothing that was granted before is in force any more; what may still stand under it is in the
    /// `grants` from then, unless the store was set back: it has not been since `whole`.
    pub fn new(now: Micros, whole: Micros, term: u64, rules: &Rules, grants: Vec<(String, Grant)>) -> Leader {
        let mut entries = BTreeMap::new();
        for (name, grant) in grants {
            let level = |b: &&crate::rules::Budget| b.kind == Kind::Level;
            let levels = rules.budgets.iter().filter(level);
            let may = levels.map(|b| (b.name.clone(), amount(&grant.may, &b.name))).collect();
            let row = Row { life: grant.life, ..Row::default() };
            // It counts as heard so that its lease ends when what stood must have been moved.
            let heard_at = now.saturating_sub(rules.lease);
            let (given, confirmed) = (Amounts::new(), grant.heard);
            entries.insert(
                (name, grant.life),
                Entry { row, heard_at, confirmed, may, given, epoch: 0, alive: false },
            );
        }
        let levels_from = whole + rules.lease + rules.margin + rules.linger;
        Leader { term, epoch: 0, levels_from, entries, has_read: false, gone: Vec::new() }
    }

    /// The highest term that any member has seen.
    pub fn highest_term(&self) -> u64 {
        self.entries.values().map(|e| e.row.term).max().unwrap_or(0)
    }

    /// A later term begins for the same leader: every member is given its part anew.
    pub fn begin(&mut self, term: u64) {
        self.term = term;
        self.epoch = 0;
        self.entries.values_mut().for_each(|e| e.epoch = 0);
    }

    /// A write of grants has had no answer: they go out again.
    pub fn unsent(&mut self, grants: &[(String, u64)]) {
        for key in grants {
            self.entries.entry(key.clone()).and_modify(|e| e.confirmed = 0);
        }
    }

    /// Members that are heard of.
    pub fn alive(&self, now: Micros, rules: &Rules) -> usize {
        self.entries.values().filter(|e| e.is_alive(now, rules)).count()
    }

    /// The members' rows as they are in the store. `now` is when the answer had come.
    pub fn hears(&mut self, now: Micros, rules: &Rules, rows: Vec<(String, Row)>) {
        // Rows that are there when the term begins may be of the dead: whoever lives writes another soon.
        let has_read = std::mem::replace(&mut self.has_read, true);
        for (name, row) in rows {
            let fresh = || Entry {
                row: row.clone(),
                heard_at: now,
                confirmed: 0,
                may: Amounts::new(),
                given: Amounts::new(),
                epoch: 0,
                alive: has_read,
            };
            let e = self.entries.entry((name, row.life)).or_insert_with(fresh);
            if row.beat > e.row.beat {
                (e.heard_at, e.alive) = (now, has_read || e.alive);
            } else if row.beat < e.row.beat {
                continue;
            }
            e.row = row;
            let e = &mut *e;
            if e.row.left {
                e.given.clear();
                e.may.clear();
            } else if e.epoch > 0 && e.row.acked.0 == self.term && e.row.acked.1 >= e.epoch {
                for b in &rules.budgets {
                    let given = amount(&e.given, &b.name);
                    let stands = if b.kind == Kind::Level { amount(&e.row.holds, &b.name) } else { 0.0 };
                    let may = amount(&e.may, &b.name).min(given.max(stands));
                    e.may.insert(b.name.clone(), may);
                }
            }
        }
        self.release(now, rules);
    }

    /// Whose lease has surely ended holds nothing; what stood there has been moved a while later.
    fn release(&mut self, now: Micros, rules: &Rules) {
        let ended = |e: &Entry| now >= e.heard_at + rules.lease + rules.margin;
        for e in self.entries.values_mut().filter(|e| ended(e)) {
            // What it had is not what it has if it is heard of again: that is told anew.
            (e.given, e.epoch) = (Amounts::new(), 0);
            for b in &rules.budgets {
                let linger = if b.kind == Kind::Level { rules.linger } else { 0 };
                if now >= e.heard_at + rules.lease + rules.margin + linger {
                    e.may.remove(&b.name);
                }
            }
        }
        let forget =
            |e: &Entry| now >= e.heard_at + FORGOTTEN * rules.lease || (e.row.left && e.may.is_empty());
        let past: Vec<(String, u64)> =
            self.entries.iter().filter(|(_, e)| forget(e)).map(|e| e.0.clone()).collect();
        for key in past {
            self.entries.remove(&key);
            let is_last = !self.entries.keys().any(|k| k.0 == key.0);
            self.gone.push((key.0, key.1, is_last));
        }
    }

    /// The least whole that any member's settings name: one that was lowered anywhere is in force.
    fn whole(&self, now: Micros, rules: &Rules, budget: &crate::rules::Budget) -> f64 {
        let told = self.entries.values().filter(|e| e.is_alive(now, rules));
        let told = told.filter_map(|e| e.row.wholes.get(&budget.name)).copied();
        told.filter(|w| w.is_finite() && *w >= 0.0).fold(budget.whole, f64::min)
    }

    /// What goes out now: grants that have changed, or that confirm a beat; and a life whose records are to be removed.
    pub fn grants(&mut self, now: Micros, rules: &Rules) -> (Vec<(String, Grant)>, Option<Gone>) {
        self.release(now, rules);
        let alive: Vec<(String, u64)> =
            self.entries.iter().filter(|(_, e)| e.is_alive(now, rules)).map(|e| e.0.clone()).collect();
        // Two lives of a name write one grant: the later one's.
        let alive: Vec<(String, u64)> = alive
            .iter()
            .filter(|(name, life)| !alive.iter().any(|other| other.0 == *name && other.1 > *life))
            .cloned()
            .collect();
        let mut targets: BTreeMap<(String, u64), Amounts> = BTreeMap::new();
        let mut free: Amounts = Amounts::new();
        // The whole was lowered, and more may be in use than that.
        let mut overdrawn: BTreeMap<String, bool> = BTreeMap::new();
        for b in &rules.budgets {
            let whole = rules.divided(b.kind, self.whole(now, rules, b));
            let of =
                |f: &dyn Fn(&Entry) -> f64| alive.iter().map(|k| f(&self.entries[k])).collect::<Vec<f64>>();
            // What stands is not moved for what others need; it is where the whole was lowered under it.
            let stands = of(&|e| if b.kind == Kind::Level { amount(&e.row.holds, &b.name) } else { 0.0 });
            let all: f64 = stands.iter().sum();
            let fits = if all > whole { whole / all } else { 1.0 };
            let stands: Vec<f64> = stands.into_iter().map(|s| (s * fits).floor()).collect();
            let rest = whole - stands.iter().sum::<f64>();
            let beyond = |(x, s): (f64, &f64)| (x - s).max(0.0);
            let wants: Vec<f64> =
                of(&|e| amount(&e.row.wants, &b.name)).into_iter().zip(&stands).map(beyond).collect();
            let given: Vec<f64> =
                of(&|e| amount(&e.given, &b.name)).into_iter().zip(&stands).map(beyond).collect();
            let parts = divide(b.kind, rest, rules.floor, &wants, &given);
            for (key, (part, stands)) in alive.iter().zip(parts.iter().zip(&stands)) {
                targets.entry(key.clone()).or_default().insert(b.name.clone(), part + stands);
            }
            let may: f64 = self.entries.values().map(|e| amount(&e.may, &b.name)).sum();
            free.insert(b.name.clone(), (whole - may).max(0.0));
            overdrawn.insert(b.name.clone(), may > whole + 1e-9);
        }
        // Smaller parts first: what they give back is what the others wait for. Then those whose lease ends first.
        let shrinks = |key: &(String, u64)| {
            let e = &self.entries[key];
            targets[key].iter().any(|(name, part)| *part < amount(&e.given, name))
        };
        let mut order: Vec<(bool, Micros, (String, u64))> =
            alive.iter().map(|k| (!shrinks(k), self.entries[k].heard_at, k.clone())).collect();
        order.sort();
        let mut out = Vec::new();
        for (_, _, key) in order {
            if out.len() >= BATCH {
                break;
            }
            let e = self.entries.get_mut(&key).expect("taken from the table");
            let mut changed = e.epoch == 0;
            for b in &rules.budgets {
                let (part, given) = (targets[&key][&b.name], amount(&e.given, &b.name));
                let may = amount(&e.may, &b.name);
                let left = free.entry(b.name.clone()).or_default();
                // Up to what may be in use already nothing has to be free.
                let mut more = (part - may).max(0.0).min(*left);
                if b.kind == Kind::Level {
                    more = more.floor();
                }
                let waits = b.kind == Kind::Level && now < self.levels_from;
                let next = match part <= given {
                    // What stands may stay, and nobody gets more.
                    _ if waits => amount(&e.row.holds, &b.name),
                    true => part,
                    // What a record from before says may be in use may have been given to others since: what stands may stay.
                    false if overdrawn[&b.name] && e.epoch == 0 => {
                        given.max(part.min(amount(&e.row.holds, &b.name)))
                    }
                    false if overdrawn[&b.name] => given,
                    false => part.min(may + more).max(given),
                };
                if next != given {
                    let raised = (next - may).max(0.0);
                    *left -= raised;
                    e.may.insert(b.name.clone(), may.max(next));
                    e.given.insert(b.name.clone(), next);
                    changed = true;
                }
            }
            if changed {
                self.epoch += 1;
                e.epoch = self.epoch;
            }
            if changed || e.row.beat > e.confirmed {
                e.confirmed = e.row.beat;
                let (life, heard, epoch) = (key.1, e.row.beat, e.epoch);
                let (parts, may) = (e.given.clone(), e.may.clone());
                out.push((key.0, Grant { life, term: self.term, epoch, heard, parts, may }));
            }
        }
        (out, self.gone.pop())
    }

    /// What may be in use of a budget, over all members, as far as the leader knows.
    pub fn may(&self, budget: &str) -> f64 {
        self.entries.values().map(|e| amount(&e.may, budget)).sum()
    }
}

impl Entry {
    fn is_alive(&self, now: Micros, rules: &Rules) -> bool {
        self.alive && !self.row.left && now < self.heard_at + rules.lease
    }
}
