//! The tenants' quotas and usage of one resource. A resource is either a concurrency, such as connections,
//! which are acquired and released, or a rate, such as set-ups, whose usage decays with time.
//!
//! All usage of a rate decays alike, so it is stored in units as of the last rebuild of the table. Then only
//! one common scale changes with time, and a tenant's entry changes only when it acquires something.

use std::collections::VecDeque;

use shorewharf_units::Micros;

use crate::decision::TenantIndex;
use crate::utilization_table::{Bucket, QuotaUsage, UtilizationTable, bucket_of};

/// Number of time constants after which the table of a rate is rebuilt, which keeps the scale below e^12.
const REBUILD_AFTER_TIME_CONSTANTS: u64 = 12;
/// Number of time constants without an acquisition after which a tenant's usage of a rate counts as 0.
const FORGET_AFTER_TIME_CONSTANTS: u64 = 4;
/// Number of changes after which the table of a concurrency is rebuilt, which keeps the rounding errors of
/// its sums far below one connection.
const CHANGES_PER_REBUILD: u32 = 1 << 20;
/// Resolution of the time of a tenant's last acquisition, in ticks for each time constant.
const TICKS_PER_TIME_CONSTANT: u64 = 1000;

/// A tenant's quota and usage. Single precision keeps the entries of 10,000 tenants in a core's cache. Its 24
/// bits count connections exactly up to 16 million.
#[derive(Clone, Copy, Debug, Default)]
struct TenantUsage {
    /// The tenant's quota over the whole fleet.
    quota: f32,
    /// The quota times the tenant's weight.
    weighted_quota: f32,
    used: f32,
    /// Tick of the last acquisition (rates only).
    acquired_at: u32,
    bucket: Option<Bucket>,
}

impl TenantUsage {
    /// The quota and usage, to be added to the table.
    fn quota_usage(&self) -> QuotaUsage {
        QuotaUsage { weighted_quota: f64::from(self.weighted_quota), used: f64::from(self.used) }
    }

    /// The negative quota and usage, to be subtracted from the table.
    fn negated_quota_usage(&self) -> QuotaUsage {
        QuotaUsage { weighted_quota: f64::from(-self.weighted_quota), used: f64::from(-self.used) }
    }
}

/// A tenant's acquisition of one unit of a rate.
#[derive(Clone, Copy, Debug)]
struct Acquisition {
    at: Micros,
    tenant: u32,
}

/// The quotas and the usage of one resource, by tenant.
#[derive(Clone, Debug)]
pub(crate) struct Resource {
    /// Time in which usage falls to 1/e; `None` for a concurrency.
    time_constant: Option<Micros>,
    /// Usage is stored in units as of this time.
    rebuilt_at: Micros,
    tenants: Vec<TenantUsage>,
    table: UtilizationTable,
    /// Sum of all quotas.
    total_quota: f64,
    /// Sum of all quotas times their tenants' weights.
    total_weighted_quota: f64,
    /// Number of changes since the last rebuild.
    changes: u32,
    /// Recent acquisitions, the oldest first (rates only).
    acquisitions: VecDeque<Acquisition>,
}

impl Resource {
    /// Creates a concurrency, whose units are acquired and released.
    pub fn concurrency() -> Resource {
        Resource {
            time_constant: None,
            rebuilt_at: 0,
            tenants: Vec::new(),
            table: UtilizationTable::new(),
            total_quota: 0.0,
            total_weighted_quota: 0.0,
            changes: 0,
            acquisitions: VecDeque::new(),
        }
    }

    /// Creates a rate, whose usage falls to 1/e within `time_constant`.
    pub fn rate(time_constant: Micros, now: Micros) -> Resource {
        Resource { time_constant: Some(time_constant), rebuilt_at: now, ..Resource::concurrency() }
    }

    /// What one unit that is acquired at `now` counts in stored units.
    fn scale(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.rebuilt_at) as f64;
        self.time_constant.map_or(1.0, |time_constant| (elapsed / time_constant as f64).exp())
    }

    /// Converts a time to ticks. The result wraps around after 4 million time constants, long after the usage
    /// of a tenant has been set to 0.
    fn tick(&self, now: Micros) -> u32 {
        let tick_length = self.time_constant.map(|t| (t / TICKS_PER_TIME_CONSTANT).max(1));
        tick_length.map_or(0, |length| (now / length) as u32)
    }

    /// Sets a tenant's quota over the whole fleet, and its weight.
    pub fn set_quota(&mut self, tenant: TenantIndex, quota: f64, weight: f64) {
        if self.tenants.len() <= tenant.0 {
            self.tenants.resize(tenant.0 + 1, TenantUsage::default());
        }
        let before = self.tenants[tenant.0];
        if let Some(bucket) = before.bucket {
            self.table.add(bucket, before.negated_quota_usage());
        }
        let (quota, weight) = (quota as f32, weight as f32);
        let weighted_quota = quota * weight;
        self.total_quota += f64::from(quota) - f64::from(before.quota);
        self.total_weighted_quota += f64::from(weighted_quota) - f64::from(before.weighted_quota);
        self.tenants[tenant.0] = TenantUsage { quota, weighted_quota, bucket: None, ..before };
        self.insert_into_bucket(tenant.0, before.used);
    }

    /// Sets the usage of a tenant that is in no bucket, and adds it to the bucket for that usage.
    fn insert_into_bucket(&mut self, index: usize, used: f32) {
        let tenant = &mut self.tenants[index];
        tenant.used = used;
        let bucket = || bucket_of(f64::from(used), f64::from(tenant.weighted_quota));
        tenant.bucket = (used > 0.0).then(bucket);
        if let Some(bucket) = tenant.bucket {
            self.table.add(bucket, tenant.quota_usage());
        }
    }

    /// Changes the usage of a tenant, in stored units.
    fn change_usage(&mut self, index: usize, used: f32) {
        let before = self.tenants[index];
        let bucket = || bucket_of(f64::from(used), f64::from(before.weighted_quota));
        match before.bucket {
            Some(current) if used > 0.0 && bucket() == current => {
                let difference = f64::from(used) - f64::from(before.used);
                self.table.add(current, QuotaUsage { weighted_quota: 0.0, used: difference });
                self.tenants[index].used = used;
            }
            current => {
                if let Some(current) = current {
                    self.table.add(current, before.negated_quota_usage());
                }
                self.insert_into_bucket(index, used);
            }
        }
    }

    /// Acquires one unit for a tenant.
    pub fn acquire(&mut self, now: Micros, tenant: TenantIndex) {
        self.maintain(now);
        let scale = self.scale(now);
        let tick = self.tick(now);
        let Some(usage) = self.tenants.get_mut(tenant.0) else { return };
        usage.acquired_at = tick;
        let used = usage.used + scale as f32;
        self.change_usage(tenant.0, used);
        if self.time_constant.is_some() {
            self.acquisitions.push_back(Acquisition { at: now, tenant: tenant.0 as u32 });
        }
    }

    /// Sets the usage of a tenant.
    pub fn set_used(&mut self, now: Micros, tenant: TenantIndex, used: f64) {
        let used = (used * self.scale(now)) as f32;
        if tenant.0 < self.tenants.len() {
            self.change_usage(tenant.0, used);
        }
    }

    /// Releases one unit that a tenant has acquired of a concurrency.
    pub fn release(&mut self, now: Micros, tenant: TenantIndex) {
        self.maintain(now);
        if let Some(usage) = self.tenants.get(tenant.0) {
            let used = (usage.used - 1.0).max(0.0);
            self.change_usage(tenant.0, used);
        }
    }

    /// Sets the usage of tenants to 0 that have not acquired anything for long, and rebuilds the table when
    /// that is due.
    fn maintain(&mut self, now: Micros) {
        self.changes += 1;
        let Some(time_constant) = self.time_constant else {
            if self.changes >= CHANGES_PER_REBUILD {
                self.rebuild(1.0);
            }
            return;
        };
        let is_old =
            |acquisition: &&Acquisition| now >= acquisition.at + FORGET_AFTER_TIME_CONSTANTS * time_constant;
        while let Some(&Acquisition { at, tenant }) = self.acquisitions.front().filter(is_old) {
            self.acquisitions.pop_front();
            if self.tenants[tenant as usize].acquired_at == self.tick(at) {
                self.change_usage(tenant as usize, 0.0);
            }
        }
        if now.saturating_sub(self.rebuilt_at) >= REBUILD_AFTER_TIME_CONSTANTS * time_constant {
            let decay = 1.0 / self.scale(now);
            self.rebuilt_at = now;
            self.rebuild(decay);
        }
    }

    /// Multiplies all usage by `factor`, and rebuilds the table and the sums.
    fn rebuild(&mut self, factor: f64) {
        self.changes = 0;
        self.table.clear();
        self.total_quota = self.tenants.iter().map(|tenant| f64::from(tenant.quota)).sum();
        self.total_weighted_quota = self.tenants.iter().map(|tenant| f64::from(tenant.weighted_quota)).sum();
        for index in 0..self.tenants.len() {
            let used = (f64::from(self.tenants[index].used) * factor) as f32;
            self.insert_into_bucket(index, used);
        }
    }

    /// A tenant's quota over the whole fleet.
    pub fn quota(&self, tenant: TenantIndex) -> f64 {
        self.tenants.get(tenant.0).map_or(0.0, |usage| f64::from(usage.quota))
    }

    /// The usage of a tenant.
    pub fn used(&self, now: Micros, tenant: TenantIndex) -> f64 {
        self.tenants.get(tenant.0).map_or(0.0, |usage| f64::from(usage.used) / self.scale(now))
    }

    /// The sum of all quotas.
    pub fn total_quota(&self) -> f64 {
        self.total_quota
    }

    /// The usage of all tenants together.
    pub fn total_used(&self, now: Micros) -> f64 {
        (self.table.total_used() / self.scale(now)).max(0.0)
    }

    /// Returns the utilization at which all tenants must be capped for their usage to add up to `limit`.
    /// Returns infinity if the usage is not above the limit.
    pub fn utilization_cap(&self, now: Micros, limit: f64) -> f64 {
        let scale = self.scale(now);
        self.table.utilization_cap(limit * scale) / scale
    }

    /// Returns the quantile of utilization, where tenants count by their weighted quotas: tenants with the
    /// fraction `ratio` of all quotas are below it.
    pub fn quantile(&self, now: Micros, ratio: f64) -> f64 {
        self.table.quantile(ratio, self.total_weighted_quota) / self.scale(now)
    }
}
