//! Whether capacity is short: the decision module refuses what was admitted.
//!
//! Only the module knows servers. What it says by refusing is taken as a limit on all that stands here: a little under
//! what stood when it refused, lower while it goes on refusing, and rising again by itself.

use shorewharf_units::Micros;

/// Refusals and requests are remembered for about so long.
const SPAN: Micros = 2_000_000;
/// Capacity is short when this part of the requests is refused ...
const PART: f64 = 0.15;
/// ... and at least so many were: one client that could not be placed shows nothing.
const LEAST: f64 = 4.0;
/// A step lowers the limit to this part of what stands; steps are so far apart. A tenant whose connections last 20 s
/// gives back 5 % of them in a second: steps that are no faster take back what has ended already.
const STEP: f64 = 0.98;
const STEP_EVERY: Micros = 500_000;
/// The limit grows by e in so long, and is forgotten once it is so many times what stands.
const GROWS: f64 = 60e6;
const FORGOTTEN: f64 = 1.3;

#[derive(Clone, Copy, Debug)]
struct Limit {
    to: f64,
    since: Micros,
}

/// What the module's refusals say.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shortage {
    admitted: f64,
    refused: f64,
    at: Micros,
    limit: Option<Limit>,
}

impl Shortage {
    fn melt(&mut self, now: Micros) {
        let left = (-(now.saturating_sub(self.at) as f64) / SPAN as f64).exp();
        self.admitted *= left;
        self.refused *= left;
        self.at = self.at.max(now);
    }

    /// A request goes to the module.
    pub fn admitted(&mut self, now: Micros) {
        self.melt(now);
        self.admitted += 1.0;
    }

    /// The module has refused one; `total` stands or waits here without it.
    pub fn refused(&mut self, now: Micros, total: f64) {
        self.melt(now);
        self.refused += 1.0;
        if self.refused < LEAST || self.refused < PART * self.admitted {
            return;
        }
        let early = |l: &Limit| now < l.since + STEP_EVERY;
        if !self.limit.as_ref().is_some_and(early) {
            let to = (total * STEP).min(self.limit(now, total).unwrap_or(f64::INFINITY));
            self.limit = Some(Limit { to, since: now });
        }
    }

    /// What may stand here, while capacity is short.
    pub fn limit(&self, now: Micros, total: f64) -> Option<f64> {
        let l = self.limit?;
        let to = l.to * (now.saturating_sub(l.since) as f64 / GROWS).exp();
        (to < total * FORGOTTEN).then_some(to)
    }
}
