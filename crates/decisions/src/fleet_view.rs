//! What other proxies hold, where they tell it: then a proxy sees what all of them together ask of each server, and goes by
//! that instead of its own small part or of probes. What is told is some tenths of a second old, and all proxies are told the
//! same: whatever many would do at once by it is left to lots that add up.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::interface::*;
use crate::load::HOLDING;
use crate::probing::ProbeResult;
use crate::state::{Balancer, Client, Server};

/// What was told stands for so long, in seconds: it is told anew several times a second, or not at all.
const STANDS: f64 = 1.0;
/// A server is passed over that this client would bring above so much of what all are asked for on average.
const OVER: f64 = 1.15;
/// One that is asked for less than so much of it is filled first ...
const UNDER: f64 = 0.8;
/// ... by the part of the gap that the clients of so many seconds fill: some times what news take, as all fill it at once by the
/// same news. 200 proxies told 0.4 s late, most and least over the mean: 0.5 s 1.54 0.63, 1 s 1.36 0.66, 2 s 1.24 0.70.
const HEARD: f64 = 2.0;
/// What a server pays for each group it holds any of, in mean loads: here each is counted once, whoever holds it.
const GROUP: f64 = 2.0;
/// A crowd that comes again is spread over so many servers: by the same news all would take the same one. Of 25 clients that left
/// a node in a fifth of a second all went to one other (trial `old-list`).
const CROWD: usize = 3;
/// Proxies that take the least used of all must not all find the same one.
const SPREAD: f64 = 0.1;

/// What others hold, and when it was told.
#[derive(Debug, Default)]
pub(crate) struct Others {
    told: f64,
    away: Option<Arc<BTreeMap<ServerId, RemoteLoad>>>,
}

/// Connections of one group that this proxy holds at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holding {
    /// The server.
    pub server: ServerId,
    /// The group; 0 for none.
    pub group: u64,
    /// Their load, as work a second in the unit of list weights.
    pub load: f64,
    /// How many.
    pub open: u32,
}

/// A server as all proxies together use it.
struct Use {
    server: ServerId,
    far: bool,
    have: f64,
    asked: f64,
    /// What one more client asks of it.
    cost: f64,
}

impl Use {
    fn after(&self) -> f64 {
        (self.asked + self.cost) / self.have
    }
}

/// The lower half of a group's id, as notes name it.
fn short(group: u64) -> u32 {
    group as u32
}

impl Balancer {
    /// Others tell what they hold, or too few of them do.
    pub(crate) fn others_hold(&mut self, now: f64, away: Option<Arc<BTreeMap<ServerId, RemoteLoad>>>) {
        self.others = Others { told: now, away };
    }

    /// What this proxy holds or has sent out, to be told to others.
    pub fn holds(&self) -> Vec<Holding> {
        let mut all = BTreeMap::<(ServerId, u64), (f64, u32)>::new();
        for c in self.clients.values() {
            if let Some(server) = c.on.or(c.out) {
                let (load, open) = all.entry((server, c.group.unwrap_or(0))).or_default();
                (*load, *open) = (*load + c.load, *open + 1);
            }
        }
        let held = |((server, group), (load, open))| Holding { server, group, load, open };
        all.into_iter().map(held).collect()
    }

    /// Where a client of a proxy goes that hears of others or that probes; none for one that goes by what it holds.
    pub(crate) fn probe_result(
        &mut self,
        now: f64,
        c: &Client,
        out: &mut Vec<Action>,
    ) -> Option<ProbeResult> {
        match self.others.away.clone().filter(|_| self.hears(now)) {
            Some(away) => Some(self.together(now, c, &away).map_or(ProbeResult::Nowhere, ProbeResult::To)),
            None => self.is_blind().then(|| self.probe_for(now, c, out)),
        }
    }

    /// Whether others are heard of.
    pub(crate) fn hears(&self, now: f64) -> bool {
        self.others.away.is_some() && now <= self.others.told + STANDS
    }

    /// What all proxies together ask of a server, and whether any of them holds some of this group there.
    fn asked(&self, s: &Server, away: Option<&RemoteLoad>, mean: f64, group: Option<u64>) -> (f64, bool) {
        let mut groups: BTreeSet<u32> = s.groups.keys().map(|g| short(*g)).collect();
        let (load, open) = away.map_or((0.0, 0.0), |a| (a.load, a.connections));
        groups.extend(away.iter().flat_map(|a| &a.groups));
        let held = mean * (HOLDING * (f64::from(s.open) + open) + GROUP * groups.len() as f64);
        (s.used + load + held, group.is_some_and(|g| groups.contains(&short(g))))
    }

    /// The server for a client, by what all proxies together ask of each.
    fn together(&mut self, now: f64, c: &Client, away: &BTreeMap<ServerId, RemoteLoad>) -> Option<ServerId> {
        let ready = || self.servers.values().filter(|s| self.in_service(s, now));
        let told = |s: &Server| away.get(&s.entry.server).map_or((0.0, 0.0), |a| (a.load, a.connections));
        let (load, open) = ready().fold((0.0, 0.0), |t, s| {
            let (load, open) = told(s);
            (t.0 + load + s.used, t.1 + open + f64::from(s.open))
        });
        let mean = if open > 0.0 { load / open } else { c.load };
        let mut uses = BTreeMap::new();
        let (mut asked, mut have) = (c.load, 0.0);
        for s in ready() {
            let (of, paid) = self.asked(s, away.get(&s.entry.server), mean, c.group);
            let cost = c.load + mean * (HOLDING + if paid || c.group.is_none() { 0.0 } else { GROUP });
            let room = (s.entry.weight * self.ramp(s, now)).max(f64::MIN_POSITIVE);
            (asked, have) = (asked + of, have + room);
            let one = Use { server: s.entry.server, far: self.far(s), have: room, asked: of, cost };
            uses.insert(s.entry.server, (one, paid));
        }
        let even = asked / f64::max(have, f64::MIN_POSITIVE);
        // By rank, the same at every proxy for a group; where the client was comes first.
        let order: Vec<(&Use, bool)> =
            self.in_order(now, c).iter().filter_map(|id| uses.get(id)).map(|(u, paid)| (u, *paid)).collect();
        let near = order.iter().any(|(u, _)| !u.far);
        let near: Vec<(&Use, bool)> = order.into_iter().filter(|(u, _)| !(near && u.far)).collect();
        let gap = |u: &Use| ((UNDER * even - u.asked / u.have) * u.have / u.cost).max(0.0);
        let gaps: f64 = near.iter().map(|(u, _)| gap(u)).sum();
        // A proxy that has just sent somebody says little of the fleet's pace: the mean of some time, or a storm's.
        let pace = f64::max(self.steady, self.sends * 0.5 - 1.0);
        let come = 1.0 + self.set.instance_count * pace * HEARD;
        if self.draw() < gaps / come {
            let mut lot = self.draw() * gaps;
            let drawn = near.iter().find(|(u, _)| {
                lot -= gap(u);
                gap(u) > 0.0 && lot <= 0.0
            });
            return drawn.or(near.first()).map(|(u, _)| u.server);
        }
        let fits = |u: &&(&Use, bool)| u.0.after() <= OVER * even;
        let mut fitting: Vec<(bool, f64, ServerId)> =
            near.iter().filter(fits).map(|(u, paid)| (!*paid, u.after(), u.server)).collect();
        // Where the group stands already, the least used first; then by rank.
        fitting.sort_by(|a, b| a.0.cmp(&b.0).then(if a.0 { Ordering::Equal } else { a.1.total_cmp(&b.1) }));
        // Who comes again comes in a crowd, with others of its group that stood at the same server.
        let reach = if c.request.is_returning { CROWD.min(fitting.len()) } else { 1 };
        let at = (self.draw() * reach as f64) as usize;
        if let Some((_, _, server)) = fitting.get(at) {
            return Some(*server);
        }
        let spread: Vec<_> =
            near.iter().map(|(u, _)| (u.after() * (1.0 + SPREAD * self.draw()), u.server)).collect();
        spread.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|s| s.1)
    }
}
