//! Slow rebalancing: when established connections migrate, how fast, and when they don't.
//!
//! Servers that come back stay empty for as long as connections last, while those that held out are crowded. So
//! connections migrate there, each instance its own, at a pace that the fleet can take. Migrations pause at any failure
//! and go on once all has been well for a while; and between two thresholds of imbalance nothing changes, so that
//! chance moves nobody to and fro.

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

/// Migrations begin at this imbalance of the instance's own part (largest utilization over the mean one).
const BEGIN_IMBALANCE: f64 = 1.15;
/// Migrations end below this imbalance.
const END_IMBALANCE: f64 = 1.0 + BALANCE_TOLERANCE;
/// Migrations begin this long after the imbalance was first seen, in seconds, drawn between once and twice this:
/// clients that come back by themselves need none, and instances must not begin at once.
const SETTLE_SECONDS: f64 = 2.0;
/// After a failure nothing migrates for so long, in seconds, drawn between 0.75 and 1.25 times this.
const PAUSE_SECONDS: f64 = 4.0;
/// Clients that were asked to migrate are expected for so long, in seconds.
const ARRIVAL_TIMEOUT_SECONDS: f64 = 3.0;
/// Arrivals after which it is checked whether most of them landed where they were to.
const ARRIVALS_PER_CHECK: u32 = 12;
/// If they did not, nothing migrates for so long, in seconds.
const MISSED_TARGET_PAUSE_SECONDS: f64 = 30.0;
/// Weight of a new sample in the learned costs.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The longest time between two steps that is made up for, in seconds.
const MAX_STEP_SECONDS: f64 = 1.0;

/// What rebalancing is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    /// The instance's own part is balanced.
    #[default]
    Balanced,
    /// It is not; migrations begin at a time.
    Settling { until: f64 },
    /// Connections migrate.
    Migrating,
}

/// Statistics of rebalancing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RebalanceStats {
    /// The largest utilization of this instance's part over the mean one, at the last step.
    pub imbalance: f64,
    /// Connections migrate, or would but for a pause.
    pub is_active: bool,
    /// Migrations by reason.
    pub migrations: BTreeMap<&'static str, u64>,
    /// Where their clients arrived: `target`, `elsewhere`, `back` at the server they left, `away` at another instance.
    pub arrivals: BTreeMap<&'static str, u64>,
    /// Pauses by cause.
    pub pauses: BTreeMap<&'static str, u64>,
    /// Clients on their way.
    pub expected: usize,
    /// What a migration is taken to cost.
    pub cost: MigrationCost,
}

/// A migration to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Migration {
    /// The connection.
    pub request: RequestId,
    /// The server that it goes to.
    pub to: ServerId,
    /// Why it migrates.
    pub reason: MigrationReason,
}

/// The unit that is being migrated.
#[derive(Debug)]
struct CurrentBatch {
    /// Connections that are still to go.
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

/// Arrivals since the last check.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalCheck {
    arrivals: u32,
    on_target: u32,
}

/// Totals when migrations last began, for the log.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    migrations: u64,
    on_target: u64,
}

/// Inputs of a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepSettings {
    /// Pace of migrations over the usual one; 0 for none.
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
    /// Clients on their way, by key.
    expected: BTreeMap<u64, ExpectedArrival>,
    arrival_check: ArrivalCheck,
    /// Mean age of connections that ended by themselves, in seconds.
    mean_lifetime: f64,
    totals_at_start: Totals,
    log_lines: Vec<String>,
    stats: RebalanceStats,
}

impl Rebalancer {
    /// Creates a rebalancer. `seed` decides when migrations begin; `operator_charge` is what the operator charges for a
    /// migration, over the value of a whole connection.
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

    /// Something has failed: nothing migrates for a while.
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

    /// A server takes no more connections: what was to migrate there stays.
    pub(crate) fn on_server_lost(&mut self, server: ServerId) {
        if self.current.as_ref().is_some_and(|batch| batch.to == server || batch.from == server) {
            self.current = None;
        }
        self.pacer.remove_target(server);
        self.expected.retain(|_, arrival| arrival.to != server);
    }

    /// An attempt was sent to a server for whatever reason: it counts against what a cold server takes.
    pub(crate) fn on_attempt(&mut self, key: u64, server: ServerId) {
        let is_expected = self.expected.get(&key).is_some_and(|arrival| arrival.to == server);
        if !is_expected {
            self.pacer.charge_target(server);
        }
    }

    /// A client sends a request; it may have been asked to migrate.
    pub(crate) fn on_request(&mut self, now: f64, key: u64) {
        let returning = self.expected.get_mut(&key).filter(|arrival| !arrival.has_returned);
        let Some(arrival) = returning else { return };
        let reconnect_seconds = now - arrival.migrated_at;
        (arrival.has_returned, arrival.expected_until) = (true, now + ARRIVAL_TIMEOUT_SECONDS);
        let cost = &mut self.stats.cost;
        cost.reconnect_seconds += SAMPLE_WEIGHT * (reconnect_seconds - cost.reconnect_seconds);
    }

    /// A connection was established.
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

    /// A connection has ended by itself.
    pub(crate) fn on_connection_ended(&mut self, now: f64, ended: &EndedAttempt) {
        let age = now - ended.connection.since;
        self.mean_lifetime += SAMPLE_WEIGHT * (age - self.mean_lifetime);
    }

    /// Returns the migrations that are to be made now.
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

    /// Pauses where most of the last arrivals landed elsewhere.
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

    /// Begins a migration; false if the connection is no longer at its source.
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

    /// The unit that migrates next; none where nothing is worth its cost or no target takes a connection now.
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

    /// Removes and returns the lines for the log since the last call.
    pub fn drain_log_lines(&mut self) -> impl Iterator<Item = String> {
        self.log_lines.drain(..)
    }

    /// Statistics since the start.
    pub fn stats(&self) -> RebalanceStats {
        let is_active = self.state == State::Migrating;
        RebalanceStats { is_active, expected: self.expected.len(), ..self.stats.clone() }
    }
}
