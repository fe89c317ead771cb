//! What tenants are promised, each against the failure that would break it.

use shorewharf_tenancy::{
    QuotaDecision, RejectReason, Tenancy, TenancySettings, TenancyStats, TenantIndex, TenantLimits,
};
use shorewharf_units::Micros;

const SECOND: Micros = 1_000_000;

/// An instance with tenants of these quotas, where a connection lives for `lifetime`.
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

    /// Clients of each tenant send so many requests a second; returns how many of each were rejected.
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

/// Failure: a tenant asks for ten times its quota. Promise: it holds its local quota and what is lent, the others are
/// never rejected, and what was lent comes back as they need it, with nobody cut off.
#[test]
fn a_flood_is_its_own_tenants_affair() {
    let mut instance = TestInstance::new(4.0, &[400.0, 400.0, 400.0, 400.0]);
    let calm = [1.0, 1.0, 1.0, 1.0];
    assert_eq!(instance.send_requests(60 * SECOND, &calm), [0; 4]);
    let rejected = instance.send_requests(60 * SECOND, &[50.0, 1.0, 1.0, 1.0]);
    assert!(rejected[0] > 2000 && rejected[1..] == [0; 3], "{rejected:?}");
    let lending_limit = instance.stats().lending_limit;
    let (held, others) = (
        instance.connections_of(0) as f64,
        (1..4).map(|tenant| instance.connections_of(tenant)).sum::<u64>() as f64,
    );
    assert!(
        held >= 100.0 && (held + others - lending_limit).abs() <= 3.0,
        "{held} beside {others}, lent up to {lending_limit}"
    );
    // The others ask for more of theirs.
    let rejected = instance.send_requests(60 * SECOND, &[50.0, 2.0, 2.0, 2.0]);
    assert_eq!(rejected[1..], [0; 3]);
    assert!(instance.connections_of(0) <= 103, "{} still lent", instance.connections_of(0) - 100);
    assert!(instance.stats().tenants[0].1.rejected_for(RejectReason::Connections) > 2000);
}

/// Failure: all tenants' clients come at once, as after a sibling's death, and an instance has far more than an even
/// part of the traffic. Promise: that is nobody's flood, and nobody is rejected.
#[test]
fn a_storm_of_everybody_is_nobodys_flood() {
    let mut instance = TestInstance::new(8.0, &[400.0, 300.0, 200.0, 100.0]);
    assert_eq!(instance.send_requests(40 * SECOND, &[4.0, 3.0, 2.0, 1.0]), [0; 4]);
    assert_eq!(instance.send_requests(2 * SECOND, &[80.0, 60.0, 40.0, 20.0]), [0; 4]);
    // An eighth of 1,000 would be 125.
    assert!(
        instance.stats().connections > 500.0 && instance.stats().local_fraction > 0.9,
        "{:?}",
        instance.stats()
    );
}

/// Failure: the connections of a tenant that may not borrow all drop and come again within a second. Promise: its quota
/// of reconnects is admitted, the rest waits with a time to come back, spread, and claims to return without a connection
/// that ended count as new ones.
#[test]
fn reconnects_have_a_quota_of_their_own() {
    let mut instance = TestInstance::new(1.0, &[200.0, 200.0, 200.0, 200.0]);
    let strict = TenantLimits::new(200.0, 10.0).expect("in range").without_borrowing();
    instance.tenancy.set_limits(instance.now, TenantIndex(0), Some(strict));
    instance.send_requests(60 * SECOND, &[20.0, 2.0, 2.0, 2.0]);
    let held = instance.connections_of(0);
    assert_eq!(held, 200);
    let now = instance.now;
    let dropped: Vec<TenantIndex> = instance
        .connections
        .extract_if(.., |connection| connection.tenant == TenantIndex(0))
        .map(|connection| connection.tenant)
        .collect();
    for tenant in dropped {
        instance.tenancy.on_connection_ended(now, tenant);
    }
    let (mut back, mut waits) = (0, Vec::new());
    for _ in 0..held {
        instance.now += SECOND / held;
        match instance.request(0, true) {
            QuotaDecision::Admit => back += 1,
            QuotaDecision::Reject { retry_after, reason } => {
                assert_eq!(reason, RejectReason::Reconnects, "{back} of {held}: {:?}", instance.stats());
                waits.push(retry_after);
            }
        }
    }
    assert!((100..200).contains(&back), "{back} of {held} back within a second");
    waits.dedup();
    assert!(waits.len() > 10 && waits.iter().all(|wait| (50_000..=1_500_000).contains(wait)), "{waits:?}");
    // A tenant that lost nothing can't have anybody return.
    let rejected = (0..500).filter(|_| instance.request(1, true) != QuotaDecision::Admit).count();
    assert!(rejected > 300, "{rejected}");
    assert!(instance.stats().tenants[1].1.rejected_for(RejectReason::Setups) > 0);
}

/// Failure: a quota is lowered below the connections, a tenant is removed with hundreds of connections, and made anew.
/// Promise: nobody is cut off, nothing new until it is under; a removed tenant's connections migrate at the rate and its
/// clients are told so; its index stays its own.
#[test]
fn tenants_change_and_go() {
    let mut instance = TestInstance::new(1.0, &[300.0, 300.0]);
    instance.send_requests(40 * SECOND, &[10.0, 10.0]);
    let held = instance.connections_of(0);
    instance.set_quota(0, 50.0);
    assert_eq!(
        (instance.connections_of(0), instance.stats().tenants[0].1.is_over_lowered_quota),
        (held, true)
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
    let (began, mut migrated) = (instance.now, 0);
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
    let took = (instance.now - began) as f64 / 1e6;
    assert_eq!((migrated, instance.connections_of(1)), (connections, 0));
    assert!((took - connections as f64 / 20.0).abs() < 1.0, "{connections} migrated within {took} s");
    // Anew, at another index.
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

/// Failure: the decision module rejects what was admitted, since half of the fleet has died. Promise: lending ends at once, and
/// with rationing the tenants that are fullest for their weights wait, while the emptiest is not rejected.
#[test]
fn short_capacity_goes_by_weight_and_use() {
    for ration in [false, true] {
        let mut instance = TestInstance::new(1.0, &[100.0, 100.0, 100.0]);
        instance
            .tenancy
            .update_settings(TenancySettings { rations_within_quota: ration, ..TenancySettings::new(1.0) });
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
        assert_eq!(decisions, [!ration, true, true], "rationing: {ration}");
    }
}
