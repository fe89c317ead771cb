//! The platform's figures that capacity estimates start from.

use shorewharf_decisions::interface::{ServerEntry, Settings, WeightKind};

use crate::slow_start::SlowStart;

/// Servers are filled to this utilization: beyond it messages begin to be late.
pub(super) const TARGET_UTILIZATION: f64 = 0.86;
/// The shortest warm-up time that is divided by.
const MIN_WARM_UP_SECONDS: f64 = 1e-3;

/// What the settings say of servers and of the fleet. Times are seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct EstimatorSettings {
    /// Balancers that share the servers.
    pub instance_count: f64,
    pub slow_start: SlowStart,
    /// A cold server falls over when sent more than this multiple of its capacity.
    pub overload_ratio: f64,
    pub message_latency_objective: f64,
    /// Listed weights are capacities.
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

    /// This instance's even share of the load that a server of its listed size may have now.
    pub fn even_share(&self, entry: &ServerEntry, now: f64) -> f64 {
        let share = TARGET_UTILIZATION * entry.weight * self.slow_start.warm_up_ratio(entry, now)
            / self.instance_count;
        share.max(f64::MIN_POSITIVE)
    }
}
