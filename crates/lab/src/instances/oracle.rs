//! A policy that sees the ground truth of all nodes at every tick: an upper bound that no real balancer can reach. It
//! places by the cost of a connection (its own load, plus a group's on a node that has none of it), queues requests
//! without capacity, limits the utilization of nodes, and migrates the heaviest connections off overloaded ones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, PoisonError, RwLock};

use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId, ServerState, Settings};
use shorewharf_driver::{Effects, NetworkEvent};
use shorewharf_emulator::virtual_time::GroundTruth;
use shorewharf_units::Micros;

use super::EmulatedPeers;

/// Delay before a broken watch is opened again.
const WATCH_RETRY_INTERVAL: Micros = 1_000_000;
/// A request with less time left is rejected.
const MIN_TIME_LEFT: Micros = 20_000;
/// Interval between attempts to place queued requests.
const RETRY_INTERVAL: Micros = 10_000;
/// Interval between migrations off overloaded nodes.
const RELIEVE_INTERVAL: Micros = 250_000;
const WATCH_TIMER: u64 = 1;
const RELIEVE_TIMER: u64 = 2;
const RETRY_TIMER: u64 = 3;
/// Retry-After of rejected requests; short, since they have waited up to their deadline.
const RETRY_AFTER: Micros = 50_000;
/// Cost of a connection, and extra cost of a group that the node has none of, in mean connection loads.
const CONNECTION_COST: f64 = 1.1;
const NEW_GROUP_COST: f64 = 2.0;

/// A node accepts connections of groups that it holds up to the first utilization, and others up to the second: the
/// remaining capacity goes to the cheapest connections.
const KNOWN_GROUP_MAX_UTILIZATION: f64 = 0.85;
const NEW_GROUP_MAX_UTILIZATION: f64 = 0.65;
/// A node above the first utilization is relieved down to the second.
const RELIEF_THRESHOLD: f64 = 0.95;
const RELIEF_TARGET: f64 = 0.88;

#[derive(Debug)]
struct AssignedRequest {
    deadline: Micros,
    attempts: u32,
    group: u64,
    last_tried: Option<ServerId>,
    is_attempting: bool,
    server: Option<ServerId>,
    load: f64,
}

/// The policy with the state of its requests.
pub(super) struct Oracle {
    ground_truth: Arc<RwLock<Vec<GroundTruth>>>,
    max_attempts: u32,
    balancer_count: f64,
    ready: BTreeSet<ServerId>,
    requests: BTreeMap<RequestId, AssignedRequest>,
    waiting: Vec<RequestId>,
    is_retry_scheduled: bool,
    /// Groups placed on each server since the last update of the ground truth.
    placed: BTreeMap<ServerId, Vec<u64>>,
    placed_at: Micros,
}

impl Oracle {
    pub(super) fn start(
        truth: Arc<RwLock<Vec<GroundTruth>>>,
        set: &Settings,
        known: &[ServerEntry],
        peers: &mut EmulatedPeers,
    ) -> Oracle {
        let mut oracle = Oracle {
            ground_truth: truth,
            max_attempts: set.max_attempts,
            balancer_count: set.instance_count.max(1.0),
            ready: BTreeSet::new(),
            requests: BTreeMap::new(),
            waiting: Vec::new(),
            is_retry_scheduled: false,
            placed: BTreeMap::new(),
            placed_at: 0,
        };
        oracle.update_endpoints(true, known);
        peers.watch_endpoints();
        peers.set_timer(RELIEVE_INTERVAL, RELIEVE_TIMER);
        oracle
    }

    pub(super) fn process_events(&mut self, peers: &mut EmulatedPeers) {
        while let Some(event) = peers.next_event() {
            self.handle_event(event, peers);
        }
    }

    fn update_endpoints(&mut self, full: bool, entries: &[ServerEntry]) {
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

    fn handle_event(&mut self, event: NetworkEvent, peers: &mut EmulatedPeers) {
        match event {
            NetworkEvent::EndpointListReceived { is_complete, entries, .. } => {
                self.update_endpoints(is_complete, &entries);
            }
            NetworkEvent::DiscoveryFailed => peers.set_timer(WATCH_RETRY_INTERVAL, WATCH_TIMER),
            NetworkEvent::TimerFired(RELIEVE_TIMER) => self.relieve_overloaded(peers),
            NetworkEvent::TimerFired(RETRY_TIMER) => self.retry_waiting(peers),
            NetworkEvent::TimerFired(_) => peers.watch_endpoints(),
            NetworkEvent::RequestReceived(req) => {
                let held = AssignedRequest {
                    deadline: req.deadline,
                    attempts: 0,
                    group: req.group,
                    last_tried: None,
                    is_attempting: false,
                    server: None,
                    load: 0.0,
                };
                self.requests.insert(req.id, held);
                self.begin_attempt(req.id, peers);
            }
            NetworkEvent::ConnectionRestored(req, server) => {
                let held = AssignedRequest {
                    deadline: 0,
                    attempts: 1,
                    group: req.group,
                    last_tried: None,
                    is_attempting: false,
                    server: Some(server),
                    load: 0.0,
                };
                self.requests.insert(req.id, held);
            }
            NetworkEvent::AttemptEstablished(id) => {
                if let Some(h) = self.requests.get_mut(&id) {
                    (h.is_attempting, h.server) = (false, h.last_tried);
                }
            }
            NetworkEvent::LoadReported(id, load) => {
                if let Some(h) = self.requests.get_mut(&id) {
                    h.load = load;
                }
            }
            NetworkEvent::ClientLeft(id) => {
                self.requests.remove(&id);
            }
            NetworkEvent::AttemptEnded(id, outcome) => {
                let again = self.requests.get_mut(&id).is_some_and(|h| {
                    h.is_attempting = false;
                    h.server.is_none() && outcome != Outcome::Cancelled
                });
                if again {
                    self.begin_attempt(id, peers);
                } else {
                    self.requests.remove(&id);
                }
            }
            NetworkEvent::MessageDelayReported(..)
            | NetworkEvent::ProbeEnded(..)
            | NetworkEvent::RemoteLoadsUpdated(_) => {}
        }
    }

    /// Sends a request to a server with capacity, or queues it; rejects it near its deadline.
    fn begin_attempt(&mut self, id: RequestId, peers: &mut EmulatedPeers) {
        let now = peers.now();
        let Some(h) = self.requests.get(&id).filter(|h| !h.is_attempting && h.server.is_none()) else {
            return;
        };
        let left = h.deadline.saturating_sub(now);
        if h.attempts >= self.max_attempts || left <= MIN_TIME_LEFT {
            self.requests.remove(&id);
            return peers.reject(id, RETRY_AFTER);
        }
        let (group, not) = (h.group, h.last_tried);
        let Some(server) = self.choose(now, group, not, peers) else {
            self.waiting.push(id);
            if !std::mem::replace(&mut self.is_retry_scheduled, true) {
                peers.set_timer(RETRY_INTERVAL, RETRY_TIMER);
            }
            return;
        };
        self.placed.entry(server).or_default().push(group);
        if let Some(h) = self.requests.get_mut(&id) {
            (h.attempts, h.last_tried, h.is_attempting) = (h.attempts + 1, Some(server), true);
        }
        peers.begin_attempt(id, server, left);
    }

    fn retry_waiting(&mut self, peers: &mut EmulatedPeers) {
        self.is_retry_scheduled = false;
        for id in std::mem::take(&mut self.waiting) {
            self.begin_attempt(id, peers);
        }
    }

    fn choose(
        &mut self,
        now: Micros,
        group: u64,
        not: Option<ServerId>,
        peers: &EmulatedPeers,
    ) -> Option<ServerId> {
        if std::mem::replace(&mut self.placed_at, now) != now {
            self.placed.clear();
        }
        let truths = self.ground_truth.read().unwrap_or_else(PoisonError::into_inner);
        let none = Vec::new();
        let priced =
            self.ready.iter().filter(|s| self.ready.len() == 1 || Some(**s) != not).filter_map(|s| {
                let t =
                    peers.ground_truth(*s, &truths).filter(|t| t.accepts_connections && t.capacity > 0.0)?;
                let mine = self.placed.get(s).unwrap_or(&none);
                let holds = group == 0 || mine.contains(&group) || t.groups.binary_search(&group).is_ok();
                let cost = if holds { CONNECTION_COST } else { CONNECTION_COST + NEW_GROUP_COST };
                let hand = f64::from(t.set_ups) + mine.len() as f64;
                let coming = hand * (CONNECTION_COST + 0.5 * NEW_GROUP_COST) * t.mean_connection_load;
                let u =
                    (t.established_load + coming + cost * t.mean_connection_load) / t.capacity + t.backlog_s;
                // A setup occupies a core: more of them than free cores would queue.
                let lanes = hand < 1.0 + 4.0 * (1.0 - (t.established_load / t.capacity).min(1.0));
                let stands = t
                    .admissible_before_overload
                    .is_none_or(|left| left >= self.balancer_count * (mine.len() as f64 + 1.0));
                let room = u <= if holds { KNOWN_GROUP_MAX_UTILIZATION } else { NEW_GROUP_MAX_UTILIZATION };
                (room && lanes && stands).then(|| (cost / (1.0 - u.min(0.98)), *s))
            });
        priced.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|best| best.1)
    }

    /// Migrates this balancer's heaviest connections off overloaded nodes.
    fn relieve_overloaded(&mut self, peers: &mut EmulatedPeers) {
        peers.set_timer(RELIEVE_INTERVAL, RELIEVE_TIMER);
        let truths = self.ground_truth.read().unwrap_or_else(PoisonError::into_inner).clone();
        let mut migrations = Vec::new();
        for server in &self.ready {
            let Some(t) =
                peers.ground_truth(*server, &truths).filter(|t| t.accepts_connections && t.capacity > 0.0)
            else {
                continue;
            };
            let rho = t.established_load / t.capacity;
            if rho <= RELIEF_THRESHOLD {
                continue;
            }
            let mut on: Vec<(f64, RequestId)> = self
                .requests
                .iter()
                .filter(|(_, h)| h.server == Some(*server))
                .map(|(id, h)| (if h.load > 0.0 { h.load } else { t.mean_connection_load }, *id))
                .collect();
            on.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            let mut due = on.iter().map(|c| c.0).sum::<f64>() * (1.0 - RELIEF_TARGET / rho);
            for (load, id) in on {
                if due <= 0.0 {
                    break;
                }
                due -= load;
                migrations.push(id);
            }
        }
        for id in migrations {
            peers.migrate(id);
        }
    }
}
