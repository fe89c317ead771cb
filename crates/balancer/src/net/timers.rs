//! Deadlines, in the order in which they come.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use shorewharf_driver::Micros;

/// What is due when. Of those that are due at one time, the one that was set first comes first.
#[derive(Debug)]
pub struct Timers<T: Ord> {
    heap: BinaryHeap<Reverse<(Micros, u64, T)>>,
    set: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T: Ord> Timers<T> {
    /// Sets a timer. None is ever taken back: who gets one that has lost its meaning passes over it.
    pub fn set(&mut self, when: Micros, what: T) {
        self.set += 1;
        self.heap.push(Reverse((when, self.set, what)));
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|t| t.0.0)
    }

    /// Takes out the next one that is due by `now`.
    pub fn due(&mut self, now: Micros) -> Option<T> {
        self.next().filter(|when| *when <= now)?;
        self.heap.pop().map(|t| t.0.2)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_come_by_time_and_then_in_the_order_they_were_set() {
        let mut timers = Timers::default();
        for (when, what) in [(30, "d"), (10, "b"), (20, "c"), (10, "a")] {
            timers.set(when, what);
        }
        assert_eq!((timers.next(), timers.due(9)), (Some(10), None));
        let due: Vec<_> = std::iter::from_fn(|| timers.due(20)).collect();
        assert_eq!((due, timers.next()), (vec!["b", "a", "c"], Some(30)));
    }
}
