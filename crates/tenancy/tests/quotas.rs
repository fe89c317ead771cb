//! Tests of the tenants' quotas in typical situations: floods, surges, removals and a shortage of capacity.

use shorewharf_tenancy::{
    QuotaDecision, RejectReason, Tenancy, TenancySettings, TenancyStats, TenantIndex, TenantLimits,
};
use shorewharf_units::Micros;

const SECOND: Micros = 1_000_000;

/// An instance under test. Each of its connections ends after `lifetime`.
struct TestInstance {
    tenancy: Tenancy,
    now: Micros,
    lifetime: Micros,
    connections: Vec<Connection>,
}

/// A connection that will end.
#[derive(Clone, Copy)]
struct Connection {
    tenant: TenantIndex,
    ends_at: Micros,
}

impl TestInstance {
    /// Creates an instance of a fleet with this number of instances, with a tenant for each quota of
    /// connections.
    fn new(instances: f64, quotas: &[f64]) -> TestInstance {
        let mut instance = TestInstance {
            tenancy: Tenancy::new(
                TenancySettings { migrations_per_second: 20.0, ..TenancySettings::new(instances) },
                SECOND,
            ),
            now: SECOND,
            lifetime: 20 * SECOND,
            connections: Vec::new(),
        };
        for (tenant, quota) in quotas.iter().enumerate() {
            instance.set_quota(tenant, *quota);
        }
        instance
    }

    fn set_quota(&mut self, tenant: usize, quota: f64) {
        self.tenancy.set_limits(
            self.now,
            TenantIndex(tenant),
            Some(TenantLimits::new(quota, quota / 20.0).expect("in range")),
        );
    }

    fn advance(&mut self, time: Micros) {
        self.now += time;
        let now = self.now;
        let has_ended = |connection: &mut Connection| connection.ends_at <= now;
        let ended: Vec<Connection> = self.connections.extract_if(.., has_ended).collect();
        for connection in ended {
            self.tenancy.on_connection_ended(now, connection.tenant);
        }
    }

    fn request(&mut self, tenant: usize, is_returning: bool) -> QuotaDecision {
        let decision = self.tenancy.check(self.now, TenantIndex(tenant), is_returning);
        if decision == QuotaDecision::Admit {
            self.tenancy.on_admitted(self.now);
            self.tenancy.on_established(self.now, TenantIndex(tenant));
            self.connections
                .push(Connection { tenant: TenantIndex(tenant), ends_at: self.now + self.lifetime });
        }
        decision
    }

    /// Lets the clients of each tenant send this number of requests a second. Returns how many were rejected,
    /// by tenant.
    fn send_requests(&mut self, time: Micros, per_second: &[f64]) -> Vec<u64> {
        let mut rejected = vec![0; per_second.len()];
        let mut due = vec![0.0; per_second.len()];
        for _ in 0..time / 10_000 {
            self.advance(10_000);
            for (tenant, rate) in per_second.iter().enumerate() {
                due[tenant] += rate / 100.0;
                while due[tenant] >= 1.0 {
                    due[tenant] -= 1.0;
                    rejected[tenant] += u64::from(self.request(tenant, false) != QuotaDecision::Admit);
                }
            }
        }
        rejected
    }

    fn stats(&self) -> TenancyStats {
        self.tenancy.stats(self.now)
    }

    fn connections_of(&self, tenant: usize) -> u64 {
        self.stats().tenants[tenant].1.connections
    }
}

/// A tenant sends fifty times as many requests as the others. It must get its local quota and what is lent,
/// the others must not be rejected, and lent capacity must become free as they need it, without ending
/// connections.
#[test]
fn a_flooding_tenant_does_not_affect_the_others() {
    let mut instance = TestInstance::new(4.0, &[400.0, 400.0, 400.0, 400.0]);
    assert_eq!(instance.send_requests(60 * SECOND, &[1.0, 1.0, 1.0, 1.0]), [0; 4]);
    let rejected = instance.send_requests(60 * SECOND, &[50.0, 1.0, 1.0, 1.0]);
    assert!(rejected[0] > 2000 && rejected[1..] == [0; 3], "{rejected:?}");
    let lending_limit = instance.stats().lending_limit;
    let flooding = instance.connections_of(0) as f64;
    let others = (1..4).map(|tenant| instance.connections_of(tenant)).sum::<u64>() as f64;
    assert!(
        flooding >= 100.0 && (flooding + others - lending_limit).abs() <= 3.0,
        "{flooding} connections beside {others}, with a lending limit of {lending_limit}"
    );
    // The others now use more of their quotas.
    let rejected = instance.send_requests(60 * SECOND, &[50.0, 2.0, 2.0, 2.0]);
    assert_eq!(rejected[1..], [0; 3]);
    assert!(
        instance.connections_of(0) <= 103,
        "{} connections are still lent",
        instance.connections_of(0) - 100
    );
    assert!(instance.stats().tenants[0].1.rejected_for(RejectReason::Connections) > 2000);
}

/// The clients of all tenants come at once, as after the death of another instance, so that this one gets far
/// more than an even fraction of the traffic. This must not be taken for a flood: no request may be rejected.
#[test]
fn a_surge_of_all_tenants_is_not_rejected() {
    let mut instance = TestInstance::new(8.0, &[400.0, 300.0, 200.0, 100.0]);
    assert_eq!(instance.send_requests(40 * SECOND, &[4.0, 3.0, 2.0, 1.0]), [0; 4]);
    assert_eq!(instance.send_requests(2 * SECOND, &[80.0, 60.0, 40.0, 20.0]), [0; 4]);
    // An even fraction, an eighth of the quotas of 1,000, would be 125 connections.
    assert!(
        instance.stats().connections > 500.0 && instance.stats().local_fraction > 0.9,
        "{:?}",
        instance.stats()
    );
}

/// All connections of a tenant that may not borrow drop, and its clients reconnect within a second. Its quota
/// of reconnects must be admitted, and the others must be rejected with spread retry-after values. Clients
/// that claim to reconnect although no connection ended must count as new.
#[test]
fn reconnects_have_a_quota_of_their_own() {
    let mut instance = TestInstance::new(1.0, &[200.0, 200.0, 200.0, 200.0]);
    let limits = TenantLimits::new(200.0, 10.0).expect("in range").without_borrowing();
    instance.tenancy.set_limits(instance.now, TenantIndex(0), Some(limits));
    instance.send_requests(60 * SECOND, &[20.0, 2.0, 2.0, 2.0]);
    let connections = instance.connections_of(0);
    assert_eq!(connections, 200);
    let now = instance.now;
    let dropped: Vec<TenantIndex> = instance
        .connections
        .extract_if(.., |connection| connection.tenant == TenantIndex(0))
        .map(|connection| connection.tenant)
        .collect();
    for tenant in dropped {
        instance.tenancy.on_connection_ended(now, tenant);
    }
    let (mut admitted, mut waits) = (0, Vec::new());
    for _ in 0..connections {
        instance.now += SECOND / connections;
        match instance.request(0, true) {
            QuotaDecision::Admit => admitted += 1,
            QuotaDecision::Reject { retry_after, reason } => {
                let stats = instance.stats();
                assert_eq!(reason, RejectReason::Reconnects, "{admitted} of {connections}: {stats:?}");
                waits.push(retry_after);
            }
        }
    }
    assert!((100..200).contains(&admitted), "{admitted} of {connections} reconnected within a second");
    waits.dedup();
    assert!(waits.len() > 10 && waits.iter().all(|wait| (50_000..=1_500_000).contains(wait)), "{waits:?}");
    // The second tenant lost no connection, so its clients can't reconnect.
    let rejected = (0..500).filter(|_| instance.request(1, true) != QuotaDecision::Admit).count();
    assert!(rejected > 300, "{rejected}");
    assert!(instance.stats().tenants[1].1.rejected_for(RejectReason::Setups) > 0);
}

/// A quota is lowered below the number of connections. No connection may end for it, and no request may be
/// admitted until the connections are below the quota. Then a tenant with hundreds of connections is removed
/// and added again. Its connections must migrate at the configured rate, its requests must be rejected with
/// their own reason, and its index must not be reused.
#[test]
fn quotas_are_lowered_and_tenants_are_removed() {
    let mut instance = TestInstance::new(1.0, &[300.0, 300.0]);
    instance.send_requests(40 * SECOND, &[10.0, 10.0]);
    let connections = instance.connections_of(0);
    instance.set_quota(0, 50.0);
    assert_eq!(
        (instance.connections_of(0), instance.stats().tenants[0].1.is_over_lowered_quota),
        (connections, true)
    );
    assert!(matches!(
        instance.request(0, false),
        QuotaDecision::Reject { reason: RejectReason::QuotaLowered, .. }
    ));
    instance.advance(19 * SECOND);
    assert!(instance.connections_of(0) < 50 && instance.request(0, false) == QuotaDecision::Admit);

    let connections = instance.connections_of(1);
    instance.tenancy.remove(instance.now, TenantIndex(1));
    instance.set_quota(1, 300.0);
    assert!(matches!(instance.request(1, true), QuotaDecision::Reject { reason: RejectReason::Removed, .. }));
    instance.connections.clear();
    let (started_at, mut migrated) = (instance.now, 0);
    while let Some(due) = instance.tenancy.next_deadline() {
        instance.now = instance.now.max(due);
        for migrations in instance.tenancy.due_migrations(instance.now) {
            assert_eq!(migrations.tenant, TenantIndex(1));
            migrated += u64::from(migrations.count);
            for _ in 0..migrations.count {
                instance.tenancy.on_connection_ended(instance.now, TenantIndex(1));
            }
        }
    }
    let took = (instance.now - started_at) as f64 / 1e6;
    assert_eq!((migrated, instance.connections_of(1)), (connections, 0));
    assert!((took - connections as f64 / 20.0).abs() < 1.0, "{connections} migrated within {took} s");
    // The tenant is added again at another index.
    instance.set_quota(2, 300.0);
    assert_eq!(
        (instance.request(2, false), instance.stats().tenants[1].1.is_removed),
        (QuotaDecision::Admit, true)
    );
    assert!(matches!(
        instance.request(9, false),
        QuotaDecision::Reject { reason: RejectReason::Unknown, .. }
    ));
}

/// The decisions reject admitted requests, as they do when half of the fleet's servers are down. Lending must end at once. If
/// tenants within their quotas are rationed, those with the highest weighted utilization must be rejected,
/// and the one with the lowest must not.
#[test]
fn short_capacity_is_rationed_by_weighted_utilization() {
    for rations_within_quota in [false, true] {
        let mut instance = TestInstance::new(1.0, &[100.0, 100.0, 100.0]);
        instance
            .tenancy
            .update_settings(TenancySettings { rations_within_quota, ..TenancySettings::new(1.0) });
        let heavy =
            TenantLimits::new(100.0, 5.0).and_then(|limits| limits.with_weight(4.0)).expect("in range");
        instance.tenancy.set_limits(instance.now, TenantIndex(1), Some(heavy));
        instance.send_requests(60 * SECOND, &[4.0, 4.0, 1.0]);
        for round in 0..8 {
            for _ in 0..6 {
                if instance.tenancy.check(instance.now, TenantIndex(2), false) == QuotaDecision::Admit {
                    instance.tenancy.on_admitted(instance.now);
                    instance.tenancy.on_rejected(instance.now, TenantIndex(2));
                }
            }
            instance.advance(500_000 * u64::from(round < 7));
        }
        assert!(instance.stats().shortage_limit.is_some());
        let decisions = [0, 1, 2].map(|tenant| {
            instance.tenancy.check(instance.now, TenantIndex(tenant), false) == QuotaDecision::Admit
        });
        assert_eq!(decisions, [!rations_within_quota, true, true], "rationing: {rations_within_quota}");
    }
}
