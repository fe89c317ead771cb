//! Loads: the expected load of a request, the load that this instance has assigned to a server, and whether
//! the server can sustain one more request. Loads are work per second in the unit of the list weights. What a
//! server can sustain is estimated outside the balancer
//! ([`Event::CapacityEstimated`](crate::interface::Event::CapacityEstimated)).

use std::collections::BTreeMap;

use crate::interface::{Request, ServerId, Settings};
use crate::numeric::positive;
use crate::requests::TrackedRequest;
use crate::servers::Server;

/// Overhead of each connection at a server, in addition to the connection's own load, in mean loads.
pub(crate) const CONNECTION_OVERHEAD_LOADS: f64 = 0.1;
/// Overhead at a server of each group that has connections there, in mean loads. Other instances may have
/// connections of the same group at the server, so each instance counts only a part of the whole overhead.
const GROUP_OVERHEAD_LOADS: f64 = 1.4;
/// Largest number of concurrent set-ups at a full server. Each set-up occupies a core while it lasts.
const MAX_CONCURRENT_SETUPS: f64 = 1.0;
/// Additional concurrent set-ups at an empty server, for all instances together.
const MAX_EXTRA_CONCURRENT_SETUPS: f64 = 8.0;
/// Weight of a new load hint in the mean load of its class.
const CLASS_LOAD_SMOOTHING: f64 = 0.05;
/// Load of a request about which nothing is known.
const DEFAULT_LOAD: f64 = 1.0;
/// If an instance's share of a server is below this number of mean connections, the instance's own load says
/// nothing about the server.
const MIN_OBSERVABLE_CONNECTIONS: f64 = 0.35;

/// What a server can sustain of this instance's load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapacityEstimate {
    /// Work per second, including overheads.
    pub load: f64,
    /// Set-ups per second while the server is warming up.
    pub setup_rate: f64,
}

/// Mean loads and the servers' capacities.
#[derive(Debug, Default)]
pub(crate) struct LoadEstimates {
    /// Mean load of a connection; 0 while unknown.
    pub mean_load: f64,
    /// Mean hinted load of each class; 0 for a class without hints.
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

    /// The capacity of a server, if the mean load is known, which is needed to compare capacities with loads.
    pub fn comparable_capacity(&self, server: ServerId) -> Option<&CapacityEstimate> {
        self.capacity(server).filter(|_| self.mean_load > 0.0)
    }

    /// The expected load of a new request: its hint, or else the mean of its class, of another class, or of
    /// all connections. A hint also updates the mean of its class.
    pub fn estimate(&mut self, request: &Request) -> f64 {
        let hint = request.load.and_then(positive);
        if let (Some(load), Some(mean)) = (hint, self.class_loads.get_mut(request.class)) {
            *mean = if *mean > 0.0 { *mean + CLASS_LOAD_SMOOTHING * (load - *mean) } else { load };
        }
        let of_class = self.class_loads.get(request.class).copied().and_then(positive);
        let of_any_class = || self.class_loads.iter().copied().find_map(positive);
        hint.or(of_class).or_else(of_any_class).or(positive(self.mean_load)).unwrap_or(DEFAULT_LOAD)
    }

    /// The load that this instance has assigned to a server, including overheads.
    pub fn load_on(&self, server: &Server) -> f64 {
        let groups = server.group_connections.len() as f64;
        let overheads =
            CONNECTION_OVERHEAD_LOADS * f64::from(server.connections) + GROUP_OVERHEAD_LOADS * groups;
        server.assigned_load + self.mean_load * overheads
    }

    /// Whether a server can sustain an additional request of mean load. A server without connections of this
    /// instance accepts one request whatever its estimate.
    pub fn can_sustain(&self, server: &Server, tracked: &TrackedRequest) -> bool {
        let Some(capacity) = self.comparable_capacity(server.entry.server) else { return true };
        let is_new_group = tracked.group.is_some_and(|group| !server.group_connections.contains_key(&group));
        let group_overhead = if is_new_group { GROUP_OVERHEAD_LOADS } else { 0.0 };
        let added = self.mean_load * (1.0 + CONNECTION_OVERHEAD_LOADS + group_overhead);
        self.load_on(server) + added <= capacity.load || server.connections == 0
    }

    /// Whether a server can set up one more connection now, in addition to the pending ones.
    pub fn has_free_setup_slot(&self, server: &Server, instance_count: f64) -> bool {
        let Some(capacity) = self.comparable_capacity(server.entry.server) else { return true };
        let free_ratio = (1.0 - self.load_on(server) / capacity.load.max(f64::MIN_POSITIVE)).max(0.0);
        let slots = MAX_CONCURRENT_SETUPS + MAX_EXTRA_CONCURRENT_SETUPS * free_ratio / instance_count;
        f64::from(server.pending_setups) < slots
    }

    /// This instance's even share of a server, in mean connections. While no loads are known the share is
    /// computed from the tenants' quotas; it is infinite if those are unknown too.
    pub fn connections_per_server(&self, settings: &Settings, server_count: usize) -> f64 {
        if self.mean_load <= 0.0 || self.capacities.is_empty() {
            let quota: f64 = settings.tenant_connection_quotas.iter().sum();
            let parts = settings.instance_count * server_count as f64;
            return if quota > 0.0 && parts > 0.0 { quota / parts } else { f64::INFINITY };
        }
        let total: f64 = self.capacities.values().map(|capacity| capacity.load).sum();
        total / self.capacities.len() as f64 / self.mean_load
    }

    /// Whether this instance's share of the servers is so small that its own load says nothing about them,
    /// and it may probe.
    pub fn lacks_own_load_signal(&self, settings: &Settings, server_count: usize) -> bool {
        settings.may_probe
            && !settings.is_pass_through
            && server_count > 0
            && self.connections_per_server(settings, server_count) < MIN_OBSERVABLE_CONNECTIONS
    }
}
