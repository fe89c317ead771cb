// Interface (types, events, actions): src/interface.rs. Mechanism: "Looky 1.0.7 Concept", kept and extended
// as docs/design.md says. Times are seconds on the caller's clock; loads are work a second or head counts.
//! The decisions: where a client's connection goes, and when it is refused.

use crate::interface::*;
use crate::load::Borne;
use crate::sounding::{Bearing, CROWD, SOUND};
pub use crate::state::Balancer;
use crate::state::{Client, Reservation, Server, hash, sane, unit};

/// A server, whether it is far, and its rank.
type Ranked<'a> = (bool, f64, &'a Server);

/// Servers per pool member wanted: a group's pool is this many times its share of the fleet.
const SPREAD: f64 = 1.0;
/// Clients subtracted from a group's count: one sighting says little of a group's true size.
const DISCOUNT: f64 = 0.75;
/// Clients assumed elsewhere when few have been seen, so that the first one's group is not taken for all.
const PRIOR: f64 = 3.0;
/// Share of the group counts that remains after one housekeeping period.
pub(crate) const KEEP: f64 = 0.985;
/// Share of the arrival count that remains after one.
pub(crate) const MEMORY: f64 = 0.95;
/// Housekeeping period, seconds; also the period of message notes.
const PERIOD: f64 = 1.0;
/// Crossing price (parts of the result) from which pools are cut to the proxy's own zone.
const LOCAL_PRICE: f64 = 0.05;
/// Delay over message aim at which a server counts as slow and clients start to leave it.
const SLOW: f64 = 0.4;
/// A slow server's pile of work should be gone within this many periods: so much of its load must leave.
const DRAIN: f64 = 0.4;
const LEAVE_MOST: f64 = 0.5;
/// A slow server is spent until its next note, a period later; one that sheds clients, for this many periods.
/// One that is spent when the last client here leaves it, after which nobody tells of it, for about as many.
const SLOW_HOLD: f64 = 1.2;
const SHED_HOLD: f64 = 12.0;
const UNHEARD: f64 = 8.0;
/// `have` falls to this share at each sign of trouble and regains this share of the gap a period.
const FALL: f64 = 0.6;
pub(crate) const REGAIN: f64 = 0.03;
pub(crate) const LEAST: f64 = 0.05;
/// Connections that broke lately (this share of them counts on a period later) speak of their server from so
/// many on, if they are this share of what stood there.
pub(crate) const DROPS_KEEP: f64 = 0.7;
const DROPS: f64 = 1.8;
const DROPPED: f64 = 0.2;
/// Lock after a failed connect, in connect time-outs; doubles up to the cap, in warm-up times.
const LOCK: f64 = 4.0;
const LOCK_MOST: f64 = 0.5;
/// Share of those who come again that pass over their group's first rank where nothing is heard of it: they
/// may have been sent away from there by a proxy that did hear.
const PASS: f64 = 0.5;
/// A pool whose members are spent reaches so many ranks further down before clients are refused.
const REACH: usize = 1;
/// A pool member is passed over above this multiple of the mean usage plus this many mean clients.
const BOUND: f64 = 1.25;
const BOUND_CLIENTS: f64 = 3.0;
/// Moves allowed for each client that arrives afresh or is there at the start, and for each that comes again:
/// a proxy that has started anew may have no others.
const MOVES: f64 = 5.0;
const MOVES_AGAIN: f64 = 1.0;
/// Who may wait for a moment is looked at again so soon, in aims.
const LOOK: f64 = 0.1;
/// Clients that wait for each server that bears more and has its hands full: so many are set up in an aim.
const SOON: usize = 4;
/// Set-up pace: share kept at a failed set-up, growth at a good one, and where it starts and ends to bind.
const PACE_FALL: f64 = 0.6;
const PACE_GROW: f64 = 1.15;
pub(crate) const PACE_LEAST: f64 = 0.2;
pub(crate) const PACE_FREE: f64 = 50.0;
/// The pace falls when set-ups failed within so many periods at more than this share of the servers.
const FAILING: f64 = 2.0;
const WIDE: f64 = 0.5;
/// Latency time of a reservation in honoured waits, drawn between 1 and 2 times this.
pub(crate) const LATENCY: f64 = 1.5;
/// The pause before the next registry call, in parts of `ask_within`, which counts up to 10 s: drawn between
/// this and three times as much, however often calls fail. What the registry has to say soon counts as told.
const PAUSE: f64 = 0.045;
/// Bound on remembered clients.
pub(crate) const KEYS_MOST: usize = 8192;

const HOUSEKEEPING: u64 = 1 << 40;
const SUBSCRIBE: u64 = 2 << 40;
const HOLD: u64 = 3 << 40;
const DEADLINE: u64 = 4 << 40;

impl Balancer {
    /// A module for one proxy; all its randomness comes from `seed`.
    pub fn new(set: Settings, seed: u64) -> Self {
        Balancer::fresh(set, seed, PACE_FREE)
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start => self.start(now, out),
            Event::Servers { full, entries, .. } => self.list(now, full, &entries, out),
            Event::RegistryFailed => self.ask_later(out),
            Event::Arrived(request) => self.arrived(now, request, out),
            Event::Open(request, server) => self.opened(now, request, server),
            Event::Established { request, .. } => self.established(now, request),
            Event::LoadChanged { request, load } => self.load_changed(request, load),
            Event::MessageDelay { server, delay } => self.message_delay(now, server, delay, out),
            Event::Bears { server, load, entries } => {
                self.borne.insert(server, Borne { load, entries });
            }
            Event::Elsewhere(away) => self.others_hold(now, away),
            Event::MeanLoad(mean) => sane(mean).into_iter().for_each(|mean| self.revalue(mean)),
            Event::Ended { request, server, attempt, outcome, complete, .. } => {
                self.ended(now, request, (server, attempt), outcome, complete, out)
            }
            Event::ClientGone(id) => self.finish(id),
            Event::Timer(token) => self.timer(now, token, out),
            Event::Probed { server, outcome, .. } => self.probed(now, server, outcome, out),
        }
    }

    fn start(&mut self, now: f64, out: &mut Vec<Action>) {
        self.begins(now);
        out.push(Action::SetTimer { after: PERIOD * (0.5 + self.draw()), token: HOUSEKEEPING });
        if self.set.ask_registry {
            // All proxies may start at once: the first call comes at a drawn time, not in a stampede.
            let after = self.set.ask_within.min(10.0) * 0.3 * self.draw();
            out.push(Action::SetTimer { after, token: SUBSCRIBE });
        }
    }

    fn ask_later(&mut self, out: &mut Vec<Action>) {
        if !self.set.ask_registry {
            return;
        }
        self.subscribed = false;
        let after = self.set.ask_within.min(10.0) * PAUSE * (1.0 + 2.0 * self.draw());
        out.push(Action::SetTimer { after, token: SUBSCRIBE });
    }

    fn subscribe(&mut self, out: &mut Vec<Action>) {
        if self.set.ask_registry && !self.subscribed {
            self.subscribed = true;
            out.push(Action::Subscribe);
        }
    }

    fn list(&mut self, now: f64, full: bool, entries: &[ListEntry], out: &mut Vec<Action>) {
        if full {
            self.servers.values_mut().for_each(|s| s.entry.stage = Stage::Gone);
        }
        for e in entries {
            let weight = sane(e.weight).filter(|_| self.set.weights != Weights::None).unwrap_or(1.0);
            let entry = ListEntry { weight, ..*e };
            let s = self.servers.entry(e.server).or_insert_with(|| Server::new(entry));
            let thawed = s.entry.stage == Stage::Draining && entry.stage == Stage::Ready;
            if s.entry.born != entry.born {
                // A restarted process: what was learned of the old one says nothing of it.
                let (groups, in_hand) = (std::mem::take(&mut s.groups), s.in_hand);
                *s = Server { used: s.used, open: s.open, groups, in_hand, ..Server::new(entry) };
            }
            (s.entry, s.thawed) = (entry, thawed || (s.thawed && entry.stage == Stage::Ready));
        }
        self.servers.retain(|_, s| s.entry.stage != Stage::Gone || s.open > 0);
        self.resized();
        let leaving = |s: &Server| s.entry.stage == Stage::Draining;
        let frozen: Vec<ServerId> = self.servers.iter().filter(|(_, s)| leaving(s)).map(|x| *x.0).collect();
        for id in frozen {
            self.leave(id, 1.0, f64::INFINITY, out);
        }
        self.held().into_iter().for_each(|id| self.place(now, id, out));
    }

    fn timer(&mut self, now: f64, token: u64, out: &mut Vec<Action>) {
        let id = RequestId(token as u32);
        match token & !0xffff_ffff {
            HOUSEKEEPING => self.housekeeping(now, out),
            SUBSCRIBE => self.subscribe(out),
            HOLD => {
                self.looks = false;
                self.held().into_iter().for_each(|id| self.place(now, id, out));
            }
            SOUND => self.sounding_is_due(now, out),
            DEADLINE => self.give_up(now, id, out),
            _ => {}
        }
    }

    fn housekeeping(&mut self, now: f64, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: PERIOD, token: HOUSEKEEPING });
        for s in self.servers.values_mut() {
            s.drops *= DROPS_KEEP;
            if now >= s.slow_until {
                s.health += (1.0 - s.health) * REGAIN;
            }
        }
        self.groups.values_mut().for_each(|g| g.0 *= KEEP);
        self.groups.retain(|_, g| g.0 > 0.05);
        self.seen *= KEEP;
        self.rate *= MEMORY;
        self.span = self.span * MEMORY + PERIOD;
        self.steady = self.rate / self.span;
        self.sends *= 0.5;
        let past: Vec<u64> = self.reserved.iter().filter(|r| now >= r.1.until).map(|r| *r.0).collect();
        past.into_iter().for_each(|key| self.drop_reservation(key));
        if self.set.may_probe {
            for (id, s) in self.servers.iter_mut() {
                if s.locked && now >= s.retry_at && s.entry.stage == Stage::Ready {
                    s.retry_at = now + s.backoff;
                    out.push(Action::Probe(*id));
                }
            }
        }
    }

    fn lower(&mut self, now: f64, server: ServerId, spent_for: f64) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.health = (s.health * FALL).max(LEAST);
            s.slow_until = s.slow_until.max(now + spent_for);
        }
    }

    fn lock(&mut self, now: f64, server: ServerId) {
        let jitter = 0.75 + 0.5 * self.draw();
        let (first, most) = (self.set.connect_timeout * LOCK, self.set.warm_within * LOCK_MOST);
        if let Some(s) = self.servers.get_mut(&server) {
            s.backoff = if s.locked { (s.backoff * 2.0).min(most.max(first)) } else { first };
            s.locked = true;
            s.retry_at = now + s.backoff * jitter;
        }
    }

    fn probed(&mut self, now: f64, server: ServerId, outcome: Outcome, out: &mut Vec<Action>) {
        let turned_away = self.heard(now, server, outcome);
        match outcome {
            Outcome::Ok => self.servers.get_mut(&server).into_iter().for_each(|s| s.locked = false),
            _ if turned_away => {}
            _ => self.lock(now, server),
        }
        let mut waiting = if self.is_blind() { self.held() } else { Vec::new() };
        // A crowd is left to the timer: looking at all of it at each probe's end costs more than it brings.
        if waiting.len() > CROWD {
            waiting.clear();
        }
        waiting.into_iter().for_each(|id| self.place(now, id, out));
    }

    /// Neither frozen nor locked: part of the pools. A locked server takes one trial when its time is up.
    pub(crate) fn in_service(&self, s: &Server, now: f64) -> bool {
        s.entry.stage == Stage::Ready && (!s.locked || (!self.set.may_probe && now >= s.retry_at))
    }

    fn have(&self, s: &Server, now: f64) -> f64 {
        s.entry.weight * s.health * self.ramp(s, now)
    }

    /// How many of `fleet` servers make up a group's pool.
    fn pool_size(&self, group: Option<u64>, fleet: usize) -> usize {
        let Some(group) = group else { return fleet };
        let n = (self.groups.get(&group).map_or(0.0, |g| g.0) - DISCOUNT).max(0.0);
        let share = n / (self.seen + PRIOR);
        ((SPREAD * share * fleet as f64).round() as usize).clamp(1, fleet.max(1))
    }

    pub(crate) fn may_send(&self, c: &Client, s: &Server, now: f64) -> bool {
        let Some((first, sent, _)) = c.ran else { return true };
        match c.semantics {
            Semantics::Safe => true,
            Semantics::Unsafe => false,
            Semantics::Keyed(scope, window) => {
                let Some(f) = self.servers.get(&first) else { return false };
                // It counts once its last byte has come, which a dial may hold up.
                let dial = self.set.connect_timeout.min(c.request.deadline - now);
                now + dial < sent + window - self.set.tick
                    && match scope {
                        Scope::All => true,
                        Scope::Zone => f.entry.zone == s.entry.zone,
                        Scope::Cell => f.entry.cell == s.entry.cell,
                    }
            }
        }
    }

    /// Where crossing zones costs much, the other zones' servers come after all of the proxy's own.
    pub(crate) fn far(&self, s: &Server) -> bool {
        self.set.crossing_price >= LOCAL_PRICE && s.entry.zone != self.set.zone
    }

    /// A server's place for a group, the same at every proxy: weighted rendezvous hashing, lowest first.
    pub(crate) fn rank(&self, group: Option<u64>, s: &Server) -> f64 {
        let size = if self.set.weights == Weights::Live { 1.0 } else { s.entry.weight };
        -unit(hash(group.unwrap_or(0), s.entry.server.0)).ln() / size
    }

    /// The server for a client: its reserved one, else the lowest usage in its group's pool.
    fn choose(&mut self, now: f64, c: &Client) -> Option<ServerId> {
        let usable = |b: &Self, s: &Server| {
            now >= s.slow_until
                && b.bears_load(s, c)
                && b.has_a_hand(s)
                && b.entry_open(s, now)
                && b.may_send(c, s, now)
                && !c.tried.contains(&s.entry.server)
        };
        if let Some(r) = self.reserved.get(&c.request.key).filter(|_| c.request.key != 0)
            && self.servers.get(&r.server).is_some_and(|s| self.in_service(s, now) && usable(self, s))
        {
            return Some(r.server);
        }
        let group = self.group_of(&c.request);
        let far = |s: &Server| self.far(s);
        // Whoever puts a server back wants to see it used, and ranks may send nobody there: one client is.
        let thawed = |s: &&Server| s.thawed && !far(s) && self.in_service(s, now) && usable(self, s);
        if let Some(s) = self.servers.values().find(thawed) {
            return Some(s.entry.server);
        }
        let rank = |s: &Server| self.rank(group, s);
        let ready = self.servers.values().filter(|s| s.entry.stage == Stage::Ready);
        let near = ready.filter(|s| !far(s)).count();
        let (bound, client) = self.bound(now);
        let over = |s: &Server| s.used > bound * self.have(s, now) + client;
        // Servers where this proxy holds some of the group have paid for it: they come before the pool.
        let paid = self.holding(group).into_iter().filter_map(|id| self.servers.get(&id));
        let home = paid.filter(|s| self.in_service(s, now) && usable(self, s) && !over(s) && !far(s));
        if let Some(server) = self.lowest(now, c, home) {
            return Some(server);
        }
        let mut pool: Vec<Ranked> =
            self.servers.values().filter(|s| self.in_service(s, now)).map(|s| (far(s), rank(s), s)).collect();
        let k = self.pool_size(group, near).min(pool.len());
        if k == 0 {
            return None;
        }
        // Past its reach a group is refused rather than scattered: each server that holds it pays for it.
        let passes = c.passes && group.is_some();
        let reach = (k + REACH + usize::from(passes)).min(pool.len());
        let by_rank = |a: &Ranked, b: &Ranked| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
        if reach < pool.len() {
            pool.select_nth_unstable_by(reach - 1, by_rank);
            pool.truncate(reach);
        }
        pool.sort_by(by_rank);
        if passes && pool.len() > 1 && !self.heard_well(pool[0].2, now) {
            pool.remove(0);
        }
        pool.retain(|p| usable(self, p.2));
        pool.sort_by_key(|p| (over(p.2), p.0));
        let k = k.min(pool.len());
        self.lowest(now, c, pool[..k].iter().map(|p| p.2))
    }

    /// Clients here would have told of slow messages, and have not lately. A cold server has its own guard.
    fn heard_well(&self, s: &Server, now: f64) -> bool {
        self.ramp(s, now) < 1.0 || (s.open > 0 && now >= s.delay.1 + 2.0 * PERIOD)
    }

    /// Looky's weighted seed: the lowest usage; ties, most cases on a large fleet, by lots.
    fn lowest<'a>(&self, now: f64, c: &Client, of: impl Iterator<Item = &'a Server>) -> Option<ServerId> {
        let salt = hash(c.request.key, self.set.me);
        let weighed = of.map(|s| {
            let have = self.have(s, now).max(f64::MIN_POSITIVE);
            let lot = -unit(hash(salt, s.entry.server.0)).ln() / have;
            (s.used * 100.0 / have, lot, s.entry.server)
        });
        weighed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|b| b.2)
    }

    /// The usage that a pool member may show before the pool grows past it, and the slack of a mean client.
    fn bound(&self, now: f64) -> (f64, f64) {
        let ready = self.servers.values().filter(|s| s.entry.stage == Stage::Ready);
        let (used, have, open) =
            ready.fold((0.0, 0.0, 0), |t, s| (t.0 + s.used, t.1 + self.have(s, now), t.2 + s.open));
        (BOUND * used / f64::max(have, f64::MIN_POSITIVE), BOUND_CLIENTS * used / f64::from(open.max(1)))
    }

    pub(crate) fn place(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(c) = self.clients.get(&id) else { return };
        if c.answered || c.out.is_some() || c.on.is_some() {
            return;
        }
        let c = c.clone();
        let left = c.request.deadline - now - 2.0 * self.set.tick;
        if left <= 0.0 || c.attempts >= self.set.max_attempts || (c.attempts > 0 && !self.repeats) {
            return self.answer(id, out);
        }
        if !self.permit(now) {
            return self.hold(now, &c, out);
        }
        let chosen = match self.bearing(now, &c, out) {
            Some(Bearing::Wait) => return,
            Some(Bearing::To(server)) => Some(server),
            Some(Bearing::Nowhere) => None,
            None => self.choose(now, &c),
        };
        let Some(server) = chosen else {
            let serving = self.servers.values().any(|s| self.in_service(s, now));
            return if self.barred() || (serving && !self.soon(now, &c)) {
                self.answer(id, out)
            } else {
                self.hold(now, &c, out)
            };
        };
        if self.pace < PACE_FREE {
            self.permits -= 1.0;
        }
        self.sends += 1.0;
        self.drop_reservation(c.request.key);
        self.enters(now, server);
        let s = self.servers.get_mut(&server).expect("chosen from the table");
        s.used += c.load;
        s.open += 1;
        s.in_hand += 1;
        s.thawed = false;
        // A trial is single: the lock holds for everyone else until it has ended.
        s.retry_at = s.retry_at.max(now + left);
        self.count_at(server, c.group, true);
        let c = self.clients.get_mut(&id).expect("looked up above");
        c.out = Some(server);
        c.sent = now;
        c.attempts += 1;
        c.tried.push(server);
        c.ran.get_or_insert((server, now, c.attempts - 1));
        // The whole time left: a set-up given up early is work wasted, and its repeat is more work.
        out.push(Action::Send { request: id, server, timeout: left });
    }

    /// Guards the fleet and what set-ups share (a session store) against a storm of repeats: failed set-ups
    /// slow this proxy's sending down, good ones speed it up until the pace binds no more.
    fn permit(&mut self, now: f64) -> bool {
        self.permits = (self.permits + (now - self.paced_at) * self.pace).min(1.0 + self.pace * 0.1);
        self.paced_at = now;
        self.pace >= PACE_FREE || self.permits >= 1.0
    }

    /// Only failures at many servers speak of what they share. One that is ill has its own `have` lowered;
    /// clients must not be kept from the sound ones for it.
    fn set_up_failed(&mut self, now: f64, server: ServerId) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.failed_at = now;
        }
        let ready = self.servers.values().filter(|s| self.in_service(s, now));
        let (failing, all) = ready.fold((0.0, 0.0), |t, s| {
            (t.0 + f64::from(u8::from(now < s.failed_at + FAILING * PERIOD)), t.1 + 1.0)
        });
        if failing > WIDE * all {
            self.slow_down(now);
        }
    }

    fn slow_down(&mut self, now: f64) {
        if now < self.fell_at + PERIOD * 0.5 {
            return;
        }
        self.fell_at = now;
        let pace = if self.pace >= PACE_FREE { self.sends.max(1.0) } else { self.pace };
        self.pace = (pace * PACE_FALL).max(PACE_LEAST);
    }

    /// Whether a server bears this client and only has its hands full of set-ups, or opens to one more as
    /// it warms up: room comes within moments. Without that nobody is kept waiting: no room is told at once.
    fn soon(&self, now: f64, c: &Client) -> bool {
        let opens = |s: &&Server| self.in_service(s, now) && now >= s.slow_until && self.bears_load(s, c);
        c.attempts == 0 && self.held().len() <= SOON * self.servers.values().filter(opens).count()
    }

    fn hold(&mut self, now: f64, c: &Client, out: &mut Vec<Action>) {
        let aim = self.set.classes.get(c.request.class).map_or(0.0, |k| k.aim);
        let wait = (aim * LOOK).max(self.set.tick);
        if now + wait > c.arrived + aim || now + wait > c.request.deadline - 4.0 * self.set.tick {
            return self.answer(c.request.id, out);
        }
        if let Some(c) = self.clients.get_mut(&c.request.id) {
            c.tried.clear();
        }
        if !std::mem::replace(&mut self.looks, true) {
            out.push(Action::SetTimer { after: wait, token: HOLD });
        }
    }

    /// The final answer to a client that is not served: a refusal where that is known to be harmless.
    fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(c) = self.clients.get(&id).filter(|c| !c.answered) else { return };
        let harmless = c.out.is_none()
            && (c.ran.is_none() || matches!(c.semantics, Semantics::Safe | Semantics::Keyed(Scope::All, _)));
        let wait = if self.set.retry_after { self.set.max_retry_after * 0.5 } else { 0.0 };
        if harmless {
            let retry_after = wait * (0.5 + self.draw());
            out.push(Action::Refuse { request: id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.finish(id);
    }

    fn give_up(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(c) = self.clients.get(&id) else { return };
        if c.on.is_none() && !c.answered && now >= c.request.deadline - 2.0 * self.set.tick {
            if c.out.is_some() && self.set.may_cancel {
                out.push(Action::Cancel { request: id, attempt: c.attempts - 1 });
            }
            self.answer(id, out);
        }
    }

    fn arrived(&mut self, now: f64, request: Request, out: &mut Vec<Action>) {
        if !request.returning {
            // Those who come again do not count: a storm must not open the way to a cold server.
            self.rate += 1.0;
        }
        self.moves += if request.returning { MOVES_AGAIN } else { MOVES };
        let mut c = self.client(now, request);
        c.passes = request.returning && self.draw() < PASS;
        self.clients.insert(request.id, c);
        // Every request owns a deadline timer: whatever else goes wrong, it gets its answer in time.
        let after = (request.deadline - now - 1.5 * self.set.tick).max(0.0);
        out.push(Action::SetTimer { after, token: DEADLINE | u64::from(request.id.0) });
        self.place(now, request.id, out);
    }

    fn opened(&mut self, now: f64, request: Request, server: ServerId) {
        let mut c = self.client(now, request);
        self.moves += MOVES;
        (c.on, c.attempts) = (Some(server), 1);
        self.count_at(server, c.group, true);
        if let Some(s) = self.servers.get_mut(&server) {
            s.used += c.load;
            s.open += 1;
        }
        self.clients.insert(request.id, c);
    }

    fn established(&mut self, now: f64, id: RequestId) {
        let Some(c) = self.clients.get_mut(&id) else { return };
        let Some(server) = c.out.take() else { return };
        c.on = Some(server);
        let errors = std::mem::take(&mut c.errors);
        self.groups.entry(c.group.unwrap_or(0)).and_modify(|g| g.1 = Some(server));
        self.pace = (self.pace * PACE_GROW).min(PACE_FREE);
        if let Some(s) = self.servers.get_mut(&server) {
            s.locked = false;
            s.in_hand = s.in_hand.saturating_sub(1);
            s.failed_at = f64::NEG_INFINITY;
        }
        errors.into_iter().filter(|s| *s != server).for_each(|s| self.lower(now, s, 0.0));
    }

    fn load_changed(&mut self, id: RequestId, load: f64) {
        let (Some(c), Some(load)) = (self.clients.get_mut(&id), sane(load)) else { return };
        let Some(server) = c.on else { return };
        let change = load - c.load;
        (c.load, c.told) = (load, true);
        self.unuse(server, -change);
    }

    /// Messages are slow: the server has no room now, and some of its clients do better elsewhere.
    fn message_delay(&mut self, now: f64, server: ServerId, delay: f64, out: &mut Vec<Action>) {
        let Some(delay) = sane(delay) else { return };
        let aim = self.message_aim();
        let Some(s) = self.servers.get_mut(&server) else { return };
        let (before, at) = std::mem::replace(&mut s.delay, (delay, now));
        if delay / aim < SLOW {
            s.slow_until = s.slow_until.min(now);
            return;
        }
        // A pile grows by the load beyond what the server can do, and shrinks by its room: growth since the
        // last note tells how much must leave. Without it a pile that already drains sheds clients again.
        let growth =
            if now - at < 1.5 * PERIOD { (delay - before) / (now - at).max(PERIOD * 0.5) } else { 0.0 };
        let share = (growth + delay / (DRAIN * PERIOD)) / (1.0 + growth.max(0.0));
        self.lower(now, server, SLOW_HOLD * PERIOD);
        if share > 0.0 {
            self.leave(server, share.min(LEAVE_MOST), delay, out);
        }
    }

    /// Asks a share of the load on a server to come again, heaviest first: fewer clients are moved.
    fn leave(&mut self, server: ServerId, share: f64, delay: f64, out: &mut Vec<Action>) {
        let on = |c: &&Client| c.on == Some(server) && !c.answered;
        // Those whose class can still live with the delay lose by leaving: they come last.
        let hurt = |c: &Client| self.set.classes.get(c.request.class).is_none_or(|k| k.message_aim <= delay);
        let mut there: Vec<(bool, f64, RequestId)> =
            self.clients.values().filter(on).map(|c| (!hurt(c), c.load, c.request.id)).collect();
        there.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        let mut due = there.iter().map(|c| c.1).sum::<f64>() * share;
        for (_, load, id) in there {
            // Whole clients only: one that is more than what is due leaves with that chance.
            if due <= 0.0 || self.moves < 1.0 || (due < load && self.draw() * load >= due) {
                break;
            }
            due -= load;
            self.moves -= 1.0;
            out.push(Action::Move(id));
            if let Some(c) = self.clients.get_mut(&id) {
                c.answered = true;
            }
        }
    }

    fn reserve(&mut self, now: f64, c: &Client, server: ServerId) {
        if c.request.key == 0 || self.reserved.len() >= KEYS_MOST {
            return;
        }
        self.drop_reservation(c.request.key);
        let span = self.set.max_retry_after.max(self.set.park) * LATENCY;
        // Drawn, so that the reservations of a mass reconnect do not all run out in one wave.
        let until = now + span * (1.0 + self.draw());
        self.reserved.insert(c.request.key, Reservation { server, load: c.load, until });
        self.unuse(server, -c.load);
    }

    fn ended(
        &mut self,
        now: f64,
        id: RequestId,
        (server, attempt): (ServerId, u32),
        outcome: Outcome,
        complete: bool,
        out: &mut Vec<Action>,
    ) {
        let current = |c: &&mut Client| c.out.or(c.on) == Some(server) && attempt + 1 == c.attempts;
        let Some(c) = self.clients.get_mut(&id).filter(current) else { return };
        let stood = c.on.take().is_some();
        c.out = None;
        if !stood && outcome.never_ran() && c.ran.is_some_and(|r| r.2 == attempt) {
            c.ran = None;
        }
        let moved = c.answered;
        c.answered |= complete;
        let c = c.clone();
        let unheard = UNHEARD * PERIOD * (0.5 + self.draw());
        if let Some(s) = self.servers.get_mut(&server) {
            s.open = s.open.saturating_sub(1);
            if s.open == 0 && now < s.slow_until {
                s.slow_until = s.slow_until.max(now + unheard);
            }
            s.in_hand = s.in_hand.saturating_sub(u32::from(!stood));
            s.used = (s.used - c.load).max(0.0);
        }
        self.count_at(server, c.group, false);
        let aim = self.set.classes.get(c.request.class).map_or(0.0, |k| k.aim);
        match outcome {
            // It may be the request that is at fault: its servers are blamed once another one takes it.
            Outcome::Error if !stood => {
                self.clients.get_mut(&id).into_iter().for_each(|c| c.errors.push(server));
            }
            // A client that leaves a server no time says nothing of it.
            Outcome::Full | Outcome::TimedOut if c.request.deadline < c.sent + aim => {}
            _ => self.judge(now, server, outcome, stood),
        }
        if stood && !moved {
            let leaves = self.servers.get(&server).is_some_and(|s| s.entry.stage == Stage::Draining);
            if outcome == Outcome::Reset || (outcome == Outcome::Cancelled && !leaves) {
                self.breaks(now);
            }
            self.reserve(now, &c, server);
        }
        if c.answered {
            self.clients.remove(&id);
        } else {
            self.place(now, id, out);
        }
    }

    /// A server that sheds a good part of its clients while others stay has no room, as if it had said so.
    /// Connections break one by one on a bad network too, and that is no fault of their server.
    fn dropped(&mut self, now: f64, server: ServerId) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.drops += 1.0;
        if s.drops >= DROPS && s.drops >= DROPPED * (s.drops + f64::from(s.open)) {
            self.lower(now, server, SHED_HOLD * PERIOD);
        }
    }

    /// What an attempt's end says of its server.
    fn judge(&mut self, now: f64, server: ServerId, outcome: Outcome, stood: bool) {
        let left = self.servers.get(&server).map_or(0, |s| s.open);
        match outcome {
            Outcome::ConnectFailed => self.lock(now, server),
            Outcome::Full | Outcome::TimedOut => {
                self.lower(now, server, PERIOD);
                self.set_up_failed(now, server);
            }
            // The last connection broke: the server may be down. A trial will tell.
            Outcome::Reset if stood && left == 0 => self.lock(now, server),
            Outcome::Reset => self.dropped(now, server),
            Outcome::Error => self.lower(now, server, 0.0),
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }
}
