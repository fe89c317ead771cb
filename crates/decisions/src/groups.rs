//! How often each group of clients was seen, which sets the size of its pool of servers.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use crate::interface::{Request, ServerId, Settings};

/// Share of the counts that remains after a housekeeping period.
pub(crate) const GROUP_DECAY_RATIO: f64 = 0.985;
/// A group is forgotten below this many clients.
pub(crate) const MIN_GROUP_CLIENTS: f64 = 0.05;
/// Most groups that are counted.
const MAX_GROUPS: usize = 2048;
/// Servers in a group's pool over the group's share of the fleet.
const POOL_SIZE_RATIO: f64 = 1.0;
/// Clients subtracted from a group's count: a single one says little of its group's size.
const POOL_CLIENT_DISCOUNT: f64 = 0.75;
/// Clients assumed in other groups, so that the first group to be seen is not taken for all of them.
const PRIOR_CLIENTS: f64 = 3.0;

/// What is known of a group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupStats {
    /// Clients seen, decayed.
    pub clients: f64,
    /// Where its last client was connected.
    pub last_server: Option<ServerId>,
}

/// All groups, and the clients seen of all of them.
#[derive(Debug, Default)]
pub(crate) struct GroupTable {
    /// Clients seen of any group or none, decayed.
    pub total_clients: f64,
    groups: BTreeMap<u64, GroupStats>,
}

/// What the placement of a request goes by: its group, or the client's key where packets pass through and the
/// next instance has to find the same server.
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

    /// Whether a group is counted already or one more can be.
    pub fn has_capacity_for(&self, group: u64) -> bool {
        self.groups.len() < MAX_GROUPS || self.groups.contains_key(&group)
    }

    /// Adds what another instance has counted.
    pub fn merge(&mut self, group: u64, clients: f64, last_server: Option<ServerId>) {
        let stats = self.groups.entry(group).or_default();
        stats.clients += clients;
        stats.last_server = stats.last_server.or(last_server);
    }

    /// Groups behind one in the order of ids, from the first one for `None`.
    pub fn after(&self, group: Option<u64>) -> impl Iterator<Item = (u64, &GroupStats)> {
        let range = self.groups.range((group.map_or(Unbounded, Excluded), Unbounded));
        range.map(|(group, stats)| (*group, stats))
    }

    /// How many of `server_count` servers make up a group's pool; all of them for no group.
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
