//! Changes of records on their way from the store to those who keep a copy.

use crate::key::Key;
use crate::revision::Revision;
use crate::store::Change;
use shorewharf_units::Micros;
use std::collections::BTreeMap;

/// The changes since an earlier batch, or a snapshot of all records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeBatch {
    /// Whether `changes` is all records rather than those that changed.
    pub is_snapshot: bool,
    /// The changed records, each once.
    pub changes: Vec<Change>,
    /// Every change up to this revision is included.
    pub up_to: Revision,
    /// When the store was known to hold this and nothing newer.
    pub as_of: Micros,
}

impl ChangeBatch {
    /// This batch and a later one as one batch.
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
