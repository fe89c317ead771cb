//! What a decision costs with 4 tenants and with 10,000: a client asks, is taken, comes up, and one that stood before
//! ends. Half of the clients are a flooding tenant's.
#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shorewharf_tenancy::{Limits, Place, Tenancy, Terms, Verdict};
use shorewharf_units::Micros;

/// Connections of all shares together, and instances.
const SHARES: f64 = 20_000.0;
const INSTANCES: f64 = 8.0;

struct Rig {
    tenancy: Tenancy,
    rng: Pcg64Mcg,
    now: Micros,
    tenants: usize,
    standing: Vec<Place>,
}

impl Rig {
    fn new(tenants: usize) -> Rig {
        let mut tenancy = Tenancy::new(Terms::new(INSTANCES), 0);
        let each = SHARES / tenants as f64;
        for place in 0..tenants {
            tenancy.set(0, Place(place), Some(Limits::new(each, each / 20.0).expect("limits")));
        }
        let mut rig = Rig { tenancy, rng: Pcg64Mcg::seed_from_u64(7), now: 0, tenants, standing: Vec::new() };
        (0..20_000).for_each(|_| rig.step());
        rig
    }

    fn step(&mut self) {
        self.now += 1_000;
        let flood = self.rng.random_bool(0.5);
        let place = Place(if flood { 0 } else { self.rng.random_range(0..self.tenants) });
        if self.tenancy.asked(self.now, place, false) == Verdict::Admit {
            self.tenancy.taken(self.now);
            self.tenancy.up(self.now, place);
            self.standing.push(place);
        }
        if self.standing.len() > 800 {
            let at = self.rng.random_range(0..self.standing.len());
            let gone = self.standing.swap_remove(at);
            self.tenancy.ended(self.now, gone);
        }
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("a client asks, stands and ends");
    for tenants in [4, 100, 10_000] {
        let mut rig = Rig::new(tenants);
        group.bench_function(BenchmarkId::from_parameter(tenants), |b| b.iter(|| rig.step()));
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
