//! What a process may use now. Requests are held against it one by one, and the time is looked at for each of them.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use thiserror::Error;

use crate::rows::{Amounts, amount};
use crate::rules::{Kind, Rules};

/// What is saved up of a rate at most: one, or what a part brings in so many seconds. Requests come in small bursts, and with one alone
/// a third of them would be refused at half of the part. All that is saved up is one for each member and so many seconds of the whole.
const SAVED: f64 = 1.0;
const SAVED_S: f64 = 0.1;
/// Needs are seen over so long.
const SEEN: Micros = 1_000_000;

/// A budget has no room for one more.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("the fleet's budget of {budget}: this balancer's part is {part:.2}")]
pub struct Refused {
    /// The budget.
    pub budget: String,
    /// The part in force.
    pub part: f64,
    /// When there may be room, from now; none where that is not known.
    pub after: Option<Micros>,
}

/// One budget's part at this process.
#[derive(Clone, Debug)]
pub struct Part {
    name: String,
    kind: Kind,
    whole: f64,
    reserve: f64,
    granted: f64,
    /// What stands, of a level.
    used: f64,
    /// What is saved up of a rate, and when that was reckoned.
    saved: f64,
    at: Micros,
    /// Asked for since `since`, and in the time before.
    asked: f64,
    before: f64,
    since: Micros,
    /// More stands than the part, since then.
    over: Option<Micros>,
    /// Refused, from the start.
    refused: u64,
}

/// All parts of a process.
#[derive(Clone, Debug)]
pub struct Parts {
    parts: Vec<Part>,
    linger: Micros,
    /// Granted parts are in force before then.
    until: Micros,
    /// The reserve is in force from then on; never for a process whose name another one has taken.
    reserve_from: Micros,
}

impl Parts {
    /// Nothing but the reserve, and that only after a lease, if the store has not said before that no other process of this
    /// name may use it.
    pub fn new(now: Micros, rules: &Rules) -> Parts {
        let part = |b: &crate::rules::Budget| Part {
            name: b.name.clone(),
            kind: b.kind,
            whole: b.whole,
            reserve: rules.own_reserve(b.kind, b.whole),
            granted: 0.0,
            used: 0.0,
            saved: 0.0,
            at: now,
            asked: 0.0,
            before: 0.0,
            since: now,
            over: None,
            refused: 0,
        };
        let parts = rules.budgets.iter().map(part).collect();
        Parts { parts, linger: rules.linger, until: 0, reserve_from: now + rules.lease + rules.margin }
    }

    /// Which place a budget has; none if there is no such budget.
    pub fn place(&self, budget: &str) -> Option<usize> {
        self.parts.iter().position(|p| p.name == budget)
    }

    /// The budgets' names, in their places.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.parts.iter().map(|p| p.name.as_str())
    }

    /// What may be used of a budget now, all in all.
    pub fn in_force(&self, now: Micros, place: usize) -> f64 {
        let Some(p) = self.parts.get(place) else { return 0.0 };
        let reserve = if now >= self.reserve_from { p.reserve } else { 0.0 };
        reserve + if now < self.until { p.granted } else { 0.0 }
    }

    /// Until when granted parts are in force.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// What stands of a level.
    pub fn used(&self, place: usize) -> f64 {
        self.parts.get(place).map_or(0.0, |p| p.used)
    }

    /// How often a budget had no room.
    pub fn refused(&self, place: usize) -> u64 {
        self.parts.get(place).map_or(0, |p| p.refused)
    }

    /// What a rate has saved up by now. Time counts by what was in force in it.
    fn saved(&self, now: Micros, p: &Part) -> f64 {
        let seconds = |from: Micros, to: Micros| to.saturating_sub(from) as f64 / 1e6;
        let by_grant = p.granted * seconds(p.at, now.min(self.until));
        let by_reserve = p.reserve * seconds(p.at.max(self.reserve_from), now);
        let in_force = p.reserve + if now < self.until { p.granted } else { 0.0 };
        (p.saved + by_grant + by_reserve).min(SAVED.max(SAVED_S * in_force))
    }

    /// One more wants to be let in: whether the budget has room. Nothing is taken yet, but it counts as needed.
    pub fn asks(&mut self, now: Micros, place: usize) -> Result<(), Refused> {
        let part = self.in_force(now, place);
        let Some(p) = self.parts.get(place) else { return Ok(()) };
        let saved = self.saved(now, p);
        let (room, after) = match p.kind {
            Kind::Level => (p.used + 1.0 <= part, None),
            // Sums of fractions fall short of one by a hair.
            Kind::Rate if saved >= 1.0 - 1e-9 => (part > 0.0, None),
            Kind::Rate if part > 0.0 => (false, Some(((1.0 - saved) / part * 1e6) as Micros)),
            Kind::Rate => (false, None),
        };
        let p = &mut self.parts[place];
        if p.kind == Kind::Rate || !room {
            p.needs(now, 1.0);
        }
        if room {
            return Ok(());
        }
        p.refused += 1;
        Err(Refused { budget: p.name.clone(), part, after })
    }

    /// It is let in.
    pub fn takes(&mut self, now: Micros, place: usize) {
        let Some(p) = self.parts.get(place) else { return };
        let saved = self.saved(now, p);
        let p = &mut self.parts[place];
        match p.kind {
            Kind::Level => p.used += 1.0,
            Kind::Rate => (p.saved, p.at) = ((saved - 1.0).max(0.0), now),
        }
    }

    /// One that stood has ended.
    pub fn gives_back(&mut self, place: usize) {
        if let Some(p) = self.parts.get_mut(place).filter(|p| p.kind == Kind::Level) {
            p.used = (p.used - 1.0).max(0.0);
            if p.used <= p.reserve + p.granted {
                p.over = None;
            }
        }
    }

    /// How many of a level must be moved now: those beyond what is in force, once three quarters of the time that there is for it
    /// have passed since the grant ended, or since the part was made smaller than what stands.
    pub fn excess(&self, now: Micros, place: usize) -> u32 {
        let Some(p) = self.parts.get(place).filter(|p| p.kind == Kind::Level) else { return 0 };
        let wait = self.linger / 4 * 3;
        let due = now >= self.until.saturating_add(wait) || p.over.is_some_and(|since| now >= since + wait);
        if due { (p.used - self.in_force(now, place)).max(0.0).ceil() as u32 } else { 0 }
    }

    /// When [`Parts::excess`] may change by itself.
    pub fn runs_out(&self) -> Micros {
        let shrunk = self.parts.iter().filter_map(|p| p.over).min().unwrap_or(Micros::MAX);
        self.until.min(shrunk).saturating_add(self.linger / 4 * 3)
    }

    /// What could be used, and what stands beyond the reserve; the reserve itself is not asked for.
    pub(crate) fn wants(&mut self, now: Micros) -> (Amounts, Amounts) {
        let (mut wants, mut holds) = (BTreeMap::new(), BTreeMap::new());
        let in_force = now >= self.reserve_from;
        for p in &mut self.parts {
            p.needs(now, 0.0);
            // Refused ones come again: a level needs what stands and what was turned away.
            let needs = p.before.max(p.asked) + if p.kind == Kind::Level { p.used } else { 0.0 };
            // What stands while the reserve is not yet in force stands under the grant.
            let reserve = if in_force { p.reserve } else { 0.0 };
            wants.insert(p.name.clone(), (needs - reserve).max(0.0));
            holds.insert(p.name.clone(), (p.used - reserve).max(0.0));
        }
        (wants, holds)
    }

    /// Whether what is needed has outgrown what was told by half, so that it is worth to tell at once.
    pub(crate) fn outgrown(&self, told: &Amounts) -> bool {
        self.parts.iter().any(|p| {
            let needs = p.before.max(p.asked) + if p.kind == Kind::Level { p.used } else { 0.0 };
            needs - p.reserve > 1.5 * amount(told, &p.name) + 2.0
        })
    }

    /// The wholes by this process's settings.
    pub(crate) fn wholes(&self) -> Amounts {
        self.parts.iter().map(|p| (p.name.clone(), p.whole)).collect()
    }

    /// Other parts are granted.
    pub(crate) fn grant(&mut self, now: Micros, parts: &Amounts) {
        for at in 0..self.parts.len() {
            let saved = self.saved(now, &self.parts[at]);
            let p = &mut self.parts[at];
            (p.saved, p.at) = (saved, now);
            p.granted = amount(parts, &p.name);
            p.stands_over(now);
        }
    }

    /// Granted parts are in force up to then, if they were not for longer.
    pub(crate) fn extend(&mut self, now: Micros, until: Micros) {
        if until > self.until {
            // What was saved up goes by the time that was in force so far.
            for at in 0..self.parts.len() {
                let saved = self.saved(now, &self.parts[at]);
                (self.parts[at].saved, self.parts[at].at) = (saved, now);
            }
            self.until = until;
        }
    }

    /// Nothing granted is in force any more.
    pub(crate) fn end(&mut self, now: Micros) {
        self.until = self.until.min(now);
    }

    /// The reserve may be another process's up to then.
    pub(crate) fn reserve_from(&mut self, from: Micros) {
        self.reserve_from = from;
    }

    /// Other settings: wholes and reserves change, what is in use stays.
    pub fn take_rules(&mut self, now: Micros, rules: &Rules) {
        let fresh = Parts::new(now, rules);
        let old = std::mem::replace(&mut self.parts, fresh.parts);
        for p in &mut self.parts {
            if let Some(was) = old.iter().find(|was| was.name == p.name).cloned() {
                *p = Part { whole: p.whole, reserve: p.reserve, ..was };
                p.stands_over(now);
            }
        }
        self.linger = rules.linger;
    }
}

impl Part {
    /// Whether more stands than the part, and since when.
    fn stands_over(&mut self, now: Micros) {
        let over = self.kind == Kind::Level && self.used > self.reserve + self.granted;
        self.over = if over { self.over.or(Some(now)) } else { None };
    }

    /// Counts what is needed, in stretches of a second.
    fn needs(&mut self, now: Micros, more: f64) {
        let gone = now.saturating_sub(self.since);
        if gone >= 2 * SEEN {
            (self.before, self.asked, self.since) = (0.0, 0.0, now);
        } else if gone >= SEEN {
            (self.before, self.asked, self.since) = (self.asked, 0.0, self.since + SEEN);
        }
        self.asked += more;
    }
}
