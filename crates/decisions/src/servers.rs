//! The server table: the endpoint list as last received, and what this instance has observed about each
//! server.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use crate::interface::{ServerEntry, ServerId, ServerState, Settings, WeightKind};
use crate::numeric::positive;

/// Factor by which each sign of trouble reduces the health.
const HEALTH_REDUCTION_RATIO: f64 = 0.6;
/// Share of the missing health that a server regains in a housekeeping period.
pub(crate) const HEALTH_RECOVERY_RATIO: f64 = 0.03;
/// Lower bound of the health.
pub(crate) const MIN_HEALTH: f64 = 0.05;
/// Share of the recent resets that still counts a housekeeping period later.
pub(crate) const RESET_DECAY_RATIO: f64 = 0.7;
/// If there are fewer recent resets than this, they are attributed to the network.
const MIN_RESETS: f64 = 1.8;
/// Share of a server's connections that has to break for the server to count as shedding them.
const MIN_RESET_RATIO: f64 = 0.2;

/// A report of the message delay at a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DelayReport {
    /// Time that a message takes, in seconds.
    pub delay: f64,
    /// Time of the report.
    pub reported_at: f64,
}

/// A server and what this instance knows about it. Times are seconds on the caller's clock.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    /// The server's entry in the endpoint list, with a valid weight.
    pub entry: ServerEntry,
    /// Load of this instance's attempts, connections and reservations, in work per second.
    pub assigned_load: f64,
    /// Number of this instance's attempts and connections.
    pub connections: u32,
    /// Share of its weight that the server is assumed to have now, at most 1.
    pub health: f64,
    /// No new requests are sent to the server before this time.
    pub unavailable_until: f64,
    /// Last report of its message delay.
    pub last_delay: DelayReport,
    /// Whether the server could not be reached, so that only trials are sent to it.
    pub is_quarantined: bool,
    /// When the next trial of a quarantined server is due.
    pub trial_at: f64,
    /// Pause before the next trial, in seconds.
    pub trial_backoff: f64,
    /// Requests sent to the server while it was warming up. Admissions that were not used while its capacity
    /// grew count as sent.
    pub warm_up_admissions: f64,
    /// When a set-up at the server last failed, if none has succeeded since; else negative infinity.
    pub setup_failed_at: f64,
    /// Decayed number of connections that broke at the server.
    pub recent_resets: f64,
    /// Whether the server was draining, is ready again, and has received no request since.
    pub is_back_from_draining: bool,
    /// Number of attempts whose connections are not established yet.
    pub pending_setups: u32,
    /// Number of this instance's attempts and connections of each group.
    pub group_connections: BTreeMap<u64, u32>,
}

impl Server {
    pub fn new(entry: ServerEntry) -> Self {
        Server {
            entry,
            assigned_load: 0.0,
            connections: 0,
            health: 1.0,
            unavailable_until: 0.0,
            last_delay: DelayReport::default(),
            is_quarantined: false,
            trial_at: 0.0,
            trial_backoff: 0.0,
            warm_up_admissions: 0.0,
            setup_failed_at: f64::NEG_INFINITY,
            recent_resets: 0.0,
            is_back_from_draining: false,
            pending_setups: 0,
            group_connections: BTreeMap::new(),
        }
    }

    /// Replaces the list entry. If the server's process has restarted, the server keeps its connections, and
    /// what was learned about the old process is dropped.
    fn update_entry(&mut self, entry: ServerEntry) {
        let is_back = self.entry.state == ServerState::Draining && entry.state == ServerState::Ready;
        if self.entry.started_at != entry.started_at {
            *self = Server {
                assigned_load: self.assigned_load,
                connections: self.connections,
                pending_setups: self.pending_setups,
                group_connections: std::mem::take(&mut self.group_connections),
                ..Server::new(entry)
            };
        }
        self.entry = entry;
        self.is_back_from_draining =
            is_back || (self.is_back_from_draining && entry.state == ServerState::Ready);
    }

    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }

    /// Whether the server takes part in placement: it is ready, and is not quarantined or may be sent a
    /// request as its trial.
    pub fn is_in_service(&self, settings: &Settings, now: f64) -> bool {
        self.is_ready() && (!self.is_quarantined || (!settings.may_probe && now >= self.trial_at))
    }

    /// Share of its capacity that the server has at present, which grows while it warms up.
    pub fn warm_up_ratio(&self, settings: &Settings, now: f64) -> f64 {
        let age = now - self.entry.started_at;
        if self.entry.started_at <= 0.0 || age >= settings.warm_up_time {
            return 1.0;
        }
        let initial = settings.cold_capacity_ratio.clamp(0.0, 1.0);
        initial + (1.0 - initial) * (age / settings.warm_up_time).max(0.0)
    }

    /// The weight that the server is assumed to have now, considering its health and warm-up.
    pub fn effective_weight(&self, settings: &Settings, now: f64) -> f64 {
        self.entry.weight * self.health * self.warm_up_ratio(settings, now)
    }

    /// Reduces the health after a failure, and marks the server as unavailable for `unavailable_for` seconds.
    pub fn reduce_health(&mut self, now: f64, unavailable_for: f64) {
        self.health = (self.health * HEALTH_REDUCTION_RATIO).max(MIN_HEALTH);
        self.unavailable_until = self.unavailable_until.max(now + unavailable_for);
    }

    /// Records that a connection broke. Returns true if the server is shedding its connections: several broke
    /// recently, and they are a considerable share of what it had. Single connections break in a bad network
    /// too.
    pub fn record_reset(&mut self) -> bool {
        self.recent_resets += 1.0;
        let total = self.recent_resets + f64::from(self.connections);
        self.recent_resets >= MIN_RESETS && self.recent_resets >= MIN_RESET_RATIO * total
    }

    /// Records that a request is sent to the server. `sustained_connections` is this instance's share of what
    /// the server can hold by now: admissions that were not used while the capacity grew are lost, so that
    /// they can't be spent in one burst.
    pub fn record_admission(&mut self, sustained_connections: Option<f64>) {
        let unused_floor = sustained_connections.unwrap_or(0.0) - 1.0;
        self.warm_up_admissions = self.warm_up_admissions.max(unused_floor) + 1.0;
    }

    pub fn add_group_connection(&mut self, group: Option<u64>) {
        if let Some(group) = group {
            *self.group_connections.entry(group).or_insert(0) += 1;
        }
    }

    pub fn remove_group_connection(&mut self, group: Option<u64>) {
        let Some(group) = group else { return };
        if let Some(count) = self.group_connections.get_mut(&group) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.group_connections.remove(&group);
            }
        }
    }

    /// Subtracts load; negative load is added.
    pub fn release_load(&mut self, load: f64) {
        self.assigned_load = (self.assigned_load - load).max(0.0);
    }

    fn run_housekeeping(&mut self, now: f64) {
        self.recent_resets *= RESET_DECAY_RATIO;
        if now >= self.unavailable_until {
            self.health += (1.0 - self.health) * HEALTH_RECOVERY_RATIO;
        }
    }
}

/// All servers by id.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    servers: BTreeMap<ServerId, Server>,
    /// Largest total weight of ready servers in any list so far.
    peak_weight: f64,
    /// Largest number of ready servers in any list so far.
    peak_count: usize,
}

impl ServerTable {
    /// Takes over a received list. Servers that are missing from a complete list are removed once they have
    /// no connections.
    pub fn update(&mut self, is_complete: bool, entries: &[ServerEntry], weight_kind: WeightKind) {
        if is_complete {
            for server in self.servers.values_mut() {
                server.entry.state = ServerState::Removed;
            }
        }
        for listed in entries {
            let weight =
                positive(listed.weight).filter(|_| weight_kind != WeightKind::Uniform).unwrap_or(1.0);
            let entry = ServerEntry { weight, ..*listed };
            self.servers.entry(listed.server).or_insert_with(|| Server::new(entry)).update_entry(entry);
        }
        self.servers.retain(|_, server| server.entry.state != ServerState::Removed || server.connections > 0);
        // In the first list, draining servers count too: an instance that starts in the middle of a release
        // would take the few ready servers for the whole fleet.
        let is_first = self.peak_count == 0;
        let counts =
            |server: &&Server| server.is_ready() || (is_first && server.entry.state == ServerState::Draining);
        let weights: Vec<f64> =
            self.servers.values().filter(counts).map(|server| server.entry.weight).collect();
        self.peak_weight = weights.iter().sum::<f64>().max(self.peak_weight);
        self.peak_count = weights.len().max(self.peak_count);
    }

    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    pub fn contains(&self, id: ServerId) -> bool {
        self.servers.contains_key(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.values_mut()
    }

    /// The servers after the given one in order of id, or all servers for `None`.
    pub fn after(&self, id: Option<ServerId>) -> impl Iterator<Item = &Server> {
        self.servers.range((id.map_or(Unbounded, Excluded), Unbounded)).map(|(_, server)| server)
    }

    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Servers listed as ready.
    pub fn ready(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.is_ready())
    }

    /// Servers that take part in placement.
    pub fn in_service(&self, settings: &Settings, now: f64) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(move |server| server.is_in_service(settings, now))
    }

    pub fn draining(&self) -> Vec<ServerId> {
        let is_draining = |server: &&Server| server.entry.state == ServerState::Draining;
        self.servers.values().filter(is_draining).map(|server| server.entry.server).collect()
    }

    /// Whether servers are known and none of them is ready, so that none will become available within
    /// moments.
    pub fn has_only_unready_servers(&self) -> bool {
        !self.servers.is_empty() && !self.servers.values().any(Server::is_ready)
    }

    /// A server's share of the capacity of the whole fleet, by the largest list so far. Weights that depend on
    /// the load say more about an empty server than it can do, so it counts as one of equals at most.
    pub fn share_of_fleet(&self, server: &Server, weight_kind: WeightKind) -> f64 {
        let weight = server.entry.weight;
        let by_weight = weight / self.peak_weight.max(weight);
        if weight_kind == WeightKind::LoadAdjusted {
            by_weight.min(1.0 / self.peak_count.max(1) as f64)
        } else {
            by_weight
        }
    }

    /// Number of attempts and connections of this instance at all servers.
    pub fn connections(&self) -> u32 {
        self.servers.values().map(|server| server.connections).sum()
    }

    /// Subtracts load from a server, if it is known; negative load is added.
    pub fn release_load(&mut self, id: ServerId, load: f64) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.release_load(load);
        }
    }

    pub fn run_housekeeping(&mut self, now: f64) {
        for server in self.servers.values_mut() {
            server.run_housekeeping(now);
        }
    }

    /// Returns the quarantined servers whose trials are due, and schedules their next trials after their
    /// backoffs.
    pub fn take_due_trials(&mut self, now: f64) -> Vec<ServerId> {
        let mut due = Vec::new();
        for (id, server) in &mut self.servers {
            if server.is_quarantined && now >= server.trial_at && server.is_ready() {
                server.trial_at = now + server.trial_backoff;
                due.push(*id);
            }
        }
        due
    }
}
