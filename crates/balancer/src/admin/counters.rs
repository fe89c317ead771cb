//! Counters for operators. Each event is counted once, by the worker at which it happens.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use shorewharf_protocol::admin::ReplyCounts;

/// The reply to a client, as counted for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A server has accepted the connection.
    Success,
    /// The connection was rejected.
    Overload,
    /// The connection failed, or its client left before a reply.
    Error,
}

/// Counters since the start of the process, and gauges of the current use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// The numbers of replies, by class index.
    pub replies: Vec<ReplyCounts>,
    /// The number of attempts whose first line has been written to a server.
    pub dispatches: u64,
    /// The number of client connections with an open request, which may be established.
    pub concurrent: usize,
    /// The number of descriptors that connections use.
    pub descriptors: usize,
}

impl Totals {
    /// Adds the counts of another worker.
    pub fn add(&mut self, other: &Totals) {
        if self.replies.len() < other.replies.len() {
            self.replies.resize(other.replies.len(), ReplyCounts::default());
        }
        for (total, counts) in self.replies.iter_mut().zip(&other.replies) {
            total.success += counts.success;
            total.overload += counts.overload;
            total.error += counts.error;
        }
        self.dispatches += other.dispatches;
        self.concurrent += other.concurrent;
        self.descriptors += other.descriptors;
    }
}

/// The counters of one worker. Only that worker changes them; the primary worker reads those of all workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerCounters(Arc<Mutex<Totals>>);

impl WorkerCounters {
    fn lock(&self) -> MutexGuard<'_, Totals> {
        // A thread that panics with the lock held leaves the counters usable: each is changed in one step.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the reply to a client of this class.
    pub fn record_reply(&self, class: usize, reply: Reply) {
        let mut totals = self.lock();
        if totals.replies.len() <= class {
            totals.replies.resize(class + 1, ReplyCounts::default());
        }
        let counts = &mut totals.replies[class];
        match reply {
            Reply::Success => counts.success += 1,
            Reply::Overload => counts.overload += 1,
            Reply::Error => counts.error += 1,
        }
    }

    /// Counts an attempt whose first line has been written.
    pub fn record_dispatch(&self) {
        self.lock().dispatches += 1;
    }

    /// Sets the number of client connections with an open request, and the number of descriptors in use.
    pub fn set_gauges(&self, concurrent: usize, descriptors: usize) {
        let mut totals = self.lock();
        totals.concurrent = concurrent;
        totals.descriptors = descriptors;
    }

    /// Returns the totals of these workers.
    pub fn sum(workers: &[WorkerCounters]) -> Totals {
        let mut totals = Totals::default();
        for worker in workers {
            totals.add(&worker.lock());
        }
        totals
    }
}

#[cfg(test)]
mod tests;
