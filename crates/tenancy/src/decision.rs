//! Decisions on requests, and the reasons for rejections.

use shorewharf_units::Micros;

/// A tenant's index. Indices are not reused: a removed tenant keeps its index, and a new tenant of the same
/// name gets another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantIndex(pub usize);

/// Why a request is rejected. Rejections are counted by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The tenant has reached its quota of connections and can't borrow more.
    Connections,
    /// The tenant has reached its quota of set-ups and can't borrow more.
    Setups,
    /// The tenant has reached its quota of reconnects and can't borrow more.
    Reconnects,
    /// Capacity is short, and the tenant is among those with the highest utilization of their quotas.
    CapacityShort,
    /// The tenant's quota was lowered below its connections, and they have not fallen below the quota yet.
    QuotaLowered,
    /// The tenant was removed.
    Removed,
    /// There is no tenant with this index.
    Unknown,
}

impl RejectReason {
    /// All reasons, in the order of [`TenantStats::rejected`](crate::TenantStats::rejected).
    pub const ALL: [RejectReason; 7] = [
        RejectReason::Connections,
        RejectReason::Setups,
        RejectReason::Reconnects,
        RejectReason::CapacityShort,
        RejectReason::QuotaLowered,
        RejectReason::Removed,
        RejectReason::Unknown,
    ];

    /// The reason's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Connections => "tenant-connections",
            RejectReason::Setups => "tenant-set-ups",
            RejectReason::Reconnects => "tenant-returns",
            RejectReason::CapacityShort => "tenant-capacity-short",
            RejectReason::QuotaLowered => "tenant-share-lowered",
            RejectReason::Removed => "tenant-removed",
            RejectReason::Unknown => "tenant-unknown",
        }
    }
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is within the quotas, and may be placed.
    Admit,
    /// The request is rejected at once.
    Reject {
        /// Time that the client should wait before it retries; 0 if clients get no such advice.
        retry_after: Micros,
        /// The reason for the rejection.
        reason: RejectReason,
    },
}
