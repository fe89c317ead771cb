//! Counters for operators. Each event is counted once, where it happens, by the worker that it happens at.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use shorewharf_protocol::admin::ReplyCounts;

/// The reply that a client has had, as operators count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A server has accepted the connection.
    Success,
    /// The connection was rejected.
    Overload,
    /// The connection failed, or its client left before a reply.
    Error,
}

/// Counts since the start of the process, and what is held now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Replies by class index.
    pub replies: Vec<ReplyCounts>,
    /// Attempts whose first line has been written to a server.
    pub dispatches: u64,
    /// Client connections that have not ended.
    pub concurrent: usize,
    /// Descriptors that connections hold.
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

/// The counters of one worker, which alone writes them. The primary worker reads those of all.
#[derive(Clone, Debug, Default)]
pub struct WorkerCounters(Arc<Mutex<Totals>>);

impl WorkerCounters {
    fn lock(&self) -> MutexGuard<'_, Totals> {
        // The counts are consistent between any two calls, whichever thread panics.
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

    /// Sets the number of client connections that have not ended, and of descriptors held.
    pub fn set_held(&self, concurrent: usize, descriptors: usize) {
        let mut totals = self.lock();
        totals.concurrent = concurrent;
        totals.descriptors = descriptors;
    }

    /// The totals of these workers.
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
