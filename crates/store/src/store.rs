//! The interface of every storage engine: reads, lists, atomic conditional writes, and changes since a revision.
//!
//! Every transaction gets a revision, a number that only grows over the whole store. The version of a record is the
//! revision of the transaction that wrote it last, so no version is ever used twice, even when a record is removed
//! and created again under its name.

use crate::error::{InvalidValue, StoreError};
use crate::key::{Collection, Key};
use crate::revision::Revision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

/// A record as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The record's key.
    pub key: Key,
    /// The record's version.
    pub revision: Revision,
    /// The record as JSON.
    pub value: Vec<u8>,
}

impl Entry {
    /// Decodes the record.
    ///
    /// # Errors
    /// [`StoreError::Corrupt`] if the JSON is not a valid record of this type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        decode(&self.key, &self.value)
    }
}

/// A record and its version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The revision that last changed it.
    pub version: Revision,
    /// The record.
    pub record: T,
}

/// Decodes the JSON of the record under `key`.
pub(crate) fn decode<T: DeserializeOwned>(key: &Key, value: &[u8]) -> Result<T, StoreError> {
    let deserializer = &mut serde_json::Deserializer::from_slice(value);
    serde_path_to_error::deserialize(deserializer).map_err(|e| StoreError::corrupt(key, e))
}

/// Encodes a record under `key` as JSON.
pub(crate) fn encode<T: Serialize>(key: &Key, record: &T) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(record).map_err(|e| InvalidValue::new(key.text(), e.to_string()).into())
}

/// A precondition of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// There is no record under the key.
    Absent(Key),
    /// The record has this version.
    AtRevision(Key, Revision),
}

impl Condition {
    /// The key that the condition is about.
    pub fn key(&self) -> &Key {
        match self {
            Condition::Absent(key) | Condition::AtRevision(key, _) => key,
        }
    }
}

/// Writes that are made together, in one revision, if all conditions hold; otherwise none is made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The preconditions.
    pub conditions: Vec<Condition>,
    /// The new value of each key, once; `None` removes the record.
    pub writes: Vec<(Key, Option<Vec<u8>>)>,
}

impl Batch {
    /// The most writes of a batch, and the most conditions: the replicated engine allows 128 of either, some of
    /// which are its own.
    pub const MAX_OPERATIONS: usize = 100;

    /// The most bytes of all keys and values together: the replicated engine allows 1.5 MiB a request, in base64.
    pub const MAX_BYTES: usize = 900 * 1024;

    /// Checks the batch against the limits that all engines share.
    ///
    /// # Errors
    /// [`StoreError::LimitExceeded`].
    pub fn validate(&self) -> Result<(), StoreError> {
        check_limit("writes in one batch", self.writes.len(), Batch::MAX_OPERATIONS)?;
        check_limit("conditions in one batch", self.conditions.len(), Batch::MAX_OPERATIONS)?;
        check_limit("bytes in one batch", self.size_bytes(), Batch::MAX_BYTES)?;
        for (key, _) in &self.writes {
            check_limit("bytes in a key", key.name.len(), Key::MAX_NAME_BYTES)?;
        }
        Ok(())
    }

    /// The bytes of all keys and values together.
    pub fn size_bytes(&self) -> usize {
        self.writes.iter().map(|(key, value)| write_size_bytes(key, value.as_deref())).sum()
    }
}

/// The bytes that a write adds to a batch.
pub(crate) fn write_size_bytes(key: &Key, value: Option<&[u8]>) -> usize {
    key.name.len() + value.map_or(0, <[u8]>::len)
}

fn check_limit(what: &str, found: usize, limit: usize) -> Result<(), StoreError> {
    if found > limit {
        return Err(StoreError::LimitExceeded {
            what: what.into(),
            found: found as u64,
            limit: limit as u64,
        });
    }
    Ok(())
}

/// Selects a page of the records of a collection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The collection.
    pub collection: Collection,
    /// Only names with this prefix.
    pub prefix: String,
    /// Only names after this one.
    pub after: Option<String>,
    /// The most records of the page; at least 1.
    pub limit: usize,
}

impl Query {
    /// The most records of a page.
    pub const MAX_LIMIT: usize = 1000;

    /// The first page of a collection.
    pub fn all(collection: Collection) -> Query {
        Query { collection, prefix: String::new(), after: None, limit: Query::MAX_LIMIT }
    }

    /// Selects only names with this prefix.
    pub fn prefix(self, prefix: impl Into<String>) -> Query {
        Query { prefix: prefix.into(), ..self }
    }

    /// Selects only names after this one.
    pub fn after(self, name: Option<String>) -> Query {
        Query { after: name, ..self }
    }

    /// Limits the page to this many records, between 1 and [`Query::MAX_LIMIT`].
    pub fn limit(self, limit: usize) -> Query {
        Query { limit: limit.clamp(1, Query::MAX_LIMIT), ..self }
    }
}

/// Records in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records.
    pub entries: Vec<Entry>,
    /// Whether more records follow.
    pub more: bool,
    /// The store's revision when the page was read.
    pub revision: Revision,
}

impl Page {
    /// The name after which the next page begins; `None` on the last page.
    pub fn next_after(&self) -> Option<String> {
        let last = self.entries.last().filter(|_| self.more)?;
        Some(last.key.name.clone())
    }
}

/// A change of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The record's key.
    pub key: Key,
    /// The revision of the change.
    pub revision: Revision,
    /// The record's new value; `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// The changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// All changes.
    Since {
        /// In the order of revisions. A record that changed often may come once, with its newest value.
        changes: Vec<Change>,
        /// Every change up to this revision is included.
        up_to: Revision,
        /// Whether more changes can be read at once.
        more: bool,
    },
    /// The changes are no longer known: all records must be read again.
    Compacted {
        /// Changes after this revision are known.
        oldest: Revision,
    },
}

/// The state of an engine as it was last seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StoreHealth {
    /// Which engine, and where.
    pub engine: String,
    /// The newest revision that was read.
    pub revision: Revision,
    /// When the engine last answered; `None` before the first answer.
    #[serde(rename = "answered")]
    pub last_answer: Option<Micros>,
    /// The present fault.
    #[serde(rename = "trouble")]
    pub fault: Option<String>,
    /// The schema of the records.
    pub schema: u32,
}

/// A storage engine.
///
/// Calls block until the engine has answered, so they belong on a thread of their own. The caller passes the time, in
/// microseconds since 1970. A change that was answered with a revision is durable, whatever happens to the process.
///
/// Every call fails with a [`StoreError`] that names the file or endpoint: [`StoreError::Corrupt`] for data that is
/// not what was written, and transient errors ([`StoreError::is_transient`]) while the engine is unavailable.
pub trait Store: Send {
    /// The record under a key.
    ///
    /// # Errors
    /// If the engine fails or the record is corrupt.
    fn get(&mut self, key: &Key, now: Micros) -> Result<Option<Entry>, StoreError>;

    /// The records under several keys, in the order of the keys. All are of one moment only if the engine can read so.
    ///
    /// # Errors
    /// If the engine fails or a record is corrupt.
    fn get_many(&mut self, keys: &[Key], now: Micros) -> Result<Vec<Option<Entry>>, StoreError> {
        keys.iter().map(|key| self.get(key, now)).collect()
    }

    /// A page of records.
    ///
    /// # Errors
    /// If the engine fails or a record is corrupt.
    fn list(&mut self, query: &Query, now: Micros) -> Result<Page, StoreError>;

    /// Makes all writes of a batch or none, and returns the revision.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] or [`StoreError::AlreadyExists`] if a condition does not hold,
    /// [`StoreError::LimitExceeded`] if the batch is too large, [`StoreError::OutcomeUnknown`] if the answer was lost.
    fn apply(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError>;

    /// The changes after a revision.
    ///
    /// # Errors
    /// If the engine fails or a record is corrupt.
    fn changes(&mut self, since: Revision, now: Micros) -> Result<Changes, StoreError>;

    /// Calls the visitor with every record of some collections as of one revision, which is returned.
    ///
    /// # Errors
    /// If the engine or the visitor fails, or a record is corrupt.
    fn visit(
        &mut self,
        collections: &[Collection],
        now: Micros,
        visitor: Visitor<'_>,
    ) -> Result<Revision, StoreError>;

    /// Replaces all records by these.
    ///
    /// # Errors
    /// If the engine fails; then either all records are replaced or none.
    fn replace(&mut self, records: Vec<(Key, Vec<u8>)>, now: Micros) -> Result<Revision, StoreError>;

    /// Has the engine verify all stored data.
    ///
    /// # Errors
    /// If the engine fails or anything is corrupt.
    fn verify(&mut self, now: Micros) -> Result<(), StoreError>;

    /// The engine's state as it was last seen, without calling it.
    fn health(&self) -> StoreHealth;
}

/// Called with each record by [`Store::visit`].
pub type Visitor<'a> = &'a mut dyn FnMut(Entry) -> Result<(), StoreError>;
