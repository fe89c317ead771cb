//! How evenly nodes were used: loads over capacity and over the fleet's mean, and bursts of set-ups. The same figures for
//! trials with processes and for days in virtual time.

use shorewharf_emulator::world::series::NodeSeries;

use crate::file::Promises;

/// The worst that was seen of something.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worst {
    /// The figure.
    pub x: f64,
    /// The node's place in the day.
    pub node: usize,
    /// When, in seconds of the day: the end of a window, the begin of a slot.
    pub at_s: f64,
}

impl Worst {
    fn look(worst: &mut Option<Worst>, new: Worst, worse: impl Fn(f64, f64) -> bool) {
        if worst.is_none_or(|than| worse(new.x, than.x)) {
            *worst = Some(new);
        }
    }
}

/// How evenly nodes were used in the stretches in which the day has settled.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evenness {
    /// Greatest load over what the node could do, as a mean over a window; none where no node took clients all the time.
    pub load_most: Option<Worst>,
    /// Greatest multiple of the fleet's mean share, over a window.
    pub over_mean_most: Option<Worst>,
    /// Least part of the fleet's mean share, over the time for which a node may be idle.
    pub under_mean_least: Option<Worst>,
}

/// A node's share of what it can do, as a mean over `window` seconds up to this one; none where it took nobody at some
/// time of it.
fn mean_load(node: &NodeSeries, second: usize, window: usize) -> Option<f64> {
    let from = (second + 1).checked_sub(window)?;
    let takes = node.takes.get(from..=second)?;
    let loads = node.load.get(from..=second)?;
    takes.iter().all(|t| *t).then(|| loads.iter().map(|x| f64::from(*x)).sum::<f64>() / window as f64)
}

impl Evenness {
    /// Looks at nodes by second; windows and stretches are the promises'.
    pub fn of(promises: &Promises, nodes: &[NodeSeries]) -> Evenness {
        let (window, idle) = (promises.window_s.round() as usize, promises.idle_s.round() as usize);
        let mut even = Evenness::default();
        let seconds = nodes.first().map_or(0, |n| n.load.len());
        let is_settled = |from: usize, to: usize| {
            promises.settled_s.iter().any(|s| s.0 <= from as f64 && to as f64 <= s.1)
        };
        for second in 0..seconds {
            let shares = |window: usize| -> Vec<(usize, f64)> {
                if !is_settled((second + 1).saturating_sub(window), second + 1) {
                    return Vec::new();
                }
                let all = nodes.iter().enumerate();
                all.filter_map(|(at, n)| Some((at, mean_load(n, second, window)?))).collect()
            };
            let mean = |all: &[(usize, f64)]| {
                f64::max(all.iter().map(|x| x.1).sum::<f64>() / all.len().max(1) as f64, f64::MIN_POSITIVE)
            };
            let at_s = (second + 1) as f64;
            let loads = shares(window);
            let even_part = mean(&loads);
            for (node, x) in loads {
                Worst::look(&mut even.load_most, Worst { x, node, at_s }, |x, than| x > than);
                let over = Worst { x: x / even_part, node, at_s };
                Worst::look(&mut even.over_mean_most, over, |x, than| x > than);
            }
            let loads = shares(idle);
            let even_part = mean(&loads);
            for (node, x) in loads {
                let under = Worst { x: x / even_part, node, at_s };
                Worst::look(&mut even.under_mean_least, under, |x, than| x < than);
            }
        }
        even
    }
}

/// The greatest multiple of an even part of a slot's set-ups that came at one node. Set-ups come whole: less than one is
/// no part. None where none came.
pub fn bursts(set_ups: &[Vec<u32>], slot_s: f64) -> Option<Worst> {
    let mut worst = None;
    for (slot, nodes) in set_ups.iter().enumerate() {
        let even = f64::max(f64::from(nodes.iter().sum::<u32>()) / nodes.len().max(1) as f64, 1.0);
        for (node, n) in nodes.iter().enumerate().filter(|(_, n)| **n > 0) {
            let burst = Worst { x: f64::from(*n) / even, node, at_s: slot as f64 * slot_s };
            Worst::look(&mut worst, burst, |x, than| x > than);
        }
    }
    worst
}
