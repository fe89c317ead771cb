//! Tenants' shares as an admission, by the settings' quotas and the operator's terms.

use shorewharf_decisions::interface::{Request, Settings};
use shorewharf_settings::operator::Operator;
use shorewharf_tenancy::{QuotaDecision, Tenancy, TenancySettings, TenantIndex, TenantLimits};
use shorewharf_units::{Micros, micros_from_seconds};

use crate::admission::{Admission, AdmissionDecision, AdmittedOutcome};

/// Tenants' shares, and what the operator said of them.
#[derive(Clone, Debug)]
pub struct Tenants {
    tenancy: Tenancy,
}

/// Each worker is an instance of its own; the other balancers are taken to have as many.
fn tenancy_settings(set: &Settings, operator: &Operator) -> TenancySettings {
    let (terms, workers) = (&operator.tenancy, operator.workers.max(1) as f64);
    let wait = if set.sends_retry_after { micros_from_seconds(set.max_retry_after) } else { 0 };
    TenancySettings {
        lending_ratio: terms.lend,
        rations_within_quota: terms.ration,
        migrations_per_second: terms.moves_per_s / workers,
        longest_wait: wait,
        ..TenancySettings::new(set.instance_count * workers)
    }
}

/// A tenant's limits by the settings; none where they say nothing that could be kept.
fn limits(set: &Settings, tenant: usize) -> Option<TenantLimits> {
    let quota = set.tenant_connection_quotas.get(tenant).copied().filter(|q| *q > 0.0)?;
    // Without a word on set-ups, all of a share may be set up within a second.
    let rate = set.tenant_rate_quotas.get(tenant).copied().filter(|r| *r > 0.0).unwrap_or(quota);
    TenantLimits::new(quota, rate).ok()
}

impl Tenants {
    /// The tenants of these settings; none where shares are not to be kept or the settings know of none.
    pub fn new(now: Micros, set: &Settings, said: &Operator) -> Option<Tenants> {
        if !said.tenancy.on || set.tenant_connection_quotas.iter().all(|q| *q <= 0.0) {
            return None;
        }
        let mut tenants = Tenants { tenancy: Tenancy::new(tenancy_settings(set, said), now) };
        tenants.take(now, set);
        Some(tenants)
    }

    fn take(&mut self, now: Micros, set: &Settings) {
        // A first line that names no tenant counts as the first one's, so there is always a place for it.
        for tenant in 0..set.tenant_connection_quotas.len().max(set.tenant_rate_quotas.len()).max(1) {
            self.tenancy.set_limits(now, TenantIndex(tenant), limits(set, tenant));
        }
    }

    /// The shares, for reports and for changes while the program runs.
    pub fn tenancy(&mut self) -> &mut Tenancy {
        &mut self.tenancy
    }
}

impl Admission for Tenants {
    fn check(&mut self, now: Micros, request: &Request) -> AdmissionDecision {
        match self.tenancy.check(now, TenantIndex(request.tenant), request.is_returning) {
            QuotaDecision::Admit => AdmissionDecision::Admit,
            QuotaDecision::Reject { retry_after, reason } => {
                AdmissionDecision::Reject { after: retry_after, why: reason.name() }
            }
        }
    }

    fn on_admitted(&mut self, now: Micros, _request: &Request) {
        self.tenancy.on_admitted(now);
    }

    fn on_restored(&mut self, now: Micros, request: &Request) {
        self.tenancy.on_restored(now, TenantIndex(request.tenant));
    }

    fn on_outcome(&mut self, now: Micros, request: &Request, fate: AdmittedOutcome) {
        let tenant = TenantIndex(request.tenant);
        match fate {
            AdmittedOutcome::Established => self.tenancy.on_established(now, tenant),
            AdmittedOutcome::ConnectionEnded(_) => self.tenancy.on_connection_ended(now, tenant),
            AdmittedOutcome::Rejected => self.tenancy.on_rejected(now, tenant),
            AdmittedOutcome::ClientLeft => self.tenancy.on_client_left(now, tenant),
        }
    }

    fn due_migrations(&mut self, now: Micros, moves: &mut Vec<(usize, u32)>) {
        moves.extend(self.tenancy.due_migrations(now).into_iter().map(|due| (due.tenant.0, due.count)));
    }

    fn on_migration_unavailable(&mut self, tenant: usize, count: u32) {
        self.tenancy.on_migration_unavailable(TenantIndex(tenant), count);
    }

    fn next_deadline(&self) -> Option<Micros> {
        self.tenancy.next_deadline()
    }

    fn update_settings(&mut self, now: Micros, set: &Settings, said: &Operator) {
        self.tenancy.update_settings(tenancy_settings(set, said));
        self.take(now, set);
    }
}
