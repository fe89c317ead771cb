//! The platform's figures that capacity estimates start from.

use shorewharf_decisions::interface::{ServerEntry, Settings, WeightKind};

/// Servers are filled to this utilization: beyond it messages begin to be late.
pub(super) const TARGET_UTILIZATION: f64 = 0.86;

/// What the settings say of servers and of the fleet. Times are seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlatformLimits {
    /// Balancers that share the servers.
    pub instance_count: f64,
    cold_capacity_ratio: f64,
    pub warm_up_time: f64,
    /// A cold server falls over when sent more than this multiple of its capacity.
    pub overload_ratio: f64,
    pub message_latency_objective: f64,
    /// Listed weights are capacities.
    pub has_capacity_weights: bool,
}

impl PlatformLimits {
    pub fn new(settings: &Settings) -> Self {
        let latency_objectives = settings.classes.iter().map(|class| class.message_latency_objective);
        PlatformLimits {
            instance_count: settings.instance_count.max(1.0),
            cold_capacity_ratio: settings.cold_capacity_ratio.clamp(0.0, 1.0),
            warm_up_time: settings.warm_up_time.max(1e-3),
            overload_ratio: settings.overload_ratio,
            message_latency_objective: latency_objectives.fold(f64::INFINITY, f64::min),
            has_capacity_weights: settings.weight_kind == WeightKind::Capacity,
        }
    }

    /// The share of its warm capacity that a server has reached by now at the least.
    pub fn warm_up_ratio(&self, entry: &ServerEntry, now: f64) -> f64 {
        let age = now - entry.started_at;
        if entry.started_at <= 0.0 || age >= self.warm_up_time {
            return 1.0;
        }
        self.cold_capacity_ratio + (1.0 - self.cold_capacity_ratio) * (age / self.warm_up_time).max(0.0)
    }

    /// This instance's even share of the load that a server of its listed size may have now.
    pub fn even_share(&self, entry: &ServerEntry, now: f64) -> f64 {
        let share = TARGET_UTILIZATION * entry.weight * self.warm_up_ratio(entry, now) / self.instance_count;
        share.max(f64::MIN_POSITIVE)
    }
}
