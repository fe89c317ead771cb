//! The choice of the next migration: what it gains, what it costs, and which connections migrate together.

use shorewharf_decisions::hashing::{pseudo_random_ratio, rendezvous_rank};
use shorewharf_decisions::{RequestId, ServerId};

use super::cluster_snapshot::{ClusterSnapshot, GROUP_COST, LEVEL_TOLERANCE, PlacedConnection, ServerLoad};

/// Groups are opened on a cold server one after the other, in an order that all instances share, from this age on, in
/// seconds, until it is warm: a group that all migrate at the same time is paid for at both ends for the shortest time.
const FIRST_GROUP_AGE: f64 = 1.0;
/// Sources that are considered, the fullest first.
const MAX_SOURCES: usize = 3;
/// Targets that are considered, the emptiest first.
const MAX_TARGETS: usize = 12;
/// Share of a connection's messages that a server at twice the mean utilization loses while there is capacity for all.
const LEVELLING_VALUE: f64 = 0.05;
/// The same where messages already wait.
const LEVELLING_VALUE_WHEN_FULL: f64 = 0.6;
/// Utilization from which messages wait, and the range over which that grows to its full value.
const FULL_FROM_UTILIZATION: f64 = 0.55;
const FULL_UTILIZATION_RANGE: f64 = 0.35;
/// Without comparable loads nobody knows how full a server is.
const LEVELLING_VALUE_UNKNOWN: f64 = 0.1;
/// Connections with less time left than this, in seconds, level by themselves as they come and go.
const SELF_LEVELLING_SECONDS: f64 = 30.0;
/// What a migration gains has to be so many times its cost.
const MIN_GAIN_RATIO: f64 = 1.5;

/// What a migration costs, as it was learned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationCost {
    /// Seconds from the migration to the client's return.
    pub reconnect_seconds: f64,
    /// Seconds of a set-up.
    pub setup_seconds: f64,
    /// Seconds that a connection has left.
    pub remaining_seconds: f64,
    /// What the operator charges for a migration, over the value of a whole connection.
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
    /// Seconds of a client's service that its migration costs.
    pub fn seconds(&self) -> f64 {
        self.reconnect_seconds + self.setup_seconds + self.operator_charge * self.remaining_seconds
    }
}

/// Why a connection migrates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MigrationReason {
    /// Its group's own server is back, the one that all instances rank first.
    GroupHome,
    /// Its server is fuller than the others.
    Imbalance,
}

impl MigrationReason {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            MigrationReason::GroupHome => "home",
            MigrationReason::Imbalance => "level",
        }
    }
}

/// Connections that migrate together.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MigrationUnit {
    /// In the order in which they go, the heaviest first.
    pub connections: Vec<RequestId>,
    pub from: ServerId,
    pub to: ServerId,
    pub reason: MigrationReason,
    /// What it gains over what it costs.
    pub gain_ratio: f64,
}

/// Inputs of a choice beside the snapshot.
pub(super) struct PlanningContext<'a> {
    pub now: f64,
    pub warm_up_time: f64,
    pub cost: MigrationCost,
    /// Whether a server's pace lets it take a migration now.
    pub accepts: &'a dyn Fn(ServerId) -> bool,
}

/// A group's connections on a source, and a target that they might migrate to.
struct Candidate<'a> {
    source: &'a ServerLoad,
    target: &'a ServerLoad,
    /// 0 for connections without a group.
    group: u64,
    members: &'a [PlacedConnection],
    /// The group costs nothing more at the target: it is there already, or there is none.
    is_paid_at_target: bool,
    /// The target ranks higher for the group than the source, at all instances.
    is_group_home: bool,
}

/// The load that a migration takes from its source, and that it adds to its target.
#[derive(Clone, Copy)]
struct LoadShift {
    removed: f64,
    added: f64,
}

impl ClusterSnapshot {
    /// The migration that gains most for its cost, if any gains enough.
    pub fn best_migration(&self, context: &PlanningContext<'_>) -> Option<MigrationUnit> {
        let targets = self.targets(context);
        let mut best: Option<MigrationUnit> = None;
        for source in self.sources() {
            for (group, members) in &self.connections[source] {
                for target in &targets {
                    let candidate = self.candidate(source, *target, *group, members);
                    let Some(unit) = self.plan(context, &candidate) else { continue };
                    if best.as_ref().is_none_or(|best| unit.gain_ratio > best.gain_ratio) {
                        best = Some(unit);
                    }
                }
            }
        }
        best
    }

    /// Indices of the servers that connections should leave, the fullest first.
    fn sources(&self) -> Vec<usize> {
        let mut sources: Vec<usize> = (0..self.servers.len()).collect();
        let level = self.mean_utilization * (1.0 + LEVEL_TOLERANCE);
        sources.retain(|index| self.servers[*index].utilization() > level);
        sources.sort_by(|a, b| self.servers[*b].utilization().total_cmp(&self.servers[*a].utilization()));
        sources.truncate(MAX_SOURCES);
        sources
    }

    /// Indices of the servers that may take connections, the emptiest first.
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
        let is_paid_at_target = group == 0 || self.connections[target].contains_key(&group);
        let (source, target) = (&self.servers[source], &self.servers[target]);
        let is_group_home = group != 0
            && rendezvous_rank(group, target.id, target.weight)
                < rendezvous_rank(group, source.id, source.weight);
        Candidate { source, target, group, members, is_paid_at_target, is_group_home }
    }

    /// Plans a candidate, if it is possible and gains enough.
    fn plan(&self, context: &PlanningContext<'_>, candidate: &Candidate<'_>) -> Option<MigrationUnit> {
        let target = candidate.target;
        if !candidate.is_paid_at_target && !candidate.is_group_open(context) {
            return None;
        }
        let leaving = self.migrating_connections(candidate)?;
        let shift = self.load_shift(candidate, &leaving);
        if target.load + shift.added > self.target_limit(target) {
            return None;
        }
        let remaining = context.cost.remaining_seconds;
        let gain = self.utilization_gain(candidate, shift) / self.mean_utilization / self.mean_load;
        let seconds_gained = gain * self.levelling_value(candidate.source, remaining) * remaining;
        let seconds_lost = context.cost.seconds() * leaving.len() as f64;
        let is_group_home = candidate.is_group_home;
        (seconds_gained > MIN_GAIN_RATIO * seconds_lost).then(|| MigrationUnit {
            connections: leaving.iter().map(|connection| connection.id).collect(),
            from: candidate.source.id,
            to: target.id,
            reason: if is_group_home { MigrationReason::GroupHome } else { MigrationReason::Imbalance },
            gain_ratio: seconds_gained / seconds_lost,
        })
    }

    /// Which of a group's connections migrate: all of them, or the heaviest that fits if the group stays on both
    /// servers.
    fn migrating_connections(&self, candidate: &Candidate<'_>) -> Option<Vec<PlacedConnection>> {
        let mut leaving: Vec<PlacedConnection> =
            candidate.members.iter().filter(|member| member.may_migrate).copied().collect();
        leaving.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.id.cmp(&b.id)));
        if !candidate.is_paid_at_target {
            return (leaving.len() == candidate.members.len()).then_some(leaving);
        }
        let (source, target) = (candidate.source, candidate.target);
        let spare = self.target_limit(target) - target.load;
        let levelling_load =
            (source.utilization() - target.utilization()) / (1.0 / source.capacity + 1.0 / target.capacity);
        let fits =
            |connection: &&PlacedConnection| connection.load <= spare && connection.load <= levelling_load;
        leaving.iter().find(fits).map(|connection| vec![*connection])
    }

    /// The load that migrates, with the cost of its group. A group that goes home is followed by the other instances'
    /// part of it; another one is split from theirs.
    fn load_shift(&self, candidate: &Candidate<'_>, leaving: &[PlacedConnection]) -> LoadShift {
        let load: f64 = leaving.iter().map(|connection| connection.load).sum();
        let empties_group = candidate.group != 0 && leaving.len() == candidate.members.len();
        let own_group_cost = GROUP_COST * self.mean_load / self.group_holders;
        let (saved, added) = match (candidate.is_paid_at_target, candidate.is_group_home) {
            (true, _) => (if empties_group { own_group_cost } else { 0.0 }, 0.0),
            (false, true) => (own_group_cost, own_group_cost),
            (false, false) => (0.0, GROUP_COST * self.mean_load),
        };
        LoadShift { removed: load + saved, added: load + added }
    }

    /// How much the sum of squared utilizations falls, in halves.
    fn utilization_gain(&self, candidate: &Candidate<'_>, shift: LoadShift) -> f64 {
        let LoadShift { removed, added } = shift;
        let source_utilization = self.likely_utilization(candidate.source);
        let target_utilization = self.likely_utilization(candidate.target);
        removed * source_utilization
            - 0.5 * removed * removed / candidate.source.capacity
            - added * target_utilization
            - 0.5 * added * added / candidate.target.capacity
    }

    /// What a client's service on this server gains for each unit of load that leaves it, by how full it is.
    fn levelling_value(&self, source: &ServerLoad, remaining_seconds: f64) -> f64 {
        let lasting_ratio =
            ((remaining_seconds - SELF_LEVELLING_SECONDS) / SELF_LEVELLING_SECONDS).clamp(0.0, 1.0);
        if !self.has_comparable_loads() {
            return LEVELLING_VALUE_UNKNOWN * lasting_ratio;
        }
        let utilization = self.likely_utilization(source) * self.instance_count;
        let fullness = ((utilization - FULL_FROM_UTILIZATION) / FULL_UTILIZATION_RANGE).clamp(0.0, 1.0);
        LEVELLING_VALUE * lasting_ratio + LEVELLING_VALUE_WHEN_FULL * fullness
    }
}

impl Candidate<'_> {
    /// Whether the group may be opened on the target by now.
    fn is_group_open(&self, context: &PlanningContext<'_>) -> bool {
        if !self.target.is_cold {
            return true;
        }
        let age = context.now - self.target.started_at;
        let opening_time = (context.warm_up_time - FIRST_GROUP_AGE).max(0.1);
        let open_ratio = ((age - FIRST_GROUP_AGE) / opening_time).clamp(0.0, 1.0);
        pseudo_random_ratio(self.group, self.target.id, self.target.started_at) <= open_ratio
    }
}
