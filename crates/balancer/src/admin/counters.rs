//! What is counted for operators: each thing once, where it happens, by the loop that it happens in.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use shorewharf_protocol::admin::ReplyCounts;

/// How a connection has ended for the client, as far as operators count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A server has taken it.
    Success,
    /// It was refused.
    Overload,
    /// It failed, or its client left before it was answered.
    Error,
}

/// Sums since the start of the process, and what one loop holds now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sums {
    /// By class.
    pub replies: Vec<ReplyCounts>,
    /// Attempts written whole to servers.
    pub dispatches: u64,
    /// Connections that were taken and have not ended.
    pub concurrent: usize,
    /// Descriptors that connections hold.
    pub descriptors: usize,
}

impl Sums {
    /// Takes in what another loop has counted.
    pub fn add(&mut self, other: &Sums) {
        if self.replies.len() < other.replies.len() {
            self.replies.resize(other.replies.len(), ReplyCounts::default());
        }
        for (all, one) in self.replies.iter_mut().zip(&other.replies) {
            all.success += one.success;
            all.overload += one.overload;
            all.error += one.error;
        }
        self.dispatches += other.dispatches;
        self.concurrent += other.concurrent;
        self.descriptors += other.descriptors;
    }
}

/// The sums of one loop, which alone writes them; the loop at whose door operators call reads those of all.
#[derive(Clone, Debug, Default)]
pub struct WorkerCounters(Arc<Mutex<Sums>>);

impl WorkerCounters {
    fn sums(&self) -> MutexGuard<'_, Sums> {
        // Sums are whole between any two calls, whoever panics.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection of this class has had its one end, or has come up.
    pub fn replied(&self, class: usize, reply: Reply) {
        let mut sums = self.sums();
        if sums.replies.len() <= class {
            sums.replies.resize(class + 1, ReplyCounts::default());
        }
        let replies = &mut sums.replies[class];
        *match reply {
            Reply::Success => &mut replies.success,
            Reply::Overload => &mut replies.overload,
            Reply::Error => &mut replies.error,
        } += 1;
    }

    /// The last byte of an attempt's first line has been written.
    pub fn dispatched(&self) {
        self.sums().dispatches += 1;
    }

    /// So many connections that were taken have not ended, and so many descriptors are held in all.
    pub fn holds(&self, concurrent: usize, descriptors: usize) {
        let mut sums = self.sums();
        (sums.concurrent, sums.descriptors) = (concurrent, descriptors);
    }

    /// All loops' sums together.
    pub fn of_all(all: &[WorkerCounters]) -> Sums {
        let mut sums = Sums::default();
        all.iter().for_each(|one| sums.add(&one.sums()));
        sums
    }
}

#[cfg(test)]
mod tests;
