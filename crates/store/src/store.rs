//! What a store does, whichever engine keeps the records: reads, lists, atomic conditional writes, changes.
//!
//! Every transaction gets a revision, one number for the whole store that only grows. A record's version is the
//! revision of the transaction that wrote it last, so no version is ever used twice, also when a record is
//! removed and made anew under its name.

use crate::error::{Invalid, StoreError};
use crate::key::{Key, Space};
use crate::record::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a transaction; 0 is before the first. Also the version of what it wrote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {}", self.0)
    }
}

/// A record as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Where it stands.
    pub key: Key,
    /// When it was last changed.
    pub revision: Revision,
    /// The record as JSON.
    pub value: Vec<u8>,
}

impl Entry {
    /// The record that the JSON holds, checked as its constructor would.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        read(&self.key, &self.value)
    }
}

/// A record of a key's value.
pub(crate) fn read<T: DeserializeOwned>(key: &Key, value: &[u8]) -> Result<T, StoreError> {
    let from = &mut serde_json::Deserializer::from_slice(value);
    serde_path_to_error::deserialize(from).map_err(|e| StoreError::damaged(key, e))
}

/// The JSON of a record.
pub(crate) fn write<T: Serialize>(key: &Key, record: &T) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(record).map_err(|e| Invalid::new(key.text(), e.to_string()).into())
}

/// What must hold for a batch to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing stands under the key.
    Absent(Key),
    /// The record was last changed at this revision.
    At(Key, Revision),
}

/// Writes that happen together, in one revision, if all conditions hold; else nothing happens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written under which key; `None` removes. A key comes once.
    pub writes: Vec<(Key, Option<Vec<u8>>)>,
}

impl Batch {
    /// The most writes of one batch, and the most conditions: the replicated engine takes 128 of either, some of
    /// which are its own.
    pub const LARGEST: usize = 100;
    /// The most bytes of all values together: the replicated engine takes 1.5 MiB a request, in base64.
    pub const HEAVIEST: usize = 900 * 1024;

    /// Refuses a batch that some engine could not take.
    pub fn check(&self) -> Result<(), StoreError> {
        let too_much = |what: &str, found: usize, limit: usize| match found > limit {
            true => Err(StoreError::TooMuch { what: what.into(), found: found as u64, limit: limit as u64 }),
            false => Ok(()),
        };
        too_much("writes in one batch", self.writes.len(), Batch::LARGEST)?;
        too_much("conditions in one batch", self.conditions.len(), Batch::LARGEST)?;
        too_much("bytes in one batch", self.weight(), Batch::HEAVIEST)?;
        self.writes.iter().try_for_each(|(key, _)| too_much("bytes in a key", key.name.len(), Key::LONGEST))
    }

    /// The bytes of all keys and values together.
    pub fn weight(&self) -> usize {
        self.writes.iter().map(|(key, value)| key.name.len() + value.as_ref().map_or(0, Vec::len)).sum()
    }
}

/// Which records a page is of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Their space.
    pub space: Space,
    /// Only names that begin so.
    pub prefix: String,
    /// Only names after this one.
    pub after: Option<String>,
    /// At most so many; at least 1.
    pub limit: usize,
}

impl Ask {
    /// The most records of a page.
    pub const LARGEST: usize = 1000;

    /// The first page of a space.
    pub fn of(space: Space) -> Ask {
        Ask { space, prefix: String::new(), after: None, limit: Ask::LARGEST }
    }

    /// Of names that begin so.
    pub fn prefix(self, prefix: impl Into<String>) -> Ask {
        Ask { prefix: prefix.into(), ..self }
    }

    /// Of names after one.
    pub fn after(self, name: Option<String>) -> Ask {
        Ask { after: name, ..self }
    }

    /// So many at most, between 1 and [`Ask::LARGEST`].
    pub fn limit(self, limit: usize) -> Ask {
        Ask { limit: limit.clamp(1, Ask::LARGEST), ..self }
    }
}

/// Records in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records.
    pub entries: Vec<Entry>,
    /// Whether names come after the last one.
    pub more: bool,
    /// The store's revision when it was read.
    pub revision: Revision,
}

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Which record.
    pub key: Key,
    /// When.
    pub revision: Revision,
    /// What it is now; `None` where it was removed.
    pub value: Option<Vec<u8>>,
}

/// What changed since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// All that changed.
    Since {
        /// In the order of revisions. A record that changed often may come once, as it is now.
        changes: Vec<Change>,
        /// All up to here is told.
        upto: Revision,
        /// Whether more is to be had at once.
        more: bool,
    },
    /// The changes are no longer all known: everything must be read anew.
    Compacted {
        /// Changes after this revision are known.
        oldest: Revision,
    },
}

/// How a store fares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Health {
    /// Which engine, and where.
    pub engine: String,
    /// The newest revision that was seen.
    pub revision: Revision,
    /// When the engine last answered; `None` before the first time.
    pub answered: Option<Micros>,
    /// What is wrong now.
    pub trouble: Option<String>,
    /// The schema of what is kept.
    pub schema: u32,
}

/// An engine that keeps records.
///
/// Calls block until the engine has answered: they belong on a thread of their own (see [`crate::service`]).
/// The time is the caller's, in microseconds since 1970. A change that was answered with a revision is kept,
/// whatever happens to the process.
pub trait Store: Send {
    /// The record under a key.
    fn get(&mut self, key: &Key, now: Micros) -> Result<Option<Entry>, StoreError>;

    /// The records under some keys, each in its key's place; as of one moment only where the engine can.
    fn get_many(&mut self, keys: &[Key], now: Micros) -> Result<Vec<Option<Entry>>, StoreError> {
        keys.iter().map(|key| self.get(key, now)).collect()
    }

    /// A page of records.
    fn list(&mut self, ask: &Ask, now: Micros) -> Result<Page, StoreError>;

    /// Writes a batch, whole or not at all, and says in which revision.
    fn apply(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError>;

    /// What changed after a revision.
    fn changes(&mut self, since: Revision, now: Micros) -> Result<Changes, StoreError>;

    /// Shows every record of some spaces as all of them were at one revision, which is returned.
    fn visit(&mut self, spaces: &[Space], now: Micros, each: Visitor<'_>) -> Result<Revision, StoreError>;

    /// Puts these records in the place of all that is kept.
    fn replace(&mut self, records: Vec<(Key, Vec<u8>)>, now: Micros) -> Result<Revision, StoreError>;

    /// Has the engine check all that it keeps.
    fn verify(&mut self, now: Micros) -> Result<(), StoreError>;

    /// How it fares, without asking anybody.
    fn health(&self) -> Health;
}

/// What is shown each record.
pub type Visitor<'a> = &'a mut dyn FnMut(Entry) -> Result<(), StoreError>;
