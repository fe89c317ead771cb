//! Statistics of tenants, as of one moment.

use crate::decision::{RejectReason, TenantIndex};

/// Statistics of one tenant at this instance. Counts are since the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantStats {
    /// The tenant's quota of connections over the whole fleet; `None` if it is not limited.
    pub quota: Option<f64>,
    /// The part of the quota that applies to this instance.
    pub local_quota: f64,
    /// Number of connections that are established or being set up at this instance.
    pub connections: u64,
    /// Number of these connections that are beyond the local quota.
    pub borrowed: f64,
    /// Whether the tenant was removed.
    pub is_removed: bool,
    /// Whether the quota was lowered below the connections, and they have not fallen below it yet.
    pub is_over_lowered_quota: bool,
    /// Number of requests that were admitted.
    pub admitted: u64,
    /// Number of these requests that were beyond a local quota when they were admitted.
    pub admitted_borrowing: u64,
    /// Number of requests that were rejected, by reason, in the order of [`RejectReason::ALL`].
    pub rejected: [u64; RejectReason::ALL.len()],
    /// Number of requests that the decisions rejected after they were admitted.
    pub rejected_after_admission: u64,
    /// Number of connections that were established or restored.
    pub established: u64,
    /// Number of connections that were asked to migrate because the tenant was removed.
    pub migrated: u64,
}

impl TenantStats {
    /// Number of requests that were rejected for this reason.
    pub fn rejected_for(&self, reason: RejectReason) -> u64 {
        let index = RejectReason::ALL.iter().position(|other| *other == reason);
        index.and_then(|index| self.rejected.get(index)).copied().unwrap_or(0)
    }
}

/// Statistics of all tenants at this instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenancyStats {
    /// Fraction of each tenant's quota of connections that applies to this instance.
    pub local_fraction: f64,
    /// Sum of all quotas of connections, over the whole fleet.
    pub total_quota: f64,
    /// Number of connections of limited or removed tenants that are established or being set up at this
    /// instance.
    pub connections: f64,
    /// Number of connections beyond which nothing is lent.
    pub lending_limit: f64,
    /// Limit on connections while capacity is short; `None` while it is not.
    pub shortage_limit: Option<f64>,
    /// Number of requests with an index that no tenant has.
    pub unknown_tenant_requests: u64,
    /// Statistics of each tenant, by index.
    pub tenants: Vec<(TenantIndex, TenantStats)>,
}
