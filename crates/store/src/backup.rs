//! Backups while the store runs, and restoring them: checked first, then whole or not at all.

use crate::calls::{AUDIT, CLASS_PLACES, TENANT_PLACES};
use crate::check;
use crate::embedded::{Create, Embedded, Memory, fill};
use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::migrate::Records;
use crate::record::{Actor, AuditEntry, Deed, Micros};
use crate::store::{Revision, Store, read, write};
use serde::Serialize;
use serde_json::json;
use std::path::Path;

/// Places that are left out where it is not known which were given after the backup was made: the store that
/// knew is lost. More tenants than a service makes between two backups, and one part in 65,536 of all places.
const SKIPPED: u64 = 65_536;

/// What a backup, export, restore or import took along.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Taken {
    /// The store's revision that was copied; of a restore or import, the revision that it made.
    pub revision: Revision,
    /// How many records.
    pub records: usize,
}

/// Copies all records, as they are at one revision, into a file that [`Embedded`] opens. The file is checked
/// before it gets its name, and takes the place of an older one of that name.
pub fn backup(store: &mut dyn Store, to: &Path, now: Micros) -> Result<Taken, StoreError> {
    fill(to, |put| {
        let mut records = 0;
        let revision = store.visit(&Space::ALL, now, &mut |entry| {
            records += 1;
            put(entry)
        })?;
        Ok((revision, Taken { revision, records }))
    })
}

/// Puts the records of a backup in the place of all that the store keeps, in one transaction.
///
/// First the backup is read whole and checked. Places that were given are never given again; a store that was
/// made anew after a loss can't know them and leaves some out. The audit trail is the backup's, with one more
/// entry that tells of this.
pub fn restore(store: &mut dyn Store, from: &Path, who: &Actor, now: Micros) -> Result<Taken, StoreError> {
    let what = from.display().to_string();
    let mut backup = Embedded::open_on(Memory::of_file(from)?, now).map_err(|e| named(e, &what))?;
    let (records, revision) = check::all(&mut backup, now).map_err(|e| named(e, &what))?;
    let faults = check::faults(&records);
    if let Some((key, fault)) = faults.first() {
        let more = faults.len() - 1;
        return Err(StoreError::damaged(what, format!("{key}: {fault}, and {more} more faults")));
    }
    let after = json!({ "revision": revision });
    take_place(store, records, (who, Deed::Restore, what, after), now)
}

/// The same error, about the file.
fn named(e: StoreError, file: &str) -> StoreError {
    match e {
        StoreError::Damaged { cause, .. } => StoreError::damaged(file, cause),
        StoreError::NewerSchema { found, known, .. } => {
            StoreError::NewerSchema { what: file.into(), found, known }
        }
        e => e,
    }
}

/// Replaces all of a store's records, and notes who did so from what.
pub(crate) fn take_place(
    store: &mut dyn Store,
    mut records: Records,
    (who, deed, target, after): (&Actor, Deed, String, serde_json::Value),
    now: Micros,
) -> Result<Taken, StoreError> {
    for name in [TENANT_PLACES, CLASS_PLACES] {
        let key = Key::new(Space::Meta, name);
        let comes = records.get(&key).map_or(Ok(0), |value| read::<u64>(&key, value))?;
        let stands = store.get(&key, now)?.map(|entry| entry.read::<u64>()).transpose()?;
        let next = match stands {
            Some(stands) => comes.max(stands),
            None if comes > 0 => comes + SKIPPED,
            None => 0,
        };
        records.insert(key.clone(), write(&key, &next)?);
    }
    let key = Key::new(Space::Meta, AUDIT);
    let number = records.get(&key).map_or(Ok(0), |value| read::<u64>(&key, value))? + 1;
    records.insert(key.clone(), write(&key, &number)?);
    let who = who.clone();
    let entry = AuditEntry { number, at: now, who, deed, target, before: None, after: Some(after) };
    let key = Key::new(Space::Audit, AuditEntry::name(number));
    records.insert(key.clone(), write(&key, &entry)?);
    let count = records.len();
    let revision = store.replace(records.into_iter().collect(), now)?;
    Ok(Taken { revision, records: count })
}

/// Opens a backup to look at it, without changing the file.
pub fn open(path: &Path, now: Micros) -> Result<Embedded, StoreError> {
    Embedded::open_on(Memory::of_file(path)?, now).map_err(|e| named(e, &path.display().to_string()))
}

/// Makes a file anew where one was lost or is damaged and has been moved away, and restores a backup into it.
pub fn restore_anew(path: &Path, from: &Path, who: &Actor, now: Micros) -> Result<Taken, StoreError> {
    // What is wrong with the backup is told before anything is made.
    open(from, now)?;
    let mut store = Embedded::open(path, Create::Anew, now)?;
    restore(&mut store, from, who, now)
}
