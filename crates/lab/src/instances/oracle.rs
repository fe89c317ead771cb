//! A policy that sees the true state of all nodes at every tick, which no balancer can: what could be reached. It
//! places by the price of a connection (its own load, and a group's where the node holds none of it yet), holds who
//! has no room until there is some, fills nodes no further than their messages bear, and takes the heaviest
//! connections off those that are beyond.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, PoisonError, RwLock};

use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId, ServerState, Settings};
use shorewharf_driver::{Effects, NetworkEvent};
use shorewharf_emulator::virtual_time::GroundTruth;
use shorewharf_units::Micros;

use super::EmulatedPeers;

/// The watch on the list is opened again so long after it broke.
const WATCH_AGAIN: Micros = 1_000_000;
/// With less of its client's time left a request is not tried again.
const LEAST: Micros = 20_000;
/// How often it looks whether there is room for who waits.
const REBALANCE_INTERVAL: Micros = 10_000;
/// How often connections are taken off nodes that are too full.
const RELIEVE_EVERY: Micros = 250_000;
const WATCH: u64 = 1;
const RELIEVE: u64 = 2;
const LOOK: u64 = 3;
/// What refused clients are told to wait; those who are refused have waited to the end of their patience.
const COME_BACK: Micros = 50_000;
/// What a connection costs its node in usual loads, and a group of which the node holds nothing.
const ONE: f64 = 1.1;
const GROUP: f64 = 2.0;

/// A node takes connections of a group that it holds up to this share of its capacity, and of others up to a lower
/// one: room that is left goes to those who cost least. Of what was tried on 55 days (0.8 to 0.9, 0.5 to 0.85) this did
/// best, or within 0.003 of G of it.
const FULL: f64 = 0.85;
const NEW: f64 = 0.65;
/// Beyond this share it is relieved, down to the other.
const TOO_FULL: f64 = 0.95;
const RELIEVED: f64 = 0.88;

#[derive(Debug)]
struct AssignedRequest {
    deadline: Micros,
    attempts: u32,
    group: u64,
    tried: Option<ServerId>,
    out: bool,
    on: Option<ServerId>,
    load: f64,
}

/// The policy with what it must remember of requests.
pub(super) struct Oracle {
    truth: Arc<RwLock<Vec<GroundTruth>>>,
    max_attempts: u32,
    proxies: f64,
    ready: BTreeSet<ServerId>,
    held: BTreeMap<RequestId, AssignedRequest>,
    waiting: Vec<RequestId>,
    looks: bool,
    /// What it has placed since it saw the nodes' state last.
    placed: BTreeMap<ServerId, Vec<u64>>,
    seen: Micros,
}

impl Oracle {
    pub(super) fn start(
        truth: Arc<RwLock<Vec<GroundTruth>>>,
        set: &Settings,
        known: &[ServerEntry],
        peers: &mut EmulatedPeers,
    ) -> Oracle {
        let mut oracle = Oracle {
            truth,
            max_attempts: set.max_attempts,
            proxies: set.instance_count.max(1.0),
            ready: BTreeSet::new(),
            held: BTreeMap::new(),
            waiting: Vec::new(),
            looks: false,
            placed: BTreeMap::new(),
            seen: 0,
        };
        oracle.listed(true, known);
        peers.watch_endpoints();
        peers.set_timer(RELIEVE_EVERY, RELIEVE);
        oracle
    }

    pub(super) fn settle(&mut self, peers: &mut EmulatedPeers) {
        while let Some(happening) = peers.next_event() {
            self.happened(happening, peers);
        }
    }

    fn listed(&mut self, full: bool, entries: &[ServerEntry]) {
        if full {
            self.ready.clear();
        }
        for e in entries {
            if e.state == ServerState::Ready {
                self.ready.insert(e.server);
            } else {
                self.ready.remove(&e.server);
            }
        }
    }

    fn happened(&mut self, happening: NetworkEvent, peers: &mut EmulatedPeers) {
        match happening {
            NetworkEvent::EndpointListReceived { is_complete, entries, .. } => {
                self.listed(is_complete, &entries)
            }
            NetworkEvent::DiscoveryFailed => peers.set_timer(WATCH_AGAIN, WATCH),
            NetworkEvent::TimerFired(RELIEVE) => self.relieve(peers),
            NetworkEvent::TimerFired(LOOK) => self.look(peers),
            NetworkEvent::TimerFired(_) => peers.watch_endpoints(),
            NetworkEvent::RequestReceived(req) => {
                let held = AssignedRequest {
                    deadline: req.deadline,
                    attempts: 0,
                    group: req.group,
                    tried: None,
                    out: false,
                    on: None,
                    load: 0.0,
                };
                self.held.insert(req.id, held);
                self.try_it(req.id, peers);
            }
            NetworkEvent::ConnectionRestored(req, server) => {
                let held = AssignedRequest {
                    deadline: 0,
                    attempts: 1,
                    group: req.group,
                    tried: None,
                    out: false,
                    on: Some(server),
                    load: 0.0,
                };
                self.held.insert(req.id, held);
            }
            NetworkEvent::AttemptEstablished(id) => {
                if let Some(h) = self.held.get_mut(&id) {
                    (h.out, h.on) = (false, h.tried);
                }
            }
            NetworkEvent::LoadReported(id, load) => {
                if let Some(h) = self.held.get_mut(&id) {
                    h.load = load;
                }
            }
            NetworkEvent::ClientLeft(id) => {
                self.held.remove(&id);
            }
            NetworkEvent::AttemptEnded(id, outcome) => {
                let again = self.held.get_mut(&id).is_some_and(|h| {
                    h.out = false;
                    h.on.is_none() && outcome != Outcome::Cancelled
                });
                if again {
                    self.try_it(id, peers);
                } else {
                    self.held.remove(&id);
                }
            }
            NetworkEvent::MessageDelayReported(..)
            | NetworkEvent::ProbeEnded(..)
            | NetworkEvent::RemoteLoadsUpdated(_) => {}
        }
    }

    /// Sends it where there is room; else it waits, and is refused at the end of its client's patience.
    fn try_it(&mut self, id: RequestId, peers: &mut EmulatedPeers) {
        let now = peers.now();
        let Some(h) = self.held.get(&id).filter(|h| !h.out && h.on.is_none()) else { return };
        let left = h.deadline.saturating_sub(now);
        if h.attempts >= self.max_attempts || left <= LEAST {
            self.held.remove(&id);
            return peers.reject(id, COME_BACK);
        }
        let (group, not) = (h.group, h.tried);
        let Some(server) = self.choose(now, group, not, peers) else {
            self.waiting.push(id);
            if !std::mem::replace(&mut self.looks, true) {
                peers.set_timer(REBALANCE_INTERVAL, LOOK);
            }
            return;
        };
        self.placed.entry(server).or_default().push(group);
        if let Some(h) = self.held.get_mut(&id) {
            (h.attempts, h.tried, h.out) = (h.attempts + 1, Some(server), true);
        }
        peers.begin_attempt(id, server, left);
    }

    fn look(&mut self, peers: &mut EmulatedPeers) {
        self.looks = false;
        for id in std::mem::take(&mut self.waiting) {
            self.try_it(id, peers);
        }
    }

    fn choose(
        &mut self,
        now: Micros,
        group: u64,
        not: Option<ServerId>,
        peers: &EmulatedPeers,
    ) -> Option<ServerId> {
        if std::mem::replace(&mut self.seen, now) != now {
            self.placed.clear();
        }
        let truths = self.truth.read().unwrap_or_else(PoisonError::into_inner);
        let none = Vec::new();
        let priced =
            self.ready.iter().filter(|s| self.ready.len() == 1 || Some(**s) != not).filter_map(|s| {
                let t = peers.truth(*s, &truths).filter(|t| t.takes && t.capacity > 0.0)?;
                let mine = self.placed.get(s).unwrap_or(&none);
                let holds = group == 0 || mine.contains(&group) || t.groups.binary_search(&group).is_ok();
                let cost = if holds { ONE } else { ONE + GROUP };
                let hand = f64::from(t.set_ups) + mine.len() as f64;
                let coming = hand * (ONE + 0.5 * GROUP) * t.usual;
                let u = (t.stands + coming + cost * t.usual) / t.capacity + t.pile_s;
                // A set-up takes a core while it lasts: more at once than there is room for pile up work.
                let lanes = hand < 1.0 + 4.0 * (1.0 - (t.stands / t.capacity).min(1.0));
                let stands =
                    t.before_fall.is_none_or(|left| left >= self.proxies * (mine.len() as f64 + 1.0));
                let room = u <= if holds { FULL } else { NEW };
                (room && lanes && stands).then(|| (cost / (1.0 - u.min(0.98)), *s))
            });
        priced.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|best| best.1)
    }

    /// Takes the heaviest connections off nodes that are too full, each balancer its own part.
    fn relieve(&mut self, peers: &mut EmulatedPeers) {
        peers.set_timer(RELIEVE_EVERY, RELIEVE);
        let truths = self.truth.read().unwrap_or_else(PoisonError::into_inner).clone();
        let mut moves = Vec::new();
        for server in &self.ready {
            let Some(t) = peers.truth(*server, &truths).filter(|t| t.takes && t.capacity > 0.0) else {
                continue;
            };
            let rho = t.stands / t.capacity;
            if rho <= TOO_FULL {
                continue;
            }
            let mut on: Vec<(f64, RequestId)> = self
                .held
                .iter()
                .filter(|(_, h)| h.on == Some(*server))
                .map(|(id, h)| (if h.load > 0.0 { h.load } else { t.usual }, *id))
                .collect();
            on.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            let mut due = on.iter().map(|c| c.0).sum::<f64>() * (1.0 - RELIEVED / rho);
            for (load, id) in on {
                if due <= 0.0 {
                    break;
                }
                due -= load;
                moves.push(id);
            }
        }
        moves.into_iter().for_each(|id| peers.migrate(id));
    }
}
