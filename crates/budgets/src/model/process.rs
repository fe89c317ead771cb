//! A process of a made-up fleet: a member with its parts, a clock of its own, and demand.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use shorewharf_units::Micros;

use super::Plan;
use super::flaws::Flaw;
use crate::call::{Call, Failed, Reply};
use crate::member::Member;
use crate::parts::Parts;
use crate::rules::{Kind, Rules};

/// A lowered whole reaches a process so long after the first one at most: operators reload one after the other.
const RELOADS: Micros = 2_000_000;

/// Clients that come again at once.
const COME: usize = 200;

/// A process.
pub(super) struct Process {
    pub(super) who: usize,
    pub(super) lives: bool,
    pub(super) stalled_until: Micros,
    /// The call that is out.
    pub(super) out: Option<u64>,
    pub(super) member: Member,
    parts: Parts,
    /// Its clock runs so much faster, from this time on its own.
    pace: f64,
    offset: Micros,
    born: Micros,
    flaw: Option<Flaw>,
    /// What a timer has looked at last.
    cached: Vec<f64>,
    rules: Rules,
    /// Another whole is in the settings, and is read then.
    reloads: Option<Micros>,
    /// The greatest whole of which something may stand.
    wholes: Vec<f64>,
    lowered_at: Micros,
}

impl Process {
    pub(super) fn new(plan: &Plan, who: usize, life: u64, now: Micros, rng: &mut Pcg64Mcg) -> Process {
        let rules = Rules { place: who, ..plan.rules.clone() };
        let (pace, offset) =
            (1.0 + plan.drift * rng.random_range(-1.0..1.0), rng.random_range(0..60_000_000));
        let (member, parts) = plan.flaw.map_or((rules.clone(), rules.clone()), |flaw| flaw.terms(&rules));
        Process {
            who,
            lives: true,
            stalled_until: 0,
            out: None,
            member: Member::new(offset, member, &format!("balancer-{who}"), life),
            parts: Parts::new(offset, &parts),
            pace,
            offset,
            born: now,
            flaw: plan.flaw,
            cached: vec![0.0; rules.budgets.len()],
            wholes: rules.budgets.iter().map(|b| b.whole).collect(),
            rules,
            reloads: None,
            lowered_at: 0,
        }
    }

    /// The process's own clock.
    fn clock(&self, now: Micros) -> Micros {
        self.offset + ((now - self.born) as f64 * self.pace) as Micros
    }

    /// When its clock shows this, in true time.
    fn when(&self, own: Micros) -> Micros {
        self.born + (own.saturating_sub(self.offset) as f64 / self.pace).ceil() as Micros
    }

    pub(super) fn next(&mut self, now: Micros) -> Option<Call> {
        let own = self.clock(now);
        let late = if self.flaw == Some(Flaw::CountedFromAnswer) { super::CALL } else { 0 };
        self.member.next(own + late, &mut self.parts)
    }

    pub(super) fn next_due(&self, _now: Micros) -> Micros {
        match self.member.next_due() {
            Micros::MAX => Micros::MAX,
            own => self.when(own),
        }
    }

    pub(super) fn answered(&mut self, now: Micros, reply: Result<Reply, Failed>) {
        self.out = None;
        let own = self.clock(now);
        self.member.answered(own, reply, &mut self.parts);
    }

    pub(super) fn leaves(&mut self, now: Micros) {
        let own = self.clock(now);
        for place in 0..self.rules.budgets.len() {
            while self.parts.used(place) > 0.0 {
                self.parts.gives_back(place);
            }
        }
        self.member.leave(own, &mut self.parts);
    }

    /// Demand comes and goes: asks for more as long as it wants, and lets go of what has ended or has to go.
    pub(super) fn works(&mut self, now: Micros, want: f64, rng: &mut Pcg64Mcg) {
        let own = self.clock(now);
        self.reloads_if_due(now, own);
        for place in 0..self.rules.budgets.len() {
            let budget = &self.rules.budgets[place];
            self.cached[place] = self.parts.in_force(own, place);
            match budget.kind {
                Kind::Rate => {
                    let come = (budget.whole * want / 10.0 + rng.random_range(0.0..1.0)) as usize;
                    for _ in 0..come {
                        if self.parts.asks(own, place).is_ok() {
                            self.parts.takes(own, place);
                        }
                    }
                }
                Kind::Level => {
                    for _ in 0..self.parts.excess(own, place) {
                        self.parts.gives_back(place);
                    }
                    let ends = (self.parts.used(place) * 0.02 + rng.random_range(0.0..1.0)) as usize;
                    (0..ends).for_each(|_| self.parts.gives_back(place));
                    let come = (budget.whole * want - self.parts.used(place)).max(0.0) as usize;
                    for _ in 0..come.min(COME) {
                        if self.parts.asks(own, place).is_ok() {
                            self.parts.takes(own, place);
                        }
                    }
                }
            }
        }
    }

    fn reloads_if_due(&mut self, now: Micros, own: Micros) {
        if self.reloads.is_some_and(|at| now >= at) {
            self.reloads = None;
            self.member.take_rules(self.rules.clone());
            self.parts.take_rules(own, &self.rules);
        }
        let linger = 2 * (self.rules.lease + self.rules.margin) + self.rules.linger;
        if self.lowered_at > 0 && now > self.lowered_at + RELOADS + linger {
            self.wholes = self.rules.budgets.iter().map(|b| b.whole).collect();
        }
    }

    /// The operator has changed the settings' wholes.
    pub(super) fn told_of(&mut self, now: Micros, rules: &Rules, rng: &mut Pcg64Mcg) {
        self.rules = Rules { place: self.who, ..rules.clone() };
        self.reloads = Some(now + rng.random_range(0..RELOADS));
        self.lowered_at = now;
    }

    /// The whole by which it goes, or up to which something may still stand.
    pub(super) fn whole(&self, place: usize) -> f64 {
        self.wholes[place]
    }

    pub(super) fn in_force(&self, now: Micros, place: usize) -> f64 {
        self.parts.in_force(self.clock(now), place)
    }

    /// What an observer counts of it: what it could use of a rate, what stands of a level.
    /// `quiet`: nothing has kept it from the store for a while.
    pub(super) fn seen(&self, now: Micros, place: usize, kind: Kind, all: &[Process], quiet: bool) -> f64 {
        let own = self.clock(now);
        let asleep = self.stalled_until + super::WORK > now;
        let rules = &self.rules;
        let reserve = rules.own_reserve(kind, self.wholes[place]);
        // One whose name another one has too goes on with its reserve until it has read of that, for which there must be a way.
        let other = |p: &&Process| p.lives && p.who == self.who && !std::ptr::eq(*p, self);
        let excused = if !quiet && all.iter().any(|p| other(&p)) { reserve } else { 0.0 };
        let seen = match kind {
            Kind::Rate if self.flaw == Some(Flaw::UsedAfterWaking) => self.cached[place],
            Kind::Rate => self.parts.in_force(own, place),
            // What stands at one that stands still can't be moved; it counts for as long as the others wait for it.
            Kind::Level if asleep && own > self.parts.until() + rules.linger => {
                self.parts.used(place).min(self.parts.in_force(own, place))
            }
            Kind::Level => self.parts.used(place),
        };
        (seen - excused).max(0.0)
    }
}
