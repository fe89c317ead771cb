//! The schema of the records, and the migrations from older schemas.
//!
//! A migration reads all records and returns the changed ones. There are no migrations to older schemas. A store with a
//! newer schema than [`SCHEMA`] is rejected, since this program can't interpret its records.
//!
//! The replicated engine writes a migration in several transactions while other instances run. A migration must
//! therefore be idempotent, and a partly written one must do no harm. The number of the new schema is written last.

use crate::error::StoreError;
use crate::key::{Collection, Key};
use crate::record::TenantRecord;
use crate::store::{decode, encode};
use shorewharf_units::Micros;
use std::collections::BTreeMap;

/// The schema of the records that this program writes.
pub const SCHEMA: u32 = 2;

/// All records by key.
pub(crate) type Records = BTreeMap<Key, Vec<u8>>;

/// The new value of each changed record, or `None` to remove it.
pub(crate) type Writes = Vec<(Key, Option<Vec<u8>>)>;

type Migration = fn(&Records, Micros) -> Result<Writes, StoreError>;

/// The migrations, each with the schema that it migrates from.
const MIGRATIONS: [(u32, Migration); 1] = [(1, index_confusable_names)];

/// Migrates records from the schema `from` to [`SCHEMA`], and returns the writes that this takes.
pub(crate) fn migrate(from: u32, records: &mut Records, now: Micros) -> Result<Writes, StoreError> {
    if from == 0 || from > SCHEMA {
        return Err(StoreError::NewerSchema {
            location: "meta/schema".into(),
            found: from,
            supported: SCHEMA,
        });
    }
    let mut writes: BTreeMap<Key, Option<Vec<u8>>> = BTreeMap::new();
    for (_, migration) in MIGRATIONS.iter().filter(|(schema, _)| *schema >= from) {
        for (key, value) in migration(records, now)? {
            match &value {
                Some(value) => records.insert(key.clone(), value.clone()),
                None => records.remove(&key),
            };
            writes.insert(key, value);
        }
    }
    Ok(writes.into_iter().collect())
}

/// Creates the index of confusable names, which schema 1 did not have.
pub(crate) fn index_confusable_names(records: &Records, _now: Micros) -> Result<Writes, StoreError> {
    let mut index: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    for (key, value) in records.iter().filter(|(key, _)| key.collection == Collection::Tenant) {
        let tenant: TenantRecord = decode(key, value)?;
        let form = tenant.name.confusable_form();
        index.entry(form.skeleton_hash).or_default().insert(key.name.clone(), form.scripts);
    }
    let mut writes = Writes::new();
    for (skeleton_hash, names) in index {
        let key = Key::new(Collection::ConfusableName, skeleton_hash);
        let value = encode(&key, &names)?;
        writes.push((key, Some(value)));
    }
    Ok(writes)
}
