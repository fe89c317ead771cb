//! The queue of scheduled events: ordered by time, and by insertion among events of the same time.

use shorewharf_units::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Debug)]
struct Entry<E> {
    at: Micros,
    serial: u64,
    what: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.serial) == (other.at, other.serial)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// A queue of events, ordered by time. Only the growth of the queue itself allocates memory.
#[derive(Debug)]
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    serial: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), serial: 0 }
    }
}

impl<E> Queue<E> {
    /// Schedules an event.
    pub fn push(&mut self, at: Micros, what: E) {
        self.serial += 1;
        self.heap.push(Reverse(Entry { at, serial: self.serial, what }));
    }

    /// The time of the next event.
    pub fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|e| e.0.at)
    }

    /// Removes and returns the next event if it is due at `by` or earlier.
    pub fn pop(&mut self, by: Micros) -> Option<(Micros, E)> {
        if self.next_due()? > by {
            return None;
        }
        self.heap.pop().map(|Reverse(e)| (e.at, e.what))
    }

    /// The number of events scheduled so far.
    pub fn scheduled_count(&self) -> u64 {
        self.serial
    }
}

#[cfg(test)]
mod tests;
