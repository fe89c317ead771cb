//! Owns the count of what was asked, served, refused and repeated within the last seconds.

/// Length of a part, in seconds, and parts of the window: five seconds hold enough to tell a rate from chance, and few
/// enough that a failure shows within one.
const PART: f64 = 0.5;
const PARTS: usize = 10;

/// Counts of one part, or of the whole window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests that came up.
    pub served: u32,
    /// Requests refused or failed for good.
    pub refused: u32,
    /// First attempts.
    pub first: u32,
    /// Repeats.
    pub repeats: u32,
}

/// The window.
#[derive(Clone, Debug, Default)]
pub struct Gauge {
    parts: [Counts; PARTS],
    /// Number of the part that is filled now, since time 0.
    at: u64,
}

impl Gauge {
    /// The counts that are filled now.
    pub fn now(&mut self, now: f64) -> &mut Counts {
        let at = (now.max(0.0) / PART) as u64;
        if at > self.at {
            let past = (at - self.at).min(PARTS as u64);
            (1..=past).for_each(|i| self.parts[((self.at + i) % PARTS as u64) as usize] = Counts::default());
            if past == PARTS as u64 {
                self.parts = [Counts::default(); PARTS];
            }
            self.at = at;
        }
        &mut self.parts[(self.at % PARTS as u64) as usize]
    }

    /// The whole window.
    pub fn sum(&mut self, now: f64) -> Counts {
        self.now(now);
        self.parts.iter().fold(Counts::default(), |t, p| Counts {
            served: t.served + p.served,
            refused: t.refused + p.refused,
            first: t.first + p.first,
            repeats: t.repeats + p.repeats,
        })
    }

    /// Its length in seconds.
    pub fn span() -> f64 {
        PART * PARTS as f64
    }
}

/// The share of `n` that `k` stand for at least, by what chance leaves of a count: few say little.
pub fn share(k: u32, n: u32) -> f64 {
    let k = f64::from(k);
    ((k - k.sqrt()) / f64::from(n.max(1))).max(0.0)
}
