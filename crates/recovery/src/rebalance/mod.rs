//! Owns slow rebalancing: when standing connections move, how fast, and when they don't. Servers that come back stay
//! empty for as long as connections live, while those that held out are crowded; so connections move there, each
//! instance its own, at a pace that the fleet bears. It stops at any failure and goes on once all has been well for a
//! while; and it lies still between two thresholds, so that chance moves nobody to and fro.

mod plan;

use std::collections::{BTreeMap, VecDeque};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use shorewharf_decisions::{RequestId, ServerId};

use plan::{Expected, LEVEL, Picture, Terms};
pub use plan::{Price, Unit, Why};

use crate::table::{Ended, Table};

/// Moves begin at this imbalance of the instance's own part (largest usage over the mean one) and end below the other.
const BEGIN: f64 = 1.15;
const END: f64 = 1.0 + LEVEL;
/// They begin so long after it was seen first, in seconds, drawn between once and twice this for each instance: clients
/// that come back by themselves need none, and instances don't begin at once.
const SETTLE: f64 = 2.0;
/// After a failure nothing moves for so long, in seconds, drawn between 0.75 and 1.25 times this.
const PAUSE: f64 = 4.0;
/// Part of the instance's standing connections that moves in a second, at most, and moves a second in any case.
const PACE: f64 = 0.02;
const PACE_LEAST: f64 = 0.2;
/// Moves that may follow each other at once.
const BURST: f64 = 2.0;
/// Part of the connections that fill a server within its stated warm-up: all instances together send a cold server so
/// many in that time, a warm one [`WARM`] times as many. Cold ones fall at three times the pace that fills them.
const RAMP: f64 = 0.5;
const WARM: f64 = 3.0;
/// Clients that were asked to move are waited for so long, in seconds.
const AWAITED: f64 = 3.0;
/// Where most of the last moves that came back here landed elsewhere, none are made for so long, in seconds.
const VAIN: f64 = 30.0;
const VAIN_OF: u32 = 12;
/// Weight of a new figure in what was learned.
const LEARN: f64 = 0.1;

/// What the moves are doing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    /// The instance's own part is level enough.
    #[default]
    Rests,
    /// It is not; moves begin then.
    Settles(f64),
    Moves,
}

/// Figures of the moves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RebalanceStats {
    /// The largest usage of this instance's part over the mean one, when it was looked at last.
    pub imbalance: f64,
    /// Moves are being made, or would be but for a pause.
    pub active: bool,
    /// Moves by cause.
    pub moves: BTreeMap<&'static str, u64>,
    /// What became of them: `target`, `elsewhere`, `back` to the server they left, `away` to another instance.
    pub came: BTreeMap<&'static str, u64>,
    /// Pauses by cause.
    pub pauses: BTreeMap<&'static str, u64>,
    /// Clients on their way.
    pub awaited: usize,
    /// What a move is taken to cost.
    pub price: Price,
}

impl Default for Price {
    fn default() -> Self {
        Price { gap: 0.5, set_up: 0.2, left: 10.0, charged: 0.0 }
    }
}

/// A move to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Who.
    pub request: RequestId,
    /// To where.
    pub to: ServerId,
    /// Why.
    pub why: Why,
}

/// The moves of one instance.
#[derive(Debug)]
pub struct Rebalance {
    rng: Pcg64Mcg,
    state: State,
    paused: f64,
    /// The unit that is being moved: who is still to go.
    open: Option<(VecDeque<RequestId>, Unit)>,
    tokens: f64,
    /// By server: moves that it may take now.
    takes: BTreeMap<ServerId, (f64, f64)>,
    stepped: Option<f64>,
    awaited: BTreeMap<u64, Expected>,
    /// Of the last moves that came back here: all, and those that landed where they were to.
    landed: (u32, u32),
    /// Mean age of connections that ended by themselves.
    lives: f64,
    /// Moves, and those of them that came up here, when they began the last time.
    began: (u64, u64),
    /// Lines for the log.
    notes: Vec<String>,
    stats: RebalanceStats,
}

impl Rebalance {
    /// Nothing moves yet; when it begins is drawn from `seed`.
    pub fn new(seed: u64, charged: f64) -> Self {
        let stats =
            RebalanceStats { price: Price { charged, ..Price::default() }, ..RebalanceStats::default() };
        Rebalance {
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: State::Rests,
            paused: f64::NEG_INFINITY,
            open: None,
            tokens: 0.0,
            takes: BTreeMap::new(),
            stepped: None,
            awaited: BTreeMap::new(),
            landed: (0, 0),
            lives: 0.0,
            began: (0, 0),
            notes: Vec::new(),
            stats,
        }
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Something has failed: nothing moves for a while.
    pub fn pause(&mut self, now: f64, cause: &'static str) {
        let until = now + PAUSE * (0.75 + 0.5 * self.draw());
        if now >= self.paused {
            *self.stats.pauses.entry(cause).or_default() += 1;
        }
        self.paused = self.paused.max(until);
    }

    /// A server takes no more: what was to move there stays.
    pub(crate) fn lost(&mut self, server: ServerId) {
        if self.open.as_ref().is_some_and(|o| o.1.to == server || o.1.from == server) {
            self.open = None;
        }
        self.takes.remove(&server);
        self.awaited.retain(|_, e| e.to != server);
    }

    /// An attempt was sent to a server, by whoever's wish: it counts against what a cold one takes.
    pub(crate) fn sent(&mut self, key: u64, server: ServerId) {
        if self.awaited.get(&key).is_some_and(|e| e.to == server) {
            return;
        }
        if let Some(t) = self.takes.get_mut(&server) {
            t.0 -= 1.0;
        }
    }

    /// A client asks that may have been moved.
    pub(crate) fn asks(&mut self, now: f64, key: u64) {
        let Some(e) = self.awaited.get_mut(&key).filter(|e| !e.here) else { return };
        let gap = now - e.at;
        (e.here, e.until) = (true, now + AWAITED);
        self.stats.price.gap += LEARN * (gap - self.stats.price.gap);
    }

    /// A connection stands.
    pub(crate) fn stands(&mut self, key: u64, server: ServerId, set_up: f64) {
        self.stats.price.set_up += LEARN * (set_up - self.stats.price.set_up);
        let Some(e) = self.awaited.remove(&key) else { return };
        let came = match server {
            s if s == e.to => "target",
            s if s == e.from => "back",
            _ => "elsewhere",
        };
        *self.stats.came.entry(came).or_default() += 1;
        self.landed = (self.landed.0 + 1, self.landed.1 + u32::from(came == "target"));
    }

    /// A connection has ended by itself.
    pub(crate) fn lived(&mut self, now: f64, ended: &Ended) {
        let age = now - ended.conn.since;
        self.lives += LEARN * (age - self.lives);
    }

    /// Who is to move now, at `pace` times the usual one.
    pub(crate) fn step(
        &mut self,
        now: f64,
        pace: f64,
        table: &mut Table,
        groups: bool,
        proxies: f64,
        moves: &mut Vec<Move>,
    ) {
        let past = (now - self.stepped.replace(now).unwrap_or(now)).clamp(0.0, 1.0);
        self.expire(now);
        let picture = Picture::new(now, table, groups, proxies, self.awaited.values().copied());
        self.stats.imbalance = picture.imbalance();
        self.stats.price.left = picture.age.max(self.lives);
        self.earn(past, pace, table, &picture, proxies);
        let before = self.state;
        self.state = match self.state {
            State::Rests if self.stats.imbalance > BEGIN => {
                State::Settles(now + SETTLE * (1.0 + self.draw()))
            }
            State::Settles(_) if self.stats.imbalance <= BEGIN => State::Rests,
            State::Settles(at) if now >= at => State::Moves,
            State::Moves if self.stats.imbalance <= END && self.open.is_none() => State::Rests,
            state => state,
        };
        self.tell(before);
        if self.state != State::Moves || now < self.paused || pace <= 0.0 {
            self.open = None;
            return;
        }
        if self.landed.0 >= VAIN_OF {
            if self.landed.1 * 2 < self.landed.0 {
                self.paused = now + VAIN;
                *self.stats.pauses.entry("in-vain").or_default() += 1;
            }
            self.landed = (0, 0);
        }
        self.make(now, table, picture, (groups, proxies), moves);
    }

    /// Says in the log that moves begin or end.
    fn tell(&mut self, before: State) {
        let sums = (self.stats.moves.values().sum(), self.stats.came.get("target").copied().unwrap_or(0));
        let (moving, moved) = (self.state == State::Moves, before == State::Moves);
        if moving && !moved {
            self.began = sums;
            self.notes.push(format!("rebalance=begins imbalance={:.2}", self.stats.imbalance));
        } else if moved && !moving {
            let (moves, landed): (u64, u64) = (sums.0 - self.began.0, sums.1 - self.began.1);
            let imbalance = self.stats.imbalance;
            self.notes.push(format!("rebalance=ends imbalance={imbalance:.2} moves={moves} landed={landed}"));
        }
    }

    /// Lines for the log since the last call.
    pub fn notes(&mut self) -> impl Iterator<Item = String> {
        self.notes.drain(..)
    }

    fn expire(&mut self, now: f64) {
        let before = self.awaited.len();
        self.awaited.retain(|_, e| now < e.until);
        if before > self.awaited.len() {
            *self.stats.came.entry("away").or_default() += (before - self.awaited.len()) as u64;
        }
    }

    /// What may move by now, over all and by server.
    fn earn(&mut self, past: f64, pace: f64, table: &Table, picture: &Picture, proxies: f64) {
        let rate = PACE_LEAST + PACE * picture.standing as f64;
        self.tokens = (self.tokens + rate * pace * past).min(BURST.max(rate));
        let all: f64 = picture.nodes.iter().map(|n| n.weight).sum();
        for n in &picture.nodes {
            let fill = if table.in_cores() {
                n.weight / table.mean() / proxies
            } else {
                picture.standing as f64 * n.weight / all
            };
            let rate = RAMP * fill / table.warm_within() * if n.cold { 1.0 } else { WARM };
            // The first one comes at a drawn time, so that all instances' first ones don't come together.
            let drawn = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            let t = self.takes.entry(n.id).or_insert((-drawn, n.born));
            if t.1 != n.born {
                *t = (-drawn, n.born);
            }
            t.0 = (t.0 + rate * past).min(1.0_f64.max(rate));
        }
        self.takes.retain(|id, _| table.servers.contains_key(id));
    }

    fn make(
        &mut self,
        now: f64,
        table: &mut Table,
        mut picture: Picture,
        (groups, proxies): (bool, f64),
        moves: &mut Vec<Move>,
    ) {
        while self.tokens >= 1.0 {
            let open = self.open.as_ref().is_some_and(|o| !o.0.is_empty());
            if !open {
                let paced = |id: ServerId| self.takes.get(&id).is_some_and(|t| t.0 >= 1.0);
                let terms = Terms { now, warm: table.warm_within(), price: self.stats.price, paced: &paced };
                let unit = if self.stats.imbalance > END { picture.best(&terms) } else { None };
                let Some(unit) = unit else {
                    self.open = None;
                    // Nothing is worth its price, or no target takes one just now.
                    return;
                };
                self.open = Some((unit.ids.iter().copied().collect(), unit));
            }
            let Some((ids, unit)) = self.open.as_mut() else { return };
            let (to, from, why) = (unit.to, unit.from, unit.why);
            let Some(take) = self.takes.get_mut(&to).filter(|t| t.0 >= 1.0) else { return };
            let Some(request) = ids.pop_front() else { continue };
            let mean = table.mean();
            let on = |c: &&mut crate::table::Conn| c.at == crate::table::At::On(from) && !c.moved;
            let Some(c) = table.conns.get_mut(&request).filter(on) else { continue };
            c.moved = true;
            let load = c.expected(now, mean);
            let e = Expected { to, from, load, until: now + AWAITED, at: now, here: false };
            take.0 -= 1.0;
            self.tokens -= 1.0;
            self.awaited.insert(c.key, e);
            *self.stats.moves.entry(why.name()).or_default() += 1;
            moves.push(Move { request, to, why });
            picture = Picture::new(now, table, groups, proxies, self.awaited.values().copied());
            self.stats.imbalance = picture.imbalance();
        }
    }

    /// Its figures.
    pub fn stats(&self) -> RebalanceStats {
        RebalanceStats {
            active: self.state == State::Moves,
            awaited: self.awaited.len(),
            ..self.stats.clone()
        }
    }
}
