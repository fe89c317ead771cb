//! Measures a connection's whole way through the tenants' quotas with 4, 100 and 10,000 tenants: a request is
//! checked and admitted, its connection is established, and an earlier connection ends. One tenant floods: it
//! sends half of the requests.
#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shorewharf_tenancy::{QuotaDecision, Tenancy, TenancySettings, TenantIndex, TenantLimits};
use shorewharf_units::Micros;

/// Sum of all quotas of connections.
const TOTAL_QUOTA: f64 = 20_000.0;
/// Number of instances in the fleet.
const INSTANCES: f64 = 8.0;
/// When there are more established connections than this, a random one ends.
const MAX_CONNECTIONS: usize = 800;

struct TestInstance {
    tenancy: Tenancy,
    rng: Pcg64Mcg,
    now: Micros,
    tenants: usize,
    established: Vec<TenantIndex>,
}

impl TestInstance {
    fn new(tenants: usize) -> TestInstance {
        let mut tenancy = Tenancy::new(TenancySettings::new(INSTANCES), 0);
        let quota = TOTAL_QUOTA / tenants as f64;
        for tenant in 0..tenants {
            tenancy.set_limits(
                0,
                TenantIndex(tenant),
                Some(TenantLimits::new(quota, quota / 20.0).expect("in range")),
            );
        }
        let mut instance = TestInstance {
            tenancy,
            rng: Pcg64Mcg::seed_from_u64(7),
            now: 0,
            tenants,
            established: Vec::new(),
        };
        (0..20_000).for_each(|_| instance.step());
        instance
    }

    fn step(&mut self) {
        self.now += 1_000;
        let is_flooding = self.rng.random_bool(0.5);
        let tenant = TenantIndex(if is_flooding { 0 } else { self.rng.random_range(0..self.tenants) });
        if self.tenancy.check(self.now, tenant, false) == QuotaDecision::Admit {
            self.tenancy.on_admitted(self.now);
            self.tenancy.on_established(self.now, tenant);
            self.established.push(tenant);
        }
        if self.established.len() > MAX_CONNECTIONS {
            let index = self.rng.random_range(0..self.established.len());
            let tenant = self.established.swap_remove(index);
            self.tenancy.on_connection_ended(self.now, tenant);
        }
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("connection from request to end, by tenants");
    for tenants in [4, 100, 10_000] {
        let mut instance = TestInstance::new(tenants);
        group.bench_function(BenchmarkId::from_parameter(tenants), |b| b.iter(|| instance.step()));
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
