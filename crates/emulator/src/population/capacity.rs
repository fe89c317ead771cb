//! What the nodes of a day can carry, in connections: the measure that loads and quotas are shares of.

use crate::day::Day;
use shorewharf_units::seconds_from_micros;

/// What all nodes can carry.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// Usual connections that fill all cores, with what their set-ups and groups cost.
    pub connections: f64,
    /// New connections a second that keep up that many.
    pub per_s: f64,
    /// Mean life of a connection over the classes, seconds.
    pub life_s: f64,
    /// The part of `connections` that each node carries.
    pub of: Vec<f64>,
}

/// A connection costs a tenth of the mean load however idle it is.
const STANDING: f64 = 0.1;
/// What a group costs is shared by fewer than its mean members: balancers can't keep it all in one place.
const GROUP_SPREAD: f64 = 1.3;

/// The capacity of a day. Fitted to the quotas that the simulator tells, exact to their rounding on twelve days that
/// differ in one setting each.
pub fn capacity(day: &Day) -> Capacity {
    let cores = |n: &crate::day::Node| f64::from(day.kinds[n.kind as usize].cores) * n.speed;
    let shares: f64 = day.classes.iter().map(|c| c.share).sum();
    let mean = |of: &dyn Fn(&crate::day::Class) -> f64| {
        day.classes.iter().map(|c| c.share * of(c)).sum::<f64>() / shares.max(f64::MIN_POSITIVE)
    };
    let life_s = mean(&|c| c.life) * day.streams.life as f64 / 1e6;
    let usual = mean(&|c| c.load) / day.streams.per_core;
    let group = GROUP_SPREAD * day.streams.group_cost / day.streams.group_size.max(1.0);
    let set_up = mean(&|c| seconds_from_micros(c.set_up)) / life_s;
    let cost = usual * (1.0 + STANDING + group) + set_up;
    let of: Vec<f64> = day.nodes.iter().map(|n| cores(n) / cost).collect();
    let connections: f64 = of.iter().sum();
    Capacity { connections, per_s: connections / life_s, life_s, of }
}
