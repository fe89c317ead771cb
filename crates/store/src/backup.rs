//! Backups of a running store, and restoring a store from them. A backup is verified before it is published, and again
//! before it is restored; both are done completely or not at all.

use crate::commands::{LAST_AUDIT_NUMBER, NEXT_CLASS_ID, NEXT_TENANT_ID};
use crate::embedded::{Create, Embedded, create_backup_file, file_in_memory};
use crate::error::StoreError;
use crate::files::{publish, sibling_path};
use crate::integrity;
use crate::key::{Collection, Key};
use crate::migrate::Records;
use crate::record::{Actor, AuditAction, AuditEntry};
use crate::revision::Revision;
use crate::store::{Store, decode, encode};
use serde::Serialize;
use serde_json::{Value, json};
use shorewharf_units::Micros;
use std::fs;
use std::path::Path;

/// The number of ids that are skipped if the store is lost that recorded which ids were assigned after the backup: more
/// than a service assigns between two backups.
const SKIPPED_IDS: u64 = 65_536;

/// The result of a backup, export, restore or import.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CopySummary {
    /// For a backup or export, the revision that was copied; for a restore or import, the revision in which the records
    /// were replaced.
    pub revision: Revision,
    /// The number of records that were written.
    pub records: usize,
}

/// Copies all records, as of one revision, into a file that [`Embedded`] can open. The file is verified before it
/// replaces an existing one of the same name.
///
/// # Errors
/// If the store can't be read, or the file can't be written or verified. An existing file is then unchanged.
pub fn backup(store: &mut dyn Store, to: &Path, now: Micros) -> Result<CopySummary, StoreError> {
    let unverified = sibling_path(to, "new");
    let summary = copy_records(store, &unverified, now)?;
    let published = verify_backup(&unverified).and_then(|()| publish(&unverified, to));
    if let Err(e) = published {
        let _ = fs::remove_file(&unverified);
        return Err(e);
    }
    Ok(summary)
}

fn copy_records(store: &mut dyn Store, to: &Path, now: Micros) -> Result<CopySummary, StoreError> {
    let mut records = 0;
    let revision = create_backup_file(to, |put| {
        store.visit(&Collection::ALL, now, &mut |entry| {
            records += 1;
            put(entry)
        })
    })?;
    Ok(CopySummary { revision, records })
}

/// Opens a backup, which verifies every page, and reads every record.
fn verify_backup(path: &Path) -> Result<(), StoreError> {
    let mut copy = Embedded::open_with(file_in_memory(path)?, 0)?;
    copy.visit(&Collection::ALL, 0, &mut |_| Ok(())).map(drop)
}

/// Replaces all records of the store by those of a backup, in one transaction.
///
/// The backup is read and checked first. Ids that were assigned after the backup was made are not assigned again: each
/// counter of ids keeps the larger value of the store and the backup, and if the store was lost and created again, some
/// ids are skipped. The audit trail is that of the backup, with one more entry about the restore.
///
/// # Errors
/// [`StoreError::Corrupt`] or [`StoreError::NewerSchema`] if the backup can't be used, or an error of the store. The
/// store is then unchanged.
pub fn restore(
    store: &mut dyn Store,
    from: &Path,
    actor: &Actor,
    now: Micros,
) -> Result<CopySummary, StoreError> {
    let location = from.display().to_string();
    let (records, revision) = read_backup(from, now).map_err(|e| at_location(e, &location))?;
    let faults = integrity::find_faults(&records);
    if let Some(first) = faults.first() {
        let more = faults.len() - 1;
        let cause = format!("{}: {}, and {more} more faults", first.key, first.error);
        return Err(StoreError::corrupt(location, cause));
    }
    let after = json!({ "revision": revision });
    let source = ReplacementSource { actor, action: AuditAction::Restore, target: location, after };
    replace_all_records(store, records, source, now)
}

fn read_backup(from: &Path, now: Micros) -> Result<(Records, Revision), StoreError> {
    let mut backup = Embedded::open_with(file_in_memory(from)?, now)?;
    integrity::read_all(&mut backup, now)
}

/// The same error, with the location replaced if it is about corrupt data or a newer schema.
fn at_location(e: StoreError, location: &str) -> StoreError {
    match e {
        StoreError::Corrupt { cause, .. } => StoreError::corrupt(location, cause),
        StoreError::NewerSchema { found, supported, .. } => {
            StoreError::NewerSchema { location: location.into(), found, supported }
        }
        e => e,
    }
}

/// The origin of a replacement of all records, for the audit trail.
pub(crate) struct ReplacementSource<'a> {
    pub(crate) actor: &'a Actor,
    pub(crate) action: AuditAction,
    /// The file or document that the new records come from.
    pub(crate) target: String,
    /// The revision of the new records at their source.
    pub(crate) after: Value,
}

/// Replaces all records of a store in one transaction, and adds an entry about this to the audit trail.
pub(crate) fn replace_all_records(
    store: &mut dyn Store,
    mut records: Records,
    source: ReplacementSource<'_>,
    now: Micros,
) -> Result<CopySummary, StoreError> {
    for name in [NEXT_TENANT_ID, NEXT_CLASS_ID] {
        let key = Key::new(Collection::Counter, name);
        let next = next_unused_id(store, &records, &key, now)?;
        records.insert(key.clone(), encode(&key, &next)?);
    }
    let counter = Key::new(Collection::Counter, LAST_AUDIT_NUMBER);
    let number = counter_in(&records, &counter)? + 1;
    records.insert(counter.clone(), encode(&counter, &number)?);
    let entry = AuditEntry {
        number,
        at: now,
        actor: source.actor.clone(),
        action: source.action,
        target: source.target,
        before: None,
        after: Some(source.after),
    };
    let key = Key::new(Collection::Audit, AuditEntry::key_name(number));
    records.insert(key.clone(), encode(&key, &entry)?);
    let count = records.len();
    let revision = store.replace(records.into_iter().collect(), now)?;
    Ok(CopySummary { revision, records: count })
}

/// The next id that was assigned neither in the store nor in the new records.
fn next_unused_id(
    store: &mut dyn Store,
    records: &Records,
    counter: &Key,
    now: Micros,
) -> Result<u64, StoreError> {
    let replacement = counter_in(records, counter)?;
    Ok(match store.get(counter, now)? {
        Some(entry) => replacement.max(entry.decode::<u64>()?),
        None if replacement > 0 => replacement + SKIPPED_IDS,
        None => 0,
    })
}

fn counter_in(records: &Records, counter: &Key) -> Result<u64, StoreError> {
    records.get(counter).map_or(Ok(0), |value| decode(counter, value))
}

/// Opens a backup for reading. The file is not changed.
///
/// # Errors
/// If the file can't be read, is corrupt or has a newer schema.
pub fn open(path: &Path, now: Micros) -> Result<Embedded, StoreError> {
    let opened = Embedded::open_with(file_in_memory(path)?, now);
    opened.map_err(|e| at_location(e, &path.display().to_string()))
}

/// Creates the file of a lost store again, and restores a backup into it. A corrupt file must be moved away first.
///
/// # Errors
/// [`StoreError::AlreadyExists`] if the file exists, and the errors of [`restore`].
pub fn restore_to_new_file(
    path: &Path,
    from: &Path,
    actor: &Actor,
    now: Micros,
) -> Result<CopySummary, StoreError> {
    // Opening the backup first ensures that no file is created if the backup can't be used.
    open(from, now)?;
    let mut store = Embedded::open(path, Create::Replacement, now)?;
    restore(&mut store, from, actor, now)
}
