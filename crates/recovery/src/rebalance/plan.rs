//! Chooses the next migration by its gain and cost, and the connections that migrate together.

use shorewharf_decisions::hashing::{pseudo_random_ratio, rendezvous_rank};
use shorewharf_decisions::{RequestId, ServerId};

use super::load_distribution::{
    BALANCE_TOLERANCE, GROUP_COST, LoadDistribution, PlacedConnection, ServerLoad,
};

/// Age of a cold server, in seconds, at which the first group may be opened there. From then until the server is warm,
/// groups are opened one after the other, in an order that is the same at all instances. If all instances migrate a
/// group at the same time, the group has its cost on both servers only for a short time.
const FIRST_GROUP_AGE: f64 = 1.0;
/// Number of source servers considered, those with the highest utilization.
const MAX_SOURCES: usize = 3;
/// Number of target servers considered, those with the lowest utilization.
const MAX_TARGETS: usize = 12;
/// Share of a connection's messages that are lost at a server with twice the mean utilization while no messages queue.
const BALANCING_VALUE: f64 = 0.05;
/// Share of a connection's messages that are lost in addition to [`BALANCING_VALUE`] at a server with
/// twice the mean utilization, once queueing has grown to its full extent.
const BALANCING_VALUE_WHEN_QUEUEING: f64 = 0.6;
/// Utilization above which messages queue.
const QUEUEING_FROM_UTILIZATION: f64 = 0.55;
/// Range of utilization over which queueing grows to its full extent.
const QUEUEING_UTILIZATION_RANGE: f64 = 0.35;
/// Share of a connection's messages that are lost at a server with twice the mean utilization if loads can't be
/// compared with capacities, so that the servers' utilization is unknown.
const BALANCING_VALUE_UNKNOWN: f64 = 0.1;
/// Remaining lifetime of a connection, in seconds, up to which its migration gains nothing while no messages queue, or
/// if loads can't be compared, since the load becomes balanced as connections end and new ones begin. The gain grows to
/// its full value at twice this lifetime.
const SELF_BALANCING_SECONDS: f64 = 30.0;
/// Minimum ratio of a migration's gain to its cost.
const MIN_GAIN_RATIO: f64 = 1.5;

/// The learned cost of a migration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationCost {
    /// Mean time, in seconds, from the migration to the client's next request.
    pub reconnect_seconds: f64,
    /// Mean duration of a setup, in seconds.
    pub setup_seconds: f64,
    /// Estimated remaining lifetime of a connection, in seconds.
    pub remaining_seconds: f64,
    /// The operator's charge for a migration, as a share of the value of a whole connection.
    pub operator_charge: f64,
}

impl Default for MigrationCost {
    fn default() -> Self {
        MigrationCost {
            reconnect_seconds: 0.5,
            setup_seconds: 0.2,
            remaining_seconds: 10.0,
            operator_charge: 0.0,
        }
    }
}

impl MigrationCost {
    /// Returns the cost of one migration, in seconds of the client's service.
    pub fn seconds(&self) -> f64 {
        self.reconnect_seconds + self.setup_seconds + self.operator_charge * self.remaining_seconds
    }
}

/// Why a connection migrates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MigrationReason {
    /// The target ranks higher for the connection's group than its present server, at all instances.
    GroupHome,
    /// The connection's server has a higher utilization than the others.
    Imbalance,
}

impl MigrationReason {
    /// The reason's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            MigrationReason::GroupHome => "home",
            MigrationReason::Imbalance => "level",
        }
    }
}

/// Connections that migrate together.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MigrationBatch {
    /// The connections in the order of their migration, the one with the highest load first.
    pub connections: Vec<RequestId>,
    pub from: ServerId,
    pub to: ServerId,
    pub reason: MigrationReason,
    /// Ratio of the gain to the cost.
    pub gain_ratio: f64,
}

/// Inputs of a choice besides the load distribution.
pub(super) struct PlanningContext<'a> {
    pub now: f64,
    pub warm_up_time: f64,
    pub cost: MigrationCost,
    /// Whether the pacing of a server permits a migration to it now.
    pub accepts: &'a dyn Fn(ServerId) -> bool,
}

/// A group's connections on a source server, and a possible target.
struct Candidate<'a> {
    source: &'a ServerLoad,
    target: &'a ServerLoad,
    /// 0 for connections without a group.
    group: u64,
    members: &'a [PlacedConnection],
    /// Whether the migration adds the cost of the group to the target: this instance has no member of the group there.
    adds_group_cost: bool,
    /// Whether the target ranks higher for the group than the source. The ranks are the same at all instances.
    is_group_home: bool,
}

/// The load that a migration removes from its source and adds to its target.
#[derive(Clone, Copy)]
struct LoadShift {
    removed: f64,
    added: f64,
}

impl LoadDistribution {
    /// Returns the migration with the highest ratio of gain to cost, if any gains enough.
    pub fn best_migration(&self, context: &PlanningContext<'_>) -> Option<MigrationBatch> {
        let targets = self.targets(context);
        let mut best: Option<MigrationBatch> = None;
        for source in self.sources() {
            for (group, members) in &self.connections[source] {
                for target in &targets {
                    let candidate = self.candidate(source, *target, *group, members);
                    let Some(batch) = self.plan(context, &candidate) else { continue };
                    if best.as_ref().is_none_or(|best| batch.gain_ratio > best.gain_ratio) {
                        best = Some(batch);
                    }
                }
            }
        }
        best
    }

    /// Indices of the servers that connections should leave, by descending utilization.
    fn sources(&self) -> Vec<usize> {
        let mut sources: Vec<usize> = (0..self.servers.len()).collect();
        let min_utilization = self.mean_utilization * (1.0 + BALANCE_TOLERANCE);
        sources.retain(|index| self.servers[*index].utilization() > min_utilization);
        sources.sort_by(|a, b| self.servers[*b].utilization().total_cmp(&self.servers[*a].utilization()));
        sources.truncate(MAX_SOURCES);
        sources
    }

    /// Indices of the servers that connections may migrate to, by ascending utilization.
    fn targets(&self, context: &PlanningContext<'_>) -> Vec<usize> {
        let mut targets: Vec<usize> = (0..self.servers.len()).collect();
        targets.retain(|index| {
            let server = &self.servers[*index];
            server.accepts_migrations
                && server.load < self.target_limit(server)
                && server.utilization() < self.mean_utilization
                && (context.accepts)(server.id)
        });
        targets.sort_by(|a, b| self.servers[*a].utilization().total_cmp(&self.servers[*b].utilization()));
        targets.truncate(MAX_TARGETS);
        targets
    }

    fn candidate<'a>(
        &'a self,
        source: usize,
        target: usize,
        group: u64,
        members: &'a [PlacedConnection],
    ) -> Candidate<'a> {
        let adds_group_cost = group != 0 && !self.connections[target].contains_key(&group);
        let (source, target) = (&self.servers[source], &self.servers[target]);
        let is_group_home = group != 0
            && rendezvous_rank(group, target.id, target.weight)
                < rendezvous_rank(group, source.id, source.weight);
        Candidate { source, target, group, members, adds_group_cost, is_group_home }
    }

    /// Plans the migration of a candidate, if it is possible and gains enough.
    fn plan(&self, context: &PlanningContext<'_>, candidate: &Candidate<'_>) -> Option<MigrationBatch> {
        let target = candidate.target;
        if candidate.adds_group_cost && !candidate.may_open_group(context) {
            return None;
        }
        let leaving = self.migrating_connections(candidate)?;
        let shift = self.load_shift(candidate, &leaving);
        if target.load + shift.added > self.target_limit(target) {
            return None;
        }
        let remaining = context.cost.remaining_seconds;
        let gain = self.utilization_gain(candidate, shift) / self.mean_utilization / self.mean_load;
        let seconds_gained = gain * self.balancing_value(candidate.source, remaining) * remaining;
        let seconds_lost = context.cost.seconds() * leaving.len() as f64;
        let is_group_home = candidate.is_group_home;
        (seconds_gained > MIN_GAIN_RATIO * seconds_lost).then(|| MigrationBatch {
            connections: leaving.iter().map(|connection| connection.id).collect(),
            from: candidate.source.id,
            to: target.id,
            reason: if is_group_home { MigrationReason::GroupHome } else { MigrationReason::Imbalance },
            gain_ratio: seconds_gained / seconds_lost,
        })
    }

    /// The connections of a candidate that migrate. If the migration opens the group on the target, all of them have to
    /// migrate; none does if one of them may not. Otherwise only the connection with the highest load that fits.
    fn migrating_connections(&self, candidate: &Candidate<'_>) -> Option<Vec<PlacedConnection>> {
        let mut leaving: Vec<PlacedConnection> =
            candidate.members.iter().filter(|member| member.may_migrate).copied().collect();
        leaving.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.id.cmp(&b.id)));
        if candidate.adds_group_cost {
            return (leaving.len() == candidate.members.len()).then_some(leaving);
        }
        let (source, target) = (candidate.source, candidate.target);
        let spare = self.target_limit(target) - target.load;
        let balancing_load =
            (source.utilization() - target.utilization()) / (1.0 / source.capacity + 1.0 / target.capacity);
        let fits =
            |connection: &&PlacedConnection| connection.load <= spare && connection.load <= balancing_load;
        leaving.iter().find(fits).map(|connection| vec![*connection])
    }

    /// The load that migrates, including the cost of its group. If the target ranks higher for the group, the other
    /// instances will migrate their members as well and share the cost there; otherwise the group is split, and the
    /// target has its full cost in addition.
    fn load_shift(&self, candidate: &Candidate<'_>, leaving: &[PlacedConnection]) -> LoadShift {
        let load: f64 = leaving.iter().map(|connection| connection.load).sum();
        let empties_group = candidate.group != 0 && leaving.len() == candidate.members.len();
        let own_group_cost = GROUP_COST * self.mean_load / self.instances_per_group;
        let (saved, added) = match (candidate.adds_group_cost, candidate.is_group_home) {
            (false, _) => (if empties_group { own_group_cost } else { 0.0 }, 0.0),
            (true, true) => (own_group_cost, own_group_cost),
            (true, false) => (0.0, GROUP_COST * self.mean_load),
        };
        LoadShift { removed: load + saved, added: load + added }
    }

    /// Half the decrease of the sum of the servers' squared utilizations, weighted by capacity.
    fn utilization_gain(&self, candidate: &Candidate<'_>, shift: LoadShift) -> f64 {
        let LoadShift { removed, added } = shift;
        let source_utilization = self.likely_utilization(candidate.source);
        let target_utilization = self.likely_utilization(candidate.target);
        removed * source_utilization
            - 0.5 * removed * removed / candidate.source.capacity
            - added * target_utilization
            - 0.5 * added * added / candidate.target.capacity
    }

    /// Gain in service on a server for each unit of load that leaves it, which depends on the server's utilization.
    fn balancing_value(&self, source: &ServerLoad, remaining_seconds: f64) -> f64 {
        let lasting_ratio =
            ((remaining_seconds - SELF_BALANCING_SECONDS) / SELF_BALANCING_SECONDS).clamp(0.0, 1.0);
        if !self.has_comparable_loads() {
            return BALANCING_VALUE_UNKNOWN * lasting_ratio;
        }
        let utilization = self.likely_utilization(source) * self.instance_count;
        let queueing_ratio =
            ((utilization - QUEUEING_FROM_UTILIZATION) / QUEUEING_UTILIZATION_RANGE).clamp(0.0, 1.0);
        BALANCING_VALUE * lasting_ratio + BALANCING_VALUE_WHEN_QUEUEING * queueing_ratio
    }
}

impl Candidate<'_> {
    /// Whether the first connection of the group may migrate to the target now.
    fn may_open_group(&self, context: &PlanningContext<'_>) -> bool {
        if !self.target.is_cold {
            return true;
        }
        let age = context.now - self.target.started_at;
        let opening_time = (context.warm_up_time - FIRST_GROUP_AGE).max(0.1);
        let open_ratio = ((age - FIRST_GROUP_AGE) / opening_time).clamp(0.0, 1.0);
        pseudo_random_ratio(self.group, self.target.id, self.target.started_at) <= open_ratio
    }
}
