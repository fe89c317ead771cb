//! Keys with all their revisions, and the calls on them.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// One version of a key; without a value it was removed.
#[derive(Clone)]
struct Version {
    revision: u64,
    created: u64,
    count: u64,
    value: Option<Vec<u8>>,
}

/// All keys.
pub(super) struct Keys {
    versions: BTreeMap<Vec<u8>, Vec<Version>>,
    revision: u64,
    compacted: u64,
    cluster: u64,
}

impl Default for Keys {
    fn default() -> Keys {
        Keys { versions: BTreeMap::new(), revision: 1, compacted: 0, cluster: 0xc0ffee }
    }
}

pub(super) fn bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

pub(super) fn number(value: &Value) -> u64 {
    value.as_u64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}

fn list(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Whether a transaction may write.
pub(super) fn writes(txn: &Value) -> bool {
    let write = |op: &Value| op.get("request_range").is_none();
    list(&txn["success"]).chain(list(&txn["failure"])).any(write)
}

impl Keys {
    /// No keys, of another cluster.
    pub(super) fn another() -> Keys {
        Keys { cluster: 0xdecaf, ..Keys::default() }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn compacted(&self) -> u64 {
        self.compacted
    }

    pub(super) fn header(&self, stale: Option<u64>) -> Value {
        let revision = stale.map_or(self.revision, |s| s.min(self.revision));
        json!({"cluster_id": self.cluster.to_string(), "member_id": "1", "revision": revision.to_string(), "raft_term": "2"})
    }

    pub(super) fn compact(&mut self, revision: u64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        for versions in self.versions.values_mut() {
            let keep = versions.iter().rposition(|v| v.revision <= self.compacted).unwrap_or(0);
            versions.drain(..keep);
        }
    }

    pub(super) fn put_alone(&mut self, key: &[u8], value: &[u8]) {
        self.revision += 1;
        self.write(key, Some(value.to_vec()));
    }

    /// What there is now.
    pub(super) fn now(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.versions.iter().filter_map(|(k, v)| Some((&k[..], v.last()?.value.as_deref()?)))
    }

    /// Writes in the present revision.
    fn write(&mut self, key: &[u8], value: Option<Vec<u8>>) {
        let versions = self.versions.entry(key.to_vec()).or_default();
        let before = versions.last().filter(|v| v.value.is_some());
        let created = before.map_or(self.revision, |v| v.created);
        let count = before.map_or(1, |v| v.count + 1);
        versions.push(Version { revision: self.revision, created, count, value });
    }

    fn at(&self, key: &[u8], revision: u64) -> Option<&Version> {
        let versions = self.versions.get(key)?;
        versions.iter().rfind(|v| v.revision <= revision).filter(|v| v.value.is_some())
    }

    /// The keys of a call: one, or all up to an end.
    fn within(&self, key: &[u8], end: &[u8]) -> Vec<Vec<u8>> {
        let from = self.versions.range(key.to_vec()..);
        match end.is_empty() {
            true => self.versions.contains_key(key).then(|| key.to_vec()).into_iter().collect(),
            false => from.take_while(|(k, _)| &k[..] < end).map(|(k, _)| k.clone()).collect(),
        }
    }

    pub(super) fn range(&self, ask: &Value, stale: Option<u64>) -> Result<Value, String> {
        let told = number(&ask["revision"]);
        let newest = stale.map_or(self.revision, |s| s.min(self.revision));
        if told > newest {
            return Err("etcdserver: mvcc: required revision is a future revision".into());
        }
        if told > 0 && told < self.compacted {
            return Err("etcdserver: mvcc: required revision has been compacted".into());
        }
        let revision = if told == 0 { newest } else { told };
        let limit = match number(&ask["limit"]) {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let keys = self.within(&bytes(&ask["key"]), &bytes(&ask["range_end"]));
        let found: Vec<_> = keys.iter().filter_map(|k| Some((k, self.at(k, revision)?))).collect();
        let kvs: Vec<Value> = found.iter().take(limit).map(|(k, v)| kv(k, v)).collect();
        let mut answer = Map::new();
        answer.insert("header".into(), self.header(stale));
        // What is empty or false is left out.
        if !kvs.is_empty() {
            answer.insert("kvs".into(), kvs.into());
        }
        if found.len() > limit {
            answer.insert("more".into(), true.into());
        }
        answer.insert("count".into(), found.len().to_string().into());
        Ok(answer.into())
    }

    fn holds(&self, compare: &Value, stale: Option<u64>) -> Result<bool, String> {
        let key = bytes(&compare["key"]);
        let found = self.at(&key, stale.unwrap_or(u64::MAX));
        if compare["result"].as_str().is_some_and(|r| r != "EQUAL") {
            return Err("the stand-in only compares for equality".into());
        }
        Ok(match compare["target"].as_str() {
            Some("CREATE") => number(&compare["create_revision"]) == found.map_or(0, |v| v.created),
            Some("MOD") => number(&compare["mod_revision"]) == found.map_or(0, |v| v.revision),
            Some("VALUE") => found.is_some_and(|v| v.value.as_ref() == Some(&bytes(&compare["value"]))),
            _ => return Err("the stand-in can't compare that".into()),
        })
    }

    pub(super) fn txn(&mut self, txn: &Value, stale: Option<u64>) -> Result<Value, String> {
        for part in ["compare", "success", "failure"] {
            if list(&txn[part]).count() > 128 {
                return Err("etcdserver: too many operations in txn request".into());
            }
        }
        let mut succeeded = true;
        for compare in list(&txn["compare"]) {
            succeeded &= self.holds(compare, stale)?;
        }
        let ops: Vec<&Value> = list(if succeeded { &txn["success"] } else { &txn["failure"] }).collect();
        let mut put = Vec::new();
        for op in &ops {
            let key = &op["request_put"]["key"];
            if key.is_string() && put.contains(&key) {
                return Err("etcdserver: duplicate key given in txn request".into());
            }
            put.push(key);
        }
        if ops.iter().any(|op| op.get("request_range").is_none()) {
            self.revision += 1;
        }
        let mut responses = Vec::new();
        for op in ops {
            if let Some(range) = op.get("request_range") {
                responses.push(json!({"response_range": self.range(range, stale)?}));
            } else if let Some(put) = op.get("request_put") {
                self.write(&bytes(&put["key"]), Some(bytes(&put["value"])));
                responses.push(json!({"response_put": {"header": self.header(stale)}}));
            } else if let Some(remove) = op.get("request_delete_range") {
                let keys = self.within(&bytes(&remove["key"]), &bytes(&remove["range_end"]));
                let there: Vec<_> = keys.into_iter().filter(|k| self.at(k, u64::MAX).is_some()).collect();
                let deleted = there.len().to_string();
                there.iter().for_each(|key| self.write(key, None));
                responses.push(
                    json!({"response_delete_range": {"header": self.header(stale), "deleted": deleted}}),
                );
            } else {
                return Err("the stand-in can't do that".into());
            }
        }
        let mut answer = Map::new();
        answer.insert("header".into(), self.header(stale));
        if succeeded {
            answer.insert("succeeded".into(), true.into());
        }
        answer.insert("responses".into(), responses.into());
        Ok(answer.into())
    }

    /// What happened to keys from a revision on, up to a limit, and the revision to go on from.
    pub(super) fn events(&self, key: &[u8], end: &[u8], from: u64, limit: u64) -> (Vec<Value>, u64) {
        let upto = self.revision.min(limit);
        let mut events: Vec<(u64, Value)> = Vec::new();
        for key in self.within(key, end) {
            for version in self.versions[&key].iter().filter(|v| (from..=upto).contains(&v.revision)) {
                let event = match version.value.is_some() {
                    true => json!({"kv": kv(&key, version)}),
                    false => {
                        let (key, revision) = (STANDARD.encode(&key), version.revision.to_string());
                        json!({"type": "DELETE", "kv": {"key": key, "mod_revision": revision}})
                    }
                };
                events.push((version.revision, event));
            }
        }
        events.sort_by_key(|(revision, _)| *revision);
        (events.into_iter().map(|(_, event)| event).collect(), from.max(upto.saturating_add(1)))
    }
}

fn kv(key: &[u8], version: &Version) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "create_revision": version.created.to_string(),
        "mod_revision": version.revision.to_string(),
        "version": version.count.to_string(),
        "value": STANDARD.encode(version.value.as_deref().unwrap_or_default()),
    })
}
