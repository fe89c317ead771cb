//! Removal of tenants, whose connections then migrate at a limited rate.

use shorewharf_units::Micros;

use super::{DueMigrations, MICROS_PER_SECOND, Tenancy};
use crate::decision::TenantIndex;
use crate::tenant::TenantState;

/// Period in which migrations are asked for.
const MIGRATION_PERIOD: Micros = 100_000;

impl Tenancy {
    /// Removes a tenant. Its connections migrate at a limited rate ([`Tenancy::due_migrations`]), and its
    /// requests are rejected.
    pub fn remove(&mut self, now: Micros, tenant: TenantIndex) {
        let record = self.tenants.get_mut(tenant.0);
        let Some(record) = record.filter(|record| record.state != TenantState::Removed) else { return };
        record.state = TenantState::Removed;
        record.limits = None;
        if record.connections > 0 {
            if self.draining.is_empty() {
                (self.migration_tokens, self.migrated_at) = (0.0, now);
            }
            self.draining.insert(tenant);
        }
        self.apply_quotas(now, tenant);
    }

    /// Returns the connections that are to migrate now, and counts them as migrating.
    pub fn due_migrations(&mut self, now: Micros) -> Vec<DueMigrations> {
        let elapsed = now.saturating_sub(self.migrated_at);
        self.migrated_at = self.migrated_at.max(now);
        let rate = self.settings.migrations_per_second;
        // Migrations that were not asked for in time are not made up for in a burst.
        let max_tokens = (rate * MIGRATION_PERIOD as f64 / MICROS_PER_SECOND).max(1.0);
        let earned = rate * elapsed as f64 / MICROS_PER_SECOND;
        self.migration_tokens = (self.migration_tokens + earned).min(max_tokens);
        let mut due = Vec::new();
        for &tenant in &self.draining {
            let record = &mut self.tenants[tenant.0];
            let remaining = record.connections - record.migrating.min(record.connections);
            let count = remaining.min(self.migration_tokens as u32);
            if count > 0 {
                record.migrating += count;
                record.counts.migrated += u64::from(count);
                self.migration_tokens -= f64::from(count);
                due.push(DueMigrations { tenant, count });
            }
        }
        due
    }

    /// The time at which [`Tenancy::due_migrations`] has to be called again. `None` if no removed tenant has
    /// connections left to migrate.
    pub fn next_deadline(&self) -> Option<Micros> {
        let has_remaining = |tenant: &TenantIndex| {
            let record = &self.tenants[tenant.0];
            record.connections > record.migrating
        };
        self.draining.iter().any(has_remaining).then_some(self.migrated_at + MIGRATION_PERIOD)
    }

    /// Records that `count` of the due migrations were impossible, for example because connections were still
    /// being set up. They are due again later.
    pub fn on_migration_unavailable(&mut self, tenant: TenantIndex, count: u32) {
        if let Some(record) = self.tenants.get_mut(tenant.0) {
            record.migrating = record.migrating.saturating_sub(count);
            record.counts.migrated = record.counts.migrated.saturating_sub(u64::from(count));
        }
    }
}
