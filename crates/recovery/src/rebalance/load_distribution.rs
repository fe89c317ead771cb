//! What this instance's own connections load where, at one moment. Each instance levels its own part only: where every
//! part is level the whole is, and no instance has to know what the others do.

use std::collections::BTreeMap;

use shorewharf_decisions::{RequestId, ServerId};

use crate::instance_view::{Connection, InstanceView, Placement, ServerRecord};

/// Mean loads that a server pays for each group that it holds any connection of.
pub(super) const GROUP_COST: f64 = 2.0;
/// Mean loads that an open connection costs whatever it does.
const OPEN_CONNECTION_COST: f64 = 0.1;
/// A younger connection does not migrate, in seconds.
const MIN_AGE: f64 = 5.0;
/// The same for a returning client, which another instance may have migrated: two instances could send it to and fro.
const MIN_AGE_AFTER_RETURN: f64 = 12.0;
/// A server is no target for so long after it reported slow messages, in seconds.
const SLOW_REPORT_VALID_SECONDS: f64 = 5.0;
/// Connections on a server from which on what they show of its utilization is half the truth.
const HALF_CONFIDENCE_CONNECTIONS: f64 = 2.0;
/// Iterations of [`instances_per_group`]' fixed point.
const FIXED_POINT_ITERATIONS: usize = 30;

/// Share of a server's level that migrations fill it beyond, and empty it down to.
pub(super) const BALANCE_TOLERANCE: f64 = 0.04;
/// All instances together fill a cold server up to this part of what it can do by its slow start.
const COLD_FILL_LIMIT: f64 = 0.7;

/// Settings of the cluster that migrations depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSettings {
    /// Connections come in groups that share work on a server.
    pub has_groups: bool,
    /// Balancers that share the servers.
    pub instance_count: f64,
}

/// A server in the snapshot.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerLoad {
    pub id: ServerId,
    pub started_at: f64,
    pub weight: f64,
    /// What it can do by now.
    pub capacity: f64,
    /// This instance's part of its load, attempts and migrations under way included.
    pub load: f64,
    /// It is a possible target.
    pub accepts_migrations: bool,
    pub is_cold: bool,
}

impl ServerLoad {
    fn new(now: f64, id: ServerId, record: &ServerRecord, view: &InstanceView) -> ServerLoad {
        let weight = view.weight(record);
        let warm_up_ratio = view.warm_up_ratio(record, now);
        let is_slow = now < record.slow_reported_at + SLOW_REPORT_VALID_SECONDS;
        ServerLoad {
            id,
            started_at: record.entry.started_at,
            weight,
            capacity: (weight * warm_up_ratio).max(1e-9),
            load: 0.0,
            accepts_migrations: now >= record.excluded_until && !is_slow,
            is_cold: warm_up_ratio < 1.0,
        }
    }

    /// This instance's part of its load over its capacity.
    pub fn utilization(&self) -> f64 {
        self.load / self.capacity
    }
}

/// A client that was asked to migrate and has not been established elsewhere.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedArrival {
    pub to: ServerId,
    pub from: ServerId,
    pub load: f64,
    pub expected_until: f64,
    pub migrated_at: f64,
    /// It asks here again.
    pub has_returned: bool,
}

/// A connection on a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedConnection {
    pub id: RequestId,
    pub load: f64,
    pub may_migrate: bool,
}

/// A server's connections by group.
type ConnectionsByGroup = BTreeMap<u64, Vec<PlacedConnection>>;

/// What this instance's connections load where.
#[derive(Debug)]
pub(super) struct LoadDistribution {
    pub servers: Vec<ServerLoad>,
    pub mean_load: f64,
    pub instance_count: f64,
    /// Instances that hold a part of a group where this one does.
    pub instances_per_group: f64,
    has_comparable_loads: bool,
    pub mean_utilization: f64,
    /// By index of the server.
    pub connections: Vec<ConnectionsByGroup>,
    /// Established connections.
    pub established: usize,
    /// Their mean age, in seconds.
    pub mean_age: f64,
}

/// Instances that have members of a group on a server where this one has `own_mean` on average. Members fall to
/// instances by chance, so that the mean of those that are seen at all, `m / (1 - e^-m)`, gives the mean `m` of all.
fn instances_per_group(own_mean: f64, instance_count: f64) -> f64 {
    let own_mean = own_mean.max(1.0);
    let mean = (0..FIXED_POINT_ITERATIONS).fold(own_mean, |mean, _| own_mean * (1.0 - (-mean).exp()));
    1.0 + (instance_count - 1.0) * (1.0 - (-mean).exp())
}

/// Whether a connection may be asked to migrate.
fn may_migrate(now: f64, connection: &Connection) -> bool {
    let min_age = if connection.is_returning { MIN_AGE_AFTER_RETURN } else { MIN_AGE };
    let is_established = matches!(connection.placement, Placement::Established(_));
    is_established && !connection.is_migrating && connection.key != 0 && now >= connection.since + min_age
}

impl LoadDistribution {
    /// Takes a snapshot; `expected` are the clients that are on their way to another server.
    pub fn new(
        now: f64,
        view: &InstanceView,
        settings: FleetSettings,
        expected: impl Iterator<Item = ExpectedArrival>,
    ) -> LoadDistribution {
        let in_service = view.servers.iter().filter(|(_, record)| record.is_in_service());
        let servers: Vec<ServerLoad> =
            in_service.map(|(id, record)| ServerLoad::new(now, *id, record, view)).collect();
        let mut distribution = LoadDistribution {
            connections: vec![ConnectionsByGroup::new(); servers.len()],
            servers,
            mean_load: view.mean_load(),
            instance_count: settings.instance_count,
            instances_per_group: 1.0,
            has_comparable_loads: view.has_comparable_loads(),
            mean_utilization: 0.0,
            established: 0,
            mean_age: 0.0,
        };
        distribution.add_connections(now, view, settings.has_groups);
        distribution.add_expected(expected);
        distribution.add_group_costs();
        let (load, capacity) = (distribution.servers.iter())
            .fold((0.0, 0.0), |sums, server| (sums.0 + server.load, sums.1 + server.capacity));
        distribution.mean_utilization = if capacity > 0.0 { load / capacity } else { 0.0 };
        distribution
    }

    fn index_of(&self, server: ServerId) -> Option<usize> {
        self.servers.binary_search_by_key(&server, |load| load.id).ok()
    }

    fn add_connections(&mut self, now: f64, view: &InstanceView, has_groups: bool) {
        let mut total_age = 0.0;
        for (id, connection) in &view.connections {
            let server = match connection.placement {
                Placement::Established(server) => {
                    self.established += 1;
                    total_age += now - connection.since;
                    server
                }
                Placement::Connecting(server) => server,
                Placement::Waiting => continue,
            };
            let Some(index) = self.index_of(server) else { continue };
            let load = connection.expected_load(now, self.mean_load) + OPEN_CONNECTION_COST * self.mean_load;
            self.servers[index].load += load;
            let group = if has_groups { connection.group } else { 0 };
            let placed = PlacedConnection { id: *id, load, may_migrate: may_migrate(now, connection) };
            self.connections[index].entry(group).or_default().push(placed);
        }
        if self.established > 0 {
            self.mean_age = total_age / self.established as f64;
        }
    }

    fn add_expected(&mut self, expected: impl Iterator<Item = ExpectedArrival>) {
        for arrival in expected.filter(|arrival| !arrival.has_returned) {
            if let Some(index) = self.index_of(arrival.to) {
                self.servers[index].load += arrival.load;
            }
        }
    }

    /// Adds this instance's part of what servers pay for groups.
    fn add_group_costs(&mut self) {
        let group_sizes = || {
            let groups = self.connections.iter().flatten().filter(|(group, _)| **group != 0);
            groups.map(|(_, members)| members.len())
        };
        let own_mean = group_sizes().sum::<usize>() as f64 / group_sizes().count().max(1) as f64;
        self.instances_per_group = instances_per_group(own_mean, self.instance_count);
        for (server, groups) in self.servers.iter_mut().zip(&self.connections) {
            let paid_groups = groups.keys().filter(|group| **group != 0).count();
            server.load += GROUP_COST * self.mean_load * paid_groups as f64 / self.instances_per_group;
        }
    }

    /// The largest utilization over the mean one.
    pub fn imbalance(&self) -> f64 {
        let largest = self.servers.iter().map(ServerLoad::utilization).fold(0.0, f64::max);
        if self.mean_utilization > 0.0 { largest / self.mean_utilization } else { 1.0 }
    }

    /// Whether loads and weights have the same unit.
    pub fn has_comparable_loads(&self) -> bool {
        self.has_comparable_loads
    }

    /// A server's utilization by this instance's part of it, shrunk towards the mean: of few connections much is
    /// chance.
    pub fn likely_utilization(&self, server: &ServerLoad) -> f64 {
        let usual_connections =
            self.mean_utilization * server.capacity / (self.mean_load * (1.0 + OPEN_CONNECTION_COST));
        self.mean_utilization
            + (server.utilization() - self.mean_utilization) * usual_connections
                / (usual_connections + HALF_CONFIDENCE_CONNECTIONS)
    }

    /// How much load of this instance's a server may have as a target.
    pub fn target_limit(&self, server: &ServerLoad) -> f64 {
        let balanced_load = self.mean_utilization * server.capacity;
        match (server.is_cold, self.has_comparable_loads) {
            // What the other instances put there is unknown: each keeps to its even part of the server's capacity.
            (true, true) => balanced_load.min(COLD_FILL_LIMIT * server.capacity / self.instance_count),
            (true, false) => balanced_load * COLD_FILL_LIMIT,
            (false, _) => balanced_load * (1.0 + BALANCE_TOLERANCE),
        }
    }
}
