//! The overload controller of one instance. It observes the decision module's events and actions and decides the level
//! of service, whether a failed attempt may be retried, and which connections migrate.
//!
//! The controller owns the level, the retry budget, the rebalancing, and the record of servers and connections that
//! they use. Module `observation` handles events and actions. All other decisions about a request are made by the
//! decision module.

mod observation;

use std::collections::BTreeMap;

use shorewharf_decisions::{RequestId, ServerId, Settings};

use crate::backoff_clients::BackoffClients;
use crate::instance_view::InstanceView;
use crate::levels::{Level, LevelChange, LevelController, LevelPolicy, LevelStats, SlidingWindow};
use crate::probe_limiter::ProbeLimiter;
use crate::rebalance::{FleetSettings, RebalanceStats, Rebalancer};
use crate::retry_budget::{RetryBudget, RetryStats};
pub use observation::HandledEvent;

/// Token of the controller's timer; the decision module's tokens are far smaller.
pub const TIMER_TOKEN: u64 = 1 << 62;

/// Selects the parts of the controller that take effect; the others only collect statistics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerOptions {
    /// Whether the policy of the current level applies.
    pub levels: bool,
    /// Whether retries need a permit of the retry budget.
    pub retry_budget: bool,
    /// Whether established connections are migrated to balance the load.
    pub rebalance: bool,
}

impl ControllerOptions {
    /// No part takes effect.
    pub const OFF: ControllerOptions =
        ControllerOptions { levels: false, retry_budget: false, rebalance: false };
    /// All parts take effect.
    pub const ALL: ControllerOptions =
        ControllerOptions { levels: true, retry_budget: true, rebalance: true };
}

/// An estimate of the whole fleet's demand and capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityEstimate {
    /// Load of all demand, in standard cores.
    pub demand: f64,
    /// Load that the fleet can take, in standard cores.
    pub capacity: f64,
    /// Relative uncertainty of the capacity.
    pub uncertainty: f64,
}

impl CapacityEstimate {
    /// Ratio of the demand to the largest capacity within the uncertainty; none if the capacity is 0.
    fn utilization(&self) -> Option<f64> {
        (self.capacity > 0.0).then(|| self.demand / (self.capacity * (1.0 + self.uncertainty)))
    }
}

/// Statistics of the controller, for operators and reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControllerStats {
    /// Statistics of the level of service.
    pub level: LevelStats,
    /// Statistics of the retry budget.
    pub retry: RetryStats,
    /// Statistics of migrations.
    pub rebalance: RebalanceStats,
    /// Number of health checks dropped because of the level.
    pub dropped_probes: u64,
    /// Number of requests rejected or failed, by the level at that time.
    pub rejected: BTreeMap<&'static str, u64>,
}

/// The overload controller of one instance.
#[derive(Debug)]
pub struct OverloadController {
    options: ControllerOptions,
    fleet: FleetSettings,
    message_latency_objective: f64,
    poll_interval: f64,
    view: InstanceView,
    recent_counts: SlidingWindow,
    levels: LevelController,
    retry_budget: RetryBudget,
    rebalancer: Rebalancer,
    capacity: Option<CapacityEstimate>,
    loop_lag: f64,
    /// When discovery first failed after the last endpoint list; none while it works.
    discovery_failed_at: Option<f64>,
    backoff_clients: BackoffClients,
    probe_limiter: ProbeLimiter,
    /// Changes of the level that have not been logged yet.
    unlogged_changes: Vec<LevelChange>,
    /// Number of requests rejected or failed, by the level at that time.
    rejected: BTreeMap<&'static str, u64>,
}

impl OverloadController {
    /// Creates a controller; `seed` determines all its random values.
    pub fn new(settings: &Settings, seed: u64, options: ControllerOptions) -> Self {
        let mut controller = OverloadController {
            options,
            fleet: FleetSettings { has_groups: false, instance_count: 1.0 },
            message_latency_objective: 0.0,
            poll_interval: 0.0,
            view: InstanceView::new(settings),
            recent_counts: SlidingWindow::default(),
            levels: LevelController::new(),
            retry_budget: RetryBudget::new(seed),
            rebalancer: Rebalancer::new(seed.rotate_left(17), settings.migration_cost),
            capacity: None,
            loop_lag: 0.0,
            discovery_failed_at: None,
            backoff_clients: BackoffClients::new(),
            probe_limiter: ProbeLimiter::default(),
            unlogged_changes: Vec::new(),
            rejected: BTreeMap::new(),
        };
        controller.update_settings(settings);
        controller
    }

    /// Applies new settings and keeps the learned state.
    pub fn update_settings(&mut self, settings: &Settings) {
        let latency_objectives = settings.classes.iter().map(|class| class.message_latency_objective);
        self.fleet = FleetSettings {
            has_groups: settings.has_groups,
            instance_count: settings.instance_count.max(1.0),
        };
        self.message_latency_objective = latency_objectives.fold(f64::INFINITY, f64::min);
        self.poll_interval = settings.poll_interval.max(0.1);
        self.backoff_clients.set_longest_wait(settings.max_retry_after);
        self.view.update_settings(settings);
    }

    /// Applies new options.
    pub fn set_options(&mut self, options: ControllerOptions) {
        self.options = options;
    }

    /// Returns the current level of service.
    pub fn level(&self) -> Level {
        self.levels.level()
    }

    /// Returns the policy that applies.
    pub fn policy(&self) -> LevelPolicy {
        if self.options.levels { self.level().policy() } else { Level::Normal.policy() }
    }

    /// Sets the current estimate of the fleet's capacity.
    pub fn set_capacity_estimate(&mut self, estimate: CapacityEstimate) {
        self.capacity = Some(estimate);
    }

    /// Sets the delay of the event loop, in seconds.
    pub fn set_loop_lag(&mut self, seconds: f64) {
        self.loop_lag = seconds;
    }

    /// Records that a connection was asked to migrate by other code than this controller.
    pub(crate) fn on_external_migration(&mut self, id: RequestId) {
        self.view.on_migration(id);
    }

    /// Returns the time before which a server is no migration target, for a snapshot.
    pub(crate) fn excluded_until(&self, server: ServerId) -> Option<f64> {
        self.view.excluded_until(server)
    }

    /// Restores a server's exclusion from a snapshot.
    pub(crate) fn restore_exclusion(&mut self, now: f64, server: ServerId, excluded_until: Option<f64>) {
        self.view.restore_exclusion(now, server, excluded_until);
    }

    /// Restores the mean load of a connection from a snapshot.
    pub(crate) fn restore_mean_load(&mut self, mean_load: f64) {
        self.view.restore_mean_load(mean_load);
    }

    /// Returns the number of established connections of this instance.
    pub fn established(&self) -> usize {
        self.view.established()
    }

    /// Returns the statistics since the start.
    pub fn stats(&self) -> ControllerStats {
        ControllerStats {
            level: self.levels.stats(),
            retry: self.retry_budget.stats(),
            rebalance: self.rebalancer.stats(),
            dropped_probes: self.probe_limiter.dropped(),
            rejected: self.rejected.clone(),
        }
    }
}
