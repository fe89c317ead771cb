//! The connections that are established when the day starts, and their nodes.
//!
//! The connections of a group are placed on one node until the mean loads there reach most of its capacity.
//! Then, and for a new group, the less loaded of two randomly drawn nodes is used. So the initial placement
//! is neither even nor extremely uneven.

use rand::Rng;
use shorewharf_units::Micros;

use super::groups::Groups;
use super::traffic::Traffic;
use crate::day::Day;
use crate::edge::NodeId;
use crate::population::capacity;

/// The shortest remaining lifetime of a client at the start.
pub(super) const MIN_REMAINING_LIFETIME: Micros = 500_000;

/// A group stays on its node until the mean loads there reach this ratio of the node's capacity.
const GROUP_FILL_RATIO: f64 = 0.7;

/// A connection that is established when the day starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct InitialConnection {
    pub tenant: u32,
    pub class: u32,
    /// The mean load of its client, in usual loads.
    pub mean: f64,
    /// The rank of its group.
    pub group: u32,
    /// The node where it is established.
    pub home: NodeId,
}

/// Draws the initial connections. Their number is not random: for each tenant it is the expected number at
/// the start of the day, rounded down.
pub(super) fn draw_initial_connections(
    day: &Day,
    traffic: &Traffic,
    groups: &Groups,
    rng: &mut impl Rng,
) -> Vec<InitialConnection> {
    let capacity = capacity(day);
    let expected = traffic.count_at_start();
    let running: Vec<usize> = (0..day.nodes.len()).filter(|i| day.nodes[*i].up).collect();
    if running.is_empty() {
        return Vec::new();
    }
    // The capacities that the placement assumes; the skew is the maximum error of the estimates.
    let skew = day.streams.start_skew.max(0.0);
    let estimated_capacity: Vec<f64> =
        capacity.per_node.iter().map(|c| c * (1.0 + skew * rng.random::<f64>())).collect();
    let mut placed_load = vec![0.0; day.nodes.len()];
    let mut node_of_group: Vec<Option<usize>> = vec![None; groups.len().max(1)];
    let mut all = Vec::new();
    for (tenant, share) in traffic.tenant_shares().iter().enumerate() {
        for _ in 0..(expected * share).floor() as u64 {
            let group = groups.draw(rng);
            let class = traffic.draw_class_of_present_client(rng);
            let mean = traffic.draw_load(class, rng);
            let fits = |node: &usize| {
                groups.len() > 0 && placed_load[*node] < GROUP_FILL_RATIO * capacity.per_node[*node]
            };
            let home = node_of_group[group as usize].filter(fits).unwrap_or_else(|| {
                let [a, b] = [(); 2].map(|()| running[rng.random_range(0..running.len())]);
                if placed_load[b] / estimated_capacity[b] < placed_load[a] / estimated_capacity[a] {
                    b
                } else {
                    a
                }
            });
            node_of_group[group as usize] = Some(home);
            placed_load[home] += mean;
            all.push(InitialConnection {
                tenant: tenant as u32,
                class,
                mean,
                group,
                home: NodeId(home as u32),
            });
        }
    }
    all
}
