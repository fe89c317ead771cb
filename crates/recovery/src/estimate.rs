//! What each server bears, as far as one balancer can tell: list weight and ramp to begin with, then whatever tells of
//! its true load. Two delays told a second apart while work is piled up tell it exactly, since a pile grows by the
//! load beyond what the server can do; one delay bounds it; the time of each set-up is a noisy sample of it; and
//! silence at the bound means that there is more room.
//!
//! All of it is kept as one factor a server: what this balancer may put there, over its even part of the listed size.
//! What the other balancers put there need not be known apart: a note speaks of all loads together, and all that hear
//! it give way or grow by the same share.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use shorewharf_decisions::interface::{
    Action, Event, RequestId, ServerEntry, ServerId, ServerState, Settings, WeightKind,
};

use crate::memory::{Loads, OneServer};

/// How far servers are filled: beyond this share of what they can do, messages begin to be late.
const FULL: f64 = 0.86;
/// Period of the notes, and of growth, in seconds.
const PERIOD: f64 = 1.0;
/// Two notes that lie no further apart follow on each other.
const NEXT: f64 = 1.5 * PERIOD;
/// Delay over the aim from which a note is told, and below which a server is well again.
const TOLD: f64 = 1.0 / 3.0;
/// Load over capacity that one note speaks of by itself: without a pile (its delay is under the aim) and with one.
const LIGHT: f64 = 0.95;
const PILED: f64 = 1.05;
/// Two notes on a pile may change the factor by this much at most, down and up: the second may have come late.
const DOWN: f64 = 0.5;
const UP: f64 = 1.3;
/// A server that is filled to this share of its bound and is silent gets so much more a period: while it is cold,
/// while a note is not long ago, and else. Without growth the share of the traffic that comes this balancer's way would
/// have to be the even one; it was seen from half to one and a half times that.
const AT_BOUND: f64 = 0.7;
const GROW_COLD: f64 = 0.15;
const GROW_NOTED: f64 = 0.03;
const GROW: f64 = 0.05;
const NOTED: f64 = 8.0;
/// Bounds of the factor.
const LEAST: f64 = 0.1;
const MOST: f64 = 2.0;
/// Weight of one told load in the mean, once there are many.
const MEAN: f64 = 0.01;
/// Entries to a cold server, in parts of the rate that would push it over by itself.
const ENTRIES: f64 = 0.67;
/// Set-ups work at full speed up to a load of 0.3, and at a fifth of it from 1.1 on.
const SPEED_AT_0: f64 = 1.3;
const SPEED_LEAST: f64 = 0.25;
/// Weight of one set-up's time in what the usual work is taken for, and in the factor; the latter from this load on,
/// since below it times differ by nothing but chance.
const WORK: f64 = 0.02;
const KAPPA: f64 = 0.07;
const KAPPA_FROM: f64 = 0.5;
/// So many set-ups come before their times count; a burst (so many within about a second) waits for itself.
const WORK_KNOWN: f64 = 10.0;
const BURST: f64 = 3.0;
/// A set-up's time is no less, in seconds; one sample counts for no more than this factor (as a logarithm).
const SHORTEST: f64 = 0.002;
const ODD: f64 = 1.0;
/// Changes of a bound smaller than this share are not told.
const SAME: f64 = 0.004;

/// What is believed of one server. Loads are work a second, in the unit of list weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Its state as listed.
    pub stage: ServerState,
    /// Its size as listed.
    pub weight: f64,
    /// Share of its warm capacity that it has by now at the least, 1 where warm.
    pub ramp: f64,
    /// What it can bear now, of all balancers together.
    pub bears: f64,
    /// What it carries now, of all balancers together.
    pub carries: f64,
    /// The part of that which this balancer put there; set-ups in hand and groups included.
    pub mine: f64,
    /// `bears` may be off by this share of itself, to either side.
    pub unsure: f64,
    /// When the last sign of its state came.
    pub seen: f64,
}

/// All that is believed of the fleet, by server. Only servers that are listed and not gone.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// By server.
    pub servers: BTreeMap<ServerId, Belief>,
    /// Learned mean load of a standing connection; 0 until one was told.
    pub mean: f64,
}

/// What the estimate must be told of this balancer's own doing.
pub trait Placed {
    /// What this balancer has put on a server: work a second, in the unit of list weights.
    fn placed(&self, server: ServerId) -> f64;
}

impl Placed for shorewharf_decisions::Balancer {
    fn placed(&self, server: ServerId) -> f64 {
        shorewharf_decisions::Balancer::assigned_load(self, server)
    }
}

/// What was learned of one server.
#[derive(Clone, Debug)]
struct Learned {
    entry: ServerEntry,
    factor: f64,
    /// The last delay told, and when.
    delay: (f64, f64),
    noted: f64,
    /// Set-ups sent lately, fading within about a second, as of a time.
    sent: (f64, f64),
    seen: f64,
    told: (f64, f64),
}

impl Learned {
    fn new(entry: ServerEntry, now: f64) -> Self {
        let never = f64::NEG_INFINITY;
        Learned {
            entry,
            factor: 1.0,
            delay: (0.0, never),
            noted: never,
            sent: (0.0, now),
            seen: now,
            told: (0.0, 0.0),
        }
    }

    fn sent_lately(&self, now: f64) -> f64 {
        self.sent.0 * (self.sent.1 - now).exp()
    }
}

/// The platform's figures that it goes by.
#[derive(Clone, Copy, Debug)]
struct Figures {
    proxies: f64,
    start: f64,
    warm: f64,
    fall: f64,
    aim: f64,
    sized: bool,
}

impl Figures {
    fn of(set: &Settings) -> Self {
        Figures {
            proxies: set.instance_count.max(1.0),
            start: set.cold_capacity_ratio.clamp(0.0, 1.0),
            warm: set.warm_up_time.max(1e-3),
            fall: set.overload_ratio,
            aim: set.classes.iter().map(|c| c.message_latency_objective).fold(f64::INFINITY, f64::min),
            sized: set.weight_kind == WeightKind::Capacity,
        }
    }

    /// Share of a server's warm capacity that it has by now at the least.
    fn ramp(&self, entry: &ServerEntry, now: f64) -> f64 {
        let age = now - entry.started_at;
        if entry.started_at <= 0.0 || age >= self.warm {
            return 1.0;
        }
        self.start + (1.0 - self.start) * (age / self.warm).max(0.0)
    }

    /// This balancer's part of what a server's listed size bears.
    fn even(&self, entry: &ServerEntry, now: f64) -> f64 {
        (FULL * entry.weight * self.ramp(entry, now) / self.proxies).max(f64::MIN_POSITIVE)
    }
}

/// The estimate of one balancer.
#[derive(Debug)]
pub struct Estimate {
    figures: Figures,
    servers: BTreeMap<ServerId, Learned>,
    /// Attempts that are out: where, and since when.
    out: BTreeMap<RequestId, (ServerId, f64)>,
    mean: f64,
    loads: f64,
    /// Logarithm of the usual set-up's work, and how many it was learned from.
    work: f64,
    set_ups: f64,
    looked: f64,
    told_mean: f64,
}

impl Estimate {
    /// One that knows nothing yet.
    pub fn new(set: &Settings) -> Self {
        Estimate {
            figures: Figures::of(set),
            servers: BTreeMap::new(),
            out: BTreeMap::new(),
            mean: 0.0,
            loads: 0.0,
            work: 0.0,
            set_ups: 0.0,
            looked: f64::NEG_INFINITY,
            told_mean: 0.0,
        }
    }

    /// Other settings are in force; what was learned stays.
    pub fn take_settings(&mut self, set: &Settings) {
        self.figures = Figures::of(set);
    }

    /// Something happens; called before the decision module hears of it.
    pub fn hears(&mut self, now: f64, event: &Event, placed: &impl Placed) {
        match event {
            Event::EndpointList { is_complete: full, entries, .. } => self.listed(now, *full, entries),
            Event::Established { request, .. } => {
                if let Some((server, sent)) = self.out.remove(request) {
                    self.set_up(now, server, now - sent, placed);
                }
            }
            Event::LoadChanged { load, .. } if load.is_finite() && *load > 0.0 => {
                self.loads += 1.0;
                self.mean += (load - self.mean) * f64::max(1.0 / self.loads, MEAN);
            }
            Event::MessageDelay { server, delay } if delay.is_finite() && *delay > 0.0 => {
                self.noted(now, *server, *delay, placed);
            }
            Event::AttemptEnded { request, .. } => {
                self.out.remove(request);
            }
            _ => {}
        }
        if now >= self.looked + PERIOD {
            self.looked = now;
            self.grow(now, placed);
        }
    }

    /// What the module wants done; called after it has heard of an event.
    pub fn sees(&mut self, now: f64, actions: &[Action]) {
        for action in actions {
            if let Action::BeginAttempt { request, server, .. } = action {
                self.out.insert(*request, (*server, now));
                if let Some(s) = self.servers.get_mut(server) {
                    s.sent = (s.sent_lately(now) + 1.0, now);
                }
            }
        }
    }

    /// What the module has to be told by now. Nothing until a load was told: before that, loads have no unit.
    pub fn tells(&mut self, now: f64, tell: &mut Vec<Event>) {
        if self.mean <= 0.0 || !self.figures.sized {
            return;
        }
        let differs = |a: f64, b: f64| (a - b).abs() > SAME * b;
        if differs(self.mean, self.told_mean) {
            self.told_mean = self.mean;
            tell.push(Event::MeanLoadEstimated(self.mean));
        }
        let (figures, mean) = (self.figures, self.mean);
        for (id, s) in &mut self.servers {
            let load = figures.even(&s.entry, now) * s.factor;
            let entries = ENTRIES * figures.fall * s.entry.weight / mean / figures.warm / figures.proxies;
            if differs(load, s.told.0) || differs(entries, s.told.1) {
                s.told = (load, entries);
                tell.push(Event::CapacityEstimated { server: *id, load, setup_rate: entries });
            }
        }
    }

    /// All that is believed by now.
    pub fn fleet(&self, now: f64, placed: &impl Placed) -> Fleet {
        let servers = self.servers.iter().map(|(id, s)| {
            let mine = placed.placed(*id);
            let bears = self.figures.even(&s.entry, now) * s.factor * self.figures.proxies / FULL;
            // A note tells a load within a tenth; until the first one it is the listed size, and others' part a guess.
            let unsure = if now < s.noted + NOTED { 0.1 } else { 0.25 };
            let belief = Belief {
                stage: s.entry.state,
                weight: s.entry.weight,
                ramp: self.figures.ramp(&s.entry, now),
                bears,
                carries: mine * self.figures.proxies,
                mine,
                unsure,
                seen: s.seen,
            };
            (*id, belief)
        });
        Fleet { servers: servers.collect(), mean: self.mean }
    }

    pub(crate) fn loads(&self) -> Loads {
        Loads { mean: self.mean, loads: self.loads, work: self.work, set_ups: self.set_ups }
    }

    /// What was learned of servers behind this one, so many at most.
    pub(crate) fn learned(&self, behind: Option<ServerId>, most: usize) -> Vec<OneServer> {
        let from = behind.map_or(Unbounded, Excluded);
        let one = |(id, s): (&ServerId, &Learned)| {
            (*id, s.entry.started_at, s.factor, s.noted.is_finite().then_some(s.noted))
        };
        self.servers.range((from, Unbounded)).take(most).map(one).collect()
    }

    /// Goes on from what loads and set-ups were like, unless this one knows by itself.
    pub(crate) fn start_from(&mut self, known: &Loads) {
        if self.loads <= 0.0 {
            (self.mean, self.loads) = (known.mean, known.loads);
        }
        if self.set_ups <= 0.0 {
            (self.work, self.set_ups) = (known.work, known.set_ups);
        }
    }

    /// Goes on from what a server bore; false unless it is listed and the same process.
    pub(crate) fn start_server(&mut self, id: ServerId, born: f64, factor: f64, noted: Option<f64>) -> bool {
        let Some(s) = self.servers.get_mut(&id).filter(|s| s.entry.started_at == born) else { return false };
        s.factor = factor.clamp(LEAST, MOST);
        s.noted = noted.map_or(s.noted, |at| s.noted.max(at));
        true
    }

    fn listed(&mut self, now: f64, full: bool, entries: &[ServerEntry]) {
        if full {
            self.servers.retain(|id, _| entries.iter().any(|e| e.server == *id));
        }
        for e in entries {
            if e.state == ServerState::Removed {
                self.servers.remove(&e.server);
                continue;
            }
            let s = self.servers.entry(e.server).or_insert_with(|| Learned::new(*e, now));
            if s.entry.started_at != e.started_at {
                // What was learned of the process before says nothing of this one.
                *s = Learned::new(*e, now);
            }
            s.entry = *e;
        }
    }

    /// Messages take so long at a server.
    fn noted(&mut self, now: f64, server: ServerId, delay: f64, placed: &impl Placed) {
        let (figures, aim) = (self.figures, self.figures.aim);
        let Some(s) = self.servers.get_mut(&server) else { return };
        let (before, at) = std::mem::replace(&mut s.delay, (delay, now));
        s.seen = now;
        let next = now - at < NEXT;
        // What this balancer may put there if its load now makes the server this full.
        let at_load = |rho: f64| placed.placed(server) / rho * FULL / figures.even(&s.entry, now);
        let was = s.factor;
        s.factor = if next && before > aim {
            let rho = 1.0 + (delay - before) / (now - at).max(PERIOD * 0.5);
            if delay > aim {
                at_load(rho.clamp(0.7, 2.0)).clamp(was * DOWN, was * UP)
            } else {
                // The pile was gone before the second note: the load is less than it says.
                was.max(at_load(rho.clamp(0.7, 1.0)).min(was * UP))
            }
        } else if delay > aim {
            was.min(at_load(PILED))
        } else if delay > aim * TOLD {
            was.min(at_load(LIGHT))
        } else {
            was
        }
        .clamp(LEAST, MOST);
        if delay > aim * TOLD {
            s.noted = now;
        }
    }

    /// A set-up took so long: the fuller a server, the longer.
    fn set_up(&mut self, now: f64, server: ServerId, took: f64, placed: &impl Placed) {
        let figures = self.figures;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.seen = now;
        if self.mean <= 0.0 || !figures.sized || s.sent_lately(now) > BURST {
            return;
        }
        let load = placed.placed(server) / (figures.even(&s.entry, now) * s.factor) * FULL;
        let speed = (SPEED_AT_0 - load).clamp(SPEED_LEAST, 1.0).ln();
        let time = (took.max(SHORTEST) * s.entry.weight * figures.ramp(&s.entry, now)).ln();
        self.set_ups += 1.0;
        if self.set_ups <= 1.0 {
            self.work = time + speed;
            return;
        }
        let faster = (self.work - speed - time).clamp(-ODD, ODD);
        self.work -= faster * f64::max(1.0 / self.set_ups, WORK);
        if self.set_ups >= WORK_KNOWN && load > KAPPA_FROM {
            s.factor = (s.factor * (KAPPA * faster).exp()).clamp(LEAST, MOST);
        }
    }

    fn grow(&mut self, now: f64, placed: &impl Placed) {
        let figures = self.figures;
        for (id, s) in &mut self.servers {
            let bound = figures.even(&s.entry, now) * s.factor;
            if now <= s.delay.1 + NEXT || placed.placed(*id) <= AT_BOUND * bound {
                continue;
            }
            let by = match (figures.ramp(&s.entry, now) < 1.0, now < s.noted + NOTED) {
                (true, _) => GROW_COLD,
                (false, true) => GROW_NOTED,
                (false, false) => GROW,
            };
            s.factor = (s.factor * (1.0 + by)).min(MOST);
        }
    }
}
