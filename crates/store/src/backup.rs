//! Backups of a running store, and restoring them: verified first, then completely or not at all.

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

/// Ids that are skipped if the store that knew which ids were assigned after the backup is lost: more than a service
/// assigns between two backups.
const SKIPPED_IDS: u64 = 65_536;

/// What a backup, export, restore or import copied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CopySummary {
    /// The revision that was copied; of a restore or import, the revision it made.
    pub revision: Revision,
    /// How many records.
    pub records: usize,
}

/// Copies all records, as of one revision, into a file that [`Embedded`] opens. The file is verified before it replaces
/// an older one of that name.
///
/// # Errors
/// If the store can't be read or the file not be written; then an older file is unchanged.
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

/// Opens a backup and reads every record of it.
fn verify_backup(path: &Path) -> Result<(), StoreError> {
    let mut copy = Embedded::open_with(file_in_memory(path)?, 0)?;
    copy.visit(&Collection::ALL, 0, &mut |_| Ok(())).map(drop)
}

/// Replaces all records of the store by those of a backup, in one transaction.
///
/// The backup is read and verified first. Assigned ids are never assigned again; a store that was created again after a
/// loss can't know them and skips some. The audit trail is the backup's, with one more entry about the restore.
///
/// # Errors
/// [`StoreError::Corrupt`] or [`StoreError::NewerSchema`] about the backup, or errors of the store; nothing is changed.
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

/// The same error about another location.
fn at_location(e: StoreError, location: &str) -> StoreError {
    match e {
        StoreError::Corrupt { cause, .. } => StoreError::corrupt(location, cause),
        StoreError::NewerSchema { found, supported, .. } => {
            StoreError::NewerSchema { location: location.into(), found, supported }
        }
        e => e,
    }
}

/// Who replaces all records, and where the new ones come from.
pub(crate) struct ReplacementSource<'a> {
    pub(crate) actor: &'a Actor,
    pub(crate) action: AuditAction,
    pub(crate) target: String,
    pub(crate) after: Value,
}

/// Replaces all records of a store, and adds an entry about it to the audit trail.
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

/// The next id that neither the store nor the replacement has assigned.
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

/// Opens a backup for reading, without changing the file.
///
/// # Errors
/// If the file can't be read, is corrupt or has a newer schema.
pub fn open(path: &Path, now: Micros) -> Result<Embedded, StoreError> {
    let opened = Embedded::open_with(file_in_memory(path)?, now);
    opened.map_err(|e| at_location(e, &path.display().to_string()))
}

/// Creates the file of a lost store again, and restores a backup into it. A damaged file must be moved away first.
///
/// # Errors
/// If the file exists, or as [`restore`].
pub fn restore_anew(path: &Path, from: &Path, actor: &Actor, now: Micros) -> Result<CopySummary, StoreError> {
    // Errors of the backup are found before the file is created.
    open(from, now)?;
    let mut store = Embedded::open(path, Create::Replacement, now)?;
    restore(&mut store, from, actor, now)
}
