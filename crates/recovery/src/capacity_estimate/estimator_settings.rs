//! The settings that the capacity estimates start from.

use shorewharf_decisions::interface::{ServerEntry, Settings, WeightKind};

use crate::slow_start::SlowStart;

/// Utilization up to which servers are filled: above it, messages begin to exceed their latency objective.
pub(super) const TARGET_UTILIZATION: f64 = 0.86;
/// Lower bound of the warm-up time, since estimates divide by it.
const MIN_WARM_UP_SECONDS: f64 = 1e-3;

/// The part of the settings that describes servers and the fleet. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct EstimatorSettings {
    /// Number of balancers that share the servers.
    pub instance_count: f64,
    pub slow_start: SlowStart,
    /// A cold server fails under a load of more than this multiple of its capacity.
    pub overload_ratio: f64,
    /// The shortest message latency objective of all classes.
    pub message_latency_objective: f64,
    /// Whether listed weights are capacities.
    pub has_capacity_weights: bool,
}

impl EstimatorSettings {
    pub fn new(settings: &Settings) -> Self {
        let latency_objectives = settings.classes.iter().map(|class| class.message_latency_objective);
        EstimatorSettings {
            instance_count: settings.instance_count.max(1.0),
            slow_start: SlowStart::new(settings, MIN_WARM_UP_SECONDS),
            overload_ratio: settings.overload_ratio,
            message_latency_objective: latency_objectives.fold(f64::INFINITY, f64::min),
            has_capacity_weights: settings.weight_kind == WeightKind::Capacity,
        }
    }

    /// Returns this instance's even share of the load that a server may have now by its listed weight.
    pub fn even_share(&self, entry: &ServerEntry, now: f64) -> f64 {
        let share = TARGET_UTILIZATION * entry.weight * self.slow_start.warm_up_ratio(entry, now)
            / self.instance_count;
        share.max(f64::MIN_POSITIVE)
    }
}
