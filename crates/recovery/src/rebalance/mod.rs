//! Gradual rebalancing of established connections after servers have come back.
//!
//! Servers that come back would stay nearly empty for as long as connections last, while the remaining servers have a
//! high load. Each instance therefore migrates some of its own connections, at a rate that the fleet can sustain. Any
//! failure pauses migrations for a few seconds. Migrations begin at a higher imbalance than that at which they end, so
//! that random variation does not move connections back and forth.

mod load_distribution;
mod pacing;
mod plan;

use std::collections::{BTreeMap, VecDeque};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use shorewharf_decisions::{RequestId, ServerId};

pub(crate) use load_distribution::FleetSettings;
use load_distribution::{BALANCE_TOLERANCE, ExpectedArrival, LoadDistribution};
use pacing::{MigrationPacer, RefillPeriod};
use plan::{MigrationBatch, PlanningContext};
pub use plan::{MigrationCost, MigrationReason};

use crate::instance_view::{EndedAttempt, InstanceView, Placement};
use crate::random::random_unit;

/// Imbalance of this instance's load (ratio of the largest to the mean utilization) above which migrations begin.
const BEGIN_IMBALANCE: f64 = 1.15;
/// Imbalance down to which connections are migrated.
const END_IMBALANCE: f64 = 1.0 + BALANCE_TOLERANCE;
/// Delay from the first observation of an imbalance to the first migration, in seconds; a random value between once
/// and twice this. Clients that reconnect by themselves may remove the imbalance, and the instances must not all begin
/// at the same time.
const SETTLE_SECONDS: f64 = 2.0;
/// Pause of migrations after a failure, in seconds; a random value between 0.75 and 1.25 times this.
const PAUSE_SECONDS: f64 = 4.0;
/// Time within which a migrating client is expected to send its request, and then to be connected, in seconds.
const ARRIVAL_TIMEOUT_SECONDS: f64 = 3.0;
/// Number of arrivals after which the share of those that reached their target is checked.
const ARRIVALS_PER_CHECK: u32 = 12;
/// Pause of migrations, in seconds, if most of the last [`ARRIVALS_PER_CHECK`] arrivals missed their target.
const MISSED_TARGET_PAUSE_SECONDS: f64 = 30.0;
/// Weight of a new sample in the learned costs.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Upper bound of the time since the last step for which tokens are added, in seconds.
const MAX_STEP_SECONDS: f64 = 1.0;

/// State of the rebalancing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    /// This instance's load is balanced.
    #[default]
    Balanced,
    /// The load is not balanced; migrations begin at time `until`.
    Settling { until: f64 },
    /// Connections are being migrated, except during pauses.
    Migrating,
}

/// Statistics of rebalancing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RebalanceStats {
    /// Ratio of the largest to the mean utilization, counting this instance's load only, at the last step or migration.
    pub imbalance: f64,
    /// Whether connections are being migrated; also true during a pause.
    pub is_active: bool,
    /// Number of migrations, by reason.
    pub migrations: BTreeMap<&'static str, u64>,
    /// Number of migrated clients, by the server where they arrived: `target`, `back` (the server that they left),
    /// `elsewhere` (any other server), or `away` (at another instance, since they did not arrive here in time).
    pub arrivals: BTreeMap<&'static str, u64>,
    /// Number of pauses, by cause.
    pub pauses: BTreeMap<&'static str, u64>,
    /// Number of migrating clients that have not arrived yet.
    pub expected: usize,
    /// The learned cost of a migration.
    pub cost: MigrationCost,
}

/// A migration to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Migration {
    /// The connection that migrates.
    pub request: RequestId,
    /// The target server.
    pub to: ServerId,
    /// Why the connection migrates.
    pub reason: MigrationReason,
}

/// The batch that is being migrated.
#[derive(Debug)]
struct CurrentBatch {
    /// Connections that have not been migrated yet.
    remaining: VecDeque<RequestId>,
    from: ServerId,
    to: ServerId,
    reason: MigrationReason,
}

impl From<MigrationBatch> for CurrentBatch {
    fn from(batch: MigrationBatch) -> Self {
        let MigrationBatch { connections, from, to, reason, .. } = batch;
        CurrentBatch { remaining: connections.into(), from, to, reason }
    }
}

/// Arrivals of migrated clients since the last check.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalCheck {
    arrivals: u32,
    on_target: u32,
}

/// Totals at the time when migrations last began, for the log.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    migrations: u64,
    on_target: u64,
}

/// Inputs of a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepSettings {
    /// Rate of migrations relative to the usual rate; 0 stops migrations.
    pub pace: f64,
    pub fleet: FleetSettings,
}

/// Rebalances the connections of one instance.
#[derive(Debug)]
pub struct Rebalancer {
    rng: Pcg64Mcg,
    state: State,
    paused_until: f64,
    current: Option<CurrentBatch>,
    pacer: MigrationPacer,
    stepped_at: Option<f64>,
    /// Migrating clients that have not arrived yet, by key.
    expected: BTreeMap<u64, ExpectedArrival>,
    arrival_check: ArrivalCheck,
    /// Mean age of connections when they ended without a failure or migration, in seconds.
    mean_lifetime: f64,
    totals_at_start: Totals,
    log_lines: Vec<String>,
    stats: RebalanceStats,
}

impl Rebalancer {
    /// Creates a rebalancer. `seed` determines all random delays; `operator_charge` is the operator's charge for a
    /// migration, as a share of the value of a whole connection.
    pub fn new(seed: u64, operator_charge: f64) -> Self {
        let cost = MigrationCost { operator_charge, ..MigrationCost::default() };
        Rebalancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: State::Balanced,
            paused_until: f64::NEG_INFINITY,
            current: None,
            pacer: MigrationPacer::default(),
            stepped_at: None,
            expected: BTreeMap::new(),
            arrival_check: ArrivalCheck::default(),
            mean_lifetime: 0.0,
            totals_at_start: Totals::default(),
            log_lines: Vec::new(),
            stats: RebalanceStats { cost, ..RebalanceStats::default() },
        }
    }

    /// Pauses migrations for a few seconds because of a failure or change in the fleet.
    pub fn pause(&mut self, now: f64, cause: &'static str) {
        let until = now + PAUSE_SECONDS * (0.75 + 0.5 * random_unit(&mut self.rng));
        if now >= self.paused_until {
            self.count_pause(cause);
        }
        self.paused_until = self.paused_until.max(until);
    }

    fn count_pause(&mut self, cause: &'static str) {
        *self.stats.pauses.entry(cause).or_default() += 1;
    }

    /// Handles the loss of a server: drops the current batch if it involves the server, and no longer expects clients
    /// there.
    pub(crate) fn on_server_lost(&mut self, server: ServerId) {
        if self.current.as_ref().is_some_and(|batch| batch.to == server || batch.from == server) {
            self.current = None;
        }
        self.pacer.remove_target(server);
        self.expected.retain(|_, arrival| arrival.to != server);
    }

    /// Records an attempt that was sent to a server. Unless it belongs to an expected migration, it takes a token from
    /// the server's bucket.
    pub(crate) fn on_attempt(&mut self, key: u64, server: ServerId) {
        let is_expected = self.expected.get(&key).is_some_and(|arrival| arrival.to == server);
        if !is_expected {
            self.pacer.charge_target(server);
        }
    }

    /// Records a client's request; the client may have been asked to migrate.
    pub(crate) fn on_request(&mut self, now: f64, key: u64) {
        let returning = self.expected.get_mut(&key).filter(|arrival| !arrival.has_returned);
        let Some(arrival) = returning else { return };
        let reconnect_seconds = now - arrival.migrated_at;
        (arrival.has_returned, arrival.expected_until) = (true, now + ARRIVAL_TIMEOUT_SECONDS);
        let cost = &mut self.stats.cost;
        cost.reconnect_seconds += SAMPLE_WEIGHT * (reconnect_seconds - cost.reconnect_seconds);
    }

    /// Records a connection that was established, and counts it if its client was migrating.
    pub(crate) fn on_established(&mut self, key: u64, server: ServerId, setup_seconds: f64) {
        let cost = &mut self.stats.cost;
        cost.setup_seconds += SAMPLE_WEIGHT * (setup_seconds - cost.setup_seconds);
        let Some(arrival) = self.expected.remove(&key) else { return };
        let arrival_place = match server {
            server if server == arrival.to => "target",
            server if server == arrival.from => "back",
            _ => "elsewhere",
        };
        *self.stats.arrivals.entry(arrival_place).or_default() += 1;
        self.arrival_check.arrivals += 1;
        self.arrival_check.on_target += u32::from(server == arrival.to);
    }

    /// Records a connection that ended without a failure or migration.
    pub(crate) fn on_connection_ended(&mut self, now: f64, ended: &EndedAttempt) {
        let age = now - ended.connection.since;
        self.mean_lifetime += SAMPLE_WEIGHT * (age - self.mean_lifetime);
    }

    /// Updates the state and returns the migrations to be made now. Called periodically.
    pub(crate) fn step(
        &mut self,
        now: f64,
        settings: &StepSettings,
        view: &mut InstanceView,
    ) -> Vec<Migration> {
        let elapsed = (now - self.stepped_at.replace(now).unwrap_or(now)).clamp(0.0, MAX_STEP_SECONDS);
        self.expire_arrivals(now);
        let distribution = self.load_distribution(now, settings, view);
        self.stats.imbalance = distribution.imbalance();
        self.stats.cost.remaining_seconds = distribution.mean_age.max(self.mean_lifetime);
        let period = RefillPeriod { elapsed, pace: settings.pace };
        self.pacer.refill(period, view, &distribution, &mut self.rng);
        self.update_state(now);
        if self.state != State::Migrating || now < self.paused_until || settings.pace <= 0.0 {
            self.current = None;
            return Vec::new();
        }
        self.check_arrivals(now);
        self.migrate(now, settings, view, distribution)
    }

    fn load_distribution(&self, now: f64, settings: &StepSettings, view: &InstanceView) -> LoadDistribution {
        LoadDistribution::new(now, view, settings.fleet, self.expected.values().copied())
    }

    fn expire_arrivals(&mut self, now: f64) {
        let before = self.expected.len();
        self.expected.retain(|_, arrival| now < arrival.expected_until);
        let expired = before - self.expected.len();
        if expired > 0 {
            *self.stats.arrivals.entry("away").or_default() += expired as u64;
        }
    }

    fn update_state(&mut self, now: f64) {
        let before = self.state;
        let imbalance = self.stats.imbalance;
        self.state = match before {
            State::Balanced if imbalance > BEGIN_IMBALANCE => {
                State::Settling { until: now + SETTLE_SECONDS * (1.0 + random_unit(&mut self.rng)) }
            }
            State::Settling { .. } if imbalance <= BEGIN_IMBALANCE => State::Balanced,
            State::Settling { until } if now >= until => State::Migrating,
            State::Migrating if imbalance <= END_IMBALANCE && self.current.is_none() => State::Balanced,
            state => state,
        };
        self.log_transition(before);
    }

    fn log_transition(&mut self, before: State) {
        let migrations = self.stats.migrations.values().sum();
        let on_target = self.stats.arrivals.get("target").copied().unwrap_or(0);
        let imbalance = self.stats.imbalance;
        match (before == State::Migrating, self.state == State::Migrating) {
            (false, true) => {
                self.totals_at_start = Totals { migrations, on_target };
                self.log_lines.push(format!("rebalance=begins imbalance={imbalance:.2}"));
            }
            (true, false) => {
                let moves = migrations - self.totals_at_start.migrations;
                let landed = on_target - self.totals_at_start.on_target;
                let line = format!("rebalance=ends imbalance={imbalance:.2} moves={moves} landed={landed}");
                self.log_lines.push(line);
            }
            _ => {}
        }
    }

    /// Pauses migrations if most of the last arrivals missed their target.
    fn check_arrivals(&mut self, now: f64) {
        let ArrivalCheck { arrivals, on_target } = self.arrival_check;
        if arrivals < ARRIVALS_PER_CHECK {
            return;
        }
        if on_target * 2 < arrivals {
            self.paused_until = now + MISSED_TARGET_PAUSE_SECONDS;
            self.count_pause("in-vain");
        }
        self.arrival_check = ArrivalCheck::default();
    }

    fn migrate(
        &mut self,
        now: f64,
        settings: &StepSettings,
        view: &mut InstanceView,
        mut distribution: LoadDistribution,
    ) -> Vec<Migration> {
        let mut migrations = Vec::new();
        while self.pacer.has_token() {
            if self.current.as_ref().is_none_or(|batch| batch.remaining.is_empty()) {
                self.current = self.choose_batch(now, view, &distribution);
            }
            let Some(batch) = self.current.as_mut().filter(|batch| self.pacer.accepts(batch.to)) else {
                break;
            };
            let Some(request) = batch.remaining.pop_front() else { continue };
            let (from, migration) = (batch.from, Migration { request, to: batch.to, reason: batch.reason });
            if !self.begin_migration(now, from, migration, view) {
                continue;
            }
            migrations.push(migration);
            distribution = self.load_distribution(now, settings, view);
            self.stats.imbalance = distribution.imbalance();
        }
        migrations
    }

    /// Begins a migration; false if the connection is no longer established at its source or is already migrating.
    fn begin_migration(
        &mut self,
        now: f64,
        from: ServerId,
        migration: Migration,
        view: &mut InstanceView,
    ) -> bool {
        let mean_load = view.mean_load();
        let Some(connection) = view.connections.get_mut(&migration.request) else { return false };
        if connection.placement != Placement::Established(from) || connection.is_migrating {
            return false;
        }
        connection.is_migrating = true;
        let arrival = ExpectedArrival {
            to: migration.to,
            from,
            load: connection.expected_load(now, mean_load),
            expected_until: now + ARRIVAL_TIMEOUT_SECONDS,
            migrated_at: now,
            has_returned: false,
        };
        self.expected.insert(connection.key, arrival);
        self.pacer.take_tokens(migration.to);
        *self.stats.migrations.entry(migration.reason.name()).or_default() += 1;
        true
    }

    /// Chooses the next batch; none if no migration is worth its cost or no target accepts a connection now.
    fn choose_batch(
        &self,
        now: f64,
        view: &InstanceView,
        distribution: &LoadDistribution,
    ) -> Option<CurrentBatch> {
        if self.stats.imbalance <= END_IMBALANCE {
            return None;
        }
        let accepts = |server| self.pacer.accepts(server);
        let (warm_up_time, cost) = (view.warm_up_time(), self.stats.cost);
        let context = PlanningContext { now, warm_up_time, cost, accepts: &accepts };
        distribution.best_migration(&context).map(CurrentBatch::from)
    }

    /// Removes and returns the log lines written since the last call.
    pub fn drain_log_lines(&mut self) -> impl Iterator<Item = String> {
        self.log_lines.drain(..)
    }

    /// Returns the statistics since the start.
    pub fn stats(&self) -> RebalanceStats {
        let is_active = self.state == State::Migrating;
        RebalanceStats { is_active, expected: self.expected.len(), ..self.stats.clone() }
    }
}
