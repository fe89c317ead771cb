//! The key-value state of the stub with all versions of each key, and the range and transaction requests on it.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use thiserror::Error;

/// The most conditions, and the most operations of either branch, in a transaction, as in etcd.
const MAX_OPERATIONS: usize = 128;

/// The cluster ids of the default state and of [`KeyValueState::new_cluster`].
const FIRST_CLUSTER_ID: u64 = 0xc0ffee;
const OTHER_CLUSTER_ID: u64 = 0xdecaf;

/// Why a request is rejected. The messages are etcd's where it has the same error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted,
    #[error("etcdserver: too many operations in txn request")]
    TooManyOperations,
    #[error("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    #[error("the stub supports only the comparison EQUAL")]
    UnsupportedComparison,
    #[error("the stub supports only the comparison targets CREATE, MOD and VALUE")]
    UnsupportedTarget,
    #[error("the stub supports only the operations range, put and delete range")]
    UnsupportedOperation,
}

/// One version of a key.
#[derive(Clone)]
struct Version {
    /// The revision that wrote it.
    revision: u64,
    /// The revision that created the key.
    created: u64,
    /// How often the key has been written since its creation.
    count: u64,
    /// `None` if this version deleted the key.
    value: Option<Vec<u8>>,
}

/// The keys from `first` up to but not including `end`, or only `first` if `end` is empty.
pub(super) struct KeyRange {
    first: Vec<u8>,
    end: Vec<u8>,
}

impl KeyRange {
    /// The range that a request names.
    pub(super) fn of(request: &Value) -> KeyRange {
        KeyRange { first: decode_bytes(&request["key"]), end: decode_bytes(&request["range_end"]) }
    }
}

/// All keys with their versions.
pub(super) struct KeyValueState {
    versions: BTreeMap<Vec<u8>, Vec<Version>>,
    revision: u64,
    /// Versions that were replaced at or before this revision have been discarded.
    compacted: u64,
    cluster_id: u64,
}

impl Default for KeyValueState {
    fn default() -> KeyValueState {
        KeyValueState { versions: BTreeMap::new(), revision: 1, compacted: 0, cluster_id: FIRST_CLUSTER_ID }
    }
}

/// Decodes bytes from base64; empty if they are missing or invalid.
fn decode_bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

/// Decodes a number from a JSON number or string; 0 if it is missing or invalid.
pub(super) fn decode_number(value: &Value) -> u64 {
    value.as_u64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}

/// The elements of a JSON array; none if it is missing.
fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn is_write(operation: &Value) -> bool {
    operation.get("request_range").is_none()
}

/// Whether either branch of a transaction has a writing operation.
pub(super) fn may_write(txn: &Value) -> bool {
    elements(&txn["success"]).chain(elements(&txn["failure"])).any(is_write)
}

impl KeyValueState {
    /// The empty state of another cluster.
    pub(super) fn new_cluster() -> KeyValueState {
        KeyValueState { cluster_id: OTHER_CLUSTER_ID, ..KeyValueState::default() }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn compacted(&self) -> u64 {
        self.compacted
    }

    /// The header of a response. With `stale`, the member answers as of that revision.
    pub(super) fn header(&self, stale: Option<u64>) -> Value {
        json!({
            "cluster_id": self.cluster_id.to_string(),
            "member_id": "1",
            "revision": self.newest(stale).to_string(),
            "raft_term": "2",
        })
    }

    fn newest(&self, stale: Option<u64>) -> u64 {
        stale.map_or(self.revision, |stale| stale.min(self.revision))
    }

    /// Discards versions that were replaced at or before a revision.
    pub(super) fn compact(&mut self, revision: u64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        for versions in self.versions.values_mut() {
            let first_kept = versions.iter().rposition(|v| v.revision <= self.compacted).unwrap_or(0);
            versions.drain(..first_kept);
        }
    }

    /// Writes one key in a revision of its own.
    pub(super) fn put(&mut self, key: &[u8], value: &[u8]) {
        self.revision += 1;
        self.write(key, Some(value.to_vec()));
    }

    /// The present keys and values.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.versions
            .iter()
            .filter_map(|(key, versions)| Some((&key[..], versions.last()?.value.as_deref()?)))
    }

    /// Writes a key in the present revision.
    fn write(&mut self, key: &[u8], value: Option<Vec<u8>>) {
        let versions = self.versions.entry(key.to_vec()).or_default();
        let before = versions.last().filter(|version| version.value.is_some());
        let created = before.map_or(self.revision, |version| version.created);
        let count = before.map_or(1, |version| version.count + 1);
        versions.push(Version { revision: self.revision, created, count, value });
    }

    /// A key's version as of a revision; `None` if the key does not exist then.
    fn version_at(&self, key: &[u8], revision: u64) -> Option<&Version> {
        let versions = self.versions.get(key)?;
        versions
            .iter()
            .rfind(|version| version.revision <= revision)
            .filter(|version| version.value.is_some())
    }

    /// The keys in a range, including deleted ones.
    fn keys_in(&self, range: &KeyRange) -> Vec<Vec<u8>> {
        if range.end.is_empty() {
            let exists = self.versions.contains_key(&range.first);
            return exists.then(|| range.first.clone()).into_iter().collect();
        }
        let from = self.versions.range(range.first.clone()..);
        from.take_while(|(key, _)| **key < range.end).map(|(key, _)| key.clone()).collect()
    }

    /// Executes a range request and returns the response.
    pub(super) fn range(&self, request: &Value, stale: Option<u64>) -> Result<Value, RequestError> {
        let requested = decode_number(&request["revision"]);
        let newest = self.newest(stale);
        if requested > newest {
            return Err(RequestError::FutureRevision);
        }
        if requested > 0 && requested < self.compacted {
            return Err(RequestError::Compacted);
        }
        let revision = if requested == 0 { newest } else { requested };
        let limit = match decode_number(&request["limit"]) {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let keys = self.keys_in(&KeyRange::of(request));
        let found: Vec<(&Vec<u8>, &Version)> =
            keys.iter().filter_map(|key| Some((key, self.version_at(key, revision)?))).collect();
        let kvs: Vec<Value> =
            found.iter().take(limit).map(|(key, version)| key_value(key, version)).collect();
        let mut response = Map::new();
        response.insert("header".into(), self.header(stale));
        // As in etcd, fields that are empty or false are omitted.
        if !kvs.is_empty() {
            response.insert("kvs".into(), kvs.into());
        }
        if found.len() > limit {
            response.insert("more".into(), true.into());
        }
        response.insert("count".into(), found.len().to_string().into());
        Ok(response.into())
    }

    fn condition_holds(&self, compare: &Value, stale: Option<u64>) -> Result<bool, RequestError> {
        let found = self.version_at(&decode_bytes(&compare["key"]), stale.unwrap_or(u64::MAX));
        if compare["result"].as_str().is_some_and(|result| result != "EQUAL") {
            return Err(RequestError::UnsupportedComparison);
        }
        Ok(match compare["target"].as_str() {
            Some("CREATE") => decode_number(&compare["create_revision"]) == found.map_or(0, |v| v.created),
            Some("MOD") => decode_number(&compare["mod_revision"]) == found.map_or(0, |v| v.revision),
            Some("VALUE") => {
                found.is_some_and(|v| v.value.as_ref() == Some(&decode_bytes(&compare["value"])))
            }
            _ => return Err(RequestError::UnsupportedTarget),
        })
    }

    /// Executes a transaction request and returns the response.
    pub(super) fn txn(&mut self, txn: &Value, stale: Option<u64>) -> Result<Value, RequestError> {
        if ["compare", "success", "failure"].iter().any(|part| elements(&txn[*part]).count() > MAX_OPERATIONS)
        {
            return Err(RequestError::TooManyOperations);
        }
        let mut succeeded = true;
        for compare in elements(&txn["compare"]) {
            succeeded &= self.condition_holds(compare, stale)?;
        }
        let operations: Vec<&Value> =
            elements(if succeeded { &txn["success"] } else { &txn["failure"] }).collect();
        check_distinct_puts(&operations)?;
        if operations.iter().any(|operation| is_write(operation)) {
            self.revision += 1;
        }
        let mut responses = Vec::with_capacity(operations.len());
        for operation in operations {
            responses.push(self.execute(operation, stale)?);
        }
        let mut response = Map::new();
        response.insert("header".into(), self.header(stale));
        if succeeded {
            response.insert("succeeded".into(), true.into());
        }
        response.insert("responses".into(), responses.into());
        Ok(response.into())
    }

    /// Executes an operation of a transaction in the present revision, and returns its response.
    fn execute(&mut self, operation: &Value, stale: Option<u64>) -> Result<Value, RequestError> {
        if let Some(range) = operation.get("request_range") {
            return Ok(json!({"response_range": self.range(range, stale)?}));
        }
        if let Some(put) = operation.get("request_put") {
            self.write(&decode_bytes(&put["key"]), Some(decode_bytes(&put["value"])));
            return Ok(json!({"response_put": {"header": self.header(stale)}}));
        }
        if let Some(delete) = operation.get("request_delete_range") {
            let mut keys = self.keys_in(&KeyRange::of(delete));
            keys.retain(|key| self.version_at(key, u64::MAX).is_some());
            for key in &keys {
                self.write(key, None);
            }
            let deleted = keys.len().to_string();
            return Ok(json!({"response_delete_range": {"header": self.header(stale), "deleted": deleted}}));
        }
        Err(RequestError::UnsupportedOperation)
    }

    /// The events of the keys in a range, from revision `from` up to and including `up_to`, ordered by revision.
    pub(super) fn events(&self, range: &KeyRange, from: u64, up_to: u64) -> Vec<Value> {
        let mut events: Vec<(u64, Value)> = Vec::new();
        for key in self.keys_in(range) {
            for version in &self.versions[&key] {
                if (from..=up_to).contains(&version.revision) {
                    events.push((version.revision, event(&key, version)));
                }
            }
        }
        events.sort_by_key(|(revision, _)| *revision);
        events.into_iter().map(|(_, event)| event).collect()
    }
}

/// Rejects a transaction that puts the same key twice, as etcd does.
fn check_distinct_puts(operations: &[&Value]) -> Result<(), RequestError> {
    let mut keys = Vec::new();
    for operation in operations {
        let key = &operation["request_put"]["key"];
        if key.is_string() && keys.contains(&key) {
            return Err(RequestError::DuplicateKey);
        }
        keys.push(key);
    }
    Ok(())
}

/// The watch event about a version of a key.
fn event(key: &[u8], version: &Version) -> Value {
    if version.value.is_some() {
        return json!({"kv": key_value(key, version)});
    }
    let (key, revision) = (STANDARD.encode(key), version.revision.to_string());
    json!({"type": "DELETE", "kv": {"key": key, "mod_revision": revision}})
}

fn key_value(key: &[u8], version: &Version) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "create_revision": version.created.to_string(),
        "mod_revision": version.revision.to_string(),
        "version": version.count.to_string(),
        "value": STANDARD.encode(version.value.as_deref().unwrap_or_default()),
    })
}
