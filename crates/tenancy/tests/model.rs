//! Compares tenancy under random events with a simple model that looks at all connections each time.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shorewharf_tenancy::{QuotaDecision, RejectReason, Tenancy, TenancySettings, TenantIndex, TenantLimits};
use shorewharf_units::Micros;

const TENANTS: usize = 6;

#[derive(Clone, Debug)]
enum Event {
    Request { tenant: usize, returning: bool, rejected: bool },
    ConnectionEnded { which: usize },
    QuotaChanged { tenant: usize, connections: f64 },
    Remove { tenant: usize },
    TimePassed { microseconds: Micros },
}

fn event() -> impl Strategy<Value = Event> {
    let tenant = 0..TENANTS;
    prop_oneof![
        12 => (tenant.clone(), any::<bool>(), prop::bool::weighted(0.05))
            .prop_map(|(tenant, returning, rejected)| Event::Request { tenant, returning, rejected }),
        // One tenant sends more requests than all others together.
        8 => any::<bool>().prop_map(|returning| Event::Request { tenant: 0, returning, rejected: false }),
        9 => any::<usize>().prop_map(|which| Event::ConnectionEnded { which }),
        1 => (tenant.clone(), 0.0..120.0).prop_map(|(tenant, connections)| Event::QuotaChanged { tenant, connections }),
        1 => prop::bool::weighted(0.2).prop_flat_map(move |_| tenant.clone()).prop_map(|tenant| Event::Remove { tenant }),
        6 => (1_000u64..400_000).prop_map(|microseconds| Event::TimePassed { microseconds }),
    ]
}

/// The quotas and connections as an outside observer sees them.
#[derive(Clone, Debug, Default)]
struct Model {
    quotas: Vec<f64>,
    removed: Vec<bool>,
    /// Tenant of each established connection, the oldest first.
    established: Vec<usize>,
}

impl Model {
    fn connections(&self, tenant: usize) -> usize {
        self.established.iter().filter(|other| **other == tenant).count()
    }

    /// A tenant's connections over its quota.
    fn utilization(&self, tenant: usize) -> f64 {
        self.connections(tenant) as f64 / self.quotas[tenant].max(f64::MIN_POSITIVE)
    }
}

fn limits(connections: f64) -> Option<TenantLimits> {
    // The quota of set-ups is so large that it never applies. It has a test of its own.
    Some(TenantLimits::new(connections, 1e6).expect("in range"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under any mix of floods, ended connections, lowered quotas, removals and rejections: the connections
    /// within the local quota and the borrowed ones must add up to all connections, a tenant within its local
    /// quota must not be rejected for its quotas of connections, the tenant with the highest utilization must
    /// not borrow beyond the lending limit, and only connections of removed tenants may migrate.
    #[test]
    fn quotas_add_up_and_hold(events in prop::collection::vec(event(), 1..400)) {
        let mut now: Micros = 1_000_000;
        let settings = TenancySettings { migrations_per_second: 50.0, ..TenancySettings::new(4.0) };
        let mut tenancy = Tenancy::new(settings, now);
        let mut model = Model { quotas: vec![40.0; TENANTS], removed: vec![false; TENANTS], ..Model::default() };
        for tenant in 0..TENANTS {
            tenancy.set_limits(now, TenantIndex(tenant), limits(40.0));
        }
        let mut migrating = [0usize; TENANTS];
        for event in events {
            match event {
                Event::TimePassed { microseconds } => now += microseconds,
                Event::Request { tenant, returning, rejected } => {
                    let before = tenancy.tenant_stats(now, TenantIndex(tenant)).expect("a tenant");
                    let stats = tenancy.stats(now);
                    let decision = tenancy.check(now, TenantIndex(tenant), returning);
                    match decision {
                        QuotaDecision::Admit => {
                            prop_assert!(!model.removed[tenant], "a removed tenant's client was admitted");
                            if before.connections as f64 + 1.0 > before.local_quota {
                                prop_assert!(!before.is_over_lowered_quota, "a tenant over its lowered quota borrowed");
                                let has_highest_utilization = !(0..TENANTS).any(|other| {
                                    other != tenant && model.utilization(other) > model.utilization(tenant) / 1.1
                                });
                                let is_below_limit = stats.connections < stats.lending_limit;
                                prop_assert!(
                                    is_below_limit || !has_highest_utilization,
                                    "tenant {tenant}, with the highest utilization, borrowed beyond the limit: {stats:?}"
                                );
                            }
                            tenancy.on_admitted(now);
                            if rejected {
                                tenancy.on_rejected(now, TenantIndex(tenant));
                            } else {
                                tenancy.on_established(now, TenantIndex(tenant));
                                model.established.push(tenant);
                            }
                        }
                        QuotaDecision::Reject { retry_after, reason } => {
                            prop_assert!(retry_after <= settings.longest_wait && retry_after > 0, "{retry_after}");
                            prop_assert_eq!(model.removed[tenant], reason == RejectReason::Removed);
                            let is_within_quota = before.connections as f64 + 1.0 <= before.local_quota;
                            let is_for_other_reason = matches!(reason, RejectReason::Removed | RejectReason::Reconnects);
                            prop_assert!(
                                is_for_other_reason || !is_within_quota,
                                "rejected within its local quota ({reason:?}): {before:?}"
                            );
                        }
                    }
                }
                Event::ConnectionEnded { which } if !model.established.is_empty() => {
                    let tenant = model.established.remove(which % model.established.len());
                    tenancy.on_connection_ended(now, TenantIndex(tenant));
                    migrating[tenant] = migrating[tenant].saturating_sub(1);
                }
                Event::ConnectionEnded { .. } => {}
                Event::QuotaChanged { tenant, connections } => {
                    tenancy.set_limits(now, TenantIndex(tenant), limits(connections));
                    if !model.removed[tenant] {
                        model.quotas[tenant] = connections;
                    }
                }
                Event::Remove { tenant } => {
                    tenancy.remove(now, TenantIndex(tenant));
                    (model.removed[tenant], model.quotas[tenant]) = (true, 0.0);
                }
            }
            if tenancy.next_deadline().is_some_and(|due| due <= now) {
                for migrations in tenancy.due_migrations(now) {
                    let tenant = migrations.tenant.0;
                    prop_assert!(model.removed[tenant], "a connection of a tenant that was not removed migrated");
                    migrating[tenant] += migrations.count as usize;
                    prop_assert!(migrating[tenant] <= model.connections(tenant), "more connections migrated than there are");
                }
            }
            let stats = tenancy.stats(now);
            for (tenant, t) in &stats.tenants {
                prop_assert_eq!(t.connections as usize, model.connections(tenant.0));
                let within_quota = (t.connections as f64).min(t.local_quota);
                let is_sum_right = (within_quota + t.borrowed - t.connections as f64).abs() < 1e-9;
                prop_assert!(t.quota.is_none() || is_sum_right, "{t:?}");
            }
            prop_assert!((stats.connections - model.established.len() as f64).abs() < 1e-3, "{stats:?}");
            prop_assert!((stats.total_quota - model.quotas.iter().sum::<f64>()).abs() < 1e-2, "{stats:?}");
        }
    }
}
