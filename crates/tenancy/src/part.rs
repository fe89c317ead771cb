//! Which part of the fleet's traffic comes to this instance.
//!
//! Shares are agreed on for the whole fleet, and an instance sees its own traffic alone. An even part is wrong wherever
//! zones differ, fronts rebalance or siblings die, and it is wrong on the bad side: the busiest instance would turn
//! tenants away that are within their shares. What shows the true part is that it is the same for all tenants: where
//! even those who use least of their shares are full, the instance has more than an even part. The lower third of all
//! shares is asked for it, which two flooding tenants of four can't move.

use crate::pool::Pool;
use shorewharf_units::Micros;

/// Tenants with this part of all shares are less full than the level that speaks for ordinary tenants.
const ORDINARY: f64 = 0.3;

/// The part of everybody's share that is this instance's, from 0 to 1 (1 and more for flows, where all come at once).
///
/// `usage`: ordinary tenants are taken to use this part of their shares. Few see that from here: all tenants at half
/// of a large part look like all tenants at the whole of a small one. So it is chosen by what an error costs. With
/// capacity to spare that is a tenant turned away within its share: low. When capacity is short it is a flood that
/// everybody pays for: the whole.
pub(crate) fn part(pool: &Pool, now: Micros, instances: f64, usage: f64) -> f64 {
    let even = 1.0 / instances.max(1.0);
    even.max(pool.quantile(now, ORDINARY) / usage)
}
