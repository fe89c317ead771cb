//! The number of connections that the nodes of a day can carry, to which loads and quotas are relative.

use crate::day::Day;
use shorewharf_units::seconds_from_micros;

/// The capacity of all nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// The number of usual connections that fully use all cores, including the cost of their set-ups and
    /// groups.
    pub connections: f64,
    /// The new connections per second that sustain this number.
    pub per_s: f64,
    /// The mean lifetime of a connection over all classes, in seconds.
    pub life_s: f64,
    /// The part of `connections` that each node carries, by node.
    pub per_node: Vec<f64>,
}

/// The cost of holding a connection, even an idle one, as a ratio of the mean load.
const HOLDING_COST: f64 = 0.1;
/// The factor on the cost of a group per member: balancers cannot keep all members of a group on one node, so
/// that fewer members share the cost.
const GROUP_SPREAD_FACTOR: f64 = 1.3;

/// Computes the capacity of a day. The formula was fitted to the quotas that the simulator reports, and
/// matches them up to their rounding on twelve days that differ in one setting each.
pub fn capacity(day: &Day) -> Capacity {
    let cores = |n: &crate::day::Node| f64::from(day.kinds[n.kind as usize].cores) * n.speed;
    let total_share: f64 = day.classes.iter().map(|c| c.share).sum();
    let class_mean = |of: &dyn Fn(&crate::day::Class) -> f64| {
        day.classes.iter().map(|c| c.share * of(c)).sum::<f64>() / total_share.max(f64::MIN_POSITIVE)
    };
    let life_s = class_mean(&|c| c.life) * day.streams.life as f64 / 1e6;
    let load_cost = class_mean(&|c| c.load) / day.streams.per_core;
    let group_cost = GROUP_SPREAD_FACTOR * day.streams.group_cost / day.streams.group_size.max(1.0);
    let set_up = class_mean(&|c| seconds_from_micros(c.set_up)) / life_s;
    let cost = load_cost * (1.0 + HOLDING_COST + group_cost) + set_up;
    let per_node: Vec<f64> = day.nodes.iter().map(|n| cores(n) / cost).collect();
    let connections: f64 = per_node.iter().sum();
    Capacity { connections, per_s: connections / life_s, life_s, per_node }
}
