//! The interface of every storage engine: reads, lists, atomic conditional writes, and changes since a revision.
//!
//! Every transaction gets a revision, a number that increases over the whole store. The version of a record is the
//! revision of the transaction that last wrote it. A record never has the same version twice, even if it is removed and
//! created again under the same name.

use crate::error::{InvalidValue, StoreError};
use crate::key::{Collection, Key};
use crate::revision::Revision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

/// A stored record with its key and version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key of the record.
    pub key: Key,
    /// The version of the record.
    pub revision: Revision,
    /// The record, encoded as JSON.
    pub value: Vec<u8>,
}

impl Entry {
    /// Decodes the record as a `T`.
    ///
    /// # Errors
    /// [`StoreError::Corrupt`] if the value is not the JSON of a valid `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        decode(&self.key, &self.value)
    }
}

/// A decoded record and its version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The revision that last changed the record.
    pub version: Revision,
    /// The decoded record.
    pub record: T,
}

/// Decodes the JSON of the record with this key.
pub(crate) fn decode<T: DeserializeOwned>(key: &Key, value: &[u8]) -> Result<T, StoreError> {
    let deserializer = &mut serde_json::Deserializer::from_slice(value);
    serde_path_to_error::deserialize(deserializer).map_err(|e| StoreError::corrupt(key, e))
}

/// Encodes the record with this key as JSON.
pub(crate) fn encode<T: Serialize>(key: &Key, record: &T) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(record).map_err(|e| InvalidValue::new(key.text(), e.to_string()).into())
}

/// A precondition of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No record has this key.
    Absent(Key),
    /// The record has this version.
    AtRevision(Key, Revision),
}

impl Condition {
    /// The key of the record that the condition is about.
    pub fn key(&self) -> &Key {
        match self {
            Condition::Absent(key) | Condition::AtRevision(key, _) => key,
        }
    }
}

/// Writes that are made atomically, in one revision, if all conditions hold. Otherwise none of them is made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The preconditions.
    pub conditions: Vec<Condition>,
    /// The new value of each key, or `None` to remove the record. No key occurs twice.
    pub writes: Vec<(Key, Option<Vec<u8>>)>,
}

impl Batch {
    /// The maximum number of writes of a batch, and of its conditions: the replicated engine allows 128 of each,
    /// including some that it adds itself.
    pub const MAX_OPERATIONS: usize = 100;

    /// The maximum size of all keys and values together, in bytes: the replicated engine allows requests of 1.5 MiB, in
    /// which they are encoded as base64.
    pub const MAX_BYTES: usize = 900 * 1024;

    /// Checks the batch against the limits that all engines share.
    ///
    /// # Errors
    /// [`StoreError::LimitExceeded`] if the batch or a key is too large.
    pub fn validate(&self) -> Result<(), StoreError> {
        check_limit("writes in one batch", self.writes.len(), Batch::MAX_OPERATIONS)?;
        check_limit("conditions in one batch", self.conditions.len(), Batch::MAX_OPERATIONS)?;
        check_limit("bytes in one batch", self.size_bytes(), Batch::MAX_BYTES)?;
        for (key, _) in &self.writes {
            check_limit("bytes in a key", key.name.len(), Key::MAX_NAME_BYTES)?;
        }
        Ok(())
    }

    /// The size of all keys and values of the writes together, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.writes.iter().map(|(key, value)| write_size_bytes(key, value.as_deref())).sum()
    }
}

/// The size that a write adds to a batch, in bytes.
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
    /// The collection of the records.
    pub collection: Collection,
    /// Only records whose name has this prefix.
    pub prefix: String,
    /// Only records whose name sorts after this one; `None` for the first page.
    pub after: Option<String>,
    /// The maximum number of records in the page; at least 1.
    pub limit: usize,
}

impl Query {
    /// The largest value of [`Query::limit`].
    pub const MAX_LIMIT: usize = 1000;

    /// Selects the first page of a collection, with up to [`Query::MAX_LIMIT`] records.
    pub fn all(collection: Collection) -> Query {
        Query { collection, prefix: String::new(), after: None, limit: Query::MAX_LIMIT }
    }

    /// Selects only records whose name has this prefix.
    pub fn prefix(self, prefix: impl Into<String>) -> Query {
        Query { prefix: prefix.into(), ..self }
    }

    /// Selects only records whose name sorts after this one.
    pub fn after(self, name: Option<String>) -> Query {
        Query { after: name, ..self }
    }

    /// Limits the number of records in the page; the limit is clamped to 1 to [`Query::MAX_LIMIT`].
    pub fn limit(self, limit: usize) -> Query {
        Query { limit: limit.clamp(1, Query::MAX_LIMIT), ..self }
    }
}

/// A page of records of a collection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records, in the order of their names.
    pub entries: Vec<Entry>,
    /// Whether more records follow after the page.
    pub more: bool,
    /// The revision of the store as of which the page was read.
    pub revision: Revision,
}

impl Page {
    /// The name after which the next page begins; `None` on the last page.
    pub fn next_after(&self) -> Option<String> {
        let last = self.entries.last().filter(|_| self.more)?;
        Some(last.key.name.clone())
    }
}

/// A change of a single record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key of the record.
    pub key: Key,
    /// The revision of the change.
    pub revision: Revision,
    /// The new value of the record, encoded as JSON; `None` if the record was removed.
    pub value: Option<Vec<u8>>,
}

/// The result of reading the changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The changes after the revision.
    Since {
        /// The changes in the order of their revisions. Several changes of a record may be combined into one with the
        /// newest value.
        changes: Vec<Change>,
        /// All changes up to this revision are included.
        up_to: Revision,
        /// Whether there are more changes to read, after `up_to`.
        more: bool,
    },
    /// The engine no longer retains all changes after the revision: all records must be read again.
    Compacted {
        /// The revision after which all changes are retained.
        oldest: Revision,
    },
}

/// The state of an engine as of its last call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StoreHealth {
    /// The kind of engine and its location, for display.
    pub engine: String,
    /// The newest revision that was read or written.
    pub revision: Revision,
    /// The time of the engine's last answer; `None` before the first one.
    #[serde(rename = "answered")]
    pub last_answer: Option<Micros>,
    /// The error of the last call, if the engine failed.
    #[serde(rename = "trouble")]
    pub fault: Option<String>,
    /// The schema of the stored records.
    pub schema: u32,
}

/// A storage engine.
///
/// Calls block until the engine has answered, so they must be made from a dedicated thread. The caller passes the time
/// in microseconds since 1970. A change for which a revision was returned is durable, even if the process ends
/// abruptly.
///
/// Calls fail with a [`StoreError`] that names the file or endpoint. The error is [`StoreError::Corrupt`] if stored
/// data differs from what was written, and transient ([`StoreError::is_transient`]) while the engine is unavailable.
pub trait Store: Send {
    /// Reads the record with this key.
    ///
    /// # Errors
    /// If the engine fails or the record is corrupt.
    fn get(&mut self, key: &Key, now: Micros) -> Result<Option<Entry>, StoreError>;

    /// Reads the records with these keys, and returns them in the order of the keys. They are consistent with each
    /// other only if the engine reads them in one transaction; this default reads each separately.
    ///
    /// # Errors
    /// If the engine fails or a record is corrupt.
    fn get_many(&mut self, keys: &[Key], now: Micros) -> Result<Vec<Option<Entry>>, StoreError> {
        keys.iter().map(|key| self.get(key, now)).collect()
    }

    /// Reads a page of records.
    ///
    /// # Errors
    /// If the engine fails or a record is corrupt.
    fn list(&mut self, query: &Query, now: Micros) -> Result<Page, StoreError>;

    /// Makes all writes of a batch or none, and returns their revision.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] or [`StoreError::AlreadyExists`] if a condition does not hold,
    /// [`StoreError::LimitExceeded`] if the batch is too large, [`StoreError::OutcomeUnknown`] if the batch may or may
    /// not have been written.
    fn apply(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError>;

    /// Reads the changes after a revision.
    ///
    /// # Errors
    /// If the engine fails or a record is corrupt.
    fn changes(&mut self, since: Revision, now: Micros) -> Result<Changes, StoreError>;

    /// Calls the visitor with every record of these collections, as of one revision, and returns that revision.
    ///
    /// # Errors
    /// If the engine or the visitor fails, or a record is corrupt.
    fn visit(
        &mut self,
        collections: &[Collection],
        now: Micros,
        visitor: Visitor<'_>,
    ) -> Result<Revision, StoreError>;

    /// Replaces all records of the store by these, and returns the revision.
    ///
    /// # Errors
    /// If the engine fails. Then either all records are replaced or none.
    fn replace(&mut self, records: Vec<(Key, Vec<u8>)>, now: Micros) -> Result<Revision, StoreError>;

    /// Verifies all stored data.
    ///
    /// # Errors
    /// If the engine fails or any data is corrupt.
    fn verify(&mut self, now: Micros) -> Result<(), StoreError>;

    /// The state of the engine as of its last call; does not call the engine.
    fn health(&self) -> StoreHealth;
}

/// A function that [`Store::visit`] calls with each record. An error ends the visit.
pub type Visitor<'a> = &'a mut dyn FnMut(Entry) -> Result<(), StoreError>;
