//! Owns the three together for one instance: what happens and what the module wants is passed through here, and out of
//! it come the level, whether an attempt may be repeated, and moves. The module still decides everything about a request.

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{Action, Event, Request};
use shorewharf_decisions::{Balancer, Holding, Outcome, RequestId, ServerId, Settings};

use crate::estimate::{Estimate, Fleet};
use crate::levels::{Change, Figures, Gauge, Level, LevelStats, Levels, Measures, Repeats, share};
use crate::queue::Queue;
use crate::rebalance::{Move, Rebalance, RebalanceStats};
use crate::report::Shortage;
use crate::retry::{Grant, Retry, RetryStats, fails};
use crate::table::Table;

/// The timer of this module; the decision module's tokens lie far below.
pub const TOKEN: u64 = 1 << 62;
/// How often it looks by itself, in seconds.
const PERIOD: f64 = 0.5;
/// A moved client's place at its new server is kept for so long, in seconds: a gap and a try.
const PLACE: f64 = 3.0;
/// A refused client that has not asked again for so long, in seconds or twice the longest wait that is told, is served
/// elsewhere or has given up; so many are remembered.
const AWAY: f64 = 3.0;
const AWAY_MOST: usize = 8192;
/// A delay over this part of the shortest message aim is slow, as the decision module has it.
const SLOW: f64 = 0.4;
/// Moves stop while servers with this part of the ready ones or more say they are slow: then there is no room to move to.
const SLOW_PART: f64 = 0.34;

/// How often it is looked at who waits for room, in seconds.
const LOOK: f64 = 1.0;

/// What is switched on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Levels change what they say they change; they are always told.
    pub levels: bool,
    /// Repeats need the budget.
    pub repeats: bool,
    /// Standing connections move towards balance.
    pub rebalance: bool,
}

impl Options {
    /// Nothing: all is only counted.
    pub const OFF: Options = Options { levels: false, repeats: false, rebalance: false };
    /// Everything.
    pub const ALL: Options = Options { levels: true, repeats: true, rebalance: true };
}

/// Demand and room of the whole fleet, as an estimate has them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// What is asked for, in standard cores.
    pub demand: f64,
    /// What the fleet can do.
    pub room: f64,
    /// How far off the room may be, as a share of it.
    pub doubt: f64,
}

/// All figures, for operators and reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CareStats {
    /// The level.
    pub level: LevelStats,
    /// Repeats.
    pub retry: RetryStats,
    /// Moves.
    pub rebalance: RebalanceStats,
    /// Probes left out by a level.
    pub probes_left_out: u64,
    /// Requests refused or failed, by the level they met.
    pub refused: BTreeMap<&'static str, u64>,
}

/// Levels, budget and moves of one instance.
#[derive(Debug)]
pub struct Care {
    options: Options,
    proxies: f64,
    groups: bool,
    message_aim: f64,
    ask_within: f64,
    table: Table,
    gauge: Gauge,
    levels: Levels,
    retry: Retry,
    rebalance: Rebalance,
    room: Option<Room>,
    late: f64,
    /// Discovery's call has failed, and nothing has come since.
    deaf: Option<f64>,
    /// Clients that were refused and have not come up since, and when.
    away: BTreeMap<u64, f64>,
    /// They are waited for so long.
    patience: f64,
    /// Probes that may go out.
    probes: (f64, f64),
    changes: Vec<Change>,
    moves: Vec<Move>,
    stats: CareStats,
}

impl Care {
    /// A fresh one for an instance of these settings; all its randomness comes from `seed`.
    pub fn new(set: &Settings, seed: u64, options: Options) -> Self {
        let mut care = Care {
            options,
            proxies: 1.0,
            groups: false,
            message_aim: 0.1,
            ask_within: 5.0,
            table: Table::new(set),
            gauge: Gauge::default(),
            levels: Levels::new(),
            retry: Retry::new(seed),
            rebalance: Rebalance::new(seed.rotate_left(17), set.migration_cost),
            room: None,
            late: 0.0,
            deaf: None,
            away: BTreeMap::new(),
            patience: AWAY,
            probes: (0.0, 0.0),
            changes: Vec::new(),
            moves: Vec::new(),
            stats: CareStats::default(),
        };
        care.take_settings(set);
        care
    }

    /// Other settings are in force; what was learned stays.
    pub fn take_settings(&mut self, set: &Settings) {
        self.proxies = set.instance_count.max(1.0);
        self.groups = set.has_groups;
        self.message_aim =
            set.classes.iter().map(|c| c.message_latency_objective).fold(f64::INFINITY, f64::min);
        self.ask_within = set.poll_interval.max(0.1);
        self.patience = AWAY.max(2.0 * set.max_retry_after);
        self.table.take_settings(set);
    }

    /// The level now.
    pub fn level(&self) -> Level {
        self.levels.level()
    }

    /// What it changes.
    pub fn measures(&self) -> Measures {
        if self.options.levels { self.level().measures() } else { Level::Normal.measures() }
    }

    /// An estimate's news.
    pub fn told(&mut self, room: Room) {
        self.room = Some(room);
    }

    /// So many seconds has the loop been behind.
    pub fn late(&mut self, seconds: f64) {
        self.late = seconds;
    }

    /// Something happens; called before the module hears of it. False if it was meant for this one alone.
    pub fn hears(&mut self, now: f64, event: &Event, module: &mut Balancer) -> bool {
        // What is held is placed when a list or a timer comes: then the budget alone speaks.
        let mut repeat = None;
        match event {
            Event::TimerFired(TOKEN) => return false,
            Event::EndpointList { is_complete: full, entries, is_cached: cached } => {
                self.listed(now, *full, *cached, entries)
            }
            Event::DiscoveryFailed => {
                self.deaf.get_or_insert(now);
                self.rebalance.pause(now, "discovery");
            }
            Event::RequestReceived(request) => self.asks(now, request),
            Event::ConnectionRestored(request, server) => self.table.carried(now, request, *server),
            Event::Established { request, .. } => self.stands(now, *request),
            Event::LoadChanged { request, load } => self.table.load(now, *request, *load),
            Event::MessageDelay { server, delay } => self.delayed(now, *server, *delay),
            Event::AttemptEnded { request, outcome, is_answered: complete, .. } => {
                repeat = self.ended(now, *request, *outcome, *complete);
            }
            Event::ClientLeft(id) => self.table.over(*id),
            Event::ProbeEnded { server, outcome, .. } => self.table.probed(*server, *outcome),
            Event::Start | Event::TimerFired(_) | Event::CapacityEstimated { .. } => {}
            Event::MeanLoadEstimated(_) | Event::RemoteLoadsUpdated(_) => {}
        }
        let closed = || self.retry.closed(now) || self.measures().repeats == Repeats::None;
        let may = repeat.unwrap_or_else(|| !closed());
        module.allow_retries(may || !self.options.repeats);
        true
    }

    /// What the module wants done, from `first` on; called after it has heard of an event. Takes out what must not be,
    /// and appends what is wanted besides.
    pub fn sees(
        &mut self,
        now: f64,
        first: usize,
        event: &Event,
        out: &mut Vec<Action>,
        module: &mut Balancer,
    ) {
        let mut looks =
            matches!(event, Event::EndpointList { .. } | Event::AttemptEnded { .. } | Event::DiscoveryFailed);
        for action in &out[first..] {
            match action {
                Action::BeginAttempt { request, server, .. } => self.sent(now, *request, *server),
                Action::Reject { request, .. } | Action::Fail(request) => {
                    looks = true;
                    self.refused(now, *request);
                }
                Action::Migrate(request) => {
                    self.table.conns.entry(*request).and_modify(|c| c.moved = true);
                }
                _ => {}
            }
        }
        self.spare_probes(now, first, out);
        if looks {
            self.look(now);
        }
        match event {
            Event::Start => out.push(Action::SetTimer { after: PERIOD, token: TOKEN }),
            Event::TimerFired(TOKEN) => {
                out.push(Action::SetTimer { after: PERIOD, token: TOKEN });
                self.look(now);
                self.move_some(now, out, module);
            }
            _ => {}
        }
        // The moment it happens, with the figures that caused it.
        let changes = self.changes.drain(..).map(|change| change.to_string());
        out.extend(changes.chain(self.retry.notes()).chain(self.rebalance.notes()).map(Action::Log));
    }

    fn listed(
        &mut self,
        now: f64,
        full: bool,
        cached: bool,
        entries: &[shorewharf_decisions::interface::ServerEntry],
    ) {
        if !cached {
            self.deaf = None;
        }
        let was: Vec<ServerId> = self.table.servers.iter().filter(|s| s.1.serves()).map(|s| *s.0).collect();
        let news = self.table.listed(now, full, entries);
        for id in was {
            if !self.table.servers.get(&id).is_some_and(|s| s.serves()) {
                self.rebalance.lost(id);
            }
        }
        if news.lost > 0 {
            self.rebalance.pause(now, "server-lost");
        }
        if news.started > 0 {
            self.rebalance.pause(now, "server-started");
        }
    }

    fn asks(&mut self, now: f64, request: &Request) {
        self.table.asks(now, request);
        if request.key != 0 {
            self.rebalance.asks(now, request.key);
        }
    }

    fn stands(&mut self, now: f64, id: RequestId) {
        let Some((server, conn)) = self.table.stands(now, id) else { return };
        self.gauge.now(now).served += 1;
        self.away.remove(&conn.key);
        self.retry.outcome(now, server, Outcome::Ok);
        self.rebalance.stands(conn.key, server, now - conn.since);
    }

    fn delayed(&mut self, now: f64, server: ServerId, delay: f64) {
        if delay < SLOW * self.message_aim {
            return;
        }
        if let Some(s) = self.table.servers.get_mut(&server) {
            s.slow_at = now;
        }
        let ready = self.table.servers.values().filter(|s| s.serves());
        let (slow, all) = ready.fold((0, 0), |t, s| (t.0 + u32::from(now < s.slow_at + 2.0), t.1 + 1));
        if f64::from(slow) >= SLOW_PART * f64::from(all) {
            self.rebalance.pause(now, "slow");
        }
    }

    /// Whether the attempt that has ended may be repeated, if that is the question.
    fn ended(&mut self, now: f64, id: RequestId, outcome: Outcome, complete: bool) -> Option<bool> {
        let ended = self.table.ended(now, id, outcome, complete)?;
        let (server, conn) = (ended.server, ended.conn);
        if ended.stood {
            if outcome == Outcome::Reset {
                self.rebalance.pause(now, "broken");
            } else if !conn.moved {
                self.rebalance.lived(now, &ended);
            }
            return None;
        }
        self.retry.outcome(now, server, outcome);
        if fails(outcome) {
            self.rebalance.pause(now, "set-up-failed");
            if !self.table.servers.get(&server).is_some_and(|s| s.serves()) {
                self.rebalance.lost(server);
            }
        }
        if complete || outcome == Outcome::Ok {
            return None;
        }
        let grant = match self.measures().repeats {
            Repeats::None => self.retry.count(Grant::Level),
            Repeats::Unsent if !outcome.never_ran() => self.retry.count(Grant::Level),
            _ => self.retry.may(now, conn.attempts),
        };
        Some(grant.yes())
    }

    fn sent(&mut self, now: f64, id: RequestId, server: ServerId) {
        let Some(conn) = self.table.sent(id, server) else { return };
        if conn.attempts > 1 {
            self.retry.repeated(now);
            self.gauge.now(now).repeats += 1;
        } else {
            self.retry.first();
            self.gauge.now(now).first += 1;
        }
        self.rebalance.sent(conn.key, server);
    }

    fn refused(&mut self, now: f64, id: RequestId) {
        self.rebalance.pause(now, "refused");
        let key = self.table.conns.get(&id).map_or(0, |c| c.key);
        self.turned_away(now, key, id);
        self.table.over(id);
    }

    fn turned_away(&mut self, now: f64, key: u64, id: RequestId) {
        self.gauge.now(now).refused += 1;
        *self.stats.refused.entry(self.level().name()).or_default() += 1;
        let key = if key == 0 { 1 << 63 | u64::from(id.0) } else { key };
        if self.away.len() < AWAY_MOST || self.away.contains_key(&key) {
            self.away.insert(key, now);
        }
    }

    /// Takes out probes beyond what the level allows; the module asks for them again by its own back-off.
    fn spare_probes(&mut self, now: f64, first: usize, out: &mut Vec<Action>) {
        let most = self.measures().probes;
        let (left, at) = self.probes;
        let mut left = if most.is_finite() { (left + (now - at) * most).min(most) } else { 1.0 };
        let mut spared = 0;
        let mut i = first;
        while i < out.len() {
            if matches!(out[i], Action::Probe(_)) && most.is_finite() {
                if left < 1.0 {
                    out.remove(i);
                    spared += 1;
                    continue;
                }
                left -= 1.0;
            }
            i += 1;
        }
        self.probes = (left, now);
        self.stats.probes_left_out += spared;
    }

    fn figures(&mut self, now: f64) -> Figures {
        let c = self.gauge.sum(now);
        let patience = self.patience;
        self.away.retain(|_, at| now < *at + patience);
        let away = self.away.len() as u32;
        Figures {
            asked: f64::from(c.served + c.refused) / Gauge::span(),
            away: share(away, away + self.table.standing() as u32),
            repeats: share(c.repeats, c.first),
            // Room that is doubtful counts as what it surely is not above.
            pressure: self.room.filter(|r| r.room > 0.0).map(|r| r.demand / (r.room * (1.0 + r.doubt))),
            in_service: self.table.in_service(now),
            list_age: self.deaf.map_or(0.0, |since| (now - since) / self.ask_within),
            late: self.late,
        }
    }

    fn look(&mut self, now: f64) {
        let figures = self.figures(now);
        if let Some(change) = self.levels.look(now, &figures) {
            if change.to > change.from {
                self.rebalance.pause(now, "level");
            }
            self.changes.push(change);
        }
    }

    fn move_some(&mut self, now: f64, out: &mut Vec<Action>, module: &mut Balancer) {
        let pace = if self.options.rebalance { self.measures().pace } else { 0.0 };
        let mut moves = std::mem::take(&mut self.moves);
        self.rebalance.step(now, pace, &mut self.table, self.groups, self.proxies, &mut moves);
        for m in moves.drain(..) {
            module.on_migrated(m.request, Some(m.to), now + PLACE);
            out.push(Action::Migrate(m.request));
        }
        self.moves = moves;
    }

    pub(crate) fn table(&self) -> &Table {
        &self.table
    }

    pub(crate) fn table_mut(&mut self) -> &mut Table {
        &mut self.table
    }

    /// Connections of this instance's that stand.
    pub fn standing(&self) -> usize {
        self.table.standing()
    }

    /// All figures.
    pub fn stats(&self) -> CareStats {
        CareStats {
            level: self.levels.stats(),
            retry: self.retry.stats(),
            rebalance: self.rebalance.stats(),
            ..self.stats.clone()
        }
    }
}

/// The decision module with the care round it: takes events and gives actions as [`Balancer`] does.
#[derive(Debug)]
pub struct Guarded {
    pub(crate) module: Balancer,
    pub(crate) care: Care,
    pub(crate) estimate: Estimate,
    queue: Queue,
    shortage: Shortage,
    looked: f64,
    tells: Vec<Event>,
}

impl Guarded {
    /// A fresh module and fresh care.
    pub fn new(set: Settings, seed: u64, options: Options) -> Self {
        Guarded {
            care: Care::new(&set, seed, options),
            estimate: Estimate::new(&set),
            queue: Queue::new(&set),
            shortage: Shortage::default(),
            looked: f64::NEG_INFINITY,
            module: Balancer::new(set, seed),
            tells: Vec::new(),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        let first = out.len();
        self.estimate.hears(now, &event, &self.module);
        self.estimate.tells(now, &mut self.tells);
        self.tells.drain(..).for_each(|told| self.module.handle(now, told, out));
        if self.care.hears(now, &event, &mut self.module) {
            self.module.handle(now, event.clone(), out);
        }
        self.estimate.sees(now, &out[first..]);
        for action in &mut out[first..] {
            match action {
                Action::BeginAttempt { .. } => self.queue.let_in(now),
                Action::Reject { retry_after, .. } => {
                    *retry_after = self.queue.place(now);
                    self.shortage.refused();
                }
                _ => {}
            }
        }
        if now >= self.looked + LOOK {
            self.looked = now;
            let fleet = self.estimate.fleet(now, &self.module);
            out.extend(self.shortage.look(self.module.waiting_requests(), &fleet).map(Action::Log));
        }
        self.care.sees(now, first, &event, out, &mut self.module);
    }

    /// Puts new settings in force; what was learned stays.
    pub fn take_settings(&mut self, set: Settings, options: Options) {
        self.care.options = options;
        self.care.take_settings(&set);
        self.estimate.take_settings(&set);
        self.queue.take_settings(&set);
        self.module.update_settings(set);
    }

    /// A standing client was asked to move by someone else.
    pub fn moved(&mut self, id: RequestId) {
        self.care.table.conns.entry(id).and_modify(|c| c.moved = true);
    }

    /// What is believed of the fleet.
    pub fn fleet(&self, now: f64) -> Fleet {
        self.estimate.fleet(now, &self.module)
    }

    /// What is known of a standing connection: what it asked for, and its load where that was told.
    pub fn standing(&self, id: RequestId) -> Option<(Request, Option<f64>)> {
        self.module.established(id)
    }

    /// What is held here, to be told to other balancers.
    pub fn holds(&self) -> Vec<Holding> {
        self.module.holdings()
    }

    /// Servers that get nothing new now.
    pub fn avoided(&self, now: f64) -> Vec<ServerId> {
        self.module.unavailable_servers(now)
    }

    /// Clients that wait for room here, and how many hold a place to come back, about.
    pub fn waiting(&self, now: f64) -> (usize, f64) {
        (self.module.waiting_requests(), self.queue.length(now))
    }

    /// The care.
    pub fn care(&self) -> &Care {
        &self.care
    }

    /// The same, to be told what it can't see.
    pub fn care_mut(&mut self) -> &mut Care {
        &mut self.care
    }
}
