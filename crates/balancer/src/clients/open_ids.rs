//! The ids that clients have opened with: an id belongs to one open request of the process, whichever worker has it.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Workers seldom want the same one of so many parts at once.
const SHARDS: usize = 16;

/// The ids that are in use, shared by all workers.
#[derive(Clone, Debug)]
pub struct OpenIds(Arc<[Mutex<HashSet<u64>>; SHARDS]>);

impl Default for OpenIds {
    fn default() -> Self {
        OpenIds(Arc::new(std::array::from_fn(|_| Mutex::default())))
    }
}

impl OpenIds {
    fn shard(&self, id: u64) -> MutexGuard<'_, HashSet<u64>> {
        // A set is whole between any two of its calls, whoever panics.
        self.0[id as usize % SHARDS].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an id; false where another request has it.
    pub fn claim(&self, id: u64) -> bool {
        self.shard(id).insert(id)
    }

    /// Lets go of an id that was taken.
    pub fn release(&self, id: u64) {
        self.shard(id).remove(&id);
    }

    /// Whether an open request has this id.
    #[cfg(test)]
    pub fn contains(&self, id: u64) -> bool {
        self.shard(id).contains(&id)
    }
}
