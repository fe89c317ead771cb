//! Placement by the loads of all instances together, where they are known. The reports are some tenths of a
//! second old and the same at every instance, so what many instances would do at once by them is left to
//! chance.

use std::collections::{BTreeMap, BTreeSet};

use crate::fleet_view::RemoteLoads;
use crate::interface::{RemoteLoad, ServerId};
use crate::load::CONNECTION_OVERHEAD_LOADS;
use crate::requests::TrackedRequest;
use crate::servers::Server;
use crate::state::Balancer;

/// A server is passed over that the request would bring above this multiple of the mean usage.
const MAX_USAGE_RATIO: f64 = 1.15;
/// A server below this multiple of the mean usage is filled first.
const UNDERUSED_RATIO: f64 = 0.8;
/// Underused servers are filled by the requests of this many seconds: some times the age of a report, as all
/// instances go by the same ones.
const FILL_SECONDS: f64 = 2.0;
/// What a server pays for each group that it holds any connection of, in mean loads, whoever holds it.
const GROUP_OVERHEAD_LOADS: f64 = 2.0;
/// Returning clients are spread over this many servers, as they come in numbers and find the same reports.
const RETURNING_SPREAD_SERVERS: usize = 3;
/// Random spread of the usage where no server is below the limit.
const USAGE_JITTER_RATIO: f64 = 0.1;

/// A server as all instances together use it.
#[derive(Clone, Copy, Debug)]
struct FleetUsage {
    server: ServerId,
    is_cross_zone: bool,
    /// Whether any instance holds some of the request's group there.
    holds_group: bool,
    capacity: f64,
    load: f64,
    /// Load that the request would add.
    added_load: f64,
}

impl FleetUsage {
    /// Load over capacity with the request.
    fn ratio_after(&self) -> f64 {
        (self.load + self.added_load) / self.capacity
    }

    /// How many such requests the server lacks to `target`, a ratio of load to capacity.
    fn missing_requests(&self, target: f64) -> f64 {
        ((target - self.load / self.capacity) * self.capacity / self.added_load).max(0.0)
    }
}

/// The loads that the usage of a server is computed from.
#[derive(Clone, Copy, Debug)]
struct FleetLoads<'a> {
    remote: &'a RemoteLoads,
    /// Mean load of a connection of any instance.
    mean: f64,
}

/// The usage of all servers in service.
struct FleetUsages {
    by_server: BTreeMap<ServerId, FleetUsage>,
    /// Mean ratio of load to capacity once the request is placed.
    mean_ratio: f64,
}

/// A group as reports name it: the lower half of its id.
fn reported_group(group: u64) -> u32 {
    group as u32
}

impl Balancer {
    /// The server for a request by the loads of all instances.
    pub(crate) fn choose_by_fleet_load(
        &mut self,
        now: f64,
        tracked: &TrackedRequest,
        remote_loads: &RemoteLoads,
    ) -> Option<ServerId> {
        let FleetUsages { by_server, mean_ratio } = self.fleet_usages(now, tracked, remote_loads);
        // By rank, which is the same at every instance for a group.
        let ranked: Vec<FleetUsage> =
            self.ranked_servers(now, tracked).iter().filter_map(|id| by_server.get(id)).copied().collect();
        let has_same_zone = ranked.iter().any(|usage| !usage.is_cross_zone);
        let candidates: Vec<FleetUsage> =
            ranked.into_iter().filter(|usage| !(has_same_zone && usage.is_cross_zone)).collect();
        if let Some(server) = self.choose_underused(&candidates, mean_ratio) {
            return Some(server);
        }
        if let Some(server) = self.choose_below_limit(tracked, &candidates, mean_ratio) {
            return Some(server);
        }
        let jittered: Vec<(f64, ServerId)> = candidates
            .iter()
            .map(|usage| (usage.ratio_after() * (1.0 + USAGE_JITTER_RATIO * self.draw()), usage.server))
            .collect();
        jittered.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, server)| server)
    }

    fn fleet_usages(&self, now: f64, tracked: &TrackedRequest, remote_loads: &RemoteLoads) -> FleetUsages {
        let mean = self.mean_fleet_load(now, remote_loads).unwrap_or(tracked.load);
        let loads = FleetLoads { remote: remote_loads, mean };
        let mut by_server = BTreeMap::new();
        let (mut total_load, mut total_capacity) = (tracked.load, 0.0);
        for server in self.servers.in_service(&self.settings, now) {
            let usage = self.fleet_usage(now, server, tracked, loads);
            total_load += usage.load;
            total_capacity += usage.capacity;
            by_server.insert(usage.server, usage);
        }
        let mean_ratio = total_load / f64::max(total_capacity, f64::MIN_POSITIVE);
        FleetUsages { by_server, mean_ratio }
    }

    /// Mean load of a connection at the servers in service; none without connections.
    fn mean_fleet_load(&self, now: f64, remote_loads: &RemoteLoads) -> Option<f64> {
        let (mut load, mut connections) = (0.0, 0.0);
        for server in self.servers.in_service(&self.settings, now) {
            let remote = remote_loads.get(&server.entry.server);
            load = load + remote.map_or(0.0, |remote| remote.load) + server.assigned_load;
            let remote_connections = remote.map_or(0.0, |remote| remote.connections);
            connections = connections + remote_connections + f64::from(server.connections);
        }
        (connections > 0.0).then(|| load / connections)
    }

    fn fleet_usage(
        &self,
        now: f64,
        server: &Server,
        tracked: &TrackedRequest,
        loads: FleetLoads,
    ) -> FleetUsage {
        let remote = loads.remote.get(&server.entry.server);
        let groups = groups_at(server, remote);
        let holds_group = tracked.group.is_some_and(|group| groups.contains(&reported_group(group)));
        let (remote_load, remote_connections) =
            remote.map_or((0.0, 0.0), |remote| (remote.load, remote.connections));
        let connections = f64::from(server.connections) + remote_connections;
        let overheads = CONNECTION_OVERHEAD_LOADS * connections + GROUP_OVERHEAD_LOADS * groups.len() as f64;
        let pays_for_group = tracked.group.is_some() && !holds_group;
        let added_overheads =
            CONNECTION_OVERHEAD_LOADS + if pays_for_group { GROUP_OVERHEAD_LOADS } else { 0.0 };
        let capacity = server.entry.weight * server.warm_up_ratio(&self.settings, now);
        FleetUsage {
            server: server.entry.server,
            is_cross_zone: self.is_cross_zone(server),
            holds_group,
            capacity: capacity.max(f64::MIN_POSITIVE),
            load: server.assigned_load + remote_load + loads.mean * overheads,
            added_load: tracked.load + loads.mean * added_overheads,
        }
    }

    /// Draws an underused server, weighted by how many requests each of them lacks. Returns `None` so often
    /// that all instances together don't overfill them.
    fn choose_underused(&mut self, candidates: &[FleetUsage], mean_ratio: f64) -> Option<ServerId> {
        let target = UNDERUSED_RATIO * mean_ratio;
        let missing: f64 = candidates.iter().map(|usage| usage.missing_requests(target)).sum();
        // An instance that has just sent a request says little of the fleet's rate: the long mean, or that of
        // a surge.
        let recent_rate = self.setup_limiter.recent_attempts() * 0.5 - 1.0;
        let rate = f64::max(self.arrivals.per_second, recent_rate);
        let expected_requests = 1.0 + self.settings.instance_count * rate * FILL_SECONDS;
        let fills_underused = self.draw() < missing / expected_requests;
        if !fills_underused {
            return None;
        }
        let mut remaining = self.draw() * missing;
        let drawn = candidates.iter().find(|usage| {
            let missing = usage.missing_requests(target);
            remaining -= missing;
            missing > 0.0 && remaining <= 0.0
        });
        drawn.or(candidates.first()).map(|usage| usage.server)
    }

    /// A server that stays below the limit with the request: the least used that holds its group, else the
    /// first by rank. A returning client gets a random one of the first few.
    fn choose_below_limit(
        &mut self,
        tracked: &TrackedRequest,
        candidates: &[FleetUsage],
        mean_ratio: f64,
    ) -> Option<ServerId> {
        let is_below_limit = |usage: &&FleetUsage| usage.ratio_after() <= MAX_USAGE_RATIO * mean_ratio;
        let mut fitting: Vec<&FleetUsage> = candidates.iter().filter(is_below_limit).collect();
        fitting.sort_by(|a, b| match (a.holds_group, b.holds_group) {
            (true, true) => a.ratio_after().total_cmp(&b.ratio_after()),
            (a_holds, b_holds) => b_holds.cmp(&a_holds),
        });
        let spread =
            if tracked.request.is_returning { RETURNING_SPREAD_SERVERS.min(fitting.len()) } else { 1 };
        let index = (self.draw() * spread as f64) as usize;
        fitting.get(index).map(|usage| usage.server)
    }
}

/// The groups of which any instance holds a connection at a server.
fn groups_at(server: &Server, remote: Option<&RemoteLoad>) -> BTreeSet<u32> {
    let mut groups: BTreeSet<u32> =
        server.group_connections.keys().map(|group| reported_group(*group)).collect();
    if let Some(remote) = remote {
        groups.extend(&remote.groups);
    }
    groups
}
