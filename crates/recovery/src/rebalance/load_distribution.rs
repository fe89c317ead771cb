//! The load that this instance's own connections put on each server, at one time. Each instance balances only its own
//! part of the load: if every part is balanced, so is the total, and no instance has to know the load of the others.

use std::collections::BTreeMap;

use shorewharf_decisions::{RequestId, ServerId};

use crate::instance_view::{Connection, InstanceView, Placement, ServerRecord};

/// Load that a server has for each group of which it holds at least one connection, as a multiple of the mean load.
pub(super) const GROUP_COST: f64 = 2.0;
/// Load of an open connection in addition to its reported load, as a multiple of the mean load.
const OPEN_CONNECTION_COST: f64 = 0.1;
/// Minimum age of a connection that is migrated, in seconds.
const MIN_AGE: f64 = 5.0;
/// Minimum age of a returning client's connection that is migrated, in seconds. Another instance may have migrated the
/// client, and two instances could send it back and forth.
const MIN_AGE_AFTER_RETURN: f64 = 12.0;
/// A server is no migration target for this time after it reported slow messages, in seconds.
const SLOW_REPORT_VALID_SECONDS: f64 = 5.0;
/// Number of connections at which a server's measured utilization and the mean utilization have equal weight in
/// [`LoadDistribution::likely_utilization`].
const HALF_CONFIDENCE_CONNECTIONS: f64 = 2.0;
/// Iterations of the fixed point in [`instances_per_group`].
const FIXED_POINT_ITERATIONS: usize = 30;

/// Relative deviation from the balanced load up to which migrations fill a target and down to which they empty a
/// source.
pub(super) const BALANCE_TOLERANCE: f64 = 0.04;
/// Share of a cold server's present capacity up to which all instances together fill it.
const COLD_FILL_LIMIT: f64 = 0.7;

/// Settings of the fleet that migrations depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSettings {
    /// Whether connections belong to groups that share work on a server.
    pub has_groups: bool,
    /// Number of balancers that share the servers.
    pub instance_count: f64,
}

/// A server in service, with its load from this instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerLoad {
    pub id: ServerId,
    pub started_at: f64,
    pub weight: f64,
    /// The load that the server can take at this point of its slow start.
    pub capacity: f64,
    /// Load from this instance, including attempts and migrations in progress.
    pub load: f64,
    /// Whether the server is a possible migration target.
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

    /// Ratio of the load from this instance to the server's capacity.
    pub fn utilization(&self) -> f64 {
        self.load / self.capacity
    }
}

/// A client that was asked to migrate and has no new connection yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedArrival {
    pub to: ServerId,
    pub from: ServerId,
    pub load: f64,
    /// The client is assumed to have gone to another instance after this time.
    pub expected_until: f64,
    /// When the client was asked to migrate.
    pub migrated_at: f64,
    /// Whether the client has sent a request to this instance since.
    pub has_returned: bool,
}

/// A connection on a server, including attempts in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedConnection {
    pub id: RequestId,
    pub load: f64,
    pub may_migrate: bool,
}

/// A server's connections by group.
type ConnectionsByGroup = BTreeMap<u64, Vec<PlacedConnection>>;

/// The load that this instance's connections put on each server.
#[derive(Debug)]
pub(super) struct LoadDistribution {
    /// The servers in service, by ascending id.
    pub servers: Vec<ServerLoad>,
    /// Mean load of a connection.
    pub mean_load: f64,
    pub instance_count: f64,
    /// Estimated number of instances, including this one, that have members of a group on a server on which this
    /// instance has members of it.
    pub instances_per_group: f64,
    has_comparable_loads: bool,
    /// Ratio of the total load from this instance to the total capacity.
    pub mean_utilization: f64,
    /// The connections of each server, in the order of `servers`.
    pub connections: Vec<ConnectionsByGroup>,
    /// Number of established connections.
    pub established: usize,
    /// Mean age of the established connections, in seconds.
    pub mean_age: f64,
}

/// Estimates the number of instances that have members of a group on a server on which this instance has `own_mean`
/// members on average. Members are distributed randomly over the instances, and an instance sees only groups of which
/// it has at least one member, so that `own_mean` equals `m / (1 - e^-m)`, where `m` is the mean over all instances.
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
    /// Determines the present distribution; `expected` are clients that are migrating to another server.
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

    /// Adds this instance's part of the load that groups put on servers.
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

    /// Ratio of the largest utilization to the mean utilization.
    pub fn imbalance(&self) -> f64 {
        let largest = self.servers.iter().map(ServerLoad::utilization).fold(0.0, f64::max);
        if self.mean_utilization > 0.0 { largest / self.mean_utilization } else { 1.0 }
    }

    /// Whether loads and weights are in the same unit, so that loads can be compared with capacities.
    pub fn has_comparable_loads(&self) -> bool {
        self.has_comparable_loads
    }

    /// A server's utilization by this instance, shrunk towards the mean, since with few connections most of the
    /// difference is random.
    pub fn likely_utilization(&self, server: &ServerLoad) -> f64 {
        let usual_connections =
            self.mean_utilization * server.capacity / (self.mean_load * (1.0 + OPEN_CONNECTION_COST));
        self.mean_utilization
            + (server.utilization() - self.mean_utilization) * usual_connections
                / (usual_connections + HALF_CONFIDENCE_CONNECTIONS)
    }

    /// Upper bound of the load from this instance on a server that is a migration target.
    pub fn target_limit(&self, server: &ServerLoad) -> f64 {
        let balanced_load = self.mean_utilization * server.capacity;
        match (server.is_cold, self.has_comparable_loads) {
            // The load from other instances is unknown, so that each keeps to its even share of the capacity.
            (true, true) => balanced_load.min(COLD_FILL_LIMIT * server.capacity / self.instance_count),
            (true, false) => balanced_load * COLD_FILL_LIMIT,
            (false, _) => balanced_load * (1.0 + BALANCE_TOLERANCE),
        }
    }
}
