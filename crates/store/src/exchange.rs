//! Export and import of all records as one JSON document, which can be read by people, kept under version control, and
//! used to move the service to another store.
//!
//! The document omits records that can be derived from others (the index of confusable names and the counts), replies
//! to requests with an idempotency key, which expire, and the records of budgets. Tokens are included with the hashes
//! of their secrets.

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

/// The value of the document's field `format`.
const FORMAT: &str = "shorewharf-store";

/// The exported collections with the names of their lists in the document.
const LISTS: [(Collection, &str); 6] = [
    (Collection::Audit, "audit"),
    (Collection::Class, "classes"),
    (Collection::IdAssignment, "places"),
    (Collection::Tenant, "tenants"),
    (Collection::Token, "tokens"),
    (Collection::Usage, "usage"),
];

/// The names of the exported counters.
const COUNTERS: [&str; 2] = [NEXT_TENANT_ID, NEXT_CLASS_ID];

/// The reason why a document was not imported.
#[derive(Debug, Error)]
pub enum ImportError {
    /// The document is not valid JSON.
    #[error("the document is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The document has these faults, each with its path.
    #[error("the document is invalid, with {} faults; the first: {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
    Invalid(Vec<InvalidValue>),
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Writes all records, as of one revision, as one JSON document.
///
/// # Errors
/// If the store can't be read or the document can't be written.
pub fn export(store: &mut dyn Store, to: &mut dyn Write, now: Micros) -> Result<CopySummary, StoreError> {
    let mut writer = Writer::new(to);
    writer
        .write_text(&format!("{{\n\"format\": {FORMAT:?},\n\"schema\": {SCHEMA},\n\"exported\": {now},\n"))?;
    let revision = store.visit(&Collection::ALL, now, &mut |entry| writer.write_entry(&entry))?;
    writer.finish(revision.0)?;
    Ok(CopySummary { revision, records: writer.records })
}

/// Writes a document while the records of the store are visited in the order of their keys.
struct Writer<'w> {
    to: &'w mut dyn Write,
    /// The number of records in the lists so far.
    records: usize,
    /// The collection whose list is being written.
    open_list: Option<Collection>,
    /// The collections whose lists are written or being written.
    written_lists: Vec<Collection>,
    /// The exported counters by name, which are written after the lists.
    counters: BTreeMap<String, u64>,
    /// The stored record of service-wide limits, which is written after the lists; `null` if there is none.
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

    fn write_text(&mut self, text: &str) -> Result<(), StoreError> {
        self.write_bytes(text.as_bytes())
    }

    fn write_bytes(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        self.to.write_all(bytes).map_err(|e| export_error(&e))
    }

    fn write_entry(&mut self, entry: &Entry) -> Result<(), StoreError> {
        let collection = entry.key.collection;
        if let Some((_, name)) = LISTS.iter().find(|(listed, _)| *listed == collection) {
            self.write_separator(collection, name)?;
            self.records += 1;
            return self.write_bytes(&list_item(entry)?);
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

    /// Writes the text between the previous record and one of `collection`, whose list is called `name`.
    fn write_separator(&mut self, collection: Collection, name: &str) -> Result<(), StoreError> {
        if self.open_list == Some(collection) {
            return self.write_text(",\n");
        }
        if self.open_list.is_some() {
            self.write_text("\n],\n")?;
        }
        self.open_list = Some(collection);
        self.written_lists.push(collection);
        self.write_text(&format!("{name:?}: [\n"))
    }

    /// Ends the lists, and writes the empty lists and the other fields.
    fn finish(&mut self, revision: u64) -> Result<(), StoreError> {
        if self.open_list.is_some() {
            self.write_text("\n],\n")?;
        }
        for (collection, name) in LISTS {
            if !self.written_lists.contains(&collection) {
                self.write_text(&format!("{name:?}: [],\n"))?;
            }
        }
        let (limits, counters) = (&self.limits, json!(self.counters));
        self.write_text(&format!(
            "\"limits\": {limits},\n\"counters\": {counters},\n\"revision\": {revision}\n}}\n"
        ))?;
        self.to.flush().map_err(|e| export_error(&e))
    }
}

fn export_error(e: &io::Error) -> StoreError {
    io_error("export", e)
}

/// The JSON of a record in its list. The item of a usage record also has the parts of its key, which the record does
/// not contain.
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
/// All records are first decoded and checked for consistency.
///
/// # Errors
/// If the document is invalid, with all its faults, or if the store fails. The store is then unchanged.
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
