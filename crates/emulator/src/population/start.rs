//! The connections that are established when the day starts, and their nodes.
//!
//! A group's connections are together on one node until that holds most of the mean load that it can carry; then, and
//! for a new group, the emptier of two nodes drawn at random takes over. So a start is neither even nor absurd.

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

/// A connection from before the day.
#[derive(Clone, Copy, Debug)]
pub(super) struct InitialConnection {
    pub tenant: u32,
    pub class: u32,
    /// Its mean load, in usual loads.
    pub mean: f64,
    /// Rank of its group.
    pub group: u32,
    /// Where it stands.
    pub home: NodeId,
}

/// Draws all of them. Their number is not drawn: so many of each tenant as the load at the start says, rounded down.
pub(super) fn standing(
    day: &Day,
    traffic: &Traffic,
    groups: &Groups,
    rng: &mut impl Rng,
) -> Vec<InitialConnection> {
    let capacity = capacity(day);
    let number = traffic.standing_at_start();
    let up: Vec<usize> = (0..day.nodes.len()).filter(|i| day.nodes[*i].up).collect();
    if up.is_empty() {
        return Vec::new();
    }
    // The error in the estimated capacities before the day.
    let skew = day.streams.start_skew.max(0.0);
    let room: Vec<f64> = capacity.of.iter().map(|c| c * (1.0 + skew * rng.random::<f64>())).collect();
    let mut held = vec![0.0; day.nodes.len()];
    let mut home_of: Vec<Option<usize>> = vec![None; groups.len().max(1)];
    let mut all = Vec::new();
    for (tenant, share) in traffic.tenant_shares().iter().enumerate() {
        for _ in 0..(number * share).floor() as u64 {
            let group = groups.draw(rng);
            let class = traffic.class_standing(rng);
            let mean = traffic.load(class, rng);
            let fits = |node: &usize| groups.len() > 0 && held[*node] < GROUP_FILL_RATIO * capacity.of[*node];
            let home = home_of[group as usize].filter(fits).unwrap_or_else(|| {
                let [a, b] = [(); 2].map(|()| up[rng.random_range(0..up.len())]);
                if held[b] / room[b] < held[a] / room[a] { b } else { a }
            });
            home_of[group as usize] = Some(home);
            held[home] += mean;
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
