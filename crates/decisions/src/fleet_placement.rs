//! Placement by the combined loads of all instances, where they are known. The load reports are a few tenths
//! of a second old and the same at every instance. Where all instances would otherwise react to them in the
//! same way at the same time, the decision is therefore randomized.

use std::collections::{BTreeMap, BTreeSet};

use crate::fleet_view::RemoteLoads;
use crate::interface::{RemoteLoad, ServerId};
use crate::load::CONNECTION_OVERHEAD_LOADS;
use crate::requests::TrackedRequest;
use crate::servers::Server;
use crate::state::Balancer;

/// A server is skipped if the request would raise its usage above this multiple of the mean usage.
const MAX_USAGE_RATIO: f64 = 1.15;
/// A server whose usage is below this multiple of the mean usage is filled first.
const UNDERUSED_RATIO: f64 = 0.8;
/// Underused servers are filled by the requests that arrive within this time. It is several times the age of
/// a report because all instances act on the same reports.
const FILL_SECONDS: f64 = 2.0;
/// Overhead at a server of each group of which any instance has a connection there, in mean loads.
const GROUP_OVERHEAD_LOADS: f64 = 2.0;
/// Returning clients are spread over this many servers, since they arrive in large numbers and are placed by
/// the same reports.
const RETURNING_SPREAD_SERVERS: usize = 3;
/// Random variation of the usage if no server is below the limit.
const USAGE_JITTER_RATIO: f64 = 0.1;

/// The usage of a server by all instances together.
#[derive(Clone, Copy, Debug)]
struct FleetUsage {
    server: ServerId,
    is_cross_zone: bool,
    /// Whether any instance has connections of the request's group at the server.
    holds_group: bool,
    /// Listed weight multiplied by the warm-up ratio.
    capacity: f64,
    /// Load of all instances together, including overheads.
    load: f64,
    /// Load that the request would add, including overheads.
    added_load: f64,
}

impl FleetUsage {
    /// Load divided by capacity if the request is placed at the server.
    fn ratio_after(&self) -> f64 {
        (self.load + self.added_load) / self.capacity
    }

    /// How many requests like this one the server can accept before its ratio of load to capacity reaches
    /// `target`.
    fn request_headroom(&self, target: f64) -> f64 {
        ((target - self.load / self.capacity) * self.capacity / self.added_load).max(0.0)
    }
}

/// The loads from which the usage of a server is computed.
#[derive(Clone, Copy, Debug)]
struct FleetLoads<'a> {
    remote: &'a RemoteLoads,
    /// Mean load of a connection over all instances.
    mean: f64,
}

/// The usage of all servers in service.
struct FleetUsages {
    by_server: BTreeMap<ServerId, FleetUsage>,
    /// Mean ratio of load to capacity after the request is placed.
    mean_ratio: f64,
}

/// The id of a group in load reports: the lower 32 bits of the full id.
fn reported_group(group: u64) -> u32 {
    group as u32
}

impl Balancer {
    /// Chooses the server for a request by the loads of all instances.
    pub(crate) fn choose_by_fleet_load(
        &mut self,
        now: f64,
        tracked: &TrackedRequest,
        remote_loads: &RemoteLoads,
    ) -> Option<ServerId> {
        let FleetUsages { by_server, mean_ratio } = self.fleet_usages(now, tracked, remote_loads);
        // In order of rank, which is the same at every instance for a given group.
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

    /// Mean load of a connection at the servers in service; `None` if there are no connections.
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
        let adds_group = tracked.group.is_some() && !holds_group;
        let added_overheads = CONNECTION_OVERHEAD_LOADS + if adds_group { GROUP_OVERHEAD_LOADS } else { 0.0 };
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

    /// Chooses an underused server at random, weighted by the headroom of each. Returns `None` with a
    /// probability that keeps all instances together from overfilling these servers.
    fn choose_underused(&mut self, candidates: &[FleetUsage], mean_ratio: f64) -> Option<ServerId> {
        let target = UNDERUSED_RATIO * mean_ratio;
        let headroom: f64 = candidates.iter().map(|usage| usage.request_headroom(target)).sum();
        // The rate is the long-term mean, or the recent rate if that is higher, as in a surge. The recent
        // rate is reduced by 1 because a single request that was just sent says little about the rate of the
        // fleet.
        let recent_rate = self.setup_limiter.recent_attempts() * 0.5 - 1.0;
        let rate = f64::max(self.arrivals.per_second, recent_rate);
        let expected_requests = 1.0 + self.settings.instance_count * rate * FILL_SECONDS;
        let fills_underused = self.draw() < headroom / expected_requests;
        if !fills_underused {
            return None;
        }
        let mut remaining = self.draw() * headroom;
        let drawn = candidates.iter().find(|usage| {
            let headroom = usage.request_headroom(target);
            remaining -= headroom;
            headroom > 0.0 && remaining <= 0.0
        });
        drawn.or(candidates.first()).map(|usage| usage.server)
    }

    /// Chooses a server that stays below the usage limit with the request: the least used one that has
    /// connections of the request's group, or else the first by rank. A returning client gets a random one of
    /// the first few.
    fn choose_below_limit(
        &mut self,
        tracked: &TrackedRequest,
        candidates: &[FleetUsage],
        mean_ratio: f64,
    ) -> Option<ServerId> {
        let is_below_limit = |usage: &&FleetUsage| usage.ratio_after() <= MAX_USAGE_RATIO * mean_ratio;
        let mut below_limit: Vec<&FleetUsage> = candidates.iter().filter(is_below_limit).collect();
        below_limit.sort_by(|a, b| match (a.holds_group, b.holds_group) {
            (true, true) => a.ratio_after().total_cmp(&b.ratio_after()),
            (a_holds, b_holds) => b_holds.cmp(&a_holds),
        });
        let spread =
            if tracked.request.is_returning { RETURNING_SPREAD_SERVERS.min(below_limit.len()) } else { 1 };
        let index = (self.draw() * spread as f64) as usize;
        below_limit.get(index).map(|usage| usage.server)
    }
}

/// The groups of which any instance has a connection at a server.
fn groups_at(server: &Server, remote: Option<&RemoteLoad>) -> BTreeSet<u32> {
    let mut groups: BTreeSet<u32> =
        server.group_connections.keys().map(|group| reported_group(*group)).collect();
    if let Some(remote) = remote {
        groups.extend(&remote.groups);
    }
    groups
}
