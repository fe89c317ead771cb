//! Where one connection is more than a proxy's whole part of a server, what it holds says nothing of that server, and
//! nobody may tell it. Then it probes the servers that a client may go to, in the order of their ranks: a probe is
//! served like a request, so its time grows with what all proxies together have put there.
//!
//! A server has room if its probe took no longer than is usual for its like. Ranks are the same at every proxy, so a
//! group stays together on its first server until that one is fuller than others, and then goes on to the next one.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;
use crate::state::{Balancer, Client, Server};

/// The timer at which those who wait for probes are looked at again.
pub(crate) const PROBE_TIMER: u64 = 5 << 40;
/// A proxy is blind where its even part of a server is less than so many mean connections: it holds one at a third of the
/// servers at most. With 0.57 of one (a hundred proxies) probing lost on 5 days of 12 and pushed a cold server over on 2.
const BLIND: f64 = 0.35;
/// So many ranks are probed at once, in so many rounds; then the quickest one is taken.
const WIDTH: usize = 3;
const ROUNDS: usize = 2;
/// No more than one in so many of the servers, and two: each one that holds any of a group pays for it, and where few
/// servers are short of room, groups that go on to all of them fill them by that alone.
const REACH: usize = 14;
/// A server has room while its reading is no more than this multiple of the usual one. Measured: a server at half its
/// load takes 1.1 of what an empty one takes, at 0.6 1.17, at 0.8 1.36, at its full load 1.85; half of all readings lie
/// within 8 % of their middle.
const ROOM: f64 = 1.15;
/// One that is still out after so much of the usual time tells enough.
const LATE: f64 = 1.65;
/// Of so many readings of servers that are alike, the one at this place from the quickest on is the usual one: most of what is
/// probed is fuller than the rest.
const KEPT: usize = 32;
const USUAL: f64 = 0.25;
/// A reading stands for so long, that of a cold server for less, in seconds: it holds less, and others send there too.
const FRESH: f64 = 0.5;
const FRESH_COLD: f64 = 0.1;
/// Readings are waited for so long, in connect time-outs, and looked at so often meanwhile.
const WAIT: f64 = 0.2;
const LOOK: f64 = 0.06;
/// Set-ups of this proxy's in hand at one server: its own next reading would be of itself.
const HANDS: u32 = 2;
/// So many who wait are looked at again as soon as a probe is over.
pub(crate) const CROWD: usize = 8;
/// What is forgotten after so long, in seconds: a reading, and a probe of which nothing was heard.
const FORGOTTEN: f64 = 5.0;
const LOST: f64 = 1.0;

/// What probes have told of one server.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    /// A probe is out since then.
    out: Option<f64>,
    /// When the last one was over, and its time if the server were warm; infinite if it was turned away.
    came: Option<(f64, f64)>,
}

impl Reading {
    /// Since when a probe is out that is not lost.
    fn out_at(&self, now: f64) -> Option<f64> {
        self.out.filter(|since| now <= since + LOST)
    }
}

/// Servers whose probes can be held against each other: all in this proxy's zone or all in others, as the way there and
/// back takes as long as a server's own work; and of one size as listed (its bits), or of any.
type Likeness = (bool, Option<u64>);

/// What probes have told.
#[derive(Debug, Default)]
pub(crate) struct ProbeTable {
    servers: BTreeMap<ServerId, Reading>,
    /// The last readings of servers that are alike.
    alike: BTreeMap<Likeness, VecDeque<f64>>,
    /// The timer is set.
    looks: bool,
}

impl ProbeTable {
    /// The usual reading of servers in this or other zones, of one size or any.
    fn usual_of(&self, like: Likeness) -> Option<f64> {
        let mut all = Vec::from_iter(self.alike.get(&like)?.iter().copied());
        all.sort_by(f64::total_cmp);
        all.get((all.len() as f64 * USUAL) as usize).copied()
    }

    /// What a server's reading is held against: half against those of its size, half against all, as a geometric mean.
    /// Against its size alone, slow machines that are all too full would look as they should; against all, they
    /// would stand empty until the quick ones are full.
    fn usual(&self, near: bool, size: f64) -> Option<f64> {
        Some((self.usual_of((near, Some(size.to_bits())))? * self.usual_of((near, None))?).sqrt())
    }

    fn keep(&mut self, near: bool, size: f64, reading: f64) {
        for like in [(near, Some(size.to_bits())), (near, None)] {
            let all = self.alike.entry(like).or_default();
            all.truncate(KEPT - 1);
            all.push_front(reading);
        }
    }

    fn forget(&mut self, now: f64) {
        self.servers.retain(|_, r| {
            r.out = r.out_at(now);
            r.out.is_some() || r.came.is_some_and(|(at, _)| now < at + FORGOTTEN)
        });
    }
}

/// Where a client goes, by what is known now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ProbeResult {
    /// To this server.
    To(ServerId),
    /// Probes are out that will tell.
    Wait,
    /// No server takes it.
    Nowhere,
}

impl Balancer {
    /// Whether this proxy's part of the servers is so small that what it holds says nothing of them.
    pub(crate) fn is_blind(&self) -> bool {
        self.set.may_probe && !self.set.is_pass_through && !self.servers.is_empty() && self.part() < BLIND
    }

    /// This proxy's even part of a server, in mean connections. While no load is known, it is taken from the connections that
    /// tenants may hold; infinite where those are not known.
    pub(crate) fn part(&self) -> f64 {
        if self.mean <= 0.0 || self.borne.is_empty() {
            let held: f64 = self.set.tenant_connection_quotas.iter().sum();
            let parts = self.set.instance_count * self.servers.len() as f64;
            return if held > 0.0 && parts > 0.0 { held / parts } else { f64::INFINITY };
        }
        self.borne.values().map(|b| b.load).sum::<f64>() / self.borne.len() as f64 / self.mean
    }

    /// The server for a client of a blind proxy, or what has to be waited for; appends the probes that are missing.
    pub(crate) fn probe_for(&mut self, now: f64, c: &Client, out: &mut Vec<Action>) -> ProbeResult {
        let reach = (self.servers.len() / REACH).clamp(2, WIDTH * ROUNDS);
        let mut ranked = self.in_order(now, c);
        ranked.truncate(reach);
        let mut best: Option<(f64, ServerId)> = None;
        for some in ranked.chunks(WIDTH).take(ROUNDS) {
            let mut missing = Vec::new();
            for id in some {
                match self.reading(now, &self.servers[id]) {
                    Some(r) if r <= ROOM && missing.is_empty() => return ProbeResult::To(*id),
                    Some(r) if best.is_none_or(|(least, _)| r < least) => best = Some((r, *id)),
                    Some(_) => {}
                    None => missing.push(*id),
                }
            }
            if !missing.is_empty() {
                self.send_probes(now, missing, out);
                return ProbeResult::Wait;
            }
        }
        best.map_or(ProbeResult::Nowhere, |(_, id)| ProbeResult::To(id))
    }

    /// Those who may take this client: where it was, then by rank, the same at every proxy for a group.
    pub(crate) fn in_order(&self, now: f64, c: &Client) -> Vec<ServerId> {
        let usable = |s: &&Server| {
            self.in_service(s, now)
                && now >= s.slow_until
                && s.in_hand < HANDS
                && self.entry_open(s, now)
                && self.may_send(c, s, now)
                && !c.tried.contains(&s.entry.server)
        };
        // Without a group there is nothing to be shared: each client has an order of its own.
        let of = c
            .group
            .unwrap_or(c.request.key ^ u64::from(c.request.id.0) ^ self.set.instance_index.rotate_left(32));
        let home = self.reserved.get(&c.request.key).filter(|_| c.request.key != 0).map(|r| r.server);
        let place = |s: &Server| {
            let rank = self.rank(Some(of), s);
            (home != Some(s.entry.server), !s.thawed, self.far(s), rank, s.entry.server)
        };
        let mut all: Vec<_> = self.servers.values().filter(usable).map(place).collect();
        all.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)).then(a.3.total_cmp(&b.3)));
        all.into_iter().map(|x| x.4).collect()
    }

    /// A server's reading over the usual one of its like; none where it must be probed first.
    fn reading(&self, now: f64, s: &Server) -> Option<f64> {
        let r = self.probing.servers.get(&s.entry.server)?;
        let usual = self.probing.usual(self.is_near(s), s.entry.weight);
        if let Some(since) = r.out_at(now) {
            let so_far = (now - since) * self.warmth(s, now);
            let over = usual.map_or(so_far / (self.set.connect_timeout * LOOK), |usual| so_far / usual);
            return (over > LATE || now - since >= self.set.connect_timeout * WAIT).then_some(over);
        }
        let fresh = if self.ramp(s, now) < 1.0 { FRESH_COLD } else { FRESH };
        let (_, took) = r.came.filter(|(at, _)| now < at + fresh)?;
        Some(usual.map_or(f64::INFINITY, |usual| took / usual))
    }

    fn is_near(&self, s: &Server) -> bool {
        s.entry.zone == self.set.zone
    }

    /// What a cold server can do by now lies between its ramp at the least and the whole: the geometric middle.
    fn warmth(&self, s: &Server, now: f64) -> f64 {
        self.ramp(s, now).sqrt()
    }

    fn send_probes(&mut self, now: f64, servers: Vec<ServerId>, out: &mut Vec<Action>) {
        for id in servers {
            let r = self.probing.servers.entry(id).or_default();
            if r.out_at(now).is_none() {
                r.out = Some(now);
                out.push(Action::Probe(id));
            }
        }
        if !std::mem::replace(&mut self.probing.looks, true) {
            out.push(Action::SetTimer { after: self.set.connect_timeout * LOOK, token: PROBE_TIMER });
        }
    }

    /// The timer has come: a probe may be late by now.
    pub(crate) fn probe_is_due(&mut self, now: f64, out: &mut Vec<Action>) {
        self.probing.looks = false;
        self.probing.forget(now);
        self.held().into_iter().for_each(|id| self.place(now, id, out));
    }

    /// A probe is over. True if it was a probe of ours that the server turned away: that is no fault of it.
    pub(crate) fn heard(&mut self, now: f64, server: ServerId, outcome: Outcome) -> bool {
        let out = self.probing.servers.get_mut(&server).and_then(|r| r.out.take());
        let (Some(since), Some(s)) = (out, self.servers.get(&server)) else { return false };
        let (took, near, size) = ((now - since) * self.warmth(s, now), self.is_near(s), s.entry.weight);
        let passed = outcome == Outcome::Ok;
        if passed {
            self.probing.keep(near, size, took);
        }
        let came = Some((now, if passed { took } else { f64::INFINITY }));
        self.probing.servers.insert(server, Reading { out: None, came });
        outcome == Outcome::Error
    }
}
