//! Limits the rate of migrations by a token bucket for the instance and one for each target server, so that the
//! instances together don't overload a cold server.

use std::collections::BTreeMap;

use rand_pcg::Pcg64Mcg;
use shorewharf_decisions::ServerId;

use super::load_distribution::{LoadDistribution, ServerLoad};
use crate::instance_view::InstanceView;
use crate::random::random_unit;

/// Share of the instance's established connections that may migrate per second, in addition to
/// [`MIN_MIGRATIONS_PER_SECOND`].
const CONNECTIONS_PER_SECOND_RATIO: f64 = 0.02;
/// Migrations per second that are allowed regardless of the number of connections.
const MIN_MIGRATIONS_PER_SECOND: f64 = 0.2;
/// Minimum size of the instance's bucket: migrations that may be made at once.
const BURST: f64 = 2.0;
/// Share of the connections needed to fill a cold server that all instances together may send it within its warm-up
/// time. A cold server fails at three times the rate that fills it.
const COLD_FILL_RATIO: f64 = 0.5;
/// Rate at which a warm server is filled, relative to a cold one.
const WARM_FILL_FACTOR: f64 = 3.0;

/// Token bucket of a server as a migration target.
#[derive(Clone, Copy, Debug)]
struct TargetBucket {
    tokens: f64,
    /// Start time of the server process that the tokens belong to.
    started_at: f64,
}

/// Parameters of a refill.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefillPeriod {
    /// Seconds since the last refill.
    pub elapsed: f64,
    /// The instance's rate of migrations relative to the usual rate.
    pub pace: f64,
}

/// The token buckets of one instance.
#[derive(Debug, Default)]
pub(super) struct MigrationPacer {
    tokens: f64,
    targets: BTreeMap<ServerId, TargetBucket>,
}

impl MigrationPacer {
    /// Refills the buckets, and creates those of servers that are new or restarted.
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
            // The first token becomes available at a random time, so that the instances don't all migrate at once.
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

    /// Whether a connection may migrate to a server now.
    pub fn accepts(&self, target: ServerId) -> bool {
        self.targets.get(&target).is_some_and(|bucket| bucket.tokens >= 1.0)
    }

    /// Takes the tokens of one migration from both buckets.
    pub fn take_tokens(&mut self, target: ServerId) {
        self.charge_target(target);
        self.tokens -= 1.0;
    }

    /// Takes a token from a server's bucket for an attempt that is not a migration.
    pub fn charge_target(&mut self, target: ServerId) {
        if let Some(bucket) = self.targets.get_mut(&target) {
            bucket.tokens -= 1.0;
        }
    }

    /// Removes the bucket of a server that accepts no more connections.
    pub fn remove_target(&mut self, target: ServerId) {
        self.targets.remove(&target);
    }
}

/// Migrations per second that this instance may send to a server.
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
