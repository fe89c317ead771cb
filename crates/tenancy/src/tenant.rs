//! The state that an instance keeps of one tenant.

use shorewharf_units::Micros;

use crate::decaying_count::DecayingCount;
use crate::decision::RejectReason;
use crate::retry_after::{ExpectedCapacity, RetryAfterSequence};
use crate::settings::TenantLimits;
use crate::stats::TenantStats;

/// Each ended connection entitles a client to reconnect for about this time, in microseconds.
const RECONNECT_TIME_CONSTANT: f64 = 6e6;
/// Time constant of the rate at which connections end, in microseconds.
const ENDS_TIME_CONSTANT: f64 = 8e6;
/// Upper bound of the expected time between the ends of two connections, in microseconds.
const MAX_END_INTERVAL: f64 = 1e12;

/// The kind of a set-up, which determines the rate that it counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SetupKind {
    /// A new connection.
    New,
    /// A connection that replaces one that ended recently.
    Reconnect,
}

impl SetupKind {
    /// Number of kinds, for arrays that are indexed by kind.
    pub const COUNT: usize = 2;
}

/// The state of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TenantState {
    /// The tenant's quotas apply as configured.
    Active,
    /// The quota was lowered below the connections. The tenant can't borrow until they have fallen below it.
    OverLoweredQuota,
    /// The tenant was removed.
    Removed,
}

/// A tenant.
#[derive(Clone, Debug)]
pub(crate) struct Tenant {
    /// The tenant's limits; `None` if it is not limited.
    pub limits: Option<TenantLimits>,
    pub state: TenantState,
    /// Number of connections that are established or being set up.
    pub connections: u32,
    /// Number of connections that were asked to migrate and have not ended yet.
    pub migrating: u32,
    /// Number of connections that are being set up, by kind.
    setting_up: [u32; SetupKind::COUNT],
    /// Connections that ended recently.
    recent_ends: DecayingCount,
    /// Number of clients that may reconnect.
    allowed_reconnects: DecayingCount,
    /// Retry-after values of rejected clients.
    pub retry_after: RetryAfterSequence,
    pub admitted: u64,
    pub admitted_borrowing: u64,
    pub established: u64,
    /// Counts of rejected requests and migrations. They are stored apart so that an admitted request touches
    /// fewer cache lines.
    pub counts: Box<TenantStats>,
}

impl Tenant {
    pub fn new(limits: Option<TenantLimits>) -> Tenant {
        Tenant {
            limits,
            state: TenantState::Active,
            connections: 0,
            migrating: 0,
            setting_up: [0; SetupKind::COUNT],
            recent_ends: DecayingCount::default(),
            allowed_reconnects: DecayingCount::default(),
            retry_after: RetryAfterSequence::default(),
            admitted: 0,
            admitted_borrowing: 0,
            established: 0,
            counts: Box::default(),
        }
    }

    /// Whether the tenant's connections count in the sums over all tenants.
    pub fn is_counted(&self) -> bool {
        self.limits.is_some() || self.state == TenantState::Removed
    }

    /// Records that an established connection ended.
    pub fn on_connection_ended(&mut self, now: Micros) {
        self.recent_ends.add(now, ENDS_TIME_CONSTANT, 1.0);
        self.allowed_reconnects.add(now, RECONNECT_TIME_CONSTANT, 1.0);
        self.migrating = self.migrating.saturating_sub(1).min(self.connections);
    }

    /// Whether a client may reconnect because a connection ended recently.
    pub fn may_reconnect(&self, now: Micros) -> bool {
        self.allowed_reconnects.value(now, RECONNECT_TIME_CONSTANT) >= 0.5
    }

    /// Number of connections of this kind that are being set up.
    pub fn setting_up(&self, kind: SetupKind) -> f64 {
        f64::from(self.setting_up[kind as usize])
    }

    /// Records that the set-up of a connection of this kind begins.
    pub fn on_setup_begun(&mut self, now: Micros, kind: SetupKind) {
        self.setting_up[kind as usize] += 1;
        if kind == SetupKind::Reconnect {
            self.allowed_reconnects.add(now, RECONNECT_TIME_CONSTANT, -1.0);
        }
    }

    /// Records that a set-up ended, and returns its kind. The true kind is not known, so the more frequent
    /// one is assumed, which is right on average. Returns `None` if no connection is being set up.
    pub fn on_setup_ended(&mut self) -> Option<SetupKind> {
        let [new, reconnects] = self.setting_up;
        let kind = if reconnects > new { SetupKind::Reconnect } else { SetupKind::New };
        let count = &mut self.setting_up[kind as usize];
        *count = count.checked_sub(1)?;
        Some(kind)
    }

    /// Records that a reconnecting client was not served, so that it may reconnect again.
    pub fn on_reconnect_failed(&mut self, now: Micros) {
        self.allowed_reconnects.add(now, RECONNECT_TIME_CONSTANT, 1.0);
    }

    /// Returns when there is capacity for a client, if that takes the end of this number of connections and
    /// they end at their recent rate.
    pub fn expected_capacity(&self, now: Micros, connections: f64) -> ExpectedCapacity {
        let ends = self.recent_ends.value(now, ENDS_TIME_CONSTANT).max(1e-6);
        let each = (ENDS_TIME_CONSTANT / ends).min(MAX_END_INTERVAL);
        ExpectedCapacity { first: connections * each, each }
    }

    /// Counts a rejected request.
    pub fn on_rejected(&mut self, reason: RejectReason) {
        let index = RejectReason::ALL.iter().position(|other| *other == reason);
        if let Some(count) = index.and_then(|index| self.counts.rejected.get_mut(index)) {
            *count += 1;
        }
    }
}
