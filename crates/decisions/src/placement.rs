//! Placement: the choice of the server to which a request is sent. An instance that knows the loads of the
//! others uses them (`fleet_placement`). One whose own load says nothing about the servers probes them
//! (`probing`). Any other instance uses its own load, as in this module: it chooses the server reserved for
//! the client, one that already has connections of the client's group, or the least used server of the
//! group's pool.

use crate::groups::placement_group;
use crate::hashing::{hash_pair, rendezvous_rank};
use crate::interface::{Action, ServerId, WeightKind};
use crate::requests::TrackedRequest;
use crate::servers::Server;
use crate::state::Balancer;
use crate::timers::HOUSEKEEPING_PERIOD_SECONDS;

/// Zone crossing cost from which on servers of other zones come after all servers of this instance's zone.
const LOCAL_ZONE_MIN_CROSSING_COST: f64 = 0.05;
/// Number of servers beyond a group's pool that are used while members of the pool are unavailable. If those
/// are not enough the group's requests are rejected, since each further server with connections of the group
/// would bear the group's overhead.
const POOL_OVERFLOW_SERVERS: usize = 1;
/// A pool member is preferred only up to this multiple of the mean usage, plus `MAX_USAGE_EXTRA_CONNECTIONS`.
const MAX_USAGE_RATIO: f64 = 1.25;
/// Number of mean connections added to the usage limit of a pool member.
const MAX_USAGE_EXTRA_CONNECTIONS: f64 = 3.0;
/// A server with connections has a normal message delay if no slow messages were reported for this long.
const MIN_SECONDS_SINCE_DELAY_REPORT: f64 = 2.0 * HOUSEKEEPING_PERIOD_SECONDS;

/// The result of placing a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Placement {
    Server(ServerId),
    /// Pending probes will decide.
    AwaitProbes,
    /// This instance may soon send a request to a server that is warming up.
    AwaitTurn,
    /// No server can accept the request now.
    NoServer,
}

impl Placement {
    pub fn from_choice(choice: Option<ServerId>) -> Self {
        choice.map_or(Placement::NoServer, Placement::Server)
    }
}

/// The usage up to which a pool member is preferred to the servers that follow it in rank.
#[derive(Clone, Copy, Debug)]
struct UsageLimit {
    /// Load divided by effective weight.
    ratio: f64,
    /// Load allowed in addition.
    extra_load: f64,
}

/// A server that may belong to a group's pool.
struct PoolMember<'a> {
    is_cross_zone: bool,
    rank: f64,
    server: &'a Server,
}

impl PoolMember<'_> {
    fn by_rank(a: &Self, b: &Self) -> std::cmp::Ordering {
        a.is_cross_zone.cmp(&b.is_cross_zone).then(a.rank.total_cmp(&b.rank))
    }
}

impl Balancer {
    /// Chooses a server for a request. Appends the probes that are needed first, if any.
    pub(crate) fn choose_server(
        &mut self,
        now: f64,
        tracked: &TrackedRequest,
        actions: &mut Vec<Action>,
    ) -> Placement {
        if let Some(remote_loads) = self.fleet.current(now) {
            return Placement::from_choice(self.choose_by_fleet_load(now, tracked, &remote_loads));
        }
        if self.loads.lacks_own_load_signal(&self.settings, self.servers.len()) {
            return self.choose_by_probes(now, tracked, actions);
        }
        Placement::from_choice(self.choose_by_own_load(now, tracked))
    }

    /// Whether a server is in another zone, and crossing zones costs so much that the server comes after
    /// those of this instance's zone.
    pub(crate) fn is_cross_zone(&self, server: &Server) -> bool {
        self.settings.zone_crossing_cost >= LOCAL_ZONE_MIN_CROSSING_COST
            && server.entry.zone != self.settings.zone
    }

    /// The rank of a server for a group, the same at every instance. The server with the lowest rank comes
    /// first.
    pub(crate) fn rank(&self, group: u64, server: &Server) -> f64 {
        let is_load_adjusted = self.settings.weight_kind == WeightKind::LoadAdjusted;
        let weight = if is_load_adjusted { 1.0 } else { server.entry.weight };
        rendezvous_rank(group, server.entry.server, weight)
    }

    fn choose_by_own_load(&self, now: f64, tracked: &TrackedRequest) -> Option<ServerId> {
        if let Some(reservation) = self.reservations.get(tracked.request.key)
            && let Some(server) = self.servers.get(reservation.server)
            && self.is_candidate(server, tracked, now)
        {
            return Some(reservation.server);
        }
        // A server that has just returned from draining gets the next client, so that its operator sees
        // whether it works. By rank it might get none.
        let is_unused = |server: &&Server| server.is_back_from_draining && !self.is_cross_zone(server);
        let mut unused = self.servers.iter().filter(is_unused);
        if let Some(server) = unused.find(|server| self.is_candidate(server, tracked, now)) {
            return Some(server.entry.server);
        }
        let group = placement_group(&self.settings, &tracked.request);
        let limit = self.usage_limit(now);
        self.choose_server_of_group(now, tracked, group, limit)
            .or_else(|| self.choose_pool_member(now, tracked, group, limit))
    }

    /// Whether a server is in service and can accept a request.
    fn is_candidate(&self, server: &Server, tracked: &TrackedRequest, now: f64) -> bool {
        server.is_in_service(&self.settings, now) && self.can_accept(server, tracked, now)
    }

    fn can_accept(&self, server: &Server, tracked: &TrackedRequest, now: f64) -> bool {
        now >= server.unavailable_until
            && self.loads.can_sustain(server, tracked)
            && self.loads.has_free_setup_slot(server, self.settings.instance_count)
            && self.is_admitted_by_slow_start(server, now)
            && self.may_attempt(tracked, server, now)
            && !tracked.tried_servers.contains(&server.entry.server)
    }

    /// Chooses the least used server that already has connections of the request's group, and so already
    /// bears the group's overhead.
    fn choose_server_of_group(
        &self,
        now: f64,
        tracked: &TrackedRequest,
        group: Option<u64>,
        limit: UsageLimit,
    ) -> Option<ServerId> {
        let group_servers = self.servers_of_group(group?).into_iter().filter_map(|id| self.servers.get(id));
        let candidates = group_servers.filter(|server| {
            self.is_candidate(server, tracked, now)
                && !self.is_over_limit(server, limit, now)
                && !self.is_cross_zone(server)
        });
        self.least_used(now, tracked, candidates)
    }

    /// Chooses the least used server of the request's pool, or of the servers that follow it in rank.
    fn choose_pool_member(
        &self,
        now: f64,
        tracked: &TrackedRequest,
        group: Option<u64>,
        limit: UsageLimit,
    ) -> Option<ServerId> {
        let local_count = self.servers.ready().filter(|server| !self.is_cross_zone(server)).count();
        // A server that slow start does not admit to now takes no place in the pool, so that the group's
        // clients go on to the servers that follow it.
        let admitted = self
            .servers
            .in_service(&self.settings, now)
            .filter(|server| self.is_admitted_by_slow_start(server, now));
        let mut pool: Vec<PoolMember> = admitted
            .map(|server| PoolMember {
                is_cross_zone: self.is_cross_zone(server),
                rank: self.rank(group.unwrap_or(0), server),
                server,
            })
            .collect();
        let pool_size = self.groups.pool_size(group, local_count).min(pool.len());
        if pool_size == 0 {
            return None;
        }
        let skips_first_rank = tracked.skips_first_rank && group.is_some();
        let reach = (pool_size + POOL_OVERFLOW_SERVERS + usize::from(skips_first_rank)).min(pool.len());
        if reach < pool.len() {
            pool.select_nth_unstable_by(reach - 1, PoolMember::by_rank);
            pool.truncate(reach);
        }
        pool.sort_by(PoolMember::by_rank);
        if skips_first_rank && pool.len() > 1 && !self.has_normal_delay(pool[0].server, now) {
            pool.remove(0);
        }
        pool.retain(|member| self.can_accept(member.server, tracked, now));
        pool.sort_by_key(|member| (self.is_over_limit(member.server, limit, now), member.is_cross_zone));
        let members = pool.iter().take(pool_size).map(|member| member.server);
        self.least_used(now, tracked, members)
    }

    /// Whether clients at a server would have reported slow messages but have not. A server that is warming
    /// up is always accepted here, as slow start limits its load.
    fn has_normal_delay(&self, server: &Server, now: f64) -> bool {
        let is_delay_unreported =
            server.connections > 0 && now >= server.last_delay.reported_at + MIN_SECONDS_SINCE_DELAY_REPORT;
        server.warm_up_ratio(&self.settings, now) < 1.0 || is_delay_unreported
    }

    /// The server with the lowest usage. Ties, which are common in a large fleet, are broken pseudo-randomly
    /// by the client's key.
    fn least_used<'a>(
        &self,
        now: f64,
        tracked: &TrackedRequest,
        servers: impl Iterator<Item = &'a Server>,
    ) -> Option<ServerId> {
        let client_hash = hash_pair(tracked.request.key, self.settings.instance_index);
        let weighed = servers.map(|server| {
            let weight = server.effective_weight(&self.settings, now).max(f64::MIN_POSITIVE);
            let tie_break = rendezvous_rank(client_hash, server.entry.server, weight);
            (server.assigned_load * 100.0 / weight, tie_break, server.entry.server)
        });
        let least = weighed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        least.map(|(_, _, server)| server)
    }

    fn usage_limit(&self, now: f64) -> UsageLimit {
        let (mut load, mut weight, mut connections) = (0.0, 0.0, 0);
        for server in self.servers.ready() {
            load += server.assigned_load;
            weight += server.effective_weight(&self.settings, now);
            connections += server.connections;
        }
        UsageLimit {
            ratio: MAX_USAGE_RATIO * load / f64::max(weight, f64::MIN_POSITIVE),
            extra_load: MAX_USAGE_EXTRA_CONNECTIONS * load / f64::from(connections.max(1)),
        }
    }

    fn is_over_limit(&self, server: &Server, limit: UsageLimit, now: f64) -> bool {
        let weight = server.effective_weight(&self.settings, now);
        server.assigned_load > limit.ratio * weight + limit.extra_load
    }
}
