//! Estimates which fraction of the fleet's traffic comes to this instance.
//!
//! Quotas are agreed on for the whole fleet, and an instance sees its own traffic alone. An even fraction is wrong
//! wherever zones differ, fronts rebalance or siblings die, and it is wrong on the bad side: the busiest instance would
//! reject tenants that are within their quotas. What shows the true fraction is that it is the same for all tenants:
//! where even those who use least of their quotas are full, the instance has more than an even fraction. The lower
//! third of all quotas is asked for it, which two flooding tenants of four can't change.

use shorewharf_units::Micros;

use crate::resource::Resource;

/// The quantile of fullness, by quota, that is taken for ordinary tenants.
const ORDINARY_TENANTS_RATIO: f64 = 0.3;

/// The fraction of everybody's quota that is this instance's, from 0 to 1 (1 and more for rates, where all clients come
/// at once).
///
/// Ordinary tenants are taken to use `ordinary_use` of their quotas. All tenants at half of a large fraction look like
/// all tenants at the whole of a small one, so it depends on what an error costs: low while there is capacity to
/// spare, where the error rejects a tenant within its quota; 1 when capacity is short, where it lets a flood in that
/// everybody pays for.
pub(crate) fn estimate(resource: &Resource, now: Micros, instance_count: f64, ordinary_use: f64) -> f64 {
    let even_fraction = 1.0 / instance_count.max(1.0);
    even_fraction.max(resource.quantile(now, ORDINARY_TENANTS_RATIO) / ordinary_use)
}
