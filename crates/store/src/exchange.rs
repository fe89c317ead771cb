//! Export and import of all records as one JSON document: to read, to keep under version control, to move a service.
//!
//! What can be derived from other records (the index of confusable names, the counts) is left out, and so are replies
//! to calls with an idempotency key, which expire. Tokens are included by their hashes.

mod reader;

use crate::backup::{CopySummary, ReplacementSource, replace_all_records};
use crate::commands::{NEXT_CLASS_ID, NEXT_TENANT_ID};
use crate::error::{InvalidValue, StoreError};
use crate::files::io_error;
use crate::integrity::MALFORMED_USAGE_KEY;
use crate::key::Collection;
use crate::migrate::SCHEMA;
use crate::record::{Actor, AuditAction};
use crate::store::{Entry, Store, encode};
use serde_json::{Value, json};
use shorewharf_units::Micros;
use std::collections::BTreeMap;
use std::io::{self, Write};
use thiserror::Error;

/// The `format` of the document.
const FORMAT: &str = "shorewharf-store";

/// The exported collections, and the names of their lists in the document.
const LISTS: [(Collection, &str); 6] = [
    (Collection::Audit, "audit"),
    (Collection::Class, "classes"),
    (Collection::IdAssignment, "places"),
    (Collection::Tenant, "tenants"),
    (Collection::Token, "tokens"),
    (Collection::Usage, "usage"),
];

/// The exported counters.
const COUNTERS: [&str; 2] = [NEXT_TENANT_ID, NEXT_CLASS_ID];

/// Why nothing was imported.
#[derive(Debug, Error)]
pub enum ImportError {
    /// The document is not JSON.
    #[error("the document is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The document has faults, each with its path.
    #[error("the document is invalid, with {} faults; the first: {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
    Invalid(Vec<InvalidValue>),
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Writes all records, as of one revision, as one JSON document.
///
/// # Errors
/// If the store can't be read or the document not be written.
pub fn export(store: &mut dyn Store, to: &mut dyn Write, now: Micros) -> Result<CopySummary, StoreError> {
    let mut writer = Writer::new(to);
    writer.text(&format!("{{\n\"format\": {FORMAT:?},\n\"schema\": {SCHEMA},\n\"exported\": {now},\n"))?;
    let revision = store.visit(&Collection::ALL, now, &mut |entry| writer.entry(&entry))?;
    writer.finish(revision.0)?;
    Ok(CopySummary { revision, records: writer.records })
}

/// Writes a document while the records are visited in the order of their keys.
struct Writer<'w> {
    to: &'w mut dyn Write,
    /// Records written to lists.
    records: usize,
    /// The collection whose list is being written.
    open_list: Option<Collection>,
    written_lists: Vec<Collection>,
    counters: BTreeMap<String, u64>,
    /// The record as it is stored; `null` if there is none.
    limits: Value,
}

impl<'w> Writer<'w> {
    fn new(to: &'w mut dyn Write) -> Writer<'w> {
        Writer {
            to,
            records: 0,
            open_list: None,
            written_lists: Vec::new(),
            counters: BTreeMap::new(),
            limits: Value::Null,
        }
    }

    fn text(&mut self, text: &str) -> Result<(), StoreError> {
        self.bytes(text.as_bytes())
    }

    fn bytes(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        self.to.write_all(bytes).map_err(|e| export_error(&e))
    }

    fn entry(&mut self, entry: &Entry) -> Result<(), StoreError> {
        let collection = entry.key.collection;
        if let Some((_, name)) = LISTS.iter().find(|(listed, _)| *listed == collection) {
            self.separator(collection, name)?;
            self.records += 1;
            return self.bytes(&list_item(entry)?);
        }
        match collection {
            Collection::Limits => self.limits = entry.decode()?,
            Collection::Counter if COUNTERS.contains(&entry.key.name.as_str()) => {
                self.counters.insert(entry.key.name.clone(), entry.decode()?);
            }
            _ => {}
        }
        Ok(())
    }

    /// Writes what separates a record of `collection` from the one before.
    fn separator(&mut self, collection: Collection, name: &str) -> Result<(), StoreError> {
        if self.open_list == Some(collection) {
            return self.text(",\n");
        }
        if self.open_list.is_some() {
            self.text("\n],\n")?;
        }
        self.open_list = Some(collection);
        self.written_lists.push(collection);
        self.text(&format!("{name:?}: [\n"))
    }

    /// Writes all that follows the lists.
    fn finish(&mut self, revision: u64) -> Result<(), StoreError> {
        if self.open_list.is_some() {
            self.text("\n],\n")?;
        }
        for (collection, name) in LISTS {
            if !self.written_lists.contains(&collection) {
                self.text(&format!("{name:?}: [],\n"))?;
            }
        }
        let (limits, counters) = (&self.limits, json!(self.counters));
        self.text(&format!(
            "\"limits\": {limits},\n\"counters\": {counters},\n\"revision\": {revision}\n}}\n"
        ))?;
        self.to.flush().map_err(|e| export_error(&e))
    }
}

fn export_error(e: &io::Error) -> StoreError {
    io_error("export", e)
}

/// A record in its list. A record of usage includes what its key says.
fn list_item(entry: &Entry) -> Result<Vec<u8>, StoreError> {
    if entry.key.collection != Collection::Usage {
        return Ok(entry.value.clone());
    }
    let parts: Vec<&str> = entry.key.name.split('/').collect();
    let [granularity, chunk, interval, instance] = parts[..] else {
        return Err(StoreError::corrupt(&entry.key, MALFORMED_USAGE_KEY));
    };
    let number = |text: &str| text.parse::<u64>().map_err(|e| StoreError::corrupt(&entry.key, e));
    let (chunk, interval) = (number(chunk)?, number(interval)?);
    let record: Value = entry.decode()?;
    let item = json!({
        "level": granularity, "chunk": chunk, "interval": interval, "instance": instance, "record": record,
    });
    encode(&entry.key, &item)
}

/// Replaces all records of the store by those of an exported document, in one transaction.
///
/// Every record is decoded and all are checked against each other first.
///
/// # Errors
/// If the document is invalid, with all its faults, or the store fails; nothing is changed.
pub fn import(
    store: &mut dyn Store,
    document: &str,
    actor: &Actor,
    now: Micros,
) -> Result<CopySummary, ImportError> {
    let (records, revision) = reader::read(document)?;
    let after = json!({ "revision": revision });
    let source = ReplacementSource { actor, action: AuditAction::Import, target: "export".into(), after };
    Ok(replace_all_records(store, records, source, now)?)
}

/// Checks a document without importing it, and returns the number of its records.
///
/// # Errors
/// If the document is invalid, with all its faults.
pub fn check_document(document: &str) -> Result<usize, ImportError> {
    let (records, _) = reader::read(document)?;
    Ok(records.len())
}
