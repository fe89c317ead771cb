//! Export and import as JSON: to read, to keep beside the code, to move a service.
//!
//! What can be told from the rest (the index of looks, the counts) is not in it. Stored answers of calls are not
//! either: they live for a day. Tokens are there by their hashes.

use crate::backup::{Taken, take_place};
use crate::calls::{AUDIT, CLASS_PLACES, SERVICE, TENANT_PLACES, TENANTS};
use crate::check;
use crate::error::{Invalid, StoreError};
use crate::key::{Key, Space};
use crate::migrate::{Records, SCHEMA};
use crate::record::{
    Actor, AuditEntry, ClassRecord, Deed, InstanceName, Micros, PlaceRecord, ServiceLimits, TenantRecord,
    TokenRecord,
};
use crate::store::{Entry, Store, write};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, Write};
use thiserror::Error;

/// What the document's `format` says.
const FORMAT: &str = "shorewharf-store";

/// The spaces that are exported, and the names of their lists.
const LISTS: [(Space, &str); 6] = [
    (Space::Audit, "audit"),
    (Space::Class, "classes"),
    (Space::Place, "places"),
    (Space::Tenant, "tenants"),
    (Space::Token, "tokens"),
    (Space::Usage, "usage"),
];

/// Why nothing was imported.
#[derive(Debug, Error)]
pub enum ImportError {
    /// The document is not JSON.
    #[error("the document is not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The document has faults; all of them, each with its path.
    #[error("the document has {} faults, the first: {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
    Faults(Vec<Invalid>),
    /// The store refused.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Writes all records as one JSON document, as they are at one revision.
pub fn export(store: &mut dyn Store, to: &mut dyn Write, now: Micros) -> Result<Taken, StoreError> {
    let told = |e: io::Error| crate::embedded::io_error("export", &e);
    let mut records = 0;
    let mut open: Option<Space> = None;
    let mut lists = Vec::new();
    let mut counters = BTreeMap::new();
    let mut limits = Value::Null;
    writeln!(to, "{{\n\"format\": {FORMAT:?},\n\"schema\": {SCHEMA},\n\"exported\": {now},").map_err(told)?;
    let revision = store.visit(&Space::ALL, now, &mut |entry| {
        let list = LISTS.iter().find(|(space, _)| *space == entry.key.space);
        match (list, entry.key.space) {
            (Some((space, name)), _) => {
                records += 1;
                let begin = match open == Some(*space) {
                    true => ",\n".to_string(),
                    false if open.is_some() => format!("\n],\n{name:?}: [\n"),
                    false => format!("{name:?}: [\n"),
                };
                if open != Some(*space) {
                    lists.push(*space);
                }
                open = Some(*space);
                to.write_all(begin.as_bytes()).map_err(told)?;
                to.write_all(&item(&entry)?).map_err(told)
            }
            (None, Space::Limits) => {
                limits = entry.read()?;
                Ok(())
            }
            (None, Space::Meta) if [TENANT_PLACES, CLASS_PLACES].contains(&entry.key.name.as_str()) => {
                counters.insert(entry.key.name.clone(), entry.read::<u64>()?);
                Ok(())
            }
            _ => Ok(()),
        }
    })?;
    let end = if open.is_some() { "\n],\n" } else { "" };
    let empty = LISTS.iter().filter(|(space, _)| !lists.contains(space));
    let empty: String = empty.map(|(_, name)| format!("{name:?}: [],\n")).collect();
    let (counters, limits) = (json!(counters), json!(limits));
    writeln!(
        to,
        "{end}{empty}\"limits\": {limits},\n\"counters\": {counters},\n\"revision\": {}\n}}",
        revision.0
    )
    .and_then(|()| to.flush())
    .map_err(told)?;
    Ok(Taken { revision, records })
}

/// One record as it stands in its list: usage tells in itself what its key says.
fn item(entry: &Entry) -> Result<Vec<u8>, StoreError> {
    if entry.key.space != Space::Usage {
        return Ok(entry.value.clone());
    }
    let parts: Vec<&str> = entry.key.name.split('/').collect();
    let [level, chunk, interval, instance] = parts[..] else {
        return Err(StoreError::damaged(&entry.key, "is not named as usage is"));
    };
    let number = |text: &str| text.parse::<u64>().map_err(|e| StoreError::damaged(&entry.key, e));
    let record: Value = entry.read()?;
    let (chunk, interval) = (number(chunk)?, number(interval)?);
    write(
        &entry.key,
        &json!({"level": level, "chunk": chunk, "interval": interval, "instance": instance, "record": record}),
    )
}

/// Puts the records of an exported document in the place of all that the store keeps, in one transaction.
///
/// Every record is read and all of them are checked against each other first; if anything is wrong, all faults
/// are told and nothing is changed.
pub fn import(store: &mut dyn Store, document: &str, who: &Actor, now: Micros) -> Result<Taken, ImportError> {
    let (records, revision) = read_document(document)?;
    let after = json!({ "revision": revision });
    Ok(take_place(store, records, (who, Deed::Import, "export".into(), after), now)?)
}

/// Reads a document without changing anything: how many records it has.
pub fn check_document(document: &str) -> Result<usize, ImportError> {
    Ok(read_document(document)?.0.len())
}

fn read_document(document: &str) -> Result<(Records, Value), ImportError> {
    let document: Value = serde_json::from_str(document)?;
    let mut reader = Reader::default();
    let revision = reader.document(&document);
    if reader.faults.is_empty() {
        reader.derive()?;
        let paths = std::mem::take(&mut reader.paths);
        reader.faults = check::faults(&reader.records)
            .into_iter()
            .map(|(key, fault)| {
                let path = paths.get(&key).cloned().unwrap_or_else(|| key.text());
                Invalid::new(format!("{path}.{}", fault.field).trim_end_matches('.'), fault.cause)
            })
            .collect();
    }
    match reader.faults.is_empty() {
        true => Ok((reader.records, revision)),
        false => Err(ImportError::Faults(reader.faults)),
    }
}

/// Reads a document into records, and remembers where in it each stood.
#[derive(Default)]
struct Reader {
    records: Records,
    paths: BTreeMap<Key, String>,
    faults: Vec<Invalid>,
}

impl Reader {
    fn fault(&mut self, path: impl Into<String>, cause: impl ToString) {
        self.faults.push(Invalid::new(path, cause.to_string()));
    }

    fn document(&mut self, document: &Value) -> Value {
        let Some(fields) = document.as_object() else {
            self.fault("", "is not an object");
            return Value::Null;
        };
        if fields.get("format").and_then(Value::as_str) != Some(FORMAT) {
            self.fault("format", format!("is not {FORMAT:?}"));
        }
        match fields.get("schema").and_then(Value::as_u64) {
            Some(schema) if (1..=u64::from(SCHEMA)).contains(&schema) => {}
            Some(schema) => self.fault("schema", format!("{schema} is not between 1 and {SCHEMA}")),
            None => self.fault("schema", "is not there"),
        }
        for (name, value) in fields {
            match name.as_str() {
                "format" | "schema" | "exported" | "revision" => {}
                "audit" => self.list(name, value, Space::Audit, |r: &AuditEntry| AuditEntry::name(r.number)),
                "classes" => self.list(name, value, Space::Class, |r: &ClassRecord| r.name().to_string()),
                "places" => self.list(name, value, Space::Place, |r: &PlaceRecord| r.place.key()),
                "tenants" => self.list(name, value, Space::Tenant, |r: &TenantRecord| r.name.unique()),
                "tokens" => self.list(name, value, Space::Token, |r: &TokenRecord| r.id.to_string()),
                "usage" => self.usage(value),
                "limits" if value.is_null() => {}
                "limits" => self.one(name.clone(), value, Space::Limits, |_: &ServiceLimits| SERVICE.into()),
                "counters" => self.counters(value),
                _ => self.fault(name, "is not known"),
            }
        }
        fields.get("revision").cloned().unwrap_or_default()
    }

    fn list<T: DeserializeOwned + Serialize>(
        &mut self,
        name: &str,
        list: &Value,
        space: Space,
        key: impl Fn(&T) -> String,
    ) {
        let Some(items) = list.as_array() else { return self.fault(name, "is not a list") };
        for (i, item) in items.iter().enumerate() {
            self.one(format!("{name}[{i}]"), item, space, &key);
        }
    }

    fn one<T: DeserializeOwned + Serialize>(
        &mut self,
        path: String,
        item: &Value,
        space: Space,
        key: impl Fn(&T) -> String,
    ) {
        match serde_path_to_error::deserialize::<_, T>(item) {
            Ok(record) => {
                let key = Key::new(space, key(&record));
                match write(&key, &record) {
                    Ok(value) => self.add(path, key, value),
                    Err(e) => self.fault(path, e),
                }
            }
            Err(e) if e.path().iter().next().is_none() => self.fault(path, e.inner()),
            Err(e) => self.fault(format!("{path}.{}", e.path()), e.inner()),
        }
    }

    fn add(&mut self, path: String, key: Key, value: Vec<u8>) {
        if let Some(first) = self.paths.get(&key) {
            let cause = format!("{first} has the same name");
            return self.fault(path, cause);
        }
        self.paths.insert(key.clone(), path);
        self.records.insert(key, value);
    }

    fn usage(&mut self, list: &Value) {
        let Some(items) = list.as_array() else { return self.fault("usage", "is not a list") };
        for (i, item) in items.iter().enumerate() {
            let number = |field: &str, most: u64| item[field].as_u64().filter(|n| *n <= most);
            let instance = item["instance"].as_str().and_then(|name| InstanceName::new(name).ok());
            let level = item["level"].as_str().filter(|l| ["m", "h", "d"].contains(l));
            let (chunk, interval) = (number("chunk", u64::from(u32::MAX)), number("interval", 9_999_999_999));
            match (level, chunk, interval, instance) {
                (Some(level), Some(chunk), Some(interval), Some(instance)) => {
                    let name = format!("{level}/{chunk:08}/{interval:010}/{instance}");
                    let value = item["record"].to_string().into_bytes();
                    self.add(format!("usage[{i}]"), Key::new(Space::Usage, name), value);
                }
                _ => self.fault(format!("usage[{i}]"), "has not level, chunk, interval, instance and record"),
            }
        }
    }

    fn counters(&mut self, counters: &Value) {
        for (name, value) in counters.as_object().into_iter().flatten() {
            let path = format!("counters.{name}");
            match value.as_u64() {
                Some(n) if [TENANT_PLACES, CLASS_PLACES].contains(&name.as_str()) => {
                    self.add(path, Key::new(Space::Meta, name), n.to_string().into_bytes());
                }
                Some(_) => self.fault(path, "is not known"),
                None => self.fault(path, "is no number"),
            }
        }
    }

    /// Makes what can be told from the rest.
    fn derive(&mut self) -> Result<(), StoreError> {
        let looks = crate::migrate::index_looks(&self.records, 0)?;
        self.records.extend(looks.into_iter().filter_map(|(key, value)| Some((key, value?))));
        let count = |space| self.records.keys().filter(|key| key.space == space).count();
        for (name, n) in [(TENANTS, count(Space::Tenant)), (AUDIT, count(Space::Audit))] {
            self.records.insert(Key::new(Space::Meta, name), n.to_string().into_bytes());
        }
        Ok(())
    }
}
