//! Whether a client's request is admitted.

use shorewharf_units::Micros;

use super::{PendingAdmission, RATE_TIME_CONSTANT, Tenancy};
use crate::decision::{QuotaDecision, RejectReason, TenantIndex};
use crate::local_fraction;
use crate::resource::Resource;
use crate::retry_after::ExpectedCapacity;
use crate::settings::{TenancySettings, TenantLimits};
use crate::tenant::{SetupKind, TenantState};

/// A rate may lie so many standard deviations of chance beyond its quota ...
const CHANCE_DEVIATIONS: f64 = 1.5;
/// ... and so many set-ups: a tenant of few clients is not rejected for two that came together.
const CHANCE_SETUPS: f64 = 2.0;
/// Where nothing is left to lend, the level is so many connections below what is in use, so that the fullest tenant is
/// above it.
const LEVEL_MARGIN: f64 = 0.5;

/// How a request relates to its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
enum QuotaStanding {
    /// It is within the local quota.
    Within,
    /// It borrows what others leave unused.
    Borrowing,
    /// It is beyond the quota; there is capacity again at a time.
    Exceeded(ExpectedCapacity, RejectReason),
}

/// What a rate with this mean may come to by chance.
fn with_chance(mean: f64) -> f64 {
    mean + CHANCE_DEVIATIONS * mean.sqrt() + CHANCE_SETUPS
}

/// How full a tenant is at this use of a resource.
fn fullness(used: f64, resource: &Resource, tenant: TenantIndex, limits: TenantLimits) -> f64 {
    used / (resource.quota(tenant) * limits.weight()).max(f64::MIN_POSITIVE)
}

impl Tenancy {
    /// Decides on a client's request; `is_returning` if the client claims to reconnect. An admitted request
    /// is counted by [`Tenancy::on_admitted`], once no other admission has rejected it.
    pub fn check(&mut self, now: Micros, tenant: TenantIndex, is_returning: bool) -> QuotaDecision {
        self.pending = None;
        let Some(record) = self.tenants.get(tenant.0) else {
            self.unknown_tenant_requests += 1;
            let retry_after = self.settings.longest_wait;
            return QuotaDecision::Reject { retry_after, reason: RejectReason::Unknown };
        };
        if record.state == TenantState::Removed {
            return self.reject(now, tenant, ExpectedCapacity::NEVER, RejectReason::Removed);
        }
        let Some(limits) = record.limits else {
            self.pending = Some(PendingAdmission { tenant, kind: None, is_borrowing: false });
            return QuotaDecision::Admit;
        };
        // A client that claims to reconnect where no connection ended lately is new.
        let is_reconnect = is_returning && record.may_reconnect(now);
        let kind = if is_reconnect { SetupKind::Reconnect } else { SetupKind::New };
        let standings =
            [self.connection_standing(now, tenant, limits), self.rate_standing(now, tenant, limits, kind)];
        for standing in standings {
            if let QuotaStanding::Exceeded(capacity, reason) = standing {
                return self.reject(now, tenant, capacity, reason);
            }
        }
        let is_borrowing = standings.contains(&QuotaStanding::Borrowing);
        self.pending = Some(PendingAdmission { tenant, kind: Some(kind), is_borrowing });
        QuotaDecision::Admit
    }

    fn reject(
        &mut self,
        now: Micros,
        tenant: TenantIndex,
        capacity: ExpectedCapacity,
        reason: RejectReason,
    ) -> QuotaDecision {
        let longest_wait = self.settings.longest_wait;
        let record = &mut self.tenants[tenant.0];
        record.on_rejected(reason);
        let retry_after = record.retry_after.next_wait(now, capacity, longest_wait);
        QuotaDecision::Reject { retry_after, reason }
    }

    /// The request that was checked last is admitted for good. From now on it counts as being set up, until
    /// [`Tenancy::on_established`], [`Tenancy::on_rejected`] or [`Tenancy::on_client_left`].
    pub fn on_admitted(&mut self, now: Micros) {
        let Some(PendingAdmission { tenant, kind, is_borrowing }) = self.pending.take() else { return };
        let record = &mut self.tenants[tenant.0];
        record.connections += 1;
        record.admitted += 1;
        record.admitted_borrowing += u64::from(is_borrowing);
        let Some(kind) = kind else { return };
        record.on_setup_begun(now, kind);
        self.setting_up[kind as usize] += 1;
        self.connections.acquire(now, tenant);
        self.shortage.on_admitted(now);
    }

    /// How one more connection relates to the tenant's quota of connections.
    fn connection_standing(&self, now: Micros, tenant: TenantIndex, limits: TenantLimits) -> QuotaStanding {
        let record = &self.tenants[tenant.0];
        let resource = &self.connections;
        let local_quota = self.local_quota(now, tenant);
        let wanted = resource.used(now, tenant) + 1.0;
        let fullness = fullness(wanted, resource, tenant, limits);
        let total = resource.total_used(now);
        let shortage_limit = self.shortage_limit(now);
        let exceeded = |reason| {
            let capacity = record.expected_capacity(now, (wanted - local_quota).max(1.0));
            QuotaStanding::Exceeded(capacity, reason)
        };
        let is_above_level = |limit: f64| fullness > resource.level(now, limit.min(total - LEVEL_MARGIN));
        if wanted <= local_quota {
            // Nobody has more right to it; but where even this is not there, the fullest wait first.
            let ration = shortage_limit.filter(|_| self.settings.rations_within_quota);
            return match ration {
                Some(limit) if is_above_level(limit) => exceeded(RejectReason::CapacityShort),
                _ => QuotaStanding::Within,
            };
        }
        if record.state == TenantState::OverLoweredQuota {
            return exceeded(RejectReason::QuotaLowered);
        }
        if !limits.may_borrow() {
            return exceeded(RejectReason::Connections);
        }
        let lending_limit =
            resource.total_quota() * self.connection_fraction(now) * self.settings.lending_ratio;
        let limit = shortage_limit.unwrap_or(lending_limit).min(lending_limit);
        if total + 1.0 <= limit || !is_above_level(limit) {
            return QuotaStanding::Borrowing;
        }
        let is_short = shortage_limit.is_some();
        exceeded(if is_short { RejectReason::CapacityShort } else { RejectReason::Connections })
    }

    /// How one more set-up relates to the tenant's quota of set-ups or reconnects.
    fn rate_standing(
        &self,
        now: Micros,
        tenant: TenantIndex,
        limits: TenantLimits,
        kind: SetupKind,
    ) -> QuotaStanding {
        let (resource, reason) = match kind {
            SetupKind::New => (&self.setups, RejectReason::Setups),
            SetupKind::Reconnect => (&self.reconnects, RejectReason::Reconnects),
        };
        let TenancySettings { instance_count, lending_ratio, .. } = self.settings;
        // Where everybody comes at once the fraction is above 1: that is the fleet's storm, and no tenant's.
        let estimate = || local_fraction::estimate(resource, now, instance_count, lending_ratio);
        let fraction = self.external_fraction.unwrap_or_else(estimate);
        let local_quota = with_chance(resource.quota(tenant) * fraction);
        let wanted = resource.used(now, tenant) + self.tenants[tenant.0].setting_up(kind) + 1.0;
        if wanted <= local_quota {
            return QuotaStanding::Within;
        }
        let lending_limit = resource.total_quota() * fraction * lending_ratio;
        let used = resource.total_used(now);
        let total = used + self.setting_up[kind as usize] as f64;
        let fullness = fullness(wanted, resource, tenant, limits);
        let is_below_level = || fullness <= resource.level(now, lending_limit.min(used - LEVEL_MARGIN));
        if limits.may_borrow() && (total + 1.0 <= lending_limit || is_below_level()) {
            return QuotaStanding::Borrowing;
        }
        let time_constant = RATE_TIME_CONSTANT as f64;
        let first = time_constant * (wanted / local_quota).ln();
        QuotaStanding::Exceeded(ExpectedCapacity { first, each: time_constant / local_quota }, reason)
    }
}
