//! How evenly nodes were used: their loads relative to capacity and to the fleet's mean, and bursts of setups. Scenarios
//! with processes and days in virtual time use the same measures.

use shorewharf_emulator::world::series::NodeSeries;

use crate::expectations::Expectations;

/// The worst value of a measure, with its node and time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorstInterval {
    /// The worst value.
    pub value: f64,
    /// The node's index in the day.
    pub node: usize,
    /// The end of a load's window or the begin of a setup's slot, in seconds of the day.
    pub at_s: f64,
}

/// Keeps the larger of two values; of equal values, the earlier one.
fn keep_largest(worst: &mut Option<WorstInterval>, new: WorstInterval) {
    if worst.is_none_or(|worst| new.value > worst.value) {
        *worst = Some(new);
    }
}

/// Keeps the smaller of two values; of equal values, the earlier one.
fn keep_smallest(worst: &mut Option<WorstInterval>, new: WorstInterval) {
    if worst.is_none_or(|worst| new.value < worst.value) {
        *worst = Some(new);
    }
}

/// How evenly nodes were used in the settled parts of the day. A measure is `None` if no node accepted clients for a whole
/// window in them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadDistribution {
    /// The largest ratio of a node's load to its capacity, averaged over `window_s`.
    pub max_load: Option<WorstInterval>,
    /// The largest ratio of a node's load to the fleet's mean load, averaged over `window_s`.
    pub max_over_mean: Option<WorstInterval>,
    /// The smallest ratio of a node's load to the fleet's mean load, averaged over `idle_s`.
    pub min_under_mean: Option<WorstInterval>,
}

/// A node's load averaged over a window.
struct NodeLoad {
    node: usize,
    load: f64,
}

impl LoadDistribution {
    /// Measures the windows that end at each second. The expectations specify the lengths of windows and the settled parts
    /// of the day.
    pub fn of(expectations: &Expectations, nodes: &[NodeSeries]) -> LoadDistribution {
        let window = expectations.window_s.round() as usize;
        let idle_window = expectations.idle_s.round() as usize;
        let mut distribution = LoadDistribution::default();
        let seconds = nodes.first().map_or(0, |node| node.load.len());
        for second in 0..seconds {
            let at_s = (second + 1) as f64;
            let loads = settled_loads(expectations, nodes, second, window);
            let mean = mean_load(&loads);
            for NodeLoad { node, load } in loads {
                keep_largest(&mut distribution.max_load, WorstInterval { value: load, node, at_s });
                let over_mean = WorstInterval { value: load / mean, node, at_s };
                keep_largest(&mut distribution.max_over_mean, over_mean);
            }
            let loads = settled_loads(expectations, nodes, second, idle_window);
            let mean = mean_load(&loads);
            for NodeLoad { node, load } in loads {
                let under_mean = WorstInterval { value: load / mean, node, at_s };
                keep_smallest(&mut distribution.min_under_mean, under_mean);
            }
        }
        distribution
    }
}

/// The loads of the nodes that accepted clients throughout the window that ends with a second; empty if the window is not
/// within a settled part of the day.
fn settled_loads(
    expectations: &Expectations,
    nodes: &[NodeSeries],
    second: usize,
    window: usize,
) -> Vec<NodeLoad> {
    let (from, to) = ((second + 1).saturating_sub(window) as f64, (second + 1) as f64);
    if !expectations.settled.iter().any(|settled| settled.from_s <= from && to <= settled.to_s) {
        return Vec::new();
    }
    let load = |(node, series)| Some(NodeLoad { node, load: load_over_window(series, second, window)? });
    nodes.iter().enumerate().filter_map(load).collect()
}

/// The ratio of a node's load to its capacity, averaged over the window that ends with a second; `None` if the node did not
/// accept clients throughout the window.
fn load_over_window(node: &NodeSeries, second: usize, window: usize) -> Option<f64> {
    let from = (second + 1).checked_sub(window)?;
    let accepts = node.takes.get(from..=second)?;
    let loads = node.load.get(from..=second)?;
    let mean = loads.iter().map(|load| f64::from(*load)).sum::<f64>() / window as f64;
    accepts.iter().all(|accepts| *accepts).then_some(mean)
}

/// The mean load, at least the smallest positive number, since loads are divided by it.
fn mean_load(loads: &[NodeLoad]) -> f64 {
    let sum = loads.iter().map(|node| node.load).sum::<f64>();
    f64::max(sum / loads.len().max(1) as f64, f64::MIN_POSITIVE)
}

/// The largest ratio of a node's setups in a slot to an even share of the slot's setups; `None` without setups. A share is
/// at least one, since setups can't be divided.
pub fn worst_setup_burst(setups: &[Vec<u32>], slot_s: f64) -> Option<WorstInterval> {
    let mut worst = None;
    for (slot, by_node) in setups.iter().enumerate() {
        let even_share = f64::from(by_node.iter().sum::<u32>()) / by_node.len().max(1) as f64;
        let even_share = even_share.max(1.0);
        for (node, count) in by_node.iter().enumerate().filter(|(_, count)| **count > 0) {
            let value = f64::from(*count) / even_share;
            keep_largest(&mut worst, WorstInterval { value, node, at_s: slot as f64 * slot_s });
        }
    }
    worst
}
