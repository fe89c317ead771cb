//! Owns the choice of the next move: a picture of what this instance's own connections load where, what a move gains
//! and what it costs. Each instance levels its own part only: where every part is level the whole is, and no instance
//! has to know what the others do.

use std::collections::BTreeMap;

use shorewharf_decisions::hashing::{random_rank, rendezvous_rank};
use shorewharf_decisions::{RequestId, ServerId};

use crate::table::{At, Conn, Table};

/// Mean loads that a server pays for each group it holds any of, and the part of a mean load that an open connection
/// costs whatever it does; both as measured on the platform.
const GROUP: f64 = 2.0;
const OPEN: f64 = 0.1;
/// Who came so lately, in seconds, is left alone: it has only just been placed. Who came again may have been moved by
/// another instance: without the longer time two of them sent clients to and fro.
const YOUNG: f64 = 5.0;
const YOUNG_AGAIN: f64 = 12.0;
/// A server that told of slow messages so lately takes no moves, in seconds.
const SLOW: f64 = 5.0;
/// All instances together fill a cold server with moves up to this part of what it can do by its stated ramp.
const FILL: f64 = 0.7;
/// A cold server's groups are opened one after the other, in an order that all instances draw alike, from this age on,
/// in seconds, until it is warm: a group that all move at the same time is paid for at both ends for the shortest time.
const OPENS: f64 = 1.0;
/// Sources looked at, the fullest first, and targets, the emptiest first.
const SOURCES: usize = 3;
const TARGETS: usize = 12;
/// A target is filled up to this usage over the mean one, and a source emptied down to it.
pub(super) const LEVEL: f64 = 0.04;
/// Worth of levelling, as the share of a connection's messages that a server at twice the mean usage loses: nearly
/// nothing while there is room for all (it helps only at the next failure), much where messages already wait.
const WORTH: f64 = 0.05;
const WORTH_FULL: f64 = 0.6;
const FULL_FROM: f64 = 0.55;
const FULL_SPAN: f64 = 0.35;
/// Connections that have less left than this, in seconds, level by themselves as they come and go: only what their
/// messages lose counts. Moved all the same, they cost 0.002 to 0.004 of the result on days with lives of 20 s.
const ITSELF: f64 = 30.0;
/// Connections of this instance's on a server from which on what they show of its usage is half the truth.
const CHANCE: f64 = 2.0;
/// Without loads in the unit of weights nobody knows how full a server is.
const WORTH_UNKNOWN: f64 = 0.1;
/// What a move is worth has to be so many times its price.
const MARGIN: f64 = 1.5;

/// A server in the picture.
#[derive(Clone, Copy, Debug)]
pub(super) struct Node {
    pub id: ServerId,
    pub born: f64,
    pub weight: f64,
    /// What it can do by now.
    pub have: f64,
    /// This instance's part of its load, set-ups and moves in hand included.
    pub load: f64,
    /// It takes moves.
    pub takes: bool,
    pub cold: bool,
}

impl Node {
    fn usage(&self) -> f64 {
        self.load / self.have
    }
}

/// A client that was asked to move and is to come up elsewhere.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    pub to: ServerId,
    pub from: ServerId,
    pub load: f64,
    pub until: f64,
    /// It was moved then.
    pub at: f64,
    /// It is here again.
    pub here: bool,
}

/// What moves cost, as it was learned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Price {
    /// Seconds from the move to the client's return.
    pub gap: f64,
    /// Seconds of a set-up.
    pub set_up: f64,
    /// Seconds that a connection has left.
    pub left: f64,
    /// What the operator charges, in the worth of a whole connection.
    pub charged: f64,
}

impl Price {
    /// Seconds of a client's service that its move costs.
    pub fn seconds(&self) -> f64 {
        self.gap + self.set_up + self.charged * self.left
    }
}

/// Why a move is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// Its group's own server is back, the one that all instances rank first.
    Home,
    /// Its server is fuller than the others.
    Level,
}

impl Why {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Why::Home => "home",
            Why::Level => "level",
        }
    }
}

/// Connections that move together.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    /// In the order in which they go, the heaviest first.
    pub ids: Vec<RequestId>,
    /// From where.
    pub from: ServerId,
    /// To where.
    pub to: ServerId,
    /// Why.
    pub why: Why,
    /// Worth over price.
    pub worth: f64,
}

/// A connection on a server: its load, and whether it may move.
#[derive(Clone, Copy, Debug)]
struct There {
    id: RequestId,
    load: f64,
    free: bool,
}

/// A server's connections by group.
type Groups = BTreeMap<u64, Vec<There>>;

/// What this instance's connections load where.
#[derive(Debug)]
pub(super) struct Picture {
    pub nodes: Vec<Node>,
    mean: f64,
    proxies: f64,
    /// Instances that hold a part of a group where this one does.
    payers: f64,
    in_cores: bool,
    /// Mean usage.
    level: f64,
    /// By place of the server: this instance's connections there by group, with their loads.
    there: Vec<Groups>,
    /// Connections that stand.
    pub standing: usize,
    /// Their mean age.
    pub age: f64,
}

/// What limits a move just now.
pub(super) struct Terms<'a> {
    pub now: f64,
    pub warm: f64,
    pub price: Price,
    /// Whether a server's own pace lets it take one now.
    pub paced: &'a dyn Fn(ServerId) -> bool,
}

/// Instances that have members of a group on a server where this one has `own` on average: members fall to instances
/// by chance, so that the mean of those that are seen at all, `m / (1 - e^-m)`, tells the mean `m` of all.
fn payers(own: f64, proxies: f64) -> f64 {
    let mut m = own.max(1.0);
    (0..30).for_each(|_| m = own.max(1.0) * (1.0 - (-m).exp()));
    1.0 + (proxies - 1.0) * (1.0 - (-m).exp())
}

impl Picture {
    pub fn new(
        now: f64,
        table: &Table,
        groups: bool,
        proxies: f64,
        expected: impl Iterator<Item = Expected>,
    ) -> Picture {
        let mean = table.mean();
        let node = |(id, s): (&ServerId, &crate::table::Server)| {
            let weight = table.weight(s);
            let ramp = table.ramp(s, now);
            Node {
                id: *id,
                born: s.entry.started_at,
                weight,
                have: (weight * ramp).max(1e-9),
                load: 0.0,
                takes: now >= s.barred && now >= s.slow_at + SLOW,
                cold: ramp < 1.0,
            }
        };
        let mut nodes: Vec<Node> = table.servers.iter().filter(|(_, s)| s.serves()).map(node).collect();
        let place: BTreeMap<ServerId, usize> = nodes.iter().enumerate().map(|(i, n)| (n.id, i)).collect();
        let mut there = vec![Groups::new(); nodes.len()];
        let (mut standing, mut ages) = (0, 0.0);
        let of = |c: &Conn| if groups { c.group } else { 0 };
        for (id, c) in &table.conns {
            let (server, stands) = match c.at {
                At::On(server) => (server, true),
                At::Out(server) => (server, false),
                At::Waiting => continue,
            };
            if stands {
                standing += 1;
                ages += now - c.since;
            }
            let Some(&i) = place.get(&server) else { continue };
            let load = c.expected(now, mean) + OPEN * mean;
            nodes[i].load += load;
            let free = stands
                && !c.moved
                && c.key != 0
                && now >= c.since + if c.again { YOUNG_AGAIN } else { YOUNG };
            there[i].entry(of(c)).or_default().push(There { id: *id, load, free });
        }
        for e in expected.filter(|e| !e.here) {
            if let Some(&i) = place.get(&e.to) {
                nodes[i].load += e.load;
            }
        }
        let held = || there.iter().flatten().filter(|g| *g.0 != 0).map(|g| g.1.len());
        let payers = payers(held().sum::<usize>() as f64 / held().count().max(1) as f64, proxies);
        for (node, held) in nodes.iter_mut().zip(&there) {
            let paid = held.keys().filter(|g| **g != 0).count();
            node.load += GROUP * mean * paid as f64 / payers;
        }
        let (load, have) = nodes.iter().fold((0.0, 0.0), |t, n| (t.0 + n.load, t.1 + n.have));
        let level = if have > 0.0 { load / have } else { 0.0 };
        let age = if standing > 0 { ages / standing as f64 } else { 0.0 };
        Picture { nodes, mean, proxies, payers, in_cores: table.in_cores(), level, there, standing, age }
    }

    /// The largest usage over the mean one.
    pub fn imbalance(&self) -> f64 {
        let most = self.nodes.iter().map(Node::usage).fold(0.0, f64::max);
        if self.level > 0.0 { most / self.level } else { 1.0 }
    }

    /// A server's usage by all instances, as far as this one's part of it tells: of few connections much is chance.
    fn likely(&self, n: &Node) -> f64 {
        let usual = self.level * n.have / (self.mean * (1.0 + OPEN));
        self.level + (n.usage() - self.level) * usual / (usual + CHANCE)
    }

    /// What a client's service on this server gains for each unit of load that leaves it, by how full it is.
    fn worth(&self, source: &Node, left: f64) -> f64 {
        let lasting = ((left - ITSELF) / ITSELF).clamp(0.0, 1.0);
        if !self.in_cores {
            return WORTH_UNKNOWN * lasting;
        }
        let full = self.likely(source) * self.proxies;
        WORTH * lasting + WORTH_FULL * ((full - FULL_FROM) / FULL_SPAN).clamp(0.0, 1.0)
    }

    /// How much of this instance's a server may hold.
    fn limit(&self, n: &Node) -> f64 {
        let level = self.level * n.have;
        match (n.cold, self.in_cores) {
            // Nobody knows what the others put there: each keeps to its even part of what the server bears.
            (true, true) => level.min(FILL * n.have / self.proxies),
            (true, false) => level * FILL,
            (false, _) => level * (1.0 + LEVEL),
        }
    }

    /// The move that is worth most for its price, if any is worth it.
    pub fn best(&self, terms: &Terms<'_>) -> Option<Unit> {
        let mut sources: Vec<usize> = (0..self.nodes.len()).collect();
        sources.retain(|i| self.nodes[*i].usage() > self.level * (1.0 + LEVEL));
        sources.sort_by(|a, b| self.nodes[*b].usage().total_cmp(&self.nodes[*a].usage()));
        sources.truncate(SOURCES);
        let mut targets: Vec<usize> = (0..self.nodes.len()).collect();
        targets.retain(|i| {
            let n = &self.nodes[*i];
            n.takes && n.load < self.limit(n) && n.usage() < self.level && (terms.paced)(n.id)
        });
        targets.sort_by(|a, b| self.nodes[*a].usage().total_cmp(&self.nodes[*b].usage()));
        targets.truncate(TARGETS);
        let mut best: Option<Unit> = None;
        for &from in &sources {
            for (group, held) in &self.there[from] {
                for &to in &targets {
                    let unit = self.unit(terms, from, to, *group, held);
                    best = match (best, unit) {
                        (Some(b), Some(u)) => Some(if u.worth > b.worth { u } else { b }),
                        (b, u) => b.or(u),
                    };
                }
            }
        }
        best
    }

    /// What moves of a group's connections from one server to another: all of them, unless the group is paid for at both.
    fn unit(&self, terms: &Terms<'_>, from: usize, to: usize, group: u64, held: &[There]) -> Option<Unit> {
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        let paid = group == 0 || self.there[to].contains_key(&group);
        let home =
            group != 0 && rendezvous_rank(group, b.id, b.weight) < rendezvous_rank(group, a.id, a.weight);
        if b.cold {
            let age = terms.now - b.born;
            let open = ((age - OPENS) / (terms.warm - OPENS).max(0.1)).clamp(0.0, 1.0);
            let of = if group == 0 { held.first()?.id.0.into() } else { group };
            if !paid && random_rank(of, b.id, b.born) > open {
                return None;
            }
        }
        let mut going: Vec<(RequestId, f64)> =
            held.iter().filter(|c| c.free).map(|c| (c.id, c.load)).collect();
        going.sort_by(|x, y| y.1.total_cmp(&x.1).then(x.0.cmp(&y.0)));
        if paid {
            // The heaviest that fits: fewer clients are moved.
            let room = self.limit(b) - b.load;
            let gap = (a.usage() - b.usage()) / (1.0 / a.have + 1.0 / b.have);
            let fits = going.iter().find(|c| c.1 <= room && c.1 <= gap).copied();
            going = vec![fits?];
        } else if going.len() < held.len() {
            return None;
        }
        let load: f64 = going.iter().map(|c| c.1).sum();
        let last = group != 0 && going.len() == held.len();
        // A group that goes home is followed by the other instances' part of it; another one is split from theirs.
        let own = GROUP * self.mean / self.payers;
        let (frees, pays) = match (paid, home) {
            (true, _) => (if last { own } else { 0.0 }, 0.0),
            (false, true) => (own, own),
            (false, false) => (0.0, GROUP * self.mean),
        };
        let (out, come) = (load + frees, load + pays);
        if b.load + come > self.limit(b) {
            return None;
        }
        let (full, free) = (self.likely(a), self.likely(b));
        let gain = out * full - 0.5 * out * out / a.have - come * free - 0.5 * come * come / b.have;
        let seconds = gain / self.level / self.mean * self.worth(a, terms.price.left) * terms.price.left;
        let price = terms.price.seconds() * going.len() as f64;
        (seconds > MARGIN * price).then(|| Unit {
            ids: going.iter().map(|c| c.0).collect(),
            from: a.id,
            to: b.id,
            why: if home { Why::Home } else { Why::Level },
            worth: seconds / price,
        })
    }
}
