//! Owns what one instance knows of servers and of its own connections: who stands where, since when, with what load.
//! No decisions.

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{Request, ServerEntry, ServerState};
use shorewharf_decisions::{Outcome, RequestId, ServerId, Settings};

/// A connection's load is taken for the mean one until it has been seen for about so many seconds: what it is just now
/// says little of what it will be once it has moved.
const PRIOR: f64 = 20.0;
/// Weight of a told load in the mean of all.
const LEARN: f64 = 0.02;
/// A server that went without draining counts as missing for so long, in seconds.
const MISSED: f64 = 300.0;
/// A server where an attempt failed is passed over for so long, in seconds, doubling up to the longest.
const BARRED: f64 = 3.0;
const BARRED_LONGEST: f64 = 30.0;
/// Servers remembered at most.
const SERVERS_MOST: usize = 4096;

/// A server as this instance knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Server {
    pub entry: ServerEntry,
    /// It was there and is gone without having drained, since then.
    pub missing: Option<f64>,
    /// Attempts failed there: it takes no moves until then, and so long the time after.
    pub barred: f64,
    bar: f64,
    /// No connection could be made there, and none has been since.
    pub unreached: bool,
    /// It told that messages are slow, at that time.
    pub slow_at: f64,
}

impl Server {
    fn new(entry: ServerEntry) -> Self {
        let never = f64::NEG_INFINITY;
        Server { entry, missing: None, barred: never, bar: BARRED, unreached: false, slow_at: never }
    }

    /// It is listed as ready and can be reached.
    pub fn serves(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.unreached
    }
}

/// Where a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum At {
    /// It waits for a server.
    Waiting,
    /// An attempt is out there.
    Out(ServerId),
    /// It stands there.
    On(ServerId),
}

/// A connection of this instance's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conn {
    pub at: At,
    pub attempts: u32,
    pub key: u64,
    /// 0 for none.
    pub group: u64,
    /// It stands, or waits, since then.
    pub since: f64,
    /// It had stood before, and came again.
    pub again: bool,
    /// It has been asked to move.
    pub moved: bool,
    load: Option<f64>,
    load_at: f64,
    /// Load times seconds, and seconds, that were told.
    seen: (f64, f64),
}

impl Conn {
    fn new(request: &Request, at: At, now: f64) -> Self {
        Conn {
            at,
            attempts: 0,
            key: request.key,
            group: request.group,
            since: now,
            again: request.is_returning,
            moved: false,
            load: request.load.filter(|l| l.is_finite() && *l > 0.0),
            load_at: now,
            seen: (0.0, 0.0),
        }
    }

    /// The load it is expected to have from now on.
    pub fn expected(&self, now: f64, mean: f64) -> f64 {
        let past = (now - self.load_at).max(0.0);
        let (sum, time) = self.load.map_or(self.seen, |l| (self.seen.0 + l * past, self.seen.1 + past));
        (mean * PRIOR + sum) / (PRIOR + time)
    }

    fn tells(&mut self, now: f64, load: f64) {
        let past = (now - self.load_at).max(0.0);
        if let Some(before) = self.load {
            self.seen = (self.seen.0 + before * past, self.seen.1 + past);
        }
        self.load = Some(load);
        self.load_at = now;
    }
}

/// What became of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    pub conn: Conn,
    pub server: ServerId,
    pub stood: bool,
}

/// What changed with a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct News {
    /// Servers that are gone or drain, and those that started anew.
    pub lost: u32,
    pub started: u32,
}

/// All of it.
#[derive(Debug)]
pub(crate) struct Table {
    pub servers: BTreeMap<ServerId, Server>,
    pub conns: BTreeMap<RequestId, Conn>,
    standing: usize,
    /// Mean load of a connection, in standard cores; none where no load has been told.
    mean: Option<f64>,
    start: f64,
    warm: f64,
    sized: bool,
}

impl Table {
    pub fn new(set: &Settings) -> Self {
        let mut table = Table {
            servers: BTreeMap::new(),
            conns: BTreeMap::new(),
            standing: 0,
            mean: None,
            start: 0.0,
            warm: 0.0,
            sized: false,
        };
        table.take_settings(set);
        table
    }

    pub fn take_settings(&mut self, set: &Settings) {
        self.start = set.cold_capacity_ratio.clamp(0.0, 1.0);
        self.warm = set.warm_up_time.max(0.1);
        self.sized = set.weight_kind != shorewharf_decisions::interface::WeightKind::Uniform;
    }

    /// The mean load, 1 where none is known: then all loads are head counts.
    pub fn mean(&self) -> f64 {
        self.mean.unwrap_or(1.0)
    }

    /// Loads and weights are in one unit.
    pub fn in_cores(&self) -> bool {
        self.sized && self.mean.is_some()
    }

    pub fn warm_within(&self) -> f64 {
        self.warm
    }

    /// The share of its capacity that a server has by now, as it is stated.
    pub fn ramp(&self, s: &Server, now: f64) -> f64 {
        let age = now - s.entry.started_at;
        if s.entry.started_at <= 0.0 || age >= self.warm {
            return 1.0;
        }
        self.start + (1.0 - self.start) * (age / self.warm).max(0.0)
    }

    pub fn weight(&self, s: &Server) -> f64 {
        if self.sized && s.entry.weight.is_finite() && s.entry.weight > 0.0 { s.entry.weight } else { 1.0 }
    }

    pub fn listed(&mut self, now: f64, full: bool, entries: &[ServerEntry]) -> News {
        let mut news = News::default();
        let told: BTreeMap<ServerId, ServerEntry> = entries.iter().map(|e| (e.server, *e)).collect();
        for (id, s) in &mut self.servers {
            let stage =
                told.get(id).map_or(if full { ServerState::Removed } else { s.entry.state }, |e| e.state);
            let planned = s.entry.state == ServerState::Draining;
            if stage == ServerState::Removed && s.entry.state != ServerState::Removed {
                s.missing = (!planned).then_some(now);
            }
            news.lost += u32::from(s.entry.state == ServerState::Ready && stage != ServerState::Ready);
            s.entry.state = stage;
        }
        for (id, e) in told {
            let before = self.servers.get(&id).map(|s| (s.entry.started_at, s.missing.is_some()));
            if e.state == ServerState::Removed {
                continue;
            }
            match (before, self.servers.get_mut(&id)) {
                (Some((born, false)), Some(s)) if born == e.started_at => s.entry = e,
                (known, _) => {
                    // A process that starts anew leaves nothing of what was learned of the one before.
                    news.started +=
                        u32::from(e.started_at > 0.0 && (known.is_some() || now - e.started_at < self.warm));
                    if self.servers.len() < SERVERS_MOST || known.is_some() {
                        self.servers.insert(id, Server::new(e));
                    }
                }
            }
        }
        self.servers.retain(|_, s| {
            s.entry.state != ServerState::Removed || s.missing.is_some_and(|at| now < at + MISSED)
        });
        news
    }

    /// Listed capacity that serves, over all that is known, drained servers aside.
    pub fn in_service(&self, now: f64) -> f64 {
        let (mut serve, mut all) = (0.0, 0.0);
        for s in self.servers.values().filter(|s| s.entry.state != ServerState::Draining) {
            let weight = self.weight(s);
            all += weight;
            serve += if s.serves() { weight * self.ramp(s, now) } else { 0.0 };
        }
        if all > 0.0 { serve / all } else { 1.0 }
    }

    pub fn asks(&mut self, now: f64, request: &Request) {
        self.conns.insert(request.id, Conn::new(request, At::Waiting, now));
    }

    pub fn carried(&mut self, now: f64, request: &Request, server: ServerId) {
        self.conns.insert(request.id, Conn { attempts: 1, ..Conn::new(request, At::On(server), now) });
        self.standing += 1;
    }

    /// Connections that stand.
    pub fn standing(&self) -> usize {
        self.standing
    }

    pub fn sent(&mut self, id: RequestId, server: ServerId) -> Option<Conn> {
        let c = self.conns.get_mut(&id)?;
        c.at = At::Out(server);
        c.attempts += 1;
        Some(*c)
    }

    /// It stands; where, and since when it waited.
    pub fn stands(&mut self, now: f64, id: RequestId) -> Option<(ServerId, Conn)> {
        let c = self.conns.get_mut(&id)?;
        let At::Out(server) = c.at else { return None };
        c.at = At::On(server);
        self.standing += 1;
        let before = std::mem::replace(&mut c.since, now);
        c.load_at = now;
        let c = Conn { since: before, ..*c };
        if let Some(s) = self.servers.get_mut(&server) {
            (s.unreached, s.bar) = (false, BARRED);
        }
        Some((server, c))
    }

    pub fn load(&mut self, now: f64, id: RequestId, load: f64) {
        if !(load.is_finite() && load > 0.0) {
            return;
        }
        let mean = self.mean.get_or_insert(load);
        *mean += LEARN * (load - *mean);
        if let Some(c) = self.conns.get_mut(&id) {
            c.tells(now, load);
        }
    }

    /// An attempt or a standing connection has ended.
    pub fn ended(&mut self, now: f64, id: RequestId, outcome: Outcome, complete: bool) -> Option<Ended> {
        let c = self.conns.get_mut(&id)?;
        let (server, stood) = match c.at {
            At::Out(server) => (server, false),
            At::On(server) => (server, true),
            At::Waiting => return None,
        };
        c.at = At::Waiting;
        let conn = *c;
        self.standing -= usize::from(stood);
        if stood || complete {
            self.conns.remove(&id);
        }
        if let (Some(s), false) = (self.servers.get_mut(&server), stood) {
            s.unreached |= outcome == Outcome::ConnectFailed;
            if crate::retry::fails(outcome) {
                s.barred = now + s.bar;
                s.bar = (s.bar * 2.0).min(BARRED_LONGEST);
            }
        }
        Some(Ended { conn, server, stood })
    }

    /// Until when a server takes no moves, where attempts have failed there.
    pub fn barred(&self, server: ServerId) -> Option<f64> {
        self.servers.get(&server).map(|s| s.barred).filter(|until| until.is_finite())
    }

    /// A server takes no moves until then, as far as that can be.
    pub fn bar(&mut self, now: f64, server: ServerId, until: f64) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.barred = s.barred.max(until.min(now + BARRED_LONGEST));
        }
    }

    /// Goes on from a mean load, unless one was told here.
    pub fn start_mean(&mut self, mean: f64) {
        self.mean.get_or_insert(mean);
    }

    /// A probe has come to something.
    pub fn probed(&mut self, server: ServerId, outcome: Outcome) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.unreached = outcome != Outcome::Ok;
        }
    }

    /// It has had its answer, or nobody waits for one.
    pub fn over(&mut self, id: RequestId) {
        if self.conns.get(&id).is_some_and(|c| c.at == At::Waiting) {
            self.conns.remove(&id);
        }
    }
}
