//! The ids that clients choose for their open requests. Each belongs to one open request of the process, whichever worker
//! serves it.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Workers seldom contend for the same one of this many locks.
const SHARDS: usize = 16;

/// The ids of open requests, shared by all workers.
#[derive(Clone, Debug)]
pub struct OpenIds(Arc<[Mutex<HashSet<u64>>; SHARDS]>);

impl Default for OpenIds {
    fn default() -> Self {
        OpenIds(Arc::new(std::array::from_fn(|_| Mutex::default())))
    }
}

impl OpenIds {
    fn shard(&self, id: u64) -> MutexGuard<'_, HashSet<u64>> {
        // No call leaves a set half changed, so one of a thread that panicked is still valid.
        self.0[id as usize % SHARDS].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims an id. Returns false if another request has it.
    pub fn claim(&self, id: u64) -> bool {
        self.shard(id).insert(id)
    }

    /// Releases an id that was claimed.
    pub fn release(&self, id: u64) {
        self.shard(id).remove(&id);
    }

    /// Whether an open request has this id.
    #[cfg(test)]
    pub fn contains(&self, id: u64) -> bool {
        self.shard(id).contains(&id)
    }
}
