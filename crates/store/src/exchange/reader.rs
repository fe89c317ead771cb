//! The reader of exported documents, which turns a document into records.

use super::{COUNTERS, FORMAT, ImportError};
use crate::commands::{LAST_AUDIT_NUMBER, SERVICE_LIMITS, TENANT_COUNT};
use crate::error::{InvalidValue, StoreError};
use crate::integrity;
use crate::key::{Collection, Key};
use crate::migrate::{Records, SCHEMA, index_confusable_names};
use crate::record::{
    AuditEntry, ClassRecord, IdAssignment, InstanceName, ServiceLimits, TenantRecord, TokenRecord,
};
use crate::store::encode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;

/// The largest interval that fits into the ten digits in the key of a usage record.
const MAX_INTERVAL: u64 = 9_999_999_999;

/// Reads a document. Returns its records, and the revision of the store that the document says it was exported at.
pub(super) fn read(document: &str) -> Result<(Records, Value), ImportError> {
    let document: Value = serde_json::from_str(document)?;
    let mut reader = Reader::default();
    let revision = reader.read_document(&document);
    if reader.faults.is_empty() {
        reader.derive_records()?;
        reader.check_records();
    }
    if !reader.faults.is_empty() {
        return Err(ImportError::Invalid(reader.faults));
    }
    Ok((reader.records, revision))
}

/// The records and faults of a document that were found so far.
#[derive(Default)]
struct Reader {
    records: Records,
    /// The path of each record in the document.
    paths: BTreeMap<Key, String>,
    faults: Vec<InvalidValue>,
}

impl Reader {
    fn report(&mut self, path: impl Into<String>, cause: impl ToString) {
        self.faults.push(InvalidValue::new(path, cause.to_string()));
    }

    /// Reads all fields of the document, and returns the field `revision`.
    fn read_document(&mut self, document: &Value) -> Value {
        let Some(fields) = document.as_object() else {
            self.report("", "the document is not an object");
            return Value::Null;
        };
        if fields.get("format").and_then(Value::as_str) != Some(FORMAT) {
            self.report("format", format!("is not {FORMAT:?}"));
        }
        match fields.get("schema").and_then(Value::as_u64) {
            Some(schema) if (1..=u64::from(SCHEMA)).contains(&schema) => {}
            Some(schema) => self.report("schema", format!("{schema} is not between 1 and {SCHEMA}")),
            None => self.report("schema", "is missing or not a non-negative integer"),
        }
        for (name, value) in fields {
            self.read_field(name, value);
        }
        fields.get("revision").cloned().unwrap_or_default()
    }

    fn read_field(&mut self, name: &str, value: &Value) {
        match name {
            "format" | "schema" | "exported" | "revision" => {}
            "audit" => {
                self.read_list(name, value, Collection::Audit, |e: &AuditEntry| {
                    AuditEntry::key_name(e.number)
                });
            }
            "classes" => {
                self.read_list(name, value, Collection::Class, |c: &ClassRecord| c.name().to_string());
            }
            "places" => {
                self.read_list(name, value, Collection::IdAssignment, |a: &IdAssignment| a.id.key_name());
            }
            "tenants" => {
                self.read_list(name, value, Collection::Tenant, |t: &TenantRecord| t.name.canonical());
            }
            "tokens" => self.read_list(name, value, Collection::Token, |t: &TokenRecord| t.id.to_string()),
            "usage" => self.read_usage(value),
            "limits" if value.is_null() => {}
            "limits" => {
                let key_name = |_: &ServiceLimits| SERVICE_LIMITS.to_owned();
                self.read_record(name.to_owned(), value, Collection::Limits, key_name);
            }
            "counters" => self.read_counters(value),
            _ => self.report(name, "unknown field"),
        }
    }

    fn read_list<T: DeserializeOwned + Serialize>(
        &mut self,
        name: &str,
        list: &Value,
        collection: Collection,
        key_name: impl Fn(&T) -> String,
    ) {
        let Some(items) = list.as_array() else { return self.report(name, "is not a list") };
        for (i, item) in items.iter().enumerate() {
            self.read_record(format!("{name}[{i}]"), item, collection, &key_name);
        }
    }

    fn read_record<T: DeserializeOwned + Serialize>(
        &mut self,
        path: String,
        item: &Value,
        collection: Collection,
        key_name: impl Fn(&T) -> String,
    ) {
        match serde_path_to_error::deserialize::<_, T>(item) {
            Ok(record) => {
                let key = Key::new(collection, key_name(&record));
                match encode(&key, &record) {
                    Ok(value) => self.add(path, key, value),
                    Err(e) => self.report(path, e),
                }
            }
            Err(e) if e.path().iter().next().is_none() => self.report(path, e.inner()),
            Err(e) => self.report(format!("{path}.{}", e.path()), e.inner()),
        }
    }

    fn add(&mut self, path: String, key: Key, value: Vec<u8>) {
        if let Some(first) = self.paths.get(&key) {
            let cause = format!("has the same key as {first}");
            return self.report(path, cause);
        }
        self.paths.insert(key.clone(), path);
        self.records.insert(key, value);
    }

    fn read_usage(&mut self, list: &Value) {
        let Some(items) = list.as_array() else { return self.report("usage", "is not a list") };
        for (i, item) in items.iter().enumerate() {
            let path = format!("usage[{i}]");
            match usage_key(item) {
                Some(key) => self.add(path, key, item["record"].to_string().into_bytes()),
                None => self.report(path, "must have a valid level, chunk, interval, instance and record"),
            }
        }
    }

    fn read_counters(&mut self, counters: &Value) {
        for (name, value) in counters.as_object().into_iter().flatten() {
            let path = format!("counters.{name}");
            match value.as_u64() {
                Some(count) if COUNTERS.contains(&name.as_str()) => {
                    self.add(path, Key::new(Collection::Counter, name), count.to_string().into_bytes());
                }
                Some(_) => self.report(path, "unknown counter"),
                None => self.report(path, "is not a non-negative integer"),
            }
        }
    }

    /// Adds the records that are derived from others: the index of confusable names and the counts.
    fn derive_records(&mut self) -> Result<(), StoreError> {
        for (key, value) in index_confusable_names(&self.records, 0)? {
            if let Some(value) = value {
                self.records.insert(key, value);
            }
        }
        for (counter, collection) in
            [(TENANT_COUNT, Collection::Tenant), (LAST_AUDIT_NUMBER, Collection::Audit)]
        {
            let count = self.records.keys().filter(|key| key.collection == collection).count();
            self.records.insert(Key::new(Collection::Counter, counter), count.to_string().into_bytes());
        }
        Ok(())
    }

    /// Checks the records for consistency, and reports faults with their paths in the document.
    fn check_records(&mut self) {
        for fault in integrity::find_faults(&self.records) {
            let path = self.paths.get(&fault.key).cloned().unwrap_or_else(|| fault.key.text());
            let path = format!("{path}.{}", fault.error.field);
            self.report(path.trim_end_matches('.'), fault.error.cause);
        }
    }
}

/// The key of an item in the list of usage; `None` if the item is invalid.
fn usage_key(item: &Value) -> Option<Key> {
    let granularity = item["level"].as_str().filter(|letter| ["m", "h", "d"].contains(letter))?;
    let chunk = item["chunk"].as_u64().filter(|chunk| *chunk <= u64::from(u32::MAX))?;
    let interval = item["interval"].as_u64().filter(|interval| *interval <= MAX_INTERVAL)?;
    let instance = InstanceName::new(item["instance"].as_str()?).ok()?;
    Some(Key::new(Collection::Usage, format!("{granularity}/{chunk:08}/{interval:010}/{instance}")))
}
