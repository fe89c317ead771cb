//! One resource and which tenant uses how much of it: established connections, which are held and given back, or a rate
//! such as set-ups, whose uses decay with time.
//!
//! All uses of a rate decay alike, so they are kept as they would be at the time of the last rebuild: then nothing
//! changes with time but one common factor, and no tenant is touched unless it acts.

use std::collections::VecDeque;

use shorewharf_units::Micros;

use crate::decision::TenantIndex;
use crate::fullness_table::{Bucket, FullnessTable, QuotaUse, bucket_of};

/// Uses of a rate are rebuilt after so many time constants: factors stay below e^12.
const REBUILD_AFTER_TIME_CONSTANTS: u64 = 12;
/// A tenant that has not acted for so many time constants counts as using nothing.
const FORGET_AFTER_TIME_CONSTANTS: u64 = 4;
/// Sums of held uses are rebuilt after so many changes, which keeps rounding errors far below one connection.
const CHANGES_PER_REBUILD: u32 = 1 << 20;
/// Ticks of a tenant's last action in a time constant.
const TICKS_PER_TIME_CONSTANT: u64 = 1000;

/// One tenant's quota and use. Single precision, so that 10,000 of them stay in a core's cache: 24 bits
/// count connections exactly up to 16 million.
#[derive(Clone, Copy, Debug, Default)]
struct TenantUse {
    /// Quota of the whole fleet.
    quota: f32,
    /// The quota times the tenant's weight.
    weighted_quota: f32,
    used: f32,
    /// Tick of its last action (rates).
    acted_at: u32,
    bucket: Option<Bucket>,
}

impl TenantUse {
    /// What it adds to the sums.
    fn summand(&self) -> QuotaUse {
        QuotaUse { weighted_quota: f64::from(self.weighted_quota), used: f64::from(self.used) }
    }

    /// What takes it out of the sums.
    fn negated(&self) -> QuotaUse {
        QuotaUse { weighted_quota: f64::from(-self.weighted_quota), used: f64::from(-self.used) }
    }
}

/// An action on a rate.
#[derive(Clone, Copy, Debug)]
struct Action {
    at: Micros,
    tenant: u32,
}

/// One resource.
#[derive(Clone, Debug)]
pub(crate) struct Resource {
    /// Uses fall to 1/e in this time; none for what is held.
    time_constant: Option<Micros>,
    /// Uses are as they would be at this time.
    rebuilt_at: Micros,
    tenants: Vec<TenantUse>,
    table: FullnessTable,
    /// All quotas together, as they are and by weight.
    total_quota: f64,
    total_weighted_quota: f64,
    changes: u32,
    /// Who acted when, the oldest first (rates).
    actions: VecDeque<Action>,
}

impl Resource {
    /// A resource that is held and given back.
    pub fn held() -> Resource {
        Resource {
            time_constant: None,
            rebuilt_at: 0,
            tenants: Vec::new(),
            table: FullnessTable::new(),
            total_quota: 0.0,
            total_weighted_quota: 0.0,
            changes: 0,
            actions: VecDeque::new(),
        }
    }

    /// A resource that comes anew all the time, remembered for about `time_constant`.
    pub fn rate(time_constant: Micros, now: Micros) -> Resource {
        Resource { time_constant: Some(time_constant), rebuilt_at: now, ..Resource::held() }
    }

    /// What one use now counts in the sums.
    fn scale(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.rebuilt_at) as f64;
        self.time_constant.map_or(1.0, |time_constant| (elapsed / time_constant as f64).exp())
    }

    /// A time in ticks; it wraps after 4 million time constants, when the tenant is long forgotten.
    fn tick(&self, now: Micros) -> u32 {
        let tick_length = self.time_constant.map(|t| (t / TICKS_PER_TIME_CONSTANT).max(1));
        tick_length.map_or(0, |length| (now / length) as u32)
    }

    /// Sets a tenant's quota of the whole fleet.
    pub fn set_quota(&mut self, tenant: TenantIndex, quota: f64, weight: f64) {
        if self.tenants.len() <= tenant.0 {
            self.tenants.resize(tenant.0 + 1, TenantUse::default());
        }
        let before = self.tenants[tenant.0];
        if let Some(bucket) = before.bucket {
            self.table.add(bucket, before.negated());
        }
        let (quota, weight) = (quota as f32, weight as f32);
        let weighted_quota = quota * weight;
        self.total_quota += f64::from(quota) - f64::from(before.quota);
        self.total_weighted_quota += f64::from(weighted_quota) - f64::from(before.weighted_quota);
        self.tenants[tenant.0] = TenantUse { quota, weighted_quota, bucket: None, ..before };
        self.insert(tenant.0, before.used);
    }

    /// Puts a tenant that is in no bucket into the one for its use.
    fn insert(&mut self, index: usize, used: f32) {
        let tenant = &mut self.tenants[index];
        tenant.used = used;
        let bucket = || bucket_of(f64::from(used), f64::from(tenant.weighted_quota));
        tenant.bucket = (used > 0.0).then(bucket);
        if let Some(bucket) = tenant.bucket {
            self.table.add(bucket, tenant.summand());
        }
    }

    fn change(&mut self, index: usize, used: f32) {
        let before = self.tenants[index];
        let bucket = || bucket_of(f64::from(used), f64::from(before.weighted_quota));
        match before.bucket {
            Some(current) if used > 0.0 && bucket() == current => {
                let grown = f64::from(used) - f64::from(before.used);
                self.table.add(current, QuotaUse { weighted_quota: 0.0, used: grown });
                self.tenants[index].used = used;
            }
            current => {
                if let Some(current) = current {
                    self.table.add(current, before.negated());
                }
                self.insert(index, used);
            }
        }
    }

    /// Adds one use.
    pub fn acquire(&mut self, now: Micros, tenant: TenantIndex) {
        self.maintain(now);
        let scale = self.scale(now);
        let tick = self.tick(now);
        let Some(member) = self.tenants.get_mut(tenant.0) else { return };
        member.acted_at = tick;
        let used = member.used + scale as f32;
        self.change(tenant.0, used);
        if self.time_constant.is_some() {
            self.actions.push_back(Action { at: now, tenant: tenant.0 as u32 });
        }
    }

    /// Sets what a tenant uses.
    pub fn set_used(&mut self, now: Micros, tenant: TenantIndex, used: f64) {
        let used = (used * self.scale(now)) as f32;
        if tenant.0 < self.tenants.len() {
            self.change(tenant.0, used);
        }
    }

    /// Gives one held use back.
    pub fn release(&mut self, now: Micros, tenant: TenantIndex) {
        self.maintain(now);
        if let Some(member) = self.tenants.get(tenant.0) {
            let used = (member.used - 1.0).max(0.0);
            self.change(tenant.0, used);
        }
    }

    /// Forgets tenants that have not acted for long, and rebuilds the sums where that is due.
    fn maintain(&mut self, now: Micros) {
        self.changes += 1;
        let Some(time_constant) = self.time_constant else {
            if self.changes >= CHANGES_PER_REBUILD {
                self.rebuild(1.0);
            }
            return;
        };
        let is_old = |action: &&Action| now >= action.at + FORGET_AFTER_TIME_CONSTANTS * time_constant;
        while let Some(&Action { at, tenant }) = self.actions.front().filter(is_old) {
            self.actions.pop_front();
            if self.tenants[tenant as usize].acted_at == self.tick(at) {
                self.change(tenant as usize, 0.0);
            }
        }
        if now.saturating_sub(self.rebuilt_at) >= REBUILD_AFTER_TIME_CONSTANTS * time_constant {
            let decay = 1.0 / self.scale(now);
            self.rebuilt_at = now;
            self.rebuild(decay);
        }
    }

    /// Makes all sums anew, each use times `factor`.
    fn rebuild(&mut self, factor: f64) {
        self.changes = 0;
        self.table.clear();
        self.total_quota = self.tenants.iter().map(|tenant| f64::from(tenant.quota)).sum();
        self.total_weighted_quota = self.tenants.iter().map(|tenant| f64::from(tenant.weighted_quota)).sum();
        for index in 0..self.tenants.len() {
            let used = (f64::from(self.tenants[index].used) * factor) as f32;
            self.insert(index, used);
        }
    }

    /// A tenant's quota of the whole fleet.
    pub fn quota(&self, tenant: TenantIndex) -> f64 {
        self.tenants.get(tenant.0).map_or(0.0, |member| f64::from(member.quota))
    }

    /// What a tenant uses.
    pub fn used(&self, now: Micros, tenant: TenantIndex) -> f64 {
        self.tenants.get(tenant.0).map_or(0.0, |member| f64::from(member.used) / self.scale(now))
    }

    /// All quotas together.
    pub fn total_quota(&self) -> f64 {
        self.total_quota
    }

    /// All uses together.
    pub fn total_used(&self, now: Micros) -> f64 {
        (self.table.total_used() / self.scale(now)).max(0.0)
    }

    /// The fullness at which all uses, cut off there, come to `limit`; infinite where they are less.
    pub fn level(&self, now: Micros, limit: f64) -> f64 {
        let scale = self.scale(now);
        self.table.level(limit * scale) / scale
    }

    /// The fullness that tenants with this part of all quotas stay below.
    pub fn quantile(&self, now: Micros, part: f64) -> f64 {
        self.table.quantile(part, self.total_weighted_quota) / self.scale(now)
    }
}
