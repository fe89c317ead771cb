//! Tracks the ids that clients choose for their open requests. An id belongs to at most one open request in
//! the whole process, across all workers.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of locks over which the ids are spread, so that workers seldom contend for a lock.
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
        // No call leaves a set partly changed, so the set is valid even if a thread panicked while it held
        // the lock.
        self.0[id as usize % SHARDS].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims an id for an open request. Returns false if another open request has claimed it.
    pub fn claim(&self, id: u64) -> bool {
        self.shard(id).insert(id)
    }

    /// Releases an id that [`OpenIds::claim`] has claimed.
    pub fn release(&self, id: u64) {
        self.shard(id).remove(&id);
    }

    /// Whether an open request has this id.
    #[cfg(test)]
    pub fn contains(&self, id: u64) -> bool {
        self.shard(id).contains(&id)
    }
}
