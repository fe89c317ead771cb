//! A table of the tenants' utilization of their quotas. It gives the utilization at which all tenants must be
//! capped for their usage to add up to a limit.
//!
//! A tenant's utilization is its usage over its weighted quota. Utilization is sorted into buckets of an
//! eighth of an octave, and two Fenwick trees hold the quotas and the usage of each bucket, so that an update
//! and a query take about ten steps for any number of tenants. A result is exact to within one bucket, which
//! is 9 % at most.

/// Number of buckets in an octave.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Number of buckets. They cover utilization from 2^-32 to 2^32. Lower and higher values are in the first and
/// the last bucket.
const BUCKETS: usize = 512;
/// The bucket of utilization 1.
const MIDDLE_BUCKET: f64 = 256.0;

/// Index of a bucket of utilization. Tenants without usage are in no bucket.
pub(crate) type Bucket = u16;

/// Returns the bucket for this usage of a weighted quota.
pub(crate) fn bucket_of(used: f64, weighted_quota: f64) -> Bucket {
    let octaves = (used / weighted_quota.max(f64::MIN_POSITIVE)).log2();
    (octaves * BUCKETS_PER_OCTAVE + MIDDLE_BUCKET).clamp(0.0, BUCKETS as f64 - 1.0) as Bucket
}

/// Returns the utilization at which a bucket begins.
fn bucket_start(bucket: usize) -> f64 {
    ((bucket as f64 - MIDDLE_BUCKET) / BUCKETS_PER_OCTAVE).exp2()
}

/// A weighted quota and its usage, of one tenant or summed over several.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QuotaUsage {
    pub weighted_quota: f64,
    pub used: f64,
}

/// Quotas and usage of the tenants that have any usage, by utilization.
#[derive(Clone, Debug)]
pub(crate) struct UtilizationTable {
    weighted_quotas: Vec<f64>,
    usages: Vec<f64>,
    total: QuotaUsage,
}

impl UtilizationTable {
    pub fn new() -> UtilizationTable {
        UtilizationTable {
            weighted_quotas: vec![0.0; BUCKETS + 1],
            usages: vec![0.0; BUCKETS + 1],
            total: QuotaUsage::default(),
        }
    }

    pub fn clear(&mut self) {
        self.weighted_quotas.fill(0.0);
        self.usages.fill(0.0);
        self.total = QuotaUsage::default();
    }

    /// Adds a quota and its usage to a bucket. Negative numbers subtract them.
    pub fn add(&mut self, bucket: Bucket, added: QuotaUsage) {
        self.total.weighted_quota += added.weighted_quota;
        self.total.used += added.used;
        let mut node = usize::from(bucket) + 1;
        while node <= BUCKETS {
            self.weighted_quotas[node] += added.weighted_quota;
            self.usages[node] += added.used;
            node += node & node.wrapping_neg();
        }
    }

    /// The usage of all tenants together.
    pub fn total_used(&self) -> f64 {
        self.total.used
    }

    /// Finds the longest run of buckets from the first one for which `holds` is true. Returns the number of
    /// buckets and the sums over them. `holds` gets the same, and must not become true again after it has
    /// become false.
    fn descend(&self, holds: impl Fn(usize, QuotaUsage) -> bool) -> (usize, QuotaUsage) {
        let (mut node, mut sums) = (0, QuotaUsage::default());
        let mut step = BUCKETS;
        while step > 0 {
            let next = node + step;
            if next <= BUCKETS {
                let next_sums = QuotaUsage {
                    weighted_quota: sums.weighted_quota + self.weighted_quotas[next],
                    used: sums.used + self.usages[next],
                };
                if holds(next, next_sums) {
                    (node, sums) = (next, next_sums);
                }
            }
            step /= 2;
        }
        (node, sums)
    }

    /// Returns the utilization at which all tenants must be capped for their usage to add up to `limit`.
    /// Returns infinity if the usage is not above the limit.
    pub fn utilization_cap(&self, limit: f64) -> f64 {
        if self.total.used <= limit {
            return f64::INFINITY;
        }
        let capped_usage = |bucket: usize, sums: QuotaUsage| {
            sums.used + bucket_start(bucket) * (self.total.weighted_quota - sums.weighted_quota)
        };
        let (bucket, sums) = self.descend(|bucket, sums| capped_usage(bucket, sums) <= limit);
        if bucket >= BUCKETS {
            return f64::INFINITY;
        }
        let quota_above = (self.total.weighted_quota - sums.weighted_quota).max(f64::MIN_POSITIVE);
        ((limit - sums.used) / quota_above).max(0.0)
    }

    /// Returns the quantile of utilization, where tenants count by their weighted quotas: tenants with the
    /// fraction `ratio` of all quotas are below it. All quotas add up to `weighted_quota`. Tenants without
    /// usage count as 0.
    pub fn quantile(&self, ratio: f64, weighted_quota: f64) -> f64 {
        let quota_below = self.total.weighted_quota - weighted_quota * (1.0 - ratio);
        if quota_below <= 0.0 {
            return 0.0;
        }
        let (bucket, _) = self.descend(|_, sums| sums.weighted_quota < quota_below);
        let half_a_bucket = (0.5 / BUCKETS_PER_OCTAVE).exp2();
        bucket_start(bucket) * half_a_bucket
    }
}
