// Interface (types, events, actions): src/interface.rs. Mechanism: "Looky 1.0.7 Concept", kept and extended
// as docs/design.md says. Times are seconds on the caller's clock; loads are work a second or head counts.
//! The decisions: where a client's connection goes, and when it is refused.

use crate::interface::*;
use crate::load::Borne;
use crate::probing::{PROBE_TIMER, ProbeResult};
pub use crate::state::Balancer;
use crate::state::{Client, Reservation, Server, sane};

/// Share of the group counts that remains after one housekeeping period.
pub(crate) const KEEP: f64 = 0.985;
/// Share of the arrival count that remains after one.
pub(crate) const MEMORY: f64 = 0.95;
/// Housekeeping period, seconds; also the period of message notes.
pub(crate) const PERIOD: f64 = 1.0;
/// A slow server is spent until its next note, a period later; one that sheds clients, for this many periods.
/// One that is spent when the last client here leaves it, after which nobody tells of it, for about as many.
pub(crate) const SLOW_HOLD: f64 = 1.2;
pub(crate) const SHED_HOLD: f64 = 12.0;
const UNHEARD: f64 = 8.0;
/// `have` falls to this share at each sign of trouble and regains this share of the gap a period.
pub(crate) const FALL: f64 = 0.6;
pub(crate) const REGAIN: f64 = 0.03;
pub(crate) const LEAST: f64 = 0.05;
/// Connections that broke lately (this share of them counts on a period later) speak of their server from so
/// many on, if they are this share of what stood there.
pub(crate) const DROPS_KEEP: f64 = 0.7;
pub(crate) const DROPS: f64 = 1.8;
pub(crate) const DROPPED: f64 = 0.2;
/// Share of those who come again that pass over their group's first rank where nothing is heard of it: they
/// may have been sent away from there by a proxy that did hear.
const PASS: f64 = 0.5;
/// Moves allowed for each client that arrives afresh or is there at the start, and for each that comes again:
/// a proxy that has started anew may have no others.
const MOVES: f64 = 5.0;
const MOVES_AGAIN: f64 = 1.0;
/// Set-up pace: share kept at a failed set-up, growth at a good one, and where it starts and ends to bind.
pub(crate) const PACE_FALL: f64 = 0.6;
const PACE_GROW: f64 = 1.15;
pub(crate) const PACE_LEAST: f64 = 0.2;
pub(crate) const PACE_FREE: f64 = 50.0;
/// Latency time of a reservation in honoured waits, drawn between 1 and 2 times this.
pub(crate) const LATENCY: f64 = 1.5;
/// The pause before the next registry call, in parts of `ask_within`, which counts up to 10 s: drawn between
/// this and three times as much, however often calls fail. What the registry has to say soon counts as told.
const PAUSE: f64 = 0.045;
/// Bound on remembered clients.
pub(crate) const KEYS_MOST: usize = 8192;
const HOUSEKEEPING: u64 = 1 << 40;
const SUBSCRIBE: u64 = 2 << 40;
pub(crate) const HOLD: u64 = 3 << 40;
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
            Event::EndpointList { is_complete: full, entries, .. } => self.list(now, full, &entries, out),
            Event::DiscoveryFailed => self.ask_later(out),
            Event::RequestReceived(request) => self.arrived(now, request, out),
            Event::ConnectionRestored(request, server) => self.opened(now, request, server),
            Event::Established { request, .. } => self.established(now, request),
            Event::LoadChanged { request, load } => self.load_changed(request, load),
            Event::MessageDelay { server, delay } => self.message_delay(now, server, delay, out),
            Event::CapacityEstimated { server, load, setup_rate: entries } => {
                self.borne.insert(server, Borne { load, entries });
            }
            Event::RemoteLoadsUpdated(away) => self.others_hold(now, away),
            Event::MeanLoadEstimated(mean) => sane(mean).into_iter().for_each(|mean| self.revalue(mean)),
            Event::AttemptEnded { request, server, attempt, outcome, is_answered: complete, .. } => {
                self.ended(now, request, (server, attempt), outcome, complete, out)
            }
            Event::ClientLeft(id) => self.finish(id),
            Event::TimerFired(token) => self.timer(now, token, out),
            Event::ProbeEnded { server, outcome, .. } => self.probed(now, server, outcome, out),
        }
    }

    fn start(&mut self, now: f64, out: &mut Vec<Action>) {
        self.begins(now);
        out.push(Action::SetTimer { after: PERIOD * (0.5 + self.draw()), token: HOUSEKEEPING });
        if self.set.polls_discovery {
            // All proxies may start at once: the first call comes at a drawn time, not in a stampede.
            let after = self.set.poll_interval.min(10.0) * 0.3 * self.draw();
            out.push(Action::SetTimer { after, token: SUBSCRIBE });
        }
    }

    fn ask_later(&mut self, out: &mut Vec<Action>) {
        if !self.set.polls_discovery {
            return;
        }
        self.subscribed = false;
        let after = self.set.poll_interval.min(10.0) * PAUSE * (1.0 + 2.0 * self.draw());
        out.push(Action::SetTimer { after, token: SUBSCRIBE });
    }

    fn subscribe(&mut self, out: &mut Vec<Action>) {
        if self.set.polls_discovery && !self.subscribed {
            self.subscribed = true;
            out.push(Action::Subscribe);
        }
    }

    fn list(&mut self, now: f64, full: bool, entries: &[ServerEntry], out: &mut Vec<Action>) {
        if full {
            self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Removed);
        }
        for e in entries {
            let weight =
                sane(e.weight).filter(|_| self.set.weight_kind != WeightKind::Uniform).unwrap_or(1.0);
            let entry = ServerEntry { weight, ..*e };
            let s = self.servers.entry(e.server).or_insert_with(|| Server::new(entry));
            let thawed = s.entry.state == ServerState::Draining && entry.state == ServerState::Ready;
            if s.entry.started_at != entry.started_at {
                // A restarted process: what was learned of the old one says nothing of it.
                let (groups, in_hand) = (std::mem::take(&mut s.groups), s.in_hand);
                *s = Server { used: s.used, open: s.open, groups, in_hand, ..Server::new(entry) };
            }
            (s.entry, s.thawed) = (entry, thawed || (s.thawed && entry.state == ServerState::Ready));
        }
        self.servers.retain(|_, s| s.entry.state != ServerState::Removed || s.open > 0);
        self.resized();
        let leaving = |s: &Server| s.entry.state == ServerState::Draining;
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
            PROBE_TIMER => self.probe_is_due(now, out),
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
                if s.locked && now >= s.retry_at && s.entry.state == ServerState::Ready {
                    s.retry_at = now + s.backoff;
                    out.push(Action::Probe(*id));
                }
            }
        }
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
        let chosen = match self.probe_result(now, &c, out) {
            Some(ProbeResult::Wait) => return,
            Some(ProbeResult::To(server)) => Some(server),
            Some(ProbeResult::Nowhere) => None,
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
        out.push(Action::BeginAttempt { request: id, server, timeout: left });
    }

    fn arrived(&mut self, now: f64, request: Request, out: &mut Vec<Action>) {
        if !request.is_returning {
            // Those who come again do not count: a storm must not open the way to a cold server.
            self.rate += 1.0;
        }
        self.moves += if request.is_returning { MOVES_AGAIN } else { MOVES };
        let mut c = self.client(now, request);
        c.passes = request.is_returning && self.draw() < PASS;
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

    fn reserve(&mut self, now: f64, c: &Client, server: ServerId) {
        if c.request.key == 0 || self.reserved.len() >= KEYS_MOST {
            return;
        }
        self.drop_reservation(c.request.key);
        let span = self.set.max_retry_after.max(self.set.parked_connection_timeout) * LATENCY;
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
        let aim = self.set.classes.get(c.request.class).map_or(0.0, |k| k.latency_objective);
        match outcome {
            // It may be the request that is at fault: its servers are blamed once another one takes it.
            Outcome::Error if !stood => {
                self.clients.get_mut(&id).into_iter().for_each(|c| c.errors.push(server));
            }
            // A client that leaves a server no time says nothing of it.
            Outcome::Rejected | Outcome::TimedOut if c.request.deadline < c.sent + aim => {}
            _ => self.judge(now, server, outcome, stood),
        }
        if stood && !moved {
            let leaves = self.servers.get(&server).is_some_and(|s| s.entry.state == ServerState::Draining);
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
}
