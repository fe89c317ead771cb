//! How fast connections migrate: a token bucket for the instance, and one for each server as a target, so that a cold
//! server is not flooded by all instances at once.

use std::collections::BTreeMap;

use rand_pcg::Pcg64Mcg;
use shorewharf_decisions::ServerId;

use super::load_distribution::{LoadDistribution, ServerLoad};
use crate::instance_view::InstanceView;
use crate::random::random_unit;

/// Part of the instance's established connections that migrates in a second.
const CONNECTIONS_PER_SECOND_RATIO: f64 = 0.02;
/// Migrations a second in any case.
const MIN_MIGRATIONS_PER_SECOND: f64 = 0.2;
/// Migrations that may follow each other at once.
const BURST: f64 = 2.0;
/// Part of the connections that fill a cold server which all instances together send it within its warm-up time. A
/// cold server falls over at three times the pace that fills it.
const COLD_FILL_RATIO: f64 = 0.5;
/// A warm server is filled this many times as fast as a cold one.
const WARM_FILL_FACTOR: f64 = 3.0;

/// Migrations that a server may take now.
#[derive(Clone, Copy, Debug)]
struct TargetBucket {
    tokens: f64,
    /// Start time of the server's process that the tokens belong to.
    started_at: f64,
}

/// The time that buckets are refilled for.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefillPeriod {
    /// Seconds since the last refill.
    pub elapsed: f64,
    /// The instance's rate over the usual one.
    pub pace: f64,
}

/// The token buckets of one instance.
#[derive(Debug, Default)]
pub(super) struct MigrationPacer {
    tokens: f64,
    targets: BTreeMap<ServerId, TargetBucket>,
}

impl MigrationPacer {
    /// Refills the buckets.
    pub fn refill(
        &mut self,
        period: RefillPeriod,
        view: &InstanceView,
        distribution: &LoadDistribution,
        rng: &mut Pcg64Mcg,
    ) {
        let RefillPeriod { elapsed, pace } = period;
        let rate = MIN_MIGRATIONS_PER_SECOND + CONNECTIONS_PER_SECOND_RATIO * distribution.established as f64;
        self.tokens = (self.tokens + rate * pace * elapsed).min(BURST.max(rate));
        let total_weight: f64 = distribution.servers.iter().map(|server| server.weight).sum();
        for server in &distribution.servers {
            let rate = target_rate(server, view, distribution, total_weight);
            // The first token comes at a random time, so that all instances' first migrations don't come together.
            let initial_debt = random_unit(rng);
            let new_bucket = TargetBucket { tokens: -initial_debt, started_at: server.started_at };
            let bucket = self.targets.entry(server.id).or_insert(new_bucket);
            if bucket.started_at != server.started_at {
                *bucket = new_bucket;
            }
            bucket.tokens = (bucket.tokens + rate * elapsed).min(1.0_f64.max(rate));
        }
        self.targets.retain(|id, _| view.servers.contains_key(id));
    }

    /// Whether the instance may migrate a connection now.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Whether a server may take a migration now.
    pub fn accepts(&self, target: ServerId) -> bool {
        self.targets.get(&target).is_some_and(|bucket| bucket.tokens >= 1.0)
    }

    /// Takes the tokens of one migration.
    pub fn take_tokens(&mut self, target: ServerId) {
        self.charge_target(target);
        self.tokens -= 1.0;
    }

    /// An attempt goes to a server for another reason: it counts against what the server takes.
    pub fn charge_target(&mut self, target: ServerId) {
        if let Some(bucket) = self.targets.get_mut(&target) {
            bucket.tokens -= 1.0;
        }
    }

    /// Forgets a server that takes no more connections.
    pub fn remove_target(&mut self, target: ServerId) {
        self.targets.remove(&target);
    }
}

/// Migrations a second that this instance may send to a server.
fn target_rate(
    server: &ServerLoad,
    view: &InstanceView,
    distribution: &LoadDistribution,
    total_weight: f64,
) -> f64 {
    let connections_to_fill = if view.has_comparable_loads() {
        server.weight / view.mean_load() / distribution.instance_count
    } else {
        distribution.established as f64 * server.weight / total_weight
    };
    let factor = if server.is_cold { 1.0 } else { WARM_FILL_FACTOR };
    COLD_FILL_RATIO * connections_to_fill / view.warm_up_time() * factor
}
