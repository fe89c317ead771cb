//! What an instance keeps of one tenant.

use shorewharf_units::Micros;

use crate::decaying_count::DecayingCount;
use crate::decision::RejectReason;
use crate::retry_after::{ExpectedCapacity, RetryAfterSequence};
use crate::settings::TenantLimits;
use crate::stats::TenantStats;

/// Each connection that ended lately entitles a client to reconnect, for about this time, in microseconds.
const RECONNECT_TIME_CONSTANT: f64 = 6e6;
/// How fast connections end is remembered for about this time, in microseconds.
const ENDS_TIME_CONSTANT: f64 = 8e6;
/// Longest expected time between two ends of connections, in microseconds.
const MAX_END_INTERVAL: f64 = 1e12;

/// Which of the two rates a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SetupKind {
    /// A new connection.
    New,
    /// One in place of a connection that ended lately.
    Reconnect,
}

impl SetupKind {
    /// Number of kinds, for tables by kind.
    pub const COUNT: usize = 2;
}

/// A tenant's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TenantState {
    /// As usual.
    Active,
    /// Its quota was lowered below its connections: nothing is lent to it until it is under.
    OverLoweredQuota,
    /// It was removed.
    Removed,
}

/// One tenant.
#[derive(Clone, Debug)]
pub(crate) struct Tenant {
    /// None where it is not limited.
    pub limits: Option<TenantLimits>,
    pub state: TenantState,
    /// Connections that are established or being set up.
    pub connections: u32,
    /// Those that were asked to migrate and are still here.
    pub migrating: u32,
    /// Those that are being set up, by kind.
    setting_up: [u32; SetupKind::COUNT],
    recent_ends: DecayingCount,
    /// Clients that may reconnect.
    reconnects: DecayingCount,
    pub retry_after: RetryAfterSequence,
    pub admitted: u64,
    pub admitted_borrowing: u64,
    pub established: u64,
    /// What is counted of rejected clients; apart, so that an admitted one touches fewer lines of the cache.
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
            reconnects: DecayingCount::default(),
            retry_after: RetryAfterSequence::default(),
            admitted: 0,
            admitted_borrowing: 0,
            established: 0,
            counts: Box::default(),
        }
    }

    /// Whether its connections count in the sums of all tenants.
    pub fn is_counted(&self) -> bool {
        self.limits.is_some() || self.state == TenantState::Removed
    }

    /// An established connection has ended.
    pub fn on_connection_ended(&mut self, now: Micros) {
        self.recent_ends.add(now, ENDS_TIME_CONSTANT, 1.0);
        self.reconnects.add(now, RECONNECT_TIME_CONSTANT, 1.0);
        self.migrating = self.migrating.saturating_sub(1).min(self.connections);
    }

    /// Whether a connection ended lately that a client may come back for.
    pub fn may_reconnect(&self, now: Micros) -> bool {
        self.reconnects.value(now, RECONNECT_TIME_CONSTANT) >= 0.5
    }

    /// Connections of this kind that are being set up.
    pub fn setting_up(&self, kind: SetupKind) -> f64 {
        f64::from(self.setting_up[kind as usize])
    }

    /// A connection of this kind is being set up.
    pub fn on_setup_begun(&mut self, now: Micros, kind: SetupKind) {
        self.setting_up[kind as usize] += 1;
        if kind == SetupKind::Reconnect {
            self.reconnects.add(now, RECONNECT_TIME_CONSTANT, -1.0);
        }
    }

    /// A connection is no longer being set up. Its kind is not known, so it is taken for the more frequent one, which
    /// is right on the whole; returns that kind.
    pub fn on_setup_ended(&mut self) -> Option<SetupKind> {
        let [new, reconnects] = self.setting_up;
        let kind = if reconnects > new { SetupKind::Reconnect } else { SetupKind::New };
        let count = &mut self.setting_up[kind as usize];
        *count = count.checked_sub(1)?;
        Some(kind)
    }

    /// A client that reconnected was not served: it may come back again.
    pub fn on_reconnect_failed(&mut self, now: Micros) {
        self.reconnects.add(now, RECONNECT_TIME_CONSTANT, 1.0);
    }

    /// When there is capacity for a client, once so many connections have ended at the pace of late.
    pub fn expected_capacity(&self, now: Micros, connections: f64) -> ExpectedCapacity {
        let ends = self.recent_ends.value(now, ENDS_TIME_CONSTANT).max(1e-6);
        let each = (ENDS_TIME_CONSTANT / ends).min(MAX_END_INTERVAL);
        ExpectedCapacity { first: connections * each, each }
    }

    /// Counts a rejected client.
    pub fn on_rejected(&mut self, reason: RejectReason) {
        let index = RejectReason::ALL.iter().position(|other| *other == reason);
        if let Some(count) = index.and_then(|index| self.counts.rejected.get_mut(index)) {
            *count += 1;
        }
    }
}
