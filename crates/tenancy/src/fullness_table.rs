//! How full tenants are, as a table that can be asked for a level: how much of their quotas all of them may use for the
//! sum to come to a limit.
//!
//! A tenant's fullness is its use over its quota times its weight. Fullness is sorted into buckets of an eighth of an
//! octave, and two Fenwick trees hold the quotas and the uses of each bucket, so that a change and a query take some
//! ten steps for any number of tenants. A level is exact but for the bucket that it falls into: 9 % at most.

/// Buckets in an octave.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Buckets: fullness from 2^-32 to 2^32, and what lies beyond in the first and the last.
const BUCKETS: usize = 512;
/// The bucket of fullness 1.
const MIDDLE_BUCKET: f64 = 256.0;

/// A bucket of fullness. Tenants that use nothing are in none.
pub(crate) type Bucket = u16;

/// The bucket for this use of a weighted quota.
pub(crate) fn bucket_of(used: f64, weighted_quota: f64) -> Bucket {
    let octaves = (used / weighted_quota.max(f64::MIN_POSITIVE)).log2();
    (octaves * BUCKETS_PER_OCTAVE + MIDDLE_BUCKET).clamp(0.0, BUCKETS as f64 - 1.0) as Bucket
}

/// The fullness at which a bucket begins.
fn bucket_start(bucket: usize) -> f64 {
    ((bucket as f64 - MIDDLE_BUCKET) / BUCKETS_PER_OCTAVE).exp2()
}

/// A weighted quota and what is used of it, of one tenant or a sum over some.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QuotaUse {
    pub weighted_quota: f64,
    pub used: f64,
}

/// Quotas and uses of the tenants that use anything, by fullness.
#[derive(Clone, Debug)]
pub(crate) struct FullnessTable {
    weighted_quotas: Vec<f64>,
    uses: Vec<f64>,
    total: QuotaUse,
}

impl FullnessTable {
    pub fn new() -> FullnessTable {
        FullnessTable {
            weighted_quotas: vec![0.0; BUCKETS + 1],
            uses: vec![0.0; BUCKETS + 1],
            total: QuotaUse::default(),
        }
    }

    pub fn clear(&mut self) {
        self.weighted_quotas.fill(0.0);
        self.uses.fill(0.0);
        self.total = QuotaUse::default();
    }

    /// Adds a quota and its use to a bucket; negative numbers take them out.
    pub fn add(&mut self, bucket: Bucket, added: QuotaUse) {
        self.total.weighted_quota += added.weighted_quota;
        self.total.used += added.used;
        let mut node = usize::from(bucket) + 1;
        while node <= BUCKETS {
            self.weighted_quotas[node] += added.weighted_quota;
            self.uses[node] += added.used;
            node += node & node.wrapping_neg();
        }
    }

    /// All uses together.
    pub fn total_used(&self) -> f64 {
        self.total.used
    }

    /// The last bucket up to which `holds` is true of the sums, with the sums up to there. `holds` is given the number
    /// of buckets summed, and must change from true to false but once.
    fn descend(&self, holds: impl Fn(usize, QuotaUse) -> bool) -> (usize, QuotaUse) {
        let (mut node, mut sums) = (0, QuotaUse::default());
        let mut step = BUCKETS;
        while step > 0 {
            let next = node + step;
            if next <= BUCKETS {
                let next_sums = QuotaUse {
                    weighted_quota: sums.weighted_quota + self.weighted_quotas[next],
                    used: sums.used + self.uses[next],
                };
                if holds(next, next_sums) {
                    (node, sums) = (next, next_sums);
                }
            }
            step /= 2;
        }
        (node, sums)
    }

    /// The fullness at which all uses, cut off there, come to `limit`; infinite where they are less.
    pub fn level(&self, limit: f64) -> f64 {
        if self.total.used <= limit {
            return f64::INFINITY;
        }
        let cut_off = |bucket: usize, sums: QuotaUse| {
            sums.used + bucket_start(bucket) * (self.total.weighted_quota - sums.weighted_quota)
        };
        let (bucket, sums) = self.descend(|bucket, sums| cut_off(bucket, sums) <= limit);
        if bucket >= BUCKETS {
            return f64::INFINITY;
        }
        let quota_above = (self.total.weighted_quota - sums.weighted_quota).max(f64::MIN_POSITIVE);
        ((limit - sums.used) / quota_above).max(0.0)
    }

    /// The fullness that tenants with this part of all quotas stay below. All quotas come to `weighted_quota`; tenants
    /// that use nothing count as empty.
    pub fn quantile(&self, part: f64, weighted_quota: f64) -> f64 {
        let wanted = self.total.weighted_quota - weighted_quota * (1.0 - part);
        if wanted <= 0.0 {
            return 0.0;
        }
        let (bucket, _) = self.descend(|_, sums| sums.weighted_quota < wanted);
        let half_a_bucket = (0.5 / BUCKETS_PER_OCTAVE).exp2();
        bucket_start(bucket) * half_a_bucket
    }
}
