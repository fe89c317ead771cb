//! Pinned random events, compared line by line with a fixture: a change of the code's shape must change no decision, no
//! wait and no figure, down to the last digit.

use std::fmt::Write;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shorewharf_tenancy::{QuotaDecision, RejectReason, Tenancy, TenancySettings, TenantIndex, TenantLimits};
use shorewharf_units::Micros;

const FIXTURE: &str = include_str!("fixtures/replay.txt");
const TENANTS: usize = 6;
/// Figures are written out after so many events.
const STATS_EVERY: u32 = 100;

/// An instance, who is being set up and whose connections are established, and all that came out.
struct Replay {
    tenancy: Tenancy,
    rng: Pcg64Mcg,
    now: Micros,
    setting_up: Vec<TenantIndex>,
    established: Vec<TenantIndex>,
    /// Of twenty admitted requests, how many the decision module rejects.
    rejections: u32,
    out: String,
}

impl Replay {
    fn new(seed: u64, settings: TenancySettings, rejections: u32) -> Replay {
        let now = 1_000_000;
        let mut tenancy = Tenancy::new(settings, now);
        for tenant in 0..TENANTS {
            let limits =
                TenantLimits::new(30.0 + 7.0 * tenant as f64, 3.0 + tenant as f64).expect("in range");
            let limits = limits.with_weight(1.0 + tenant as f64 / 3.0).expect("in range");
            let limits = if tenant == 4 { limits.without_borrowing() } else { limits };
            tenancy.set_limits(now, TenantIndex(tenant), (tenant != 5).then_some(limits));
        }
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Replay {
            tenancy,
            rng,
            now,
            setting_up: Vec::new(),
            established: Vec::new(),
            rejections,
            out: String::new(),
        }
    }

    fn send_request(&mut self) {
        let flood = self.rng.random_bool(0.4);
        let tenant = TenantIndex(if flood { 0 } else { self.rng.random_range(0..TENANTS + 1) });
        let is_returning = self.rng.random_bool(0.3);
        match self.tenancy.check(self.now, tenant, is_returning) {
            QuotaDecision::Admit => {
                write!(self.out, " {}+", tenant.0).expect("memory");
                if self.rng.random_bool(0.97) {
                    self.tenancy.on_admitted(self.now);
                    self.setting_up.push(tenant);
                }
            }
            QuotaDecision::Reject { retry_after, reason } => {
                write!(self.out, " {}-{}:{retry_after}", tenant.0, reason.name()).expect("memory");
            }
        }
    }

    fn settle(&mut self) {
        if self.setting_up.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.setting_up.len());
        let tenant = self.setting_up.swap_remove(at);
        match self.rng.random_range(0..20) {
            0 => self.tenancy.on_client_left(self.now, tenant),
            lot if lot <= self.rejections => self.tenancy.on_rejected(self.now, tenant),
            _ => {
                self.tenancy.on_established(self.now, tenant);
                self.established.push(tenant);
            }
        }
    }

    fn end(&mut self) {
        if !self.established.is_empty() {
            let at = self.rng.random_range(0..self.established.len());
            let tenant = self.established.swap_remove(at);
            self.tenancy.on_connection_ended(self.now, tenant);
        }
    }

    fn change(&mut self) {
        let tenant = TenantIndex(self.rng.random_range(1..TENANTS));
        match self.rng.random_range(0..8) {
            0 => self.tenancy.remove(self.now, tenant),
            1 => {
                let fraction = self.rng.random_bool(0.5).then_some(0.4);
                self.tenancy.set_local_fraction(fraction);
            }
            2 => {
                self.tenancy.on_restored(self.now, tenant);
                self.established.push(tenant);
            }
            _ => {
                let connections = self.rng.random_range(0.0..80.0);
                let limits = TenantLimits::new(connections, connections / 8.0).expect("in range");
                self.tenancy.set_limits(self.now, tenant, Some(limits));
            }
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1_000..60_000);
        match self.rng.random_range(0..200) {
            0..100 => self.send_request(),
            100..150 => self.settle(),
            150..198 => self.end(),
            _ => self.change(),
        }
        if self.tenancy.next_deadline().is_some_and(|due| due <= self.now) {
            for migrations in self.tenancy.due_migrations(self.now) {
                write!(self.out, " {}>{}", migrations.tenant.0, migrations.count).expect("memory");
                if migrations.count > 1 {
                    self.tenancy.on_migration_unavailable(migrations.tenant, 1);
                }
            }
        }
    }

    fn figures(&mut self) {
        let s = self.tenancy.stats(self.now);
        let all = (
            s.local_fraction,
            s.total_quota,
            s.connections,
            s.lending_limit,
            s.shortage_limit,
            s.unknown_tenant_requests,
        );
        writeln!(self.out, "\n{} {all:?} {:?}", self.now, self.tenancy.next_deadline()).expect("memory");
        for (tenant, t) in s.tenants {
            let gauges =
                (t.quota, t.local_quota, t.connections, t.borrowed, t.is_removed, t.is_over_lowered_quota);
            let counts =
                (t.admitted, t.admitted_borrowing, t.rejected_after_admission, t.established, t.migrated);
            let rejected = RejectReason::ALL.map(|reason| t.rejected_for(reason));
            writeln!(self.out, "  {} {gauges:?} {counts:?} {rejected:?}", tenant.0).expect("memory");
        }
    }

    fn play(mut self, events: u32) -> String {
        for event in 0..events {
            self.step();
            if event % STATS_EVERY == STATS_EVERY - 1 {
                self.figures();
            }
        }
        self.out
    }
}

#[test]
fn pinned_random_events_come_out_as_in_the_fixture() {
    let mut replayed = Replay::new(1, TenancySettings::new(4.0), 0).play(3_000);
    let rationing = TenancySettings {
        rations_within_quota: true,
        migrations_per_second: 40.0,
        ..TenancySettings::new(2.0)
    };
    replayed.push_str(&Replay::new(2, rationing, 4).play(3_000));
    if replayed != FIXTURE {
        let actual = concat!(env!("CARGO_TARGET_TMPDIR"), "/tenancy-replay.txt");
        std::fs::write(actual, &replayed).expect("a temporary file");
        let line = replayed.lines().zip(FIXTURE.lines()).position(|(a, b)| a != b);
        panic!("the replay differs from the fixture, first in line {line:?}; it is in {actual}");
    }
}
