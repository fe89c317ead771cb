//! Statistics of tenancy: plain figures, taken at one moment.

use crate::decision::{RejectReason, TenantIndex};

/// One tenant, as this instance sees it. Counts go on from the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantStats {
    /// Its quota of connections over the whole fleet; none where it is not limited.
    pub quota: Option<f64>,
    /// This instance's part of the quota.
    pub local_quota: f64,
    /// Connections that are established or being set up here.
    pub connections: u64,
    /// Those of them beyond the local quota.
    pub borrowed: f64,
    /// It was removed.
    pub is_removed: bool,
    /// Its quota was lowered below its connections here.
    pub is_over_lowered_quota: bool,
    /// Requests admitted.
    pub admitted: u64,
    /// Those of them beyond the local quota when they came.
    pub admitted_borrowing: u64,
    /// Requests rejected, by reason, as in [`RejectReason::ALL`].
    pub rejected: [u64; RejectReason::ALL.len()],
    /// Requests that the decision module rejected after they were admitted.
    pub rejected_after_admission: u64,
    /// Connections established.
    pub established: u64,
    /// Connections that were asked to migrate because the tenant was removed.
    pub migrated: u64,
}

impl TenantStats {
    /// Requests rejected for this reason.
    pub fn rejected_for(&self, reason: RejectReason) -> u64 {
        let index = RejectReason::ALL.iter().position(|other| *other == reason);
        index.and_then(|index| self.rejected.get(index)).copied().unwrap_or(0)
    }
}

/// All tenants, as this instance sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenancyStats {
    /// The fraction of everybody's quota of connections that is taken for this instance's.
    pub local_fraction: f64,
    /// All quotas of connections together, over the whole fleet.
    pub total_quota: f64,
    /// Connections of limited tenants that are established or being set up here.
    pub connections: f64,
    /// Beyond so many connections nothing is lent.
    pub lending_limit: f64,
    /// How many connections there may be while capacity is short; none while it is not.
    pub shortage_limit: Option<f64>,
    /// Requests that named an index where no tenant ever was.
    pub unknown_tenant_requests: u64,
    /// By index.
    pub tenants: Vec<(TenantIndex, TenantStats)>,
}
