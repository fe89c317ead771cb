//! How full tenants are, as a table that is asked for a level: how much of their shares all of them may hold for the
//! sum to come to so much.
//!
//! A tenant's fullness is its use over its share times its weight. Fullness is sorted into buckets of an eighth of an
//! octave, and two Fenwick trees hold the shares and the uses of each bucket, so that a change and a question take some
//! ten steps for any number of tenants. A level is exact but for the bucket that it falls into: 9 % at most.

/// Buckets in an octave.
const FINE: f64 = 8.0;
/// Buckets: fullness from 2^-32 to 2^32, and what lies beyond in the first and the last.
const BUCKETS: usize = 512;
const MIDDLE: f64 = 256.0;

/// A bucket of fullness. Tenants that use nothing are in none.
pub(crate) type Bucket = u16;

/// The bucket of this use of a share.
pub(crate) fn bucket(used: f64, span: f64) -> Bucket {
    let octaves = (used / span.max(f64::MIN_POSITIVE)).log2();
    (octaves * FINE + MIDDLE).clamp(0.0, BUCKETS as f64 - 1.0) as Bucket
}

/// The fullness at which a bucket begins.
fn begins(at: usize) -> f64 {
    ((at as f64 - MIDDLE) / FINE).exp2()
}

/// Shares and uses of those who use anything, by fullness.
#[derive(Clone, Debug)]
pub(crate) struct Levels {
    spans: Vec<f64>,
    uses: Vec<f64>,
    /// Sums over all buckets.
    span: f64,
    used: f64,
}

impl Levels {
    pub fn new() -> Levels {
        Levels { spans: vec![0.0; BUCKETS + 1], uses: vec![0.0; BUCKETS + 1], span: 0.0, used: 0.0 }
    }

    pub fn clear(&mut self) {
        self.spans.fill(0.0);
        self.uses.fill(0.0);
        (self.span, self.used) = (0.0, 0.0);
    }

    /// Adds a share and its use to a bucket; below 0 to take them out.
    pub fn add(&mut self, bucket: Bucket, span: f64, used: f64) {
        self.span += span;
        self.used += used;
        let mut at = usize::from(bucket) + 1;
        while at <= BUCKETS {
            self.spans[at] += span;
            self.uses[at] += used;
            at += at & at.wrapping_neg();
        }
    }

    /// Adds to a use that stays in its bucket.
    pub fn grow(&mut self, bucket: Bucket, used: f64) {
        self.add(bucket, 0.0, used);
    }

    /// All uses together.
    pub fn used(&self) -> f64 {
        self.used
    }

    /// The last place in the trees up to which `within` holds, with the sums up to there; `within` is told how many
    /// buckets a sum takes in, and must fall from true to false but once.
    fn descend(&self, within: impl Fn(usize, f64, f64) -> bool) -> (usize, f64, f64) {
        let (mut at, mut span, mut used) = (0, 0.0, 0.0);
        let mut step = BUCKETS;
        while step > 0 {
            let next = at + step;
            if next <= BUCKETS {
                let (s, u) = (span + self.spans[next], used + self.uses[next]);
                if within(next, s, u) {
                    (at, span, used) = (next, s, u);
                }
            }
            step /= 2;
        }
        (at, span, used)
    }

    /// The fullness at which all uses, cut off there, come to `limit`; infinite where they are less.
    pub fn level(&self, limit: f64) -> f64 {
        if self.used <= limit {
            return f64::INFINITY;
        }
        let cut = |at: usize, span: f64, used: f64| used + begins(at) * (self.span - span);
        let (at, span, used) = self.descend(|at, span, used| cut(at, span, used) <= limit);
        if at >= BUCKETS {
            return f64::INFINITY;
        }
        ((limit - used) / (self.span - span).max(f64::MIN_POSITIVE)).max(0.0)
    }

    /// The fullness that this part of all shares, which come to `span`, stays below; those that are not in use count as
    /// empty.
    pub fn quantile(&self, part: f64, span: f64) -> f64 {
        let wanted = self.span - span * (1.0 - part);
        if wanted <= 0.0 {
            return 0.0;
        }
        let (at, ..) = self.descend(|_, span, _| span < wanted);
        // The middle of the bucket that takes the sum past the part.
        begins(at) * (0.5 / FINE).exp2()
    }
}
