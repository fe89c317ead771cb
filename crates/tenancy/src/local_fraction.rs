//! Estimates the fraction of the fleet's traffic that comes to this instance.
//!
//! Quotas apply to the whole fleet, but an instance sees only its own traffic. To assume an even fraction is
//! wrong where zones differ, front ends rebalance or other instances die, and it has the worse consequence:
//! the busiest instance would reject tenants that are within their quotas. The true fraction is the same for
//! all tenants. So if even the tenants with the lowest utilization of their quotas use much of them, this
//! instance gets more than an even fraction. The estimate is based on the 0.3 quantile of utilization, which
//! flooding by two of four tenants can't change.

use shorewharf_units::Micros;

use crate::resource::Resource;

/// The quantile of utilization, by quota, that stands for ordinary tenants.
const ORDINARY_TENANTS_QUANTILE: f64 = 0.3;

/// Estimates the fraction of each tenant's quota that applies to this instance. It is at most about 1, except
/// for rates, where it is higher if the clients of all tenants come at once.
///
/// Ordinary tenants are assumed to use the fraction `ordinary_utilization` of their quotas. The data can't
/// confirm it: all tenants at half of a large fraction look like all tenants at the whole of a small one. The
/// value should therefore follow from the cost of an error. It should be low while there is spare capacity,
/// as too small an estimate rejects tenants within their quotas. It should be 1 when capacity is short, as
/// too large an estimate admits a flood at the expense of all tenants.
pub(crate) fn estimate(
    resource: &Resource,
    now: Micros,
    instance_count: f64,
    ordinary_utilization: f64,
) -> f64 {
    let even_fraction = 1.0 / instance_count.max(1.0);
    even_fraction.max(resource.quantile(now, ORDINARY_TENANTS_QUANTILE) / ordinary_utilization)
}
