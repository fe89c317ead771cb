//! Batches of changes, which the store sends to the components that keep a copy of its records.

use crate::key::Key;
use crate::revision::Revision;
use crate::store::Change;
use shorewharf_units::Micros;
use std::collections::BTreeMap;

/// The changes since the previous batch, or a snapshot of all records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeBatch {
    /// Whether `changes` has all records, rather than only those that changed since the previous batch.
    pub is_snapshot: bool,
    /// The changes, with at most one for each record.
    pub changes: Vec<Change>,
    /// All changes up to this revision are included.
    pub up_to: Revision,
    /// The latest time at which the store was known to have no newer changes.
    pub as_of: Micros,
}

impl ChangeBatch {
    /// Combines this batch and a later one into one batch.
    pub(crate) fn merge(self, later: ChangeBatch) -> ChangeBatch {
        if later.is_snapshot {
            return later;
        }
        let by_key = |change: Change| (change.key.clone(), change);
        let mut changes: BTreeMap<Key, Change> = self.changes.into_iter().map(by_key).collect();
        for change in later.changes {
            let is_removal = change.value.is_none();
            if is_removal && self.is_snapshot {
                changes.remove(&change.key);
            } else {
                changes.insert(change.key.clone(), change);
            }
        }
        ChangeBatch { is_snapshot: self.is_snapshot, changes: changes.into_values().collect(), ..later }
    }
}
