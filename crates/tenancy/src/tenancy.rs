//! The verdicts, and the tenants that they are on.

use shorewharf_units::Micros;
use std::collections::BTreeSet;

use crate::part::part;
use crate::pool::Pool;
use crate::shortage::Shortage;
use crate::stats::{Stats, TenantStats};
use crate::tenant::{Flow, State, Tenant};
use crate::terms::{Limits, Terms};
use crate::waits::Room;
use crate::{Place, Verdict, Why};

/// Set-ups and returns are counted over about so long.
const FLOW_SPAN: Micros = 4_000_000;
/// All of a share may return within this: a node takes its part of a whole fleet's set-ups in about as long.
const RETURN_WITHIN: f64 = 8e6;
/// Beyond its own part a flow may lie by so many standard deviations of chance, and so many set-ups: a tenant of few
/// clients is not turned away for two that came together.
const CHANCE: f64 = 1.5;
const FEW: f64 = 2.0;
/// Where nothing is left to lend, the level lies so many connections below what is in use, so that whoever is fullest
/// is above it.
const BELOW: f64 = 0.5;
/// Streams of removed tenants are moved so often.
const MOVES_EVERY: Micros = 100_000;

/// Standing streams of a removed tenant that are to be moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moves {
    /// The tenant.
    pub place: Place,
    /// How many of its streams.
    pub count: u32,
}

/// How a request stands to its tenant's share.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stand {
    Own,
    Lent,
    /// Over; there is room again then.
    Over(Room, Why),
}

/// A client that was admitted.
#[derive(Clone, Copy, Debug)]
struct Asked {
    place: Place,
    flow: Option<Flow>,
    on_loan: bool,
}

/// All tenants of one instance.
#[derive(Clone, Debug)]
pub struct Tenancy {
    terms: Terms,
    told_part: Option<f64>,
    tenants: Vec<Tenant>,
    connections: Pool,
    set_ups: Pool,
    returns: Pool,
    /// Clients that are being set up, by flow.
    pending: [u64; 2],
    shortage: Shortage,
    /// Removed, with streams that still stand.
    leaving: BTreeSet<Place>,
    /// Moves that are due, and since when they have been counted.
    moves: f64,
    moved_at: Micros,
    unknown: u64,
    /// How the last one who was asked about and admitted stands, until it is taken.
    asked: Option<Asked>,
}

/// What a flow of so many on average may come to by chance.
fn with_chance(mean: f64) -> f64 {
    mean + CHANCE * mean.sqrt() + FEW
}

impl Tenancy {
    /// No tenants yet.
    pub fn new(terms: Terms, now: Micros) -> Tenancy {
        Tenancy {
            terms,
            told_part: None,
            tenants: Vec::new(),
            connections: Pool::stock(),
            set_ups: Pool::flow(FLOW_SPAN, now),
            returns: Pool::flow(FLOW_SPAN, now),
            pending: [0; 2],
            shortage: Shortage::default(),
            leaving: BTreeSet::new(),
            moves: 0.0,
            moved_at: now,
            unknown: 0,
            asked: None,
        }
    }

    /// Puts other terms in force; who stands and what was learned stays.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Somebody who sees the whole fleet tells which part of its traffic comes here, from 0 to 1; `None` when it is no
    /// longer known, and what is seen here counts again.
    pub fn tell_part(&mut self, part: Option<f64>) {
        self.told_part = part.filter(|p| p.is_finite() && *p > 0.0);
    }

    /// Makes a tenant, or changes one that lives; `None` for one that is not limited, only counted. A share that is
    /// lowered below what stands ends nothing. What was removed stays so: made anew, a tenant gets another place.
    pub fn set(&mut self, now: Micros, place: Place, limits: Option<Limits>) {
        while self.tenants.len() <= place.0 {
            self.tenants.push(Tenant::new(None));
        }
        let t = &mut self.tenants[place.0];
        if t.state == State::Removed {
            return;
        }
        let before = std::mem::replace(&mut t.limits, limits);
        let held = t.held;
        self.size(now, place, limits);
        let lowered = match (before, limits) {
            (Some(b), Some(l)) => l.connections() < b.connections(),
            (before, limits) => before.is_none() && limits.is_some(),
        };
        let under = limits.is_none() || f64::from(held) <= self.own_connections(now, place);
        let t = &mut self.tenants[place.0];
        if under {
            t.state = State::Lives;
        } else if lowered {
            t.state = State::Lowered;
        }
    }

    fn size(&mut self, now: Micros, place: Place, limits: Option<Limits>) {
        let (connections, per_s, weight) =
            limits.map_or((0.0, 0.0, 1.0), |l| (l.connections(), l.per_s(), l.weight()));
        self.connections.set(place, connections, weight);
        self.set_ups.set(place, per_s * FLOW_SPAN as f64 / 1e6, weight);
        self.returns.set(place, connections * FLOW_SPAN as f64 / RETURN_WITHIN, weight);
        let held = self.tenants.get(place.0).map_or(0, |t| t.held);
        // Whoever is not limited takes nothing from those who are.
        let counts = limits.is_some() || self.is_removed(place);
        self.connections.put(now, place, if counts { f64::from(held) } else { 0.0 });
    }

    fn is_removed(&self, place: Place) -> bool {
        self.tenants.get(place.0).is_some_and(|t| t.state == State::Removed)
    }

    /// Removes a tenant. Its streams are moved at a rate ([`Tenancy::due`]), and whoever comes is turned away.
    pub fn remove(&mut self, now: Micros, place: Place) {
        let Some(t) = self.tenants.get_mut(place.0).filter(|t| t.state != State::Removed) else { return };
        t.state = State::Removed;
        t.limits = None;
        if t.held > 0 {
            if self.leaving.is_empty() {
                (self.moves, self.moved_at) = (0.0, now);
            }
            self.leaving.insert(place);
        }
        self.size(now, place, None);
    }
}

/// Verdicts.
impl Tenancy {
    /// A client asks; `returning` if it says that it comes again. Nothing is counted of one that is admitted until
    /// [`Tenancy::taken`] says that nobody else had reason to turn it away.
    pub fn asked(&mut self, now: Micros, place: Place, returning: bool) -> Verdict {
        self.asked = None;
        let Some(t) = self.tenants.get(place.0) else {
            self.unknown += 1;
            let after = self.terms.longest_wait;
            return Verdict::TurnAway { after, why: Why::Unknown };
        };
        if t.state == State::Removed {
            let never = Room { first: f64::INFINITY, each: 0.0 };
            return self.turn_away(now, place, never, Why::Removed);
        }
        let Some(limits) = t.limits else {
            self.asked = Some(Asked { place, flow: None, on_loan: false });
            return Verdict::Admit;
        };
        // Who returns for a connection that ended here lately takes its place again; who only says so is new.
        let flow = if returning && t.may_return(now) { Flow::Return } else { Flow::SetUp };
        let stands = [self.connections_stand(now, place, limits), self.flow_stand(now, place, limits, flow)];
        for stand in stands {
            if let Stand::Over(room, why) = stand {
                return self.turn_away(now, place, room, why);
            }
        }
        self.asked = Some(Asked { place, flow: Some(flow), on_loan: stands.contains(&Stand::Lent) });
        Verdict::Admit
    }

    fn turn_away(&mut self, now: Micros, place: Place, room: Room, why: Why) -> Verdict {
        let longest = self.terms.longest_wait;
        let t = &mut self.tenants[place.0];
        t.turned_away(why);
        Verdict::TurnAway { after: t.waits.next(now, room, longest), why }
    }

    /// The client that was asked about last is admitted for good. From now on it is counted as being set up, until
    /// [`Tenancy::up`], [`Tenancy::refused`] or [`Tenancy::left`].
    pub fn taken(&mut self, now: Micros) {
        let Some(Asked { place, flow, on_loan }) = self.asked.take() else { return };
        let t = &mut self.tenants[place.0];
        t.held += 1;
        t.admitted += 1;
        t.on_loan += u64::from(on_loan);
        let Some(flow) = flow else { return };
        t.begins(now, flow);
        self.pending[flow as usize] += 1;
        self.connections.take(now, place);
        self.shortage.admitted(now);
    }

    /// The part of everybody's share of connections that is this instance's.
    fn part(&self, now: Micros) -> f64 {
        let usage = if self.short(now).is_some() { 1.0 } else { self.terms.lend };
        let seen = || part(&self.connections, now, self.terms.instances, usage);
        self.told_part.unwrap_or_else(seen).min(1.0)
    }

    /// What may stand here while capacity is short; none where more may stand.
    fn short(&self, now: Micros) -> Option<f64> {
        let total = self.connections.total(now);
        self.shortage.limit(now, total).filter(|to| *to < total + 1.0)
    }

    /// A tenant's own part of connections: whole ones, since a part of one serves nobody, and one more where its share
    /// has it, since the clients of a small tenant don't come evenly to all instances.
    fn own_connections(&self, now: Micros, place: Place) -> f64 {
        let size = self.connections.size(place);
        ((size * self.part(now)).ceil() + 1.0).min(size.ceil())
    }

    fn connections_stand(&self, now: Micros, place: Place, limits: Limits) -> Stand {
        let (pool, part) = (&self.connections, self.part(now));
        let own = self.own_connections(now, place);
        let wants = pool.used(now, place) + 1.0;
        let fullness = wants / (pool.size(place) * limits.weight()).max(f64::MIN_POSITIVE);
        let total = pool.total(now);
        let short = self.short(now);
        let lends = pool.all() * part * self.terms.lend;
        let room = || self.tenants[place.0].room(now, (wants - own).max(1.0));
        if wants <= own {
            // Nobody has more right to it; but where even this is not there, the fullest wait first.
            return match short.filter(|_| self.terms.ration) {
                Some(to) if fullness > pool.level(now, to.min(total - BELOW)) => {
                    Stand::Over(room(), Why::Short)
                }
                _ => Stand::Own,
            };
        }
        let lowered = self.tenants[place.0].state == State::Lowered;
        if lowered || !limits.borrows() {
            return Stand::Over(room(), if lowered { Why::Lowered } else { Why::Connections });
        }
        let to = short.unwrap_or(lends).min(lends);
        if total + 1.0 <= to || fullness <= pool.level(now, to.min(total - BELOW)) {
            return Stand::Lent;
        }
        Stand::Over(room(), if short.is_some() { Why::Short } else { Why::Connections })
    }

    fn flow_stand(&self, now: Micros, place: Place, limits: Limits, flow: Flow) -> Stand {
        let (pool, why) = match flow {
            Flow::SetUp => (&self.set_ups, Why::SetUps),
            Flow::Return => (&self.returns, Why::Returns),
        };
        // Where everybody comes at once the part is above 1: that is the fleet's storm, and no tenant's.
        let seen = || part(pool, now, self.terms.instances, self.terms.lend);
        let part = self.told_part.unwrap_or_else(seen);
        let mean = pool.size(place) * part;
        let pending = self.tenants[place.0].pending(flow);
        let (own, wants) = (with_chance(mean), pool.used(now, place) + pending + 1.0);
        if wants <= own {
            return Stand::Own;
        }
        let lends = pool.all() * part * self.terms.lend;
        let fullness = wants / (pool.size(place) * limits.weight()).max(f64::MIN_POSITIVE);
        let total = pool.total(now) + self.pending[flow as usize] as f64;
        if limits.borrows()
            && (total + 1.0 <= lends || fullness <= pool.level(now, lends.min(pool.total(now) - BELOW)))
        {
            return Stand::Lent;
        }
        let span = FLOW_SPAN as f64;
        Stand::Over(Room { first: span * (wants / own).ln(), each: span / own }, why)
    }
}

/// What becomes of those who were admitted.
impl Tenancy {
    /// A connection stands that was not asked for here: it is from before the start.
    pub fn carried(&mut self, now: Micros, place: Place) {
        let Some(t) = self.tenants.get_mut(place.0) else { return };
        t.held += 1;
        t.set_up += 1;
        if t.limits.is_some() || t.state == State::Removed {
            self.connections.take(now, place);
        }
        if t.state == State::Removed {
            self.leaving.insert(place);
        }
    }

    /// A connection that was being set up stands.
    pub fn up(&mut self, now: Micros, place: Place) {
        let Some(t) = self.tenants.get_mut(place.0) else { return };
        t.set_up += 1;
        match self.begun(place) {
            Some(Flow::SetUp) => self.set_ups.take(now, place),
            Some(Flow::Return) => self.returns.take(now, place),
            None => {}
        }
    }

    /// One that was being set up is so no more. Only what comes up counts in the flows: a client that the module
    /// refuses, and that asks again and again, has set nothing up.
    fn begun(&mut self, place: Place) -> Option<Flow> {
        let flow = self.tenants.get_mut(place.0)?.begun()?;
        let pending = &mut self.pending[flow as usize];
        *pending = pending.saturating_sub(1);
        Some(flow)
    }

    fn not_set_up(&mut self, now: Micros, place: Place) {
        if self.begun(place) == Some(Flow::Return) {
            self.tenants[place.0].not_returned(now);
        }
    }

    /// A connection that stood has ended.
    pub fn ended(&mut self, now: Micros, place: Place) {
        if self.give_back(now, place) {
            self.tenants[place.0].ended(now);
        }
    }

    /// The decision module refused a client, or failed it, before its connection stood.
    pub fn refused(&mut self, now: Micros, place: Place) {
        if self.give_back(now, place) {
            self.not_set_up(now, place);
            let limited = self.tenants[place.0].limits.is_some();
            self.tenants[place.0].counts.refused += 1;
            if limited {
                self.shortage.refused(now, self.connections.total(now));
            }
        }
    }

    /// A client went away before its connection stood; that says nothing of anybody.
    pub fn left(&mut self, now: Micros, place: Place) {
        if self.give_back(now, place) {
            self.not_set_up(now, place);
        }
    }

    fn give_back(&mut self, now: Micros, place: Place) -> bool {
        let Some(t) = self.tenants.get_mut(place.0).filter(|t| t.held > 0) else { return false };
        t.held -= 1;
        let (held, state) = (t.held, t.state);
        if t.limits.is_some() || state == State::Removed {
            self.connections.give_back(now, place);
        }
        if state == State::Lowered && f64::from(held) <= self.own_connections(now, place) {
            self.tenants[place.0].state = State::Lives;
        }
        if state == State::Removed && held == 0 {
            self.leaving.remove(&place);
        }
        true
    }
}

/// Removed tenants.
impl Tenancy {
    /// Streams that are to be moved now.
    pub fn due(&mut self, now: Micros) -> Vec<Moves> {
        let since = now.saturating_sub(self.moved_at);
        self.moved_at = self.moved_at.max(now);
        // What was not asked for in time is not made up for in a burst.
        let most = (self.terms.moves_per_s * MOVES_EVERY as f64 / 1e6).max(1.0);
        self.moves = (self.moves + self.terms.moves_per_s * since as f64 / 1e6).min(most);
        let mut all = Vec::new();
        for &place in &self.leaving {
            let t = &mut self.tenants[place.0];
            let count = (t.held - t.moving.min(t.held)).min(self.moves as u32);
            if count > 0 {
                t.moving += count;
                t.counts.moved += u64::from(count);
                self.moves -= f64::from(count);
                all.push(Moves { place, count });
            }
        }
        all
    }

    /// When [`Tenancy::due`] has something to say again; none while no removed tenant's streams stand.
    pub fn next_due(&self) -> Option<Micros> {
        let waits = |p: &Place| self.tenants[p.0].held > self.tenants[p.0].moving;
        self.leaving.iter().any(waits).then_some(self.moved_at + MOVES_EVERY)
    }

    /// Fewer streams could be moved than were asked for (some were only being set up): the rest is asked for again.
    pub fn not_moved(&mut self, place: Place, count: u32) {
        if let Some(t) = self.tenants.get_mut(place.0) {
            t.moving = t.moving.saturating_sub(count);
            t.counts.moved = t.counts.moved.saturating_sub(u64::from(count));
        }
    }
}

/// Reports.
impl Tenancy {
    /// One tenant's figures.
    pub fn tenant(&self, now: Micros, place: Place) -> Option<TenantStats> {
        let t = self.tenants.get(place.0)?;
        let own = t.limits.map_or(0.0, |_| self.own_connections(now, place));
        Some(TenantStats {
            share: t.limits.map(|l| l.connections()),
            own,
            used: u64::from(t.held),
            borrowed: if t.limits.is_some() { (f64::from(t.held) - own).max(0.0) } else { 0.0 },
            admitted: t.admitted,
            admitted_on_loan: t.on_loan,
            set_up: t.set_up,
            removed: t.state == State::Removed,
            lowered: t.state == State::Lowered,
            ..*t.counts
        })
    }

    /// All figures.
    pub fn stats(&self, now: Micros) -> Stats {
        let part = self.part(now);
        let used = self.connections.total(now);
        Stats {
            part,
            shares: self.connections.all(),
            used,
            lends_up_to: self.connections.all() * part * self.terms.lend,
            short: self.short(now),
            unknown: self.unknown,
            tenants: (0..self.tenants.len())
                .filter_map(|i| Some((Place(i), self.tenant(now, Place(i))?)))
                .collect(),
        }
    }
}
