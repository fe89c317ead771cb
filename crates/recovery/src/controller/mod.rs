//! The overload controller of one instance: observes the decision module's events and actions, and out of them decides
//! the level of service, whether a failed attempt may be retried, and which connections migrate.
//!
//! It owns the level, the retry budget, the rebalancing and the view of servers and connections that they go by; what
//! follows from events and actions is in `observation`. The decision module still decides everything about a request.

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

/// The token of the controller's timer; the decision module's tokens lie far below.
pub const TIMER_TOKEN: u64 = 1 << 62;

/// Which parts of the controller take effect; the others only count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerOptions {
    /// Levels put their policies in force.
    pub levels: bool,
    /// Retries need the budget's permit.
    pub retry_budget: bool,
    /// Established connections migrate towards balance.
    pub rebalance: bool,
}

impl ControllerOptions {
    /// Nothing takes effect.
    pub const OFF: ControllerOptions =
        ControllerOptions { levels: false, retry_budget: false, rebalance: false };
    /// Everything takes effect.
    pub const ALL: ControllerOptions =
        ControllerOptions { levels: true, retry_budget: true, rebalance: true };
}

/// Demand and capacity of the whole fleet, as an estimate has them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityEstimate {
    /// Load that is asked for, in standard cores.
    pub demand: f64,
    /// Load that the fleet can take.
    pub capacity: f64,
    /// The capacity may be off by this share of itself.
    pub uncertainty: f64,
}

impl CapacityEstimate {
    /// Demand over the most that the capacity may be; none without capacity.
    fn utilization(&self) -> Option<f64> {
        (self.capacity > 0.0).then(|| self.demand / (self.capacity * (1.0 + self.uncertainty)))
    }
}

/// Statistics of the controller, for operators and reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControllerStats {
    /// The level of service.
    pub level: LevelStats,
    /// The retry budget.
    pub retry: RetryStats,
    /// Migrations.
    pub rebalance: RebalanceStats,
    /// Health checks dropped because of the level.
    pub dropped_probes: u64,
    /// Requests rejected or failed, by the level that they met.
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
    /// Since when discovery has failed without a list.
    discovery_failed_at: Option<f64>,
    backoff_clients: BackoffClients,
    probe_limiter: ProbeLimiter,
    unlogged_changes: Vec<LevelChange>,
    /// Requests rejected or failed, by the level that they met.
    rejected: BTreeMap<&'static str, u64>,
}

impl OverloadController {
    /// Creates a controller; all its randomness comes from `seed`.
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

    /// Applies other settings; what was learned stays.
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

    /// Applies other options.
    pub fn set_options(&mut self, options: ControllerOptions) {
        self.options = options;
    }

    /// The current level of service.
    pub fn level(&self) -> Level {
        self.levels.level()
    }

    /// The policy in force.
    pub fn policy(&self) -> LevelPolicy {
        if self.options.levels { self.level().policy() } else { Level::Normal.policy() }
    }

    /// Sets the current estimate of the fleet's capacity.
    pub fn set_capacity_estimate(&mut self, estimate: CapacityEstimate) {
        self.capacity = Some(estimate);
    }

    /// Sets by how many seconds the event loop runs behind.
    pub fn set_loop_lag(&mut self, seconds: f64) {
        self.loop_lag = seconds;
    }

    /// A connection was asked to migrate by someone else.
    pub(crate) fn on_external_migration(&mut self, id: RequestId) {
        self.view.on_migration(id);
    }

    /// Until when a server is no migration target, for a snapshot.
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

    /// Number of established connections of this instance.
    pub fn established(&self) -> usize {
        self.view.established()
    }

    /// Statistics since the start.
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
