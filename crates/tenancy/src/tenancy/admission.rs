//! Decisions on requests.

use shorewharf_units::Micros;

use super::{PendingAdmission, RATE_TIME_CONSTANT, Tenancy};
use crate::decision::{QuotaDecision, RejectReason, TenantIndex};
use crate::local_fraction;
use crate::resource::Resource;
use crate::retry_after::ExpectedCapacity;
use crate::settings::{TenancySettings, TenantLimits};
use crate::tenant::{SetupKind, TenantState};

/// Random variation of a rate that is tolerated beyond its quota, in standard deviations of a Poisson
/// process.
const TOLERATED_DEVIATIONS: f64 = 1.5;
/// Number of set-ups that are tolerated in addition, so that a tenant with few clients is not rejected
/// because two of them happen to come together.
const TOLERATED_SETUPS: f64 = 2.0;
/// When nothing is left to lend, tenants are capped so that their usage adds up to this number of connections
/// less than now. This puts the tenant with the highest utilization above the cap.
const CAP_MARGIN: f64 = 0.5;

/// The status of a request with respect to one of its tenant's quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
enum QuotaStatus {
    /// The request is within the local quota.
    Within,
    /// The request borrows what other tenants leave unused.
    Borrowing,
    /// The request exceeds what the tenant may use or borrow. Says when capacity is expected again.
    Exceeded(ExpectedCapacity, RejectReason),
}

/// Adds the tolerated random variation to a rate with this mean.
fn with_tolerance(mean: f64) -> f64 {
    mean + TOLERATED_DEVIATIONS * mean.sqrt() + TOLERATED_SETUPS
}

/// Returns a tenant's utilization of a resource at this usage.
fn utilization(used: f64, resource: &Resource, tenant: TenantIndex, limits: TenantLimits) -> f64 {
    used / (resource.quota(tenant) * limits.weight()).max(f64::MIN_POSITIVE)
}

impl Tenancy {
    /// Decides on a request. `is_returning` says whether the client claims to reconnect. A request that may
    /// be admitted is counted only when [`Tenancy::on_admitted`] is called, after all other admission checks.
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
        // If no connection ended recently, a client that claims to reconnect counts as new.
        let is_reconnect = is_returning && record.may_reconnect(now);
        let kind = if is_reconnect { SetupKind::Reconnect } else { SetupKind::New };
        let statuses =
            [self.connection_status(now, tenant, limits), self.rate_status(now, tenant, limits, kind)];
        for status in statuses {
            if let QuotaStatus::Exceeded(capacity, reason) = status {
                return self.reject(now, tenant, capacity, reason);
            }
        }
        let is_borrowing = statuses.contains(&QuotaStatus::Borrowing);
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

    /// Records that the request that was checked last is admitted. It counts as a connection that is being
    /// set up until [`Tenancy::on_established`], [`Tenancy::on_rejected`] or [`Tenancy::on_client_left`] is
    /// called.
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

    /// Returns the status of one more connection with respect to the tenant's quota of connections.
    fn connection_status(&self, now: Micros, tenant: TenantIndex, limits: TenantLimits) -> QuotaStatus {
        let record = &self.tenants[tenant.0];
        let resource = &self.connections;
        let local_quota = self.local_quota(now, tenant);
        let wanted = resource.used(now, tenant) + 1.0;
        let utilization = utilization(wanted, resource, tenant, limits);
        let total = resource.total_used(now);
        let shortage_limit = self.shortage_limit(now);
        let exceeded = |reason| {
            let capacity = record.expected_capacity(now, (wanted - local_quota).max(1.0));
            QuotaStatus::Exceeded(capacity, reason)
        };
        let is_above_cap =
            |limit: f64| utilization > resource.utilization_cap(now, limit.min(total - CAP_MARGIN));
        if wanted <= local_quota {
            // No tenant is preferred to one within its quota. But if capacity does not suffice for all
            // quotas, those with the highest utilization are rejected first, if the settings allow that.
            let ration = shortage_limit.filter(|_| self.settings.rations_within_quota);
            return match ration {
                Some(limit) if is_above_cap(limit) => exceeded(RejectReason::CapacityShort),
                _ => QuotaStatus::Within,
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
        if total + 1.0 <= limit || !is_above_cap(limit) {
            return QuotaStatus::Borrowing;
        }
        let is_short = shortage_limit.is_some();
        exceeded(if is_short { RejectReason::CapacityShort } else { RejectReason::Connections })
    }

    /// Returns the status of one more set-up with respect to the tenant's quota of set-ups or reconnects.
    fn rate_status(
        &self,
        now: Micros,
        tenant: TenantIndex,
        limits: TenantLimits,
        kind: SetupKind,
    ) -> QuotaStatus {
        let (resource, reason) = match kind {
            SetupKind::New => (&self.setups, RejectReason::Setups),
            SetupKind::Reconnect => (&self.reconnects, RejectReason::Reconnects),
        };
        let TenancySettings { instance_count, lending_ratio, .. } = self.settings;
        // If the clients of all tenants come at once, the estimate is above 1, so that no single tenant is
        // rejected for a surge of the whole fleet.
        let estimate = || local_fraction::estimate(resource, now, instance_count, lending_ratio);
        let fraction = self.external_fraction.unwrap_or_else(estimate);
        let local_quota = with_tolerance(resource.quota(tenant) * fraction);
        let wanted = resource.used(now, tenant) + self.tenants[tenant.0].setting_up(kind) + 1.0;
        if wanted <= local_quota {
            return QuotaStatus::Within;
        }
        let lending_limit = resource.total_quota() * fraction * lending_ratio;
        let used = resource.total_used(now);
        let total = used + self.setting_up[kind as usize] as f64;
        let utilization = utilization(wanted, resource, tenant, limits);
        let is_below_cap =
            || utilization <= resource.utilization_cap(now, lending_limit.min(used - CAP_MARGIN));
        if limits.may_borrow() && (total + 1.0 <= lending_limit || is_below_cap()) {
            return QuotaStatus::Borrowing;
        }
        let time_constant = RATE_TIME_CONSTANT as f64;
        let first = time_constant * (wanted / local_quota).ln();
        QuotaStatus::Exceeded(ExpectedCapacity { first, each: time_constant / local_quota }, reason)
    }
}
