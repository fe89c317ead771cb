//! A store with a copy in memory of the records that every instance needs. Reads are answered from the copy while the
//! engine is unavailable. The copy can also be written to a file, so that an instance can start without the engine.

use crate::change_batch::ChangeBatch;
use crate::digest::sha256_hex;
use crate::error::StoreError;
use crate::files::write_atomically;
use crate::key::{Collection, Key};
use crate::revision::Revision;
use crate::store::{Batch, Change, Changes, Entry, Page, Query, Store, StoreHealth, Visitor};
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// The minimum time between two writes of the copy file.
const COPY_INTERVAL: Micros = 5_000_000;

/// The maximum number of reads of changes in one refresh, after which other calls can be made.
const MAX_CHANGE_READS: usize = 20;

/// The length of the checksum in the first line of the copy file, in bytes: SHA-256 in hexadecimal digits.
const CHECKSUM_BYTES: usize = 64;

/// A store with a copy in memory of the records in [`Collection::CACHED`].
pub struct CachedStore {
    store: Box<dyn Store>,
    /// The copied records.
    entries: BTreeMap<Key, Entry>,
    /// The revision up to which the copy has all changes.
    revision: Revision,
    /// The latest time at which the copy was known to be up to date; `None` before the copy is first loaded.
    as_of: Option<Micros>,
    /// Whether the copy was loaded from the engine rather than from the file.
    is_live: bool,
    copy_file: Option<PathBuf>,
    last_written: Option<WrittenCopy>,
}

/// The time and the revision of the copy that was last written to the file.
struct WrittenCopy {
    at: Micros,
    revision: Revision,
}

/// The content of the copy file, after the checksum.
#[derive(Serialize, Deserialize)]
struct StoredCopy {
    revision: Revision,
    as_of: Micros,
    entries: Vec<StoredEntry>,
}

/// The key, the revision and the JSON of a record, which are written as an array.
#[derive(Serialize, Deserialize)]
struct StoredEntry(String, u64, String);

impl StoredEntry {
    fn new(entry: &Entry) -> StoredEntry {
        let json = String::from_utf8_lossy(&entry.value).into_owned();
        StoredEntry(entry.key.text(), entry.revision.0, json)
    }

    fn into_keyed_entry(self) -> Option<(Key, Entry)> {
        let StoredEntry(key, revision, json) = self;
        let key = Key::parse(&key)?;
        let entry = Entry { key: key.clone(), revision: Revision(revision), value: json.into_bytes() };
        Some((key, entry))
    }
}

impl CachedStore {
    /// A store with an empty copy, which the first [`CachedStore::refresh`] loads. The copy is written to `copy_file`,
    /// if given.
    pub fn new(store: Box<dyn Store>, copy_file: Option<PathBuf>) -> CachedStore {
        CachedStore {
            store,
            entries: BTreeMap::new(),
            revision: Revision(0),
            as_of: None,
            is_live: false,
            copy_file,
            last_written: None,
        }
    }

    /// The time since the copy was last known to be up to date, in microseconds; `None` before the copy is first
    /// loaded.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// Brings the copy up to date, and returns the changes. If the engine is unavailable and no copy is loaded yet, the
    /// copy is loaded from the file.
    ///
    /// # Errors
    /// If the engine is unavailable, and a copy is already loaded or can't be loaded from the file.
    pub fn refresh(&mut self, now: Micros) -> Result<ChangeBatch, StoreError> {
        let refreshed = if self.is_live { self.load_changes(now) } else { self.load_snapshot(now) };
        match refreshed {
            Ok(batch) => {
                self.is_live = true;
                self.as_of = Some(now);
                self.revision = batch.up_to;
                self.write_copy_if_due(now);
                Ok(batch)
            }
            Err(e) if e.is_transient() && self.as_of.is_none() => self.load_copy_file().ok_or(e),
            Err(e) => Err(e),
        }
    }

    fn load_snapshot(&mut self, now: Micros) -> Result<ChangeBatch, StoreError> {
        let mut entries = BTreeMap::new();
        let up_to = self.store.visit(&Collection::CACHED, now, &mut |entry| {
            entries.insert(entry.key.clone(), entry);
            Ok(())
        })?;
        self.entries = entries;
        Ok(self.snapshot(up_to, now))
    }

    fn snapshot(&self, up_to: Revision, as_of: Micros) -> ChangeBatch {
        let change = |entry: &Entry| Change {
            key: entry.key.clone(),
            revision: entry.revision,
            value: Some(entry.value.clone()),
        };
        ChangeBatch { is_snapshot: true, changes: self.entries.values().map(change).collect(), up_to, as_of }
    }

    fn load_changes(&mut self, now: Micros) -> Result<ChangeBatch, StoreError> {
        let mut up_to = self.revision;
        let mut newest: BTreeMap<Key, Change> = BTreeMap::new();
        for _ in 0..MAX_CHANGE_READS {
            match self.store.changes(up_to, now)? {
                Changes::Compacted { .. } => return self.load_snapshot(now),
                Changes::Since { changes, up_to: included, more } => {
                    up_to = included;
                    let cached = changes.into_iter().filter(|change| is_cached(change.key.collection));
                    newest.extend(cached.map(|change| (change.key.clone(), change)));
                    if !more {
                        break;
                    }
                }
            }
        }
        let changes: Vec<Change> = newest.into_values().collect();
        for change in &changes {
            self.apply_to_copy(change);
        }
        Ok(ChangeBatch { is_snapshot: false, changes, up_to, as_of: now })
    }

    fn apply_to_copy(&mut self, change: &Change) {
        let Change { key, revision, value } = change.clone();
        match value {
            Some(value) => self.entries.insert(key.clone(), Entry { key, revision, value }),
            None => self.entries.remove(&key),
        };
    }

    /// Writes the copy file if it is out of date and the last write is long enough ago. A failed write is ignored, and
    /// tried again at the next refresh.
    fn write_copy_if_due(&mut self, now: Micros) {
        let Some(path) = &self.copy_file else { return };
        let is_due = match &self.last_written {
            Some(written) => written.revision < self.revision && now >= written.at + COPY_INTERVAL,
            None => true,
        };
        if !is_due {
            return;
        }
        let Some(bytes) = self.encode_copy(now) else { return };
        if write_atomically(path, &bytes).is_ok() {
            self.last_written = Some(WrittenCopy { at: now, revision: self.revision });
        }
    }

    /// The content of the copy file: a line with the checksum, followed by JSON.
    fn encode_copy(&self, now: Micros) -> Option<Vec<u8>> {
        let entries = self.entries.values().map(StoredEntry::new).collect();
        let copy = StoredCopy { revision: self.revision, as_of: now, entries };
        let json = serde_json::to_vec(&copy).ok()?;
        Some([sha256_hex(&json).as_bytes(), b"\n", &json].concat())
    }

    /// Loads the copy from the file, if there is an intact one.
    fn load_copy_file(&mut self) -> Option<ChangeBatch> {
        let copy = read_copy_file(self.copy_file.as_deref()?)?;
        self.entries = copy.entries.into_iter().map(StoredEntry::into_keyed_entry).collect::<Option<_>>()?;
        self.revision = copy.revision;
        self.as_of = Some(copy.as_of);
        Some(self.snapshot(copy.revision, copy.as_of))
    }

    /// Whether a read of this collection that failed with `e` can be answered from the copy.
    fn can_serve(&self, collection: Collection, e: &StoreError) -> bool {
        e.is_transient() && self.as_of.is_some() && is_cached(collection)
    }

    fn list_copy(&self, query: &Query) -> Page {
        let from = query.after.as_deref().unwrap_or_default().max(query.prefix.as_str());
        let mut matching = self
            .entries
            .range(Key::new(query.collection, from)..)
            .take_while(|(key, _)| key.collection == query.collection && key.name.starts_with(&query.prefix))
            .filter(|(key, _)| Some(&key.name) != query.after.as_ref());
        let entries = matching.by_ref().take(query.limit).map(|(_, entry)| entry.clone()).collect();
        Page { entries, more: matching.next().is_some(), revision: self.revision }
    }
}

fn is_cached(collection: Collection) -> bool {
    Collection::CACHED.contains(&collection)
}

/// Reads a copy file; `None` if it can't be read or its checksum does not match.
fn read_copy_file(path: &Path) -> Option<StoredCopy> {
    let bytes = fs::read(path).ok()?;
    let (checksum, json) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    let json = json.strip_prefix(b"\n")?;
    if checksum != sha256_hex(json).as_bytes() {
        return None;
    }
    serde_json::from_slice(json).ok()
}

impl Store for CachedStore {
    fn get(&mut self, key: &Key, now: Micros) -> Result<Option<Entry>, StoreError> {
        match self.store.get(key, now) {
            Err(e) if self.can_serve(key.collection, &e) => Ok(self.entries.get(key).cloned()),
            result => result,
        }
    }

    fn get_many(&mut self, keys: &[Key], now: Micros) -> Result<Vec<Option<Entry>>, StoreError> {
        match self.store.get_many(keys, now) {
            Err(e) if e.is_transient() => keys.iter().map(|key| self.get(key, now)).collect(),
            result => result,
        }
    }

    fn list(&mut self, query: &Query, now: Micros) -> Result<Page, StoreError> {
        match self.store.list(query, now) {
            Err(e) if self.can_serve(query.collection, &e) => Ok(self.list_copy(query)),
            result => result,
        }
    }

    fn apply(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError> {
        self.store.apply(batch, now)
    }

    fn changes(&mut self, since: Revision, now: Micros) -> Result<Changes, StoreError> {
        self.store.changes(since, now)
    }

    fn visit(
        &mut self,
        collections: &[Collection],
        now: Micros,
        visitor: Visitor<'_>,
    ) -> Result<Revision, StoreError> {
        self.store.visit(collections, now, visitor)
    }

    fn replace(&mut self, records: Vec<(Key, Vec<u8>)>, now: Micros) -> Result<Revision, StoreError> {
        self.store.replace(records, now)
    }

    fn verify(&mut self, now: Micros) -> Result<(), StoreError> {
        self.store.verify(now)
    }

    fn health(&self) -> StoreHealth {
        self.store.health()
    }
}
