//! Groups: whose connections share work. A few are large, most are small, and tenants and zones mix in all of them.

use rand::Rng;

use crate::day::Day;
use crate::population::Capacity;

/// All groups of a day by rank, the largest first.
#[derive(Debug)]
pub(super) struct Groups {
    /// Up to each rank, the share of clients that belong to a group of that rank or above.
    up_to: Vec<f64>,
    ids: Vec<u64>,
}

/// Groups per connection that all nodes can carry, times the mean members: fitted.
const NUMBER: f64 = 0.65;
/// Added to a rank before the power is taken, so that the first group is not far ahead: fitted.
const SHIFT: f64 = 2.0;

impl Groups {
    /// The groups of this day; none where groups cost nothing.
    pub fn new(day: &Day, capacity: &Capacity, rng: &mut impl Rng) -> Groups {
        let streams = &day.streams;
        if streams.group_cost <= 0.0 {
            return Groups { up_to: Vec::new(), ids: Vec::new() };
        }
        let number = (NUMBER * capacity.connections / streams.group_size.max(1.0)).ceil().max(1.0) as usize;
        let mut total = 0.0;
        let mut up_to: Vec<f64> = (1..=number)
            .map(|rank| {
                total += (rank as f64 + SHIFT).powf(-streams.group_zipf);
                total
            })
            .collect();
        up_to.iter_mut().for_each(|s| *s /= total);
        let ids = (0..number).map(|_| rng.random_range(1..=u64::MAX)).collect();
        Groups { up_to, ids }
    }

    /// Draws the rank of a client's group.
    pub fn draw(&self, rng: &mut impl Rng) -> u32 {
        let x: f64 = rng.random();
        self.up_to.partition_point(|s| *s <= x).min(self.ids.len().saturating_sub(1)) as u32
    }

    /// The id of the group of this rank; 0 where there are none.
    pub fn id(&self, rank: u32) -> u64 {
        self.ids.get(rank as usize).copied().unwrap_or(0)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.ids.len()
    }
}
