//! Counts the clients of each group, which determine the size of the group's pool of servers.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use crate::interface::{Request, ServerId, Settings};

/// Share of the counts that remains after a housekeeping period.
pub(crate) const GROUP_DECAY_RATIO: f64 = 0.985;
/// A group is removed from the table when its decayed number of clients falls below this.
pub(crate) const MIN_GROUP_CLIENTS: f64 = 0.05;
/// Largest number of groups in the table.
const MAX_GROUPS: usize = 2048;
/// Share of all servers that form a group's pool, relative to the group's share of all clients.
const POOL_SIZE_RATIO: f64 = 1.0;
/// Subtracted from the number of clients of a group, because a single client says little about the size of
/// its group.
const POOL_CLIENT_DISCOUNT: f64 = 0.75;
/// Number of clients assumed in other groups, so that the first group seen does not count as all clients.
const PRIOR_CLIENTS: f64 = 3.0;

/// What is known about a group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupStats {
    /// Decayed number of clients seen.
    pub clients: f64,
    /// Server to which the last client was connected.
    pub last_server: Option<ServerId>,
}

/// All groups, and the total number of clients.
#[derive(Debug, Default)]
pub(crate) struct GroupTable {
    /// Decayed number of clients seen, with or without a group.
    pub total_clients: f64,
    groups: BTreeMap<u64, GroupStats>,
}

/// The group by which a request is placed, if any: the client's group, or the client's key in pass-through
/// mode, where another instance has to find the same server.
pub(crate) fn placement_group(settings: &Settings, request: &Request) -> Option<u64> {
    let group = if settings.is_pass_through { request.key } else { request.group };
    ((settings.is_pass_through || settings.has_groups) && group != 0).then_some(group)
}

impl GroupTable {
    pub fn record_client(&mut self, group: Option<u64>) {
        self.total_clients += 1.0;
        if let Some(group) = group
            && self.has_capacity_for(group)
        {
            self.groups.entry(group).or_default().clients += 1.0;
        }
    }

    pub fn record_server(&mut self, group: u64, server: ServerId) {
        if let Some(stats) = self.groups.get_mut(&group) {
            stats.last_server = Some(server);
        }
    }

    pub fn last_server(&self, group: u64) -> Option<ServerId> {
        self.groups.get(&group).and_then(|stats| stats.last_server)
    }

    /// Whether a group is in the table or can be added to it.
    pub fn has_capacity_for(&self, group: u64) -> bool {
        self.groups.len() < MAX_GROUPS || self.groups.contains_key(&group)
    }

    /// Adds the counts of another instance.
    pub fn merge(&mut self, group: u64, clients: f64, last_server: Option<ServerId>) {
        let stats = self.groups.entry(group).or_default();
        stats.clients += clients;
        stats.last_server = stats.last_server.or(last_server);
    }

    /// The groups after the given one in order of id, or all groups for `None`.
    pub fn after(&self, group: Option<u64>) -> impl Iterator<Item = (u64, &GroupStats)> {
        let range = self.groups.range((group.map_or(Unbounded, Excluded), Unbounded));
        range.map(|(group, stats)| (*group, stats))
    }

    /// Number of servers, out of `server_count`, that form a group's pool; all of them if there is no group.
    pub fn pool_size(&self, group: Option<u64>, server_count: usize) -> usize {
        let Some(group) = group else { return server_count };
        let seen = self.groups.get(&group).map_or(0.0, |stats| stats.clients);
        let share = (seen - POOL_CLIENT_DISCOUNT).max(0.0) / (self.total_clients + PRIOR_CLIENTS);
        let size = (POOL_SIZE_RATIO * share * server_count as f64).round() as usize;
        size.clamp(1, server_count.max(1))
    }

    pub fn run_housekeeping(&mut self) {
        for stats in self.groups.values_mut() {
            stats.clients *= GROUP_DECAY_RATIO;
        }
        self.groups.retain(|_, stats| stats.clients > MIN_GROUP_CLIENTS);
        self.total_clients *= GROUP_DECAY_RATIO;
    }
}
