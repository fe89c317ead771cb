//! Simple policies to compare the module with. They follow the rules for any balancer (one attempt at a time,
//! a reply in time, no new connections to servers that aren't ready) and learn nothing.

use std::collections::{BTreeMap, HashMap};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId, ServerState, Settings};
use shorewharf_driver::{Effects, NetworkEvent};
use shorewharf_units::Micros;

use super::EmulatedPeers;

/// Delay before a broken watch is opened again.
const WATCH_RETRY_INTERVAL: Micros = 1_000_000;
/// A request with less time left is rejected.
const MIN_TIME_LEFT: Micros = 20_000;
const WATCH_TIMER: u64 = 1;
/// Retry-After of rejected requests.
const RETRY_AFTER: Micros = 500_000;

/// How a server is picked.
pub(super) enum Pick {
    Random,
    RoundRobin,
    /// Fewest of the balancer's own connections; ties are broken at random.
    Fewest,
    /// The one of two random servers with fewer of its own connections.
    TwoChoices,
}

/// A request from its arrival until its connection ends.
struct PendingRequest {
    deadline: Micros,
    attempts: u32,
    last_server: Option<ServerId>,
    is_established: bool,
}

/// A policy with the state of its requests.
pub(super) struct PlainPolicy {
    pick: Pick,
    rng: Pcg64Mcg,
    max_attempts: u32,
    ready: BTreeMap<ServerId, ServerState>,
    next_index: usize,
    requests: HashMap<RequestId, PendingRequest>,
    /// The balancer's own attempts and connections by server.
    connections: BTreeMap<ServerId, u32>,
}

impl PlainPolicy {
    pub(super) fn start(
        pick: Pick,
        settings: &Settings,
        seed: u64,
        known: Vec<ServerEntry>,
        peers: &mut EmulatedPeers,
    ) -> PlainPolicy {
        let mut policy = PlainPolicy {
            pick,
            rng: Pcg64Mcg::seed_from_u64(seed),
            max_attempts: settings.max_attempts,
            ready: BTreeMap::new(),
            next_index: 0,
            requests: HashMap::new(),
            connections: BTreeMap::new(),
        };
        policy.update_endpoints(true, &known);
        // A random first index, so that balancers that start together begin with different servers.
        policy.next_index = policy.rng.random_range(0..policy.ready.len().max(1));
        peers.watch_endpoints();
        policy
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
            match e.state {
                ServerState::Ready => self.ready.insert(e.server, e.state),
                _ => self.ready.remove(&e.server),
            };
        }
    }

    fn handle_event(&mut self, event: NetworkEvent, peers: &mut EmulatedPeers) {
        match event {
            NetworkEvent::EndpointListReceived { is_complete, entries, .. } => {
                self.update_endpoints(is_complete, &entries);
            }
            NetworkEvent::DiscoveryFailed => peers.set_timer(WATCH_RETRY_INTERVAL, WATCH_TIMER),
            NetworkEvent::TimerFired(_) => peers.watch_endpoints(),
            NetworkEvent::RequestReceived(req) => {
                let request = PendingRequest {
                    deadline: req.deadline,
                    attempts: 0,
                    last_server: None,
                    is_established: false,
                };
                self.requests.insert(req.id, request);
                self.begin_attempt(req.id, peers);
            }
            NetworkEvent::ConnectionRestored(req, server) => {
                let request = PendingRequest {
                    deadline: 0,
                    attempts: 1,
                    last_server: Some(server),
                    is_established: true,
                };
                self.requests.insert(req.id, request);
                *self.connections.entry(server).or_default() += 1;
            }
            NetworkEvent::AttemptEstablished(id) => {
                self.requests.entry(id).and_modify(|w| w.is_established = true);
            }
            NetworkEvent::ClientLeft(id) => {
                let server = self.requests.remove(&id).and_then(|w| w.last_server);
                self.release(server);
            }
            NetworkEvent::AttemptEnded(id, outcome) => {
                self.release(self.requests.get(&id).and_then(|w| w.last_server));
                let again = self
                    .requests
                    .get(&id)
                    .is_some_and(|w| !w.is_established && outcome != Outcome::Cancelled);
                if again {
                    self.begin_attempt(id, peers);
                } else {
                    self.requests.remove(&id);
                }
            }
            NetworkEvent::LoadReported(..)
            | NetworkEvent::MessageDelayReported(..)
            | NetworkEvent::ProbeEnded(..)
            | NetworkEvent::RemoteLoadsUpdated(_) => {}
        }
    }

    fn begin_attempt(&mut self, id: RequestId, peers: &mut EmulatedPeers) {
        let now = peers.now();
        let Some(w) = self.requests.get(&id) else { return };
        let (left, last_server) = (w.deadline.saturating_sub(now), w.last_server);
        let may_attempt = w.attempts < self.max_attempts && left > MIN_TIME_LEFT;
        let Some(server) = may_attempt.then(|| self.choose(last_server)).flatten() else {
            self.requests.remove(&id);
            return peers.reject(id, RETRY_AFTER);
        };
        if let Some(w) = self.requests.get_mut(&id) {
            w.attempts += 1;
            w.last_server = Some(server);
        }
        *self.connections.entry(server).or_default() += 1;
        peers.begin_attempt(id, server, left);
    }

    fn release(&mut self, server: Option<ServerId>) {
        if let Some(n) = server.and_then(|s| self.connections.get_mut(&s)) {
            *n = n.saturating_sub(1);
        }
    }

    fn choose(&mut self, excluded: Option<ServerId>) -> Option<ServerId> {
        let n = self.ready.len();
        let others = self.ready.keys().copied().filter(|s| n == 1 || Some(*s) != excluded);
        match &self.pick {
            Pick::Random => {
                let k = n - usize::from(n > 1 && excluded.is_some_and(|s| self.ready.contains_key(&s)));
                if k == 0 { None } else { { others }.nth(self.rng.random_range(0..k)) }
            }
            Pick::Fewest | Pick::TwoChoices => {
                let mut candidates: Vec<ServerId> = { others }.collect();
                candidates.shuffle(&mut self.rng);
                candidates.truncate(if matches!(self.pick, Pick::TwoChoices) { 2 } else { usize::MAX });
                let connection_count = |s: &ServerId| self.connections.get(s).copied().unwrap_or(0);
                candidates.into_iter().min_by_key(connection_count)
            }
            Pick::RoundRobin => {
                self.next_index = (self.next_index + 1) % n.max(1);
                let at = self.ready.keys().copied().nth(self.next_index);
                if at.is_some() && at == excluded { { others }.next() } else { at }
            }
        }
    }
}
