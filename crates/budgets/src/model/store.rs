//! The store of the simulated fleet: records with revisions, and earlier copies of them.

use std::collections::BTreeMap;

use crate::store_request::{Precondition, StoreRequest, StoreResponse, StoredRecord, WriteBatch};

/// The maximum number of copies that are kept.
const MAX_COPIES: usize = 64;

/// The records by key at one revision.
#[derive(Clone, Debug, Default)]
struct StoreState {
    revision: u64,
    records: BTreeMap<String, StoredRecord>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct ModelStore {
    current: StoreState,
    /// Earlier states, from the oldest to the latest. Stale reads return them, and the store may be rolled
    /// back to them.
    copies: Vec<StoreState>,
    /// Preconditions on keys with this prefix are not checked.
    unchecked_prefix: Option<&'static str>,
}

impl ModelStore {
    /// Creates an empty store.
    pub(super) fn new(unchecked_prefix: Option<&'static str>) -> ModelStore {
        ModelStore { unchecked_prefix, ..ModelStore::default() }
    }

    /// Adds a copy of the current state, and removes the oldest copy if there are more than [`MAX_COPIES`].
    pub(super) fn add_copy(&mut self) {
        self.copies.push(self.current.clone());
        if self.copies.len() > MAX_COPIES {
            self.copies.remove(0);
        }
    }

    /// Rolls the store back by a number of copies. Revisions continue from that copy, as if nothing had
    /// followed it.
    pub(super) fn roll_back(&mut self, by: usize) {
        let kept = self.copies.len().saturating_sub(by.max(1));
        self.copies.truncate(kept.max(1));
        if let Some(copy) = self.copies.last() {
            self.current = copy.clone();
        }
    }

    /// Removes all records and copies.
    pub(super) fn wipe(&mut self) {
        (self.current, self.copies) = (StoreState::default(), Vec::new());
    }

    /// Executes a request. Reads are answered from the copy that is `staleness` copies before the latest, if
    /// there is one.
    pub(super) fn handle(&mut self, request: &StoreRequest, staleness: Option<usize>) -> StoreResponse {
        let stale = staleness.and_then(|copies| self.copies.iter().rev().nth(copies));
        let records = &stale.unwrap_or(&self.current).records;
        match request {
            StoreRequest::Read(keys) => {
                StoreResponse::Read(keys.iter().map(|key| records.get(key).cloned()).collect())
            }
            StoreRequest::List(prefix) => {
                let listed = records.range(prefix.clone()..).take_while(|(key, _)| key.starts_with(prefix));
                StoreResponse::Listed(listed.map(|(key, record)| (key.clone(), record.clone())).collect())
            }
            StoreRequest::Write(batch) => self.write(batch),
        }
    }

    fn write(&mut self, batch: &WriteBatch) -> StoreResponse {
        if !batch.preconditions.iter().all(|precondition| self.is_met(precondition)) {
            return StoreResponse::Conflict;
        }
        let state = &mut self.current;
        state.revision += 1;
        for (key, text) in &batch.writes {
            match text {
                Some(text) => {
                    let record = StoredRecord { revision: state.revision, text: text.clone() };
                    state.records.insert(key.clone(), record);
                }
                None => {
                    state.records.remove(key);
                }
            }
        }
        StoreResponse::Written(state.revision)
    }

    fn is_met(&self, precondition: &Precondition) -> bool {
        let records = &self.current.records;
        let (key, is_met) = match precondition {
            Precondition::Absent(key) => (key, !records.contains_key(key)),
            Precondition::Unchanged(key, revision) => {
                (key, records.get(key).is_some_and(|record| record.revision == *revision))
            }
        };
        is_met || self.unchecked_prefix.is_some_and(|prefix| key.starts_with(prefix))
    }

    /// Returns the content of a record.
    pub(super) fn text(&self, key: &str) -> Option<&[u8]> {
        self.current.records.get(key).map(|record| &record.text[..])
    }
}
