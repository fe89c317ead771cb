//! The store's keys in etcd: records under `PREFIX/GENERATION/`, the engine's own keys under `PREFIX/engine/`.

use super::api::{Bytes, KeyValue};
use crate::error::{InvalidValue, StoreError};
use crate::key::Key;
use crate::revision::Revision;
use crate::store::Entry;

/// The keys from `from` up to but not including `end`.
pub(super) struct KeyRange {
    pub(super) from: Bytes,
    pub(super) end: Bytes,
}

/// Builds and parses the keys that one instance uses.
pub(super) struct Keyspace {
    prefix: String,
    instance: String,
}

impl Keyspace {
    pub(super) fn new(prefix: &str, instance: &str) -> Result<Keyspace, InvalidValue> {
        check_key_part("prefix", prefix)?;
        check_key_part("instance", instance)?;
        Ok(Keyspace { prefix: prefix.into(), instance: instance.into() })
    }

    pub(super) fn prefix(&self) -> &str {
        &self.prefix
    }

    pub(super) fn instance(&self) -> &str {
        &self.instance
    }

    /// The key of the store's description, which holds its schema and generation.
    pub(super) fn description(&self) -> Bytes {
        Bytes::from_text(self.description_text())
    }

    pub(super) fn description_text(&self) -> String {
        format!("{}/engine/about", self.prefix)
    }

    /// The key of the head, which every transaction writes.
    pub(super) fn head(&self) -> Bytes {
        Bytes::from_text(format!("{}/engine/head", self.prefix))
    }

    /// The key of this instance's mark.
    pub(super) fn mark(&self) -> Bytes {
        Bytes::from_text(format!("{}/engine/mark/{}", self.prefix, self.instance))
    }

    /// The etcd key of a record. `key` may also be a prefix of record keys, or the bound of a range.
    pub(super) fn record(&self, generation: &str, key: &str) -> Bytes {
        Bytes::from_text(format!("{}{key}", self.records_prefix(generation)))
    }

    fn records_prefix(&self, generation: &str) -> String {
        format!("{}/{generation}/", self.prefix)
    }

    /// The record key in an etcd key; `None` if it is not the key of a record of this generation.
    pub(super) fn parse_record(&self, generation: &str, etcd_key: &str) -> Option<Key> {
        Key::parse(etcd_key.strip_prefix(&self.records_prefix(generation))?)
    }

    /// Converts a key and value of etcd into a record.
    pub(super) fn entry(&self, generation: &str, kv: KeyValue) -> Result<Entry, StoreError> {
        let etcd_key = kv.key.into_text();
        let key = self.parse_record(generation, &etcd_key);
        let key = key.ok_or_else(|| {
            StoreError::corrupt(&etcd_key, format!("not a valid record key of generation {generation}"))
        })?;
        Ok(Entry { key, revision: Revision(kv.mod_revision.0), value: kv.value.0 })
    }

    /// All keys of the store.
    pub(super) fn all(&self) -> KeyRange {
        // The range ends before `0`, the next character after `/`.
        KeyRange {
            from: Bytes::from_text(format!("{}/", self.prefix)),
            end: Bytes::from_text(format!("{}0", self.prefix)),
        }
    }

    /// The records of all generations but one: the ranges before and after its keys. Names of generations begin with
    /// `g`.
    pub(super) fn other_generations(&self, generation: &str) -> [KeyRange; 2] {
        let before = KeyRange {
            from: Bytes::from_text(format!("{}/g", self.prefix)),
            end: Bytes::from_text(self.records_prefix(generation)),
        };
        let after = KeyRange {
            from: Bytes::from_text(format!("{}/{generation}0", self.prefix)),
            end: Bytes::from_text(format!("{}/h", self.prefix)),
        };
        [before, after]
    }
}

fn check_key_part(field: &str, text: &str) -> Result<(), InvalidValue> {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
    if text.is_empty() || !text.bytes().all(is_allowed) {
        return Err(InvalidValue::new(
            field,
            "must be printable ASCII without spaces and '/', and not empty",
        ));
    }
    Ok(())
}
