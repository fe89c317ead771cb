//! Which part of the fleet's traffic comes to this instance.
//!
//! Shares are agreed on for the whole fleet, and an instance sees its own traffic alone. An even part is wrong wherever
//! zones differ, fronts rebalance or siblings die, and it is wrong on the bad side: the busiest instance would turn
//! tenants away that are within their shares. What shows the true part is that it is the same for all tenants: where
//! even those who use least of their shares are full, the instance has more than an even part. The lower third of the
//! shares in use is asked for it, which two flooding tenants of four can't move.

use crate::Micros;
use crate::pool::Pool;

/// Tenants with this part of the shares in use are less full than the level that speaks for ordinary tenants.
const ORDINARY: f64 = 0.3;

/// The part of everybody's share that is this instance's, from 0 to 1 (1 and more for flows, where all come at once).
/// `told` is what somebody knows who sees the whole fleet.
pub(crate) fn part(pool: &Pool, now: Micros, instances: f64, lend: f64, told: Option<f64>) -> f64 {
    let even = 1.0 / instances.max(1.0);
    // Ordinary tenants use a part of their shares, so their fullness lies below the instance's part; held against
    // `lend`, an instance where everybody is alike stays at the edge of lending, and never beyond.
    told.unwrap_or_else(|| even.max(pool.quantile(now, ORDINARY) / lend))
}
