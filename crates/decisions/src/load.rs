//! Loads: what a request is expected to cost, what this instance has put on a server, and whether the server
//! can sustain one more. Loads are work a second in the unit of list weights. What a server can sustain is
//! estimated outside ([`Event::CapacityEstimated`](crate::interface::Event::CapacityEstimated)).

use std::collections::BTreeMap;

use crate::interface::{Request, ServerId, Settings};
use crate::numeric::positive;
use crate::requests::TrackedRequest;
use crate::servers::Server;

/// What a server pays for holding a connection, beside the connection's own load, in mean loads.
pub(crate) const CONNECTION_OVERHEAD_LOADS: f64 = 0.1;
/// What a server pays for each group that it holds any connection of, in mean loads. Other instances may hold
/// some of the same group, so each counts a part of the whole cost.
const GROUP_OVERHEAD_LOADS: f64 = 1.4;
/// Concurrent set-ups at a full server. Each takes a core while it lasts.
const MAX_CONCURRENT_SETUPS: f64 = 1.0;
/// Further concurrent set-ups at an empty server, for all instances together.
const MAX_EXTRA_CONCURRENT_SETUPS: f64 = 8.0;
/// Weight of a new hint in the mean load of its class.
const CLASS_LOAD_SMOOTHING: f64 = 0.05;
/// A request of which nothing is known has this load.
const DEFAULT_LOAD: f64 = 1.0;
/// Below this part of a server, in mean connections, an instance's own load says nothing of the server.
const MIN_OBSERVABLE_CONNECTIONS: f64 = 0.35;

/// What a server can sustain of this instance's load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapacityEstimate {
    /// Work a second, overheads included.
    pub load: f64,
    /// Set-ups a second while it is warming up.
    pub setup_rate: f64,
}

/// Mean loads and the servers' capacities.
#[derive(Debug, Default)]
pub(crate) struct LoadEstimates {
    /// Mean load of a connection; 0 while it is not known.
    pub mean_load: f64,
    /// Mean hinted load by class; 0 where there was no hint.
    pub class_loads: Vec<f64>,
    capacities: BTreeMap<ServerId, CapacityEstimate>,
}

impl LoadEstimates {
    pub fn new(class_count: usize) -> Self {
        LoadEstimates { class_loads: vec![0.0; class_count], ..LoadEstimates::default() }
    }

    pub fn set_capacity(&mut self, server: ServerId, capacity: CapacityEstimate) {
        self.capacities.insert(server, capacity);
    }

    pub fn capacity(&self, server: ServerId) -> Option<&CapacityEstimate> {
        self.capacities.get(&server)
    }

    /// The capacity of a server, if it can be compared with loads.
    pub fn comparable_capacity(&self, server: ServerId) -> Option<&CapacityEstimate> {
        self.capacity(server).filter(|_| self.mean_load > 0.0)
    }

    /// The load of a new request: its hint, or the mean of its class, of another class, of all connections. A
    /// hint counts towards the mean of the class.
    pub fn estimate(&mut self, request: &Request) -> f64 {
        let hint = request.load.and_then(positive);
        if let (Some(load), Some(mean)) = (hint, self.class_loads.get_mut(request.class)) {
            *mean = if *mean > 0.0 { *mean + CLASS_LOAD_SMOOTHING * (load - *mean) } else { load };
        }
        let of_class = self.class_loads.get(request.class).copied().and_then(positive);
        let of_any_class = || self.class_loads.iter().copied().find_map(positive);
        hint.or(of_class).or_else(of_any_class).or(positive(self.mean_load)).unwrap_or(DEFAULT_LOAD)
    }

    /// What this instance has put on a server, overheads included.
    pub fn load_on(&self, server: &Server) -> f64 {
        let groups = server.group_connections.len() as f64;
        let overheads =
            CONNECTION_OVERHEAD_LOADS * f64::from(server.connections) + GROUP_OVERHEAD_LOADS * groups;
        server.assigned_load + self.mean_load * overheads
    }

    /// Whether a server can sustain a request's load too. One that holds nothing takes a first one whatever
    /// its estimate.
    pub fn can_sustain(&self, server: &Server, tracked: &TrackedRequest) -> bool {
        let Some(capacity) = self.comparable_capacity(server.entry.server) else { return true };
        let is_new_group = tracked.group.is_some_and(|group| !server.group_connections.contains_key(&group));
        let group_overhead = if is_new_group { GROUP_OVERHEAD_LOADS } else { 0.0 };
        let added = self.mean_load * (1.0 + CONNECTION_OVERHEAD_LOADS + group_overhead);
        self.load_on(server) + added <= capacity.load || server.connections == 0
    }

    /// Whether a server can set up one more connection now, beside those that are pending.
    pub fn has_free_setup_slot(&self, server: &Server, instance_count: f64) -> bool {
        let Some(capacity) = self.comparable_capacity(server.entry.server) else { return true };
        let free_ratio = (1.0 - self.load_on(server) / capacity.load.max(f64::MIN_POSITIVE)).max(0.0);
        let slots = MAX_CONCURRENT_SETUPS + MAX_EXTRA_CONCURRENT_SETUPS * free_ratio / instance_count;
        f64::from(server.pending_setups) < slots
    }

    /// This instance's even part of a server, in mean connections. While no load is known, it is taken from
    /// the tenants' quotas; infinite where those are not known.
    pub fn connections_per_server(&self, settings: &Settings, server_count: usize) -> f64 {
        if self.mean_load <= 0.0 || self.capacities.is_empty() {
            let quota: f64 = settings.tenant_connection_quotas.iter().sum();
            let parts = settings.instance_count * server_count as f64;
            return if quota > 0.0 && parts > 0.0 { quota / parts } else { f64::INFINITY };
        }
        let total: f64 = self.capacities.values().map(|capacity| capacity.load).sum();
        total / self.capacities.len() as f64 / self.mean_load
    }

    /// Whether this instance's part of the servers is so small that its own load says nothing of them, and it
    /// may probe.
    pub fn lacks_own_load_signal(&self, settings: &Settings, server_count: usize) -> bool {
        settings.may_probe
            && !settings.is_pass_through
            && server_count > 0
            && self.connections_per_server(settings, server_count) < MIN_OBSERVABLE_CONNECTIONS
    }
}
