//! What calls see and write before anything is written: the store, with what earlier calls of the group will write.
//!
//! Each record that a call reads becomes a condition of the batch, so a batch is written only if all that it
//! was decided on still holds. That makes every call atomic without a lock in any engine.

use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::record::{Actor, AuditEntry, Deed, Micros};
use crate::store::{Ask, Batch, Condition, Entry, Page, Revision, Store, read, write};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;

/// The version of a record that is not written yet.
pub(super) const PENDING: Revision = Revision(u64::MAX);

type Writes = BTreeMap<Key, Option<Vec<u8>>>;

/// A store as the calls of a group see it.
pub(super) struct View<'s> {
    store: &'s mut dyn Store,
    /// The time of the group.
    pub(super) now: Micros,
    seen: BTreeMap<Key, Option<Entry>>,
    /// What was read ahead and not looked at yet.
    ahead: BTreeMap<Key, Option<Entry>>,
    /// What the last call was the first to see.
    fresh: Vec<Key>,
    settled: Writes,
    draft: Writes,
}

impl<'s> View<'s> {
    pub(super) fn new(store: &'s mut dyn Store, now: Micros) -> View<'s> {
        let (seen, ahead, settled, draft) = Default::default();
        View { store, now, seen, ahead, fresh: Vec::new(), settled, draft }
    }

    /// Reads at once what calls will ask for, since each read may be a call over the network. What is read and
    /// not asked for is no condition.
    pub(super) fn read_ahead(&mut self, keys: Vec<Key>) -> Result<(), StoreError> {
        let entries = self.store.get_many(&keys, self.now)?;
        self.ahead.extend(keys.into_iter().zip(entries));
        Ok(())
    }

    /// A record's bytes and version.
    fn bytes(&mut self, key: &Key) -> Result<Option<(Revision, Vec<u8>)>, StoreError> {
        if let Some(written) = self.draft.get(key).or_else(|| self.settled.get(key)) {
            return Ok(written.clone().map(|value| (PENDING, value)));
        }
        if !self.seen.contains_key(key) {
            let entry = match self.ahead.remove(key) {
                Some(entry) => entry,
                None => self.store.get(key, self.now)?,
            };
            self.seen.insert(key.clone(), entry);
            self.fresh.push(key.clone());
        }
        Ok(self.seen[key].as_ref().map(|e| (e.revision, e.value.clone())))
    }

    /// A record and its version.
    pub(super) fn get<T: DeserializeOwned>(
        &mut self,
        key: &Key,
    ) -> Result<Option<(Revision, T)>, StoreError> {
        let Some((version, value)) = self.bytes(key)? else { return Ok(None) };
        Ok(Some((version, read(key, &value)?)))
    }

    /// A record that must be there, and that at a version if one is told.
    pub(super) fn at<T: DeserializeOwned>(
        &mut self,
        key: &Key,
        expected: Option<Revision>,
    ) -> Result<(Revision, T), StoreError> {
        let (found, record) = self.get(key)?.ok_or_else(|| StoreError::Missing { key: key.text() })?;
        match expected {
            Some(expected) if expected != found => {
                Err(StoreError::Conflict { key: key.text(), expected, found })
            }
            _ => Ok((found, record)),
        }
    }

    pub(super) fn put<T: Serialize>(&mut self, key: &Key, record: &T) -> Result<(), StoreError> {
        let value = write(key, record)?;
        self.draft.insert(key.clone(), Some(value));
        Ok(())
    }

    pub(super) fn remove(&mut self, key: &Key) {
        self.draft.insert(key.clone(), None);
    }

    /// A page as it stands in the store; what this group writes is not in it, and it is no condition.
    pub(super) fn list(&mut self, ask: &Ask) -> Result<Page, StoreError> {
        self.store.list(ask, self.now)
    }

    /// A counter's value, from 0 on.
    pub(super) fn counter(&mut self, name: &str) -> Result<u64, StoreError> {
        Ok(self.get(&Key::new(Space::Meta, name))?.map_or(0, |(_, n)| n))
    }

    pub(super) fn set_counter(&mut self, name: &str, value: u64) -> Result<(), StoreError> {
        self.put(&Key::new(Space::Meta, name), &value)
    }

    /// Adds to the audit trail.
    pub(super) fn audit(
        &mut self,
        who: &Actor,
        deed: Deed,
        target: String,
        before: Option<Value>,
        after: Option<Value>,
    ) -> Result<(), StoreError> {
        let number = self.counter(super::AUDIT)? + 1;
        self.set_counter(super::AUDIT, number)?;
        let entry = AuditEntry { number, at: self.now, who: who.clone(), deed, target, before, after };
        self.put(&Key::new(Space::Audit, AuditEntry::name(number)), &entry)
    }

    /// Takes what the last call wrote into the group; `false` if the group would be too large, and the call must
    /// be made again after the group is written.
    pub(super) fn settle(&mut self) -> bool {
        let room = |now: usize, more: usize, most: usize| now == 0 || now + more <= most;
        let weigh = |w: &Writes| w.iter().map(|(k, v)| k.name.len() + v.as_ref().map_or(0, Vec::len)).sum();
        let fits = room(self.settled.len(), self.draft.len(), Batch::LARGEST)
            && room(weigh(&self.settled), weigh(&self.draft), Batch::HEAVIEST)
            && (self.settled.is_empty() || self.seen.len() <= Batch::LARGEST);
        if !fits {
            self.drop_draft();
            return false;
        }
        self.settled.append(&mut self.draft);
        self.fresh.clear();
        true
    }

    /// Forgets what the last call wrote, and what only that call has seen.
    pub(super) fn drop_draft(&mut self) {
        self.draft.clear();
        for key in self.fresh.drain(..) {
            if let Some(entry) = self.seen.remove(&key) {
                self.ahead.insert(key, entry);
            }
        }
    }

    /// Whether the group writes anything.
    pub(super) fn writes(&self) -> bool {
        !self.settled.is_empty()
    }

    /// The whole group as one batch.
    pub(super) fn batch(self) -> Batch {
        let condition = |(key, entry): (Key, Option<Entry>)| match entry {
            Some(entry) => Condition::At(key, entry.revision),
            None => Condition::Absent(key),
        };
        Batch {
            conditions: self.seen.into_iter().map(condition).collect(),
            writes: self.settled.into_iter().collect(),
        }
    }
}
