//! A policy that sees the ground truth of all nodes at every tick: an upper bound that no real balancer can
//! reach. It places by the cost of a connection (its own load, plus a group's on a node that has none of it),
//! queues requests without capacity, limits the utilization of nodes, and migrates the heaviest connections
//! off overloaded ones.

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

/// A node accepts connections of groups that it holds up to the first utilization, and others up to the
/// second: the remaining capacity goes to the cheapest connections.
const KNOWN_GROUP_MAX_UTILIZATION: f64 = 0.85;
const NEW_GROUP_MAX_UTILIZATION: f64 = 0.65;
/// A node above the first utilization is relieved down to the second.
const RELIEF_THRESHOLD: f64 = 0.95;
const RELIEF_TARGET: f64 = 0.88;

/// A request from its arrival until its connection ends.
#[derive(Debug)]
struct AssignedRequest {
    deadline: Micros,
    attempts: u32,
    group: u64,
    last_tried: Option<ServerId>,
    is_attempting: bool,
    /// The server of the established connection.
    server: Option<ServerId>,
    /// The last load report of the connection; 0 before the first.
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
        ground_truth: Arc<RwLock<Vec<GroundTruth>>>,
        settings: &Settings,
        known: &[ServerEntry],
        peers: &mut EmulatedPeers,
    ) -> Oracle {
        let mut oracle = Oracle {
            ground_truth,
            max_attempts: settings.max_attempts,
            balancer_count: settings.instance_count.max(1.0),
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
                let request = AssignedRequest {
                    deadline: req.deadline,
                    attempts: 0,
                    group: req.group,
                    last_tried: None,
                    is_attempting: false,
                    server: None,
                    load: 0.0,
                };
                self.requests.insert(req.id, request);
                self.begin_attempt(req.id, peers);
            }
            NetworkEvent::ConnectionRestored(req, server) => {
                let request = AssignedRequest {
                    deadline: 0,
                    attempts: 1,
                    group: req.group,
                    last_tried: None,
                    is_attempting: false,
                    server: Some(server),
                    load: 0.0,
                };
                self.requests.insert(req.id, request);
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
        let (group, excluded) = (h.group, h.last_tried);
        let Some(server) = self.choose(now, group, excluded, peers) else {
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

    /// The ready server with capacity where the connection costs least. Avoids `excluded` unless it is the
    /// only one.
    fn choose(
        &mut self,
        now: Micros,
        group: u64,
        excluded: Option<ServerId>,
        peers: &EmulatedPeers,
    ) -> Option<ServerId> {
        if std::mem::replace(&mut self.placed_at, now) != now {
            self.placed.clear();
        }
        let ground_truth = self.ground_truth.read().unwrap_or_else(PoisonError::into_inner);
        let no_groups = Vec::new();
        let candidates =
            self.ready.iter().filter(|s| self.ready.len() == 1 || Some(**s) != excluded).filter_map(|s| {
                let t = peers
                    .ground_truth(*s, &ground_truth)
                    .filter(|t| t.accepts_connections && t.capacity > 0.0)?;
                let placed_here = self.placed.get(s).unwrap_or(&no_groups);
                let holds_group =
                    group == 0 || placed_here.contains(&group) || t.groups.binary_search(&group).is_ok();
                let cost = if holds_group { CONNECTION_COST } else { CONNECTION_COST + NEW_GROUP_COST };
                let open_setups = f64::from(t.set_ups) + placed_here.len() as f64;
                let pending_load =
                    open_setups * (CONNECTION_COST + 0.5 * NEW_GROUP_COST) * t.mean_connection_load;
                let utilization = (t.established_load + pending_load + cost * t.mean_connection_load)
                    / t.capacity
                    + t.backlog_s;
                // A setup occupies a core: more of them than free cores would queue.
                let has_free_core =
                    open_setups < 1.0 + 4.0 * (1.0 - (t.established_load / t.capacity).min(1.0));
                let is_admissible = t
                    .admissible_before_overload
                    .is_none_or(|left| left >= self.balancer_count * (placed_here.len() as f64 + 1.0));
                let has_capacity = utilization
                    <= if holds_group { KNOWN_GROUP_MAX_UTILIZATION } else { NEW_GROUP_MAX_UTILIZATION };
                (has_capacity && has_free_core && is_admissible)
                    .then(|| (cost / (1.0 - utilization.min(0.98)), *s))
            });
        candidates.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|best| best.1)
    }

    /// Migrates this balancer's heaviest connections off overloaded nodes.
    fn relieve_overloaded(&mut self, peers: &mut EmulatedPeers) {
        peers.set_timer(RELIEVE_INTERVAL, RELIEVE_TIMER);
        let ground_truth = self.ground_truth.read().unwrap_or_else(PoisonError::into_inner).clone();
        let mut migrations = Vec::new();
        for server in &self.ready {
            let Some(t) = peers
                .ground_truth(*server, &ground_truth)
                .filter(|t| t.accepts_connections && t.capacity > 0.0)
            else {
                continue;
            };
            let utilization = t.established_load / t.capacity;
            if utilization <= RELIEF_THRESHOLD {
                continue;
            }
            let mut connections: Vec<(f64, RequestId)> = self
                .requests
                .iter()
                .filter(|(_, h)| h.server == Some(*server))
                .map(|(id, h)| (if h.load > 0.0 { h.load } else { t.mean_connection_load }, *id))
                .collect();
            connections.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            let mut excess =
                connections.iter().map(|c| c.0).sum::<f64>() * (1.0 - RELIEF_TARGET / utilization);
            for (load, id) in connections {
                if excess <= 0.0 {
                    break;
                }
                excess -= load;
                migrations.push(id);
            }
        }
        for id in migrations {
            peers.migrate(id);
        }
    }
}
