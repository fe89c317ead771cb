//! Statistics of all tenants.

use shorewharf_units::Micros;

use super::Tenancy;
use crate::decision::TenantIndex;
use crate::stats::{TenancyStats, TenantStats};
use crate::tenant::TenantState;

impl Tenancy {
    /// Statistics of one tenant. `None` if there never was a tenant with this index.
    pub fn tenant_stats(&self, now: Micros, tenant: TenantIndex) -> Option<TenantStats> {
        let record = self.tenants.get(tenant.0)?;
        let is_limited = record.limits.is_some();
        let local_quota = if is_limited { self.local_quota(now, tenant) } else { 0.0 };
        let beyond_quota = (f64::from(record.connections) - local_quota).max(0.0);
        Some(TenantStats {
            quota: record.limits.map(|limits| limits.connections()),
            local_quota,
            connections: u64::from(record.connections),
            borrowed: if is_limited { beyond_quota } else { 0.0 },
            admitted: record.admitted,
            admitted_borrowing: record.admitted_borrowing,
            established: record.established,
            is_removed: record.state == TenantState::Removed,
            is_over_lowered_quota: record.state == TenantState::OverLoweredQuota,
            ..*record.counts
        })
    }

    /// Statistics of this instance and all its tenants.
    pub fn stats(&self, now: Micros) -> TenancyStats {
        let local_fraction = self.connection_fraction(now);
        let total_quota = self.connections.total_quota();
        let tenants = (0..self.tenants.len()).map(TenantIndex);
        TenancyStats {
            local_fraction,
            total_quota,
            connections: self.connections.total_used(now),
            lending_limit: total_quota * local_fraction * self.settings.lending_ratio,
            shortage_limit: self.shortage_limit(now),
            unknown_tenant_requests: self.unknown_tenant_requests,
            tenants: tenants.filter_map(|tenant| Some((tenant, self.tenant_stats(now, tenant)?))).collect(),
        }
    }
}
