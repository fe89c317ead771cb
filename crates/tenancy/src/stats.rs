//! What tenancy tells of itself: plain figures, taken at one moment.

use crate::{Place, Why};

/// One tenant, as this instance sees it. Counts go on from the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantStats {
    /// Its share of connections over the whole fleet; none where it is not limited.
    pub share: Option<f64>,
    /// What of that is this instance's part.
    pub own: f64,
    /// Connections that stand or are being set up here.
    pub used: u64,
    /// Those of them beyond its own part: lent to it.
    pub borrowed: f64,
    /// It was removed.
    pub removed: bool,
    /// Its share was lowered below what stands here.
    pub lowered: bool,
    /// Requests admitted.
    pub admitted: u64,
    /// Those of them beyond its own part when they came.
    pub admitted_on_loan: u64,
    /// Requests turned away, by reason, as in [`Why::ALL`].
    pub turned_away: [u64; Why::ALL.len()],
    /// Requests that the decision module refused after they were admitted.
    pub refused: u64,
    /// Connections that were up.
    pub set_up: u64,
    /// Streams that were asked to move because it was removed.
    pub moved: u64,
}

impl TenantStats {
    /// Requests turned away for this reason.
    pub fn turned_away_for(&self, why: Why) -> u64 {
        let at = Why::ALL.iter().position(|w| *w == why);
        at.and_then(|i| self.turned_away.get(i)).copied().unwrap_or(0)
    }
}

/// All of it, as this instance sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stats {
    /// The part of everybody's share of connections that is taken for this instance's.
    pub part: f64,
    /// All shares of connections together, over the whole fleet.
    pub shares: f64,
    /// Connections of limited tenants that stand or are being set up here.
    pub used: f64,
    /// Beyond so many nothing is lent.
    pub lends_up_to: f64,
    /// What may stand while capacity is short; none while it is not.
    pub short: Option<f64>,
    /// Requests that named a place where no tenant ever was.
    pub unknown: u64,
    /// By place.
    pub tenants: Vec<(Place, TenantStats)>,
}
