//! Groups of connections that share work at a node. A few groups are large and most are small. The group of a
//! client does not depend on its tenant or zone.

use rand::Rng;

use crate::day::Day;
use crate::population::Capacity;

/// The groups of a day, by rank; the largest group has rank 0.
#[derive(Debug)]
pub(super) struct Groups {
    /// For each rank, the share of clients that belong to groups of this or a lower rank.
    cumulative_share: Vec<f64>,
    ids: Vec<u64>,
}

/// The ratio of the number of groups to the number that the capacity in connections and the mean group size
/// give; fitted to the simulator.
const COUNT_RATIO: f64 = 0.65;
/// The number added to the rank in the power law of the group sizes, so that the first group is not far larger than the
/// second; fitted to the simulator.
const RANK_OFFSET: f64 = 2.0;

impl Groups {
    /// Draws the groups of a day; a day has no groups if they cost nothing.
    pub fn new(day: &Day, capacity: &Capacity, rng: &mut impl Rng) -> Groups {
        let streams = &day.streams;
        if streams.group_cost <= 0.0 {
            return Groups { cumulative_share: Vec::new(), ids: Vec::new() };
        }
        let count =
            (COUNT_RATIO * capacity.connections / streams.group_size.max(1.0)).ceil().max(1.0) as usize;
        let mut total = 0.0;
        let mut cumulative_share: Vec<f64> = (1..=count)
            .map(|rank| {
                total += (rank as f64 + RANK_OFFSET).powf(-streams.group_zipf);
                total
            })
            .collect();
        cumulative_share.iter_mut().for_each(|s| *s /= total);
        let ids = (0..count).map(|_| rng.random_range(1..=u64::MAX)).collect();
        Groups { cumulative_share, ids }
    }

    /// Draws the rank of a client's group.
    pub fn draw(&self, rng: &mut impl Rng) -> u32 {
        let x: f64 = rng.random();
        self.cumulative_share.partition_point(|s| *s <= x).min(self.ids.len().saturating_sub(1)) as u32
    }

    /// The id of the group of this rank; 0 if there are no groups.
    pub fn id(&self, rank: u32) -> u64 {
        self.ids.get(rank as usize).copied().unwrap_or(0)
    }

    /// The number of groups.
    pub fn len(&self) -> usize {
        self.ids.len()
    }
}
