//! All tenants of one instance: their limits, their connections, and the decisions on their requests.
//!
//! [`Tenancy`] owns all state. Its methods are in several modules: `admission` decides on requests,
//! `connections` follows admitted requests and their connections, `removal` migrates the connections of
//! removed tenants, and `report` returns statistics.

mod admission;
mod connections;
mod removal;
mod report;

use std::collections::BTreeSet;

use shorewharf_units::Micros;

use crate::decision::TenantIndex;
use crate::local_fraction;
use crate::resource::Resource;
use crate::settings::{TenancySettings, TenantLimits};
use crate::shortage::CapacityShortage;
use crate::tenant::{SetupKind, Tenant, TenantState};

/// Time constant of the rates of set-ups and reconnects.
const RATE_TIME_CONSTANT: Micros = 4_000_000;
/// Time within which a tenant's whole quota of connections may reconnect, in microseconds. A server needs
/// about as long to set up its part of a whole fleet's connections.
const RECONNECT_PERIOD: f64 = 8e6;
const MICROS_PER_SECOND: f64 = shorewharf_units::MICROS_PER_SECOND as f64;

/// A number of a removed tenant's connections that are to migrate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueMigrations {
    /// The removed tenant.
    pub tenant: TenantIndex,
    /// Number of its connections that are to migrate.
    pub count: u32,
}

/// A request that was checked and may be admitted, until [`Tenancy::on_admitted`] confirms it.
#[derive(Clone, Copy, Debug)]
struct PendingAdmission {
    tenant: TenantIndex,
    /// The kind of its set-up; `None` if the tenant is not limited.
    kind: Option<SetupKind>,
    is_borrowing: bool,
}

/// All tenants of one instance.
#[derive(Clone, Debug)]
pub struct Tenancy {
    settings: TenancySettings,
    /// Fraction of the fleet's traffic that comes to this instance, if the caller has set it.
    external_fraction: Option<f64>,
    tenants: Vec<Tenant>,
    connections: Resource,
    setups: Resource,
    reconnects: Resource,
    /// Number of connections of all tenants that are being set up, by kind.
    setting_up: [u64; SetupKind::COUNT],
    shortage: CapacityShortage,
    /// Removed tenants that still have connections.
    draining: BTreeSet<TenantIndex>,
    /// Number of migrations that may be asked for, as of `migrated_at`.
    migration_tokens: f64,
    migrated_at: Micros,
    unknown_tenant_requests: u64,
    pending: Option<PendingAdmission>,
}

impl Tenancy {
    /// Creates an instance without tenants.
    pub fn new(settings: TenancySettings, now: Micros) -> Tenancy {
        Tenancy {
            settings,
            external_fraction: None,
            tenants: Vec::new(),
            connections: Resource::concurrency(),
            setups: Resource::rate(RATE_TIME_CONSTANT, now),
            reconnects: Resource::rate(RATE_TIME_CONSTANT, now),
            setting_up: [0; SetupKind::COUNT],
            shortage: CapacityShortage::default(),
            draining: BTreeSet::new(),
            migration_tokens: 0.0,
            migrated_at: now,
            unknown_tenant_requests: 0,
            pending: None,
        }
    }

    /// Applies new settings. Connections and estimates are kept.
    pub fn update_settings(&mut self, settings: TenancySettings) {
        self.settings = settings;
    }

    /// Sets the fraction of the fleet's traffic that comes to this instance, from 0 to 1, for callers that
    /// see the whole fleet. With `None`, the fraction is estimated.
    pub fn set_local_fraction(&mut self, fraction: Option<f64>) {
        self.external_fraction = fraction.filter(|fraction| fraction.is_finite() && *fraction > 0.0);
    }

    /// Adds a tenant or changes its limits. A tenant with the limits `None` is counted but not limited. No
    /// connection is ended when a quota is lowered below the number of connections. A removed tenant stays
    /// removed.
    pub fn set_limits(&mut self, now: Micros, tenant: TenantIndex, limits: Option<TenantLimits>) {
        while self.tenants.len() <= tenant.0 {
            self.tenants.push(Tenant::new(None));
        }
        let record = &mut self.tenants[tenant.0];
        if record.state == TenantState::Removed {
            return;
        }
        let before = std::mem::replace(&mut record.limits, limits);
        self.apply_quotas(now, tenant);
        let is_lowered = match (before, limits) {
            (Some(before), Some(limits)) => limits.connections() < before.connections(),
            (before, limits) => before.is_none() && limits.is_some(),
        };
        if limits.is_none() || self.is_within_quota(now, tenant) {
            self.tenants[tenant.0].state = TenantState::Active;
        } else if is_lowered {
            self.tenants[tenant.0].state = TenantState::OverLoweredQuota;
        }
    }

    /// Applies a tenant's limits to the resources.
    fn apply_quotas(&mut self, now: Micros, tenant: TenantIndex) {
        let Some(record) = self.tenants.get(tenant.0) else { return };
        let (connections, setups_per_second, weight) = match record.limits {
            Some(limits) => (limits.connections(), limits.setups_per_second(), limits.weight()),
            None => (0.0, 0.0, 1.0),
        };
        // The connections of a tenant without limits must not reduce what other tenants may use.
        let used = if record.is_counted() { f64::from(record.connections) } else { 0.0 };
        let time_constant = RATE_TIME_CONSTANT as f64;
        self.connections.set_quota(tenant, connections, weight);
        self.setups.set_quota(tenant, setups_per_second * time_constant / MICROS_PER_SECOND, weight);
        self.reconnects.set_quota(tenant, connections * time_constant / RECONNECT_PERIOD, weight);
        self.connections.set_used(now, tenant, used);
    }

    /// Fraction of each tenant's quota of connections that applies to this instance.
    fn connection_fraction(&self, now: Micros) -> f64 {
        let ordinary_utilization =
            if self.shortage_limit(now).is_some() { 1.0 } else { self.settings.lending_ratio };
        let instance_count = self.settings.instance_count;
        let estimate =
            || local_fraction::estimate(&self.connections, now, instance_count, ordinary_utilization);
        self.external_fraction.unwrap_or_else(estimate).min(1.0)
    }

    /// Returns the limit on connections while capacity is short, or `None` if it allows one more connection.
    fn shortage_limit(&self, now: Micros) -> Option<f64> {
        let connections = self.connections.total_used(now);
        self.shortage.limit(now, connections).filter(|limit| *limit < connections + 1.0)
    }

    /// The part of a tenant's quota of connections that applies to this instance. It is rounded up to a whole
    /// number of connections. One is added, up to the whole quota, since the clients of a small tenant are
    /// not spread evenly over all instances.
    fn local_quota(&self, now: Micros, tenant: TenantIndex) -> f64 {
        let quota = self.connections.quota(tenant);
        ((quota * self.connection_fraction(now)).ceil() + 1.0).min(quota.ceil())
    }

    /// Whether a tenant's connections are within its local quota.
    fn is_within_quota(&self, now: Micros, tenant: TenantIndex) -> bool {
        f64::from(self.tenants[tenant.0].connections) <= self.local_quota(now, tenant)
    }
}
