//! The tenants' quotas as an admission check, configured by the settings and the operator's file.

use shorewharf_decisions::interface::{Request, Settings};
use shorewharf_settings::operator::OperatorSettings;
use shorewharf_tenancy::{QuotaDecision, Tenancy, TenancySettings, TenantIndex, TenantLimits};
use shorewharf_units::{Micros, micros_from_seconds};

use crate::admission::{Admission, AdmissionDecision, AdmittedOutcome, TenantMigrations};

/// Checks requests against the quotas of their tenants.
#[derive(Clone, Debug)]
pub struct Tenants {
    tenancy: Tenancy,
}

/// Returns the settings of one worker's quotas. Each worker counts as an instance of the fleet, and all
/// balancers are assumed to have the same number of workers.
fn tenancy_settings(settings: &Settings, operator: &OperatorSettings) -> TenancySettings {
    let (tenancy, workers) = (&operator.tenancy, operator.workers.max(1) as f64);
    let longest_wait =
        if settings.sends_retry_after { micros_from_seconds(settings.max_retry_after) } else { 0 };
    TenancySettings {
        lending_ratio: tenancy.lending_ratio,
        rations_within_quota: tenancy.rations_within_quota,
        migrations_per_second: tenancy.migrations_per_second / workers,
        longest_wait,
        ..TenancySettings::new(settings.instance_count * workers)
    }
}

/// Returns a tenant's limits, or `None` if it has no quota of connections that can be enforced. A tenant
/// without a quota of set-ups may set up its whole quota of connections within a second.
fn tenant_limits(settings: &Settings, tenant: usize) -> Option<TenantLimits> {
    let positive = |quotas: &[f64]| quotas.get(tenant).copied().filter(|quota| *quota > 0.0);
    let connections = positive(&settings.tenant_connection_quotas)?;
    let setups_per_second = positive(&settings.tenant_rate_quotas).unwrap_or(connections);
    TenantLimits::new(connections, setups_per_second).ok()
}

impl Tenants {
    /// Creates the check. Returns `None` if the operator's file does not enable it or the settings have no
    /// quotas.
    pub fn new(now: Micros, settings: &Settings, operator: &OperatorSettings) -> Option<Tenants> {
        let has_quotas = !settings.tenant_connection_quotas.iter().all(|quota| *quota <= 0.0);
        if !operator.tenancy.is_enabled || !has_quotas {
            return None;
        }
        let mut tenants = Tenants { tenancy: Tenancy::new(tenancy_settings(settings, operator), now) };
        tenants.update_limits(now, settings);
        Some(tenants)
    }

    fn update_limits(&mut self, now: Micros, settings: &Settings) {
        let (connections, rates) = (&settings.tenant_connection_quotas, &settings.tenant_rate_quotas);
        // A request without a tenant counts for the first tenant, so at least one must exist.
        let tenant_count = connections.len().max(rates.len()).max(1);
        for tenant in 0..tenant_count {
            self.tenancy.set_limits(now, TenantIndex(tenant), tenant_limits(settings, tenant));
        }
    }

    /// The tenants' quotas, for reports and for changes at run time.
    pub fn tenancy(&mut self) -> &mut Tenancy {
        &mut self.tenancy
    }
}

impl Admission for Tenants {
    fn check(&mut self, now: Micros, request: &Request) -> AdmissionDecision {
        match self.tenancy.check(now, TenantIndex(request.tenant), request.is_returning) {
            QuotaDecision::Admit => AdmissionDecision::Admit,
            QuotaDecision::Reject { retry_after, reason } => {
                AdmissionDecision::Reject { retry_after, reason: reason.name() }
            }
        }
    }

    fn on_admitted(&mut self, now: Micros, _request: &Request) {
        self.tenancy.on_admitted(now);
    }

    fn on_restored(&mut self, now: Micros, request: &Request) {
        self.tenancy.on_restored(now, TenantIndex(request.tenant));
    }

    fn on_outcome(&mut self, now: Micros, request: &Request, outcome: AdmittedOutcome) {
        let tenant = TenantIndex(request.tenant);
        match outcome {
            AdmittedOutcome::Established => self.tenancy.on_established(now, tenant),
            AdmittedOutcome::ConnectionEnded(_) => self.tenancy.on_connection_ended(now, tenant),
            AdmittedOutcome::Rejected => self.tenancy.on_rejected(now, tenant),
            AdmittedOutcome::ClientLeft => self.tenancy.on_client_left(now, tenant),
        }
    }

    fn due_migrations(&mut self, now: Micros, due: &mut Vec<TenantMigrations>) {
        let migrations = self.tenancy.due_migrations(now).into_iter();
        due.extend(migrations.map(|due| TenantMigrations { tenant: due.tenant.0, count: due.count }));
    }

    fn on_migration_unavailable(&mut self, tenant: usize, count: u32) {
        self.tenancy.on_migration_unavailable(TenantIndex(tenant), count);
    }

    fn next_deadline(&self) -> Option<Micros> {
        self.tenancy.next_deadline()
    }

    fn update_settings(&mut self, now: Micros, settings: &Settings, operator: &OperatorSettings) {
        self.tenancy.update_settings(tenancy_settings(settings, operator));
        self.update_limits(now, settings);
    }
}
