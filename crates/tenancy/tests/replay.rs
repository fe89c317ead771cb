//! Compares the decisions and statistics for random events with a fixture: a refactoring must not change any decision,
//! retry-after or statistic, down to the last digit.

use std::fmt::Write;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shorewharf_tenancy::{QuotaDecision, RejectReason, Tenancy, TenancySettings, TenantIndex, TenantLimits};
use shorewharf_units::Micros;

const FIXTURE: &str = include_str!("fixtures/replay.txt");
const TENANTS: usize = 6;
/// The number of events after which statistics are written.
const STATS_EVERY: u32 = 100;

/// A tenancy instance, the tenants of the connections that exist, and the output so far.
struct Replay {
    tenancy: Tenancy,
    rng: Pcg64Mcg,
    now: Micros,
    /// The tenant of each connection that is being set up.
    setting_up: Vec<TenantIndex>,
    /// The tenant of each established connection.
    established: Vec<TenantIndex>,
    /// How many of 20 admitted requests the decision module rejects, on average.
    rejections: u32,
    output: String,
}

impl Replay {
    fn new(seed: u64, settings: TenancySettings, rejections: u32) -> Replay {
        let now = 1_000_000;
        let mut tenancy = Tenancy::new(settings, now);
        for tenant in 0..TENANTS {
            let limits = TenantLimits::new(30.0 + 7.0 * tenant as f64, 3.0 + tenant as f64)
                .expect("the limits are valid");
            let limits = limits.with_weight(1.0 + tenant as f64 / 3.0).expect("the limits are valid");
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
            output: String::new(),
        }
    }

    fn send_request(&mut self) {
        let is_flood = self.rng.random_bool(0.4);
        let tenant = TenantIndex(if is_flood { 0 } else { self.rng.random_range(0..TENANTS + 1) });
        let is_returning = self.rng.random_bool(0.3);
        match self.tenancy.check(self.now, tenant, is_returning) {
            QuotaDecision::Admit => {
                write!(self.output, " {}+", tenant.0).expect("writing to a string can't fail");
                if self.rng.random_bool(0.97) {
                    self.tenancy.on_admitted(self.now);
                    self.setting_up.push(tenant);
                }
            }
            QuotaDecision::Reject { retry_after, reason } => {
                write!(self.output, " {}-{}:{retry_after}", tenant.0, reason.name())
                    .expect("writing to a string can't fail");
            }
        }
    }

    fn finish_setup(&mut self) {
        if self.setting_up.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.setting_up.len());
        let tenant = self.setting_up.swap_remove(index);
        match self.rng.random_range(0..20) {
            0 => self.tenancy.on_client_left(self.now, tenant),
            draw if draw <= self.rejections => self.tenancy.on_rejected(self.now, tenant),
            _ => {
                self.tenancy.on_established(self.now, tenant);
                self.established.push(tenant);
            }
        }
    }

    fn end_connection(&mut self) {
        if !self.established.is_empty() {
            let index = self.rng.random_range(0..self.established.len());
            let tenant = self.established.swap_remove(index);
            self.tenancy.on_connection_ended(self.now, tenant);
        }
    }

    fn change_settings(&mut self) {
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
                let limits = TenantLimits::new(connections, connections / 8.0).expect("the limits are valid");
                self.tenancy.set_limits(self.now, tenant, Some(limits));
            }
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1_000..60_000);
        match self.rng.random_range(0..200) {
            0..100 => self.send_request(),
            100..150 => self.finish_setup(),
            150..198 => self.end_connection(),
            _ => self.change_settings(),
        }
        if self.tenancy.next_deadline().is_some_and(|due| due <= self.now) {
            for migrations in self.tenancy.due_migrations(self.now) {
                write!(self.output, " {}>{}", migrations.tenant.0, migrations.count)
                    .expect("writing to a string can't fail");
                if migrations.count > 1 {
                    self.tenancy.on_migration_unavailable(migrations.tenant, 1);
                }
            }
        }
    }

    fn write_stats(&mut self) {
        let stats = self.tenancy.stats(self.now);
        let totals = (
            stats.local_fraction,
            stats.total_quota,
            stats.connections,
            stats.lending_limit,
            stats.shortage_limit,
            stats.unknown_tenant_requests,
        );
        writeln!(self.output, "\n{} {totals:?} {:?}", self.now, self.tenancy.next_deadline())
            .expect("writing to a string can't fail");
        for (tenant, tenant_stats) in stats.tenants {
            let gauges = (
                tenant_stats.quota,
                tenant_stats.local_quota,
                tenant_stats.connections,
                tenant_stats.borrowed,
                tenant_stats.is_removed,
                tenant_stats.is_over_lowered_quota,
            );
            let counts = (
                tenant_stats.admitted,
                tenant_stats.admitted_borrowing,
                tenant_stats.rejected_after_admission,
                tenant_stats.established,
                tenant_stats.migrated,
            );
            let rejected = RejectReason::ALL.map(|reason| tenant_stats.rejected_for(reason));
            writeln!(self.output, "  {} {gauges:?} {counts:?} {rejected:?}", tenant.0)
                .expect("writing to a string can't fail");
        }
    }

    fn run(mut self, events: u32) -> String {
        for event in 0..events {
            self.step();
            if event % STATS_EVERY == STATS_EVERY - 1 {
                self.write_stats();
            }
        }
        self.output
    }
}

#[test]
fn decisions_and_statistics_for_random_events_match_the_fixture() {
    let mut replayed = Replay::new(1, TenancySettings::new(4.0), 0).run(3_000);
    let settings_with_rationing = TenancySettings {
        rations_within_quota: true,
        migrations_per_second: 40.0,
        ..TenancySettings::new(2.0)
    };
    replayed.push_str(&Replay::new(2, settings_with_rationing, 4).run(3_000));
    if replayed != FIXTURE {
        let actual = concat!(env!("CARGO_TARGET_TMPDIR"), "/tenancy-replay.txt");
        std::fs::write(actual, &replayed).expect("the temporary directory is writable");
        let line = replayed.lines().zip(FIXTURE.lines()).position(|(a, b)| a != b);
        panic!(
            "the replay differs from the fixture, first at line index {line:?}; the actual output is in {actual}"
        );
    }
}
