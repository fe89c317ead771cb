//! The schema of what is kept, and the steps from older ones.
//!
//! A step sees all records and returns what is written. Steps only go forward. A store with a newer schema than
//! [`SCHEMA`] is refused by name: this program can't know what its records mean.
//!
//! In the replicated engine a step is written in several transactions while other instances run, so each step
//! must do no harm when it is done twice or half; the schema's number is written last.

use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::record::{Micros, TenantRecord};
use crate::store::read;
use std::collections::BTreeMap;

/// The schema that this program writes.
pub const SCHEMA: u32 = 2;

/// All records by key.
pub(crate) type Records = BTreeMap<Key, Vec<u8>>;

/// Records to write, or to remove.
pub(crate) type Writes = Vec<(Key, Option<Vec<u8>>)>;

type Step = fn(&Records, Micros) -> Result<Writes, StoreError>;

/// The step from each schema to the next, from 1 on.
const STEPS: [(u32, Step); 1] = [(1, index_looks)];

/// Takes records from a schema to this program's; what is to be written for it.
pub(crate) fn steps(from: u32, records: &mut Records, now: Micros) -> Result<Writes, StoreError> {
    if from == 0 || from > SCHEMA {
        return Err(StoreError::NewerSchema { what: "meta/schema".into(), found: from, known: SCHEMA });
    }
    let mut all: BTreeMap<Key, Option<Vec<u8>>> = BTreeMap::new();
    for (_, step) in STEPS.iter().filter(|(schema, _)| *schema >= from) {
        for (key, value) in step(records, now)? {
            match &value {
                Some(value) => records.insert(key.clone(), value.clone()),
                None => records.remove(&key),
            };
            all.insert(key, value);
        }
    }
    Ok(all.into_iter().collect())
}

/// Schema 1 had no index of how names look, so look-alikes were not seen.
pub(crate) fn index_looks(records: &Records, _now: Micros) -> Result<Writes, StoreError> {
    let mut looks: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    for (key, value) in records.iter().filter(|(key, _)| key.space == Space::Tenant) {
        let tenant: TenantRecord = read(key, value)?;
        let look = tenant.name.look();
        looks.entry(look.skeleton).or_default().insert(key.name.clone(), look.scripts);
    }
    let record = |(skeleton, names): (String, BTreeMap<String, String>)| {
        let key = Key::new(Space::Look, skeleton);
        let value = crate::store::write(&key, &names)?;
        Ok((key, Some(value)))
    };
    looks.into_iter().map(record).collect()
}
