//! Decisions on clients' requests, and the reasons for them.

use shorewharf_units::Micros;

/// A tenant's index. It is given once: a tenant that is removed keeps it, and one that is made anew under the same name
/// gets another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantIndex(pub usize);

/// Why a client is rejected. Each reason is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// Its tenant holds its quota of connections, and nothing more is lent.
    Connections,
    /// Its tenant sets up connections faster than its quota, and nothing more is lent.
    Setups,
    /// Its tenant's clients reconnect faster than its quota allows, and nothing more is lent.
    Reconnects,
    /// Capacity is short, and its tenant is among those that are furthest beyond their quotas.
    CapacityShort,
    /// Its tenant's quota was lowered below its connections: nothing new until it is under.
    QuotaLowered,
    /// Its tenant was removed.
    Removed,
    /// There never was a tenant of this index.
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

    /// Its name in logs and metrics.
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

/// What becomes of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It may go on to be placed.
    Admit,
    /// It is rejected at once.
    Reject {
        /// When to come back, from now; 0 where no advice is sent.
        retry_after: Micros,
        /// Why, to be counted.
        reason: RejectReason,
    },
}
