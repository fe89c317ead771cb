//! The replicated engine: an etcd cluster that several instances share, called through its JSON gateway.
//!
//! Records are under `PREFIX/GENERATION/`, the engine's own keys under `PREFIX/engine/`:
//!
//! - `engine/about`: the schema and the generation. It is a condition of every transaction, so a program that is too old
//!   can't write to a store that has been migrated, and replacing all records is one switch of generations.
//! - `engine/head`: written by every transaction. Its revision shows whether there are changes, and in a watch it marks
//!   that all changes up to it have come.
//! - `engine/mark/INSTANCE`: this instance's last transaction, a condition of its next one. With it the outcome of a
//!   transaction whose answer was lost is found out, so no change is made twice and none is reported wrongly.
//!
//! A watch is opened when the head has moved, and read until it shows the head, rather than left open: a silent open
//! stream can't be distinguished from a broken one, and the client library blocks.

mod api;
mod client;
mod generations;
mod keyspace;
mod mark;
mod transactions;
mod watch;

use crate::error::{InvalidValue, StoreError};
use crate::key::{Collection, Key};
use crate::migrate::SCHEMA;
use crate::revision::Revision;
use crate::store::{Batch, Changes, Entry, Page, Query, Store, StoreHealth, Visitor};
use api::{
    Bytes, Compare, Number, RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse,
    WatchCreateRequest, WatchRequest,
};
use client::{CallFailure, EtcdClient};
use keyspace::Keyspace;
use mark::{LostTransaction, MarkSequence};
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;
use std::time::Duration;
use watch::WatchReader;

/// How often a call is made because this instance's knowledge of the store was out of date.
const MAX_ATTEMPTS: usize = 4;

/// After which time a call is given up, so that trying another member stays within 2 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Where the engine is and who calls it.
#[derive(Clone, Debug)]
pub struct Options {
    /// The members' addresses, as `http://HOST:PORT`.
    pub endpoints: Vec<String>,
    /// The prefix of all keys; several services may share a cluster.
    pub prefix: String,
    /// This instance's name, which no other instance has.
    pub instance: String,
    /// The time after which a call is given up.
    pub call_timeout: Duration,
    /// Seed of the random part of backoffs, and of marks that are new at each start.
    pub seed: u64,
}

impl Options {
    /// Options with the default time-out of 700 ms.
    pub fn new(endpoints: Vec<String>, prefix: &str, instance: &str, seed: u64) -> Options {
        Options {
            endpoints,
            prefix: prefix.to_owned(),
            instance: instance.to_owned(),
            call_timeout: CALL_TIMEOUT,
            seed,
        }
    }
}

/// The schema and the generation of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Description {
    schema: u32,
    generation: String,
}

/// A description as it was read.
#[derive(Clone)]
struct StoredDescription {
    description: Description,
    /// The bytes, which are a condition of transactions.
    bytes: Vec<u8>,
}

impl StoredDescription {
    fn generation(&self) -> &str {
        &self.description.generation
    }
}

/// A store that several instances share.
pub struct Replicated {
    client: EtcdClient,
    keyspace: Keyspace,
    marks: MarkSequence,
    /// `None` before it is read.
    description: Option<StoredDescription>,
    /// This instance's mark as it was last read: `Some(None)` if there is none, `None` before it is read.
    #[expect(clippy::option_option, reason = "not read yet, and read as missing, are two things")]
    mark: Option<Option<String>>,
    lost: Option<LostTransaction>,
}

impl Replicated {
    /// A store that is not called yet: an instance starts whether or not the engine is available.
    ///
    /// # Errors
    /// If the prefix or the instance has characters that keys can't have, or an endpoint has an unknown scheme.
    pub fn new(options: &Options) -> Result<Replicated, InvalidValue> {
        Ok(Replicated {
            keyspace: Keyspace::new(&options.prefix, &options.instance)?,
            client: EtcdClient::new(&options.endpoints, options.call_timeout, options.seed)?,
            marks: MarkSequence::new(options.seed),
            description: None,
            mark: None,
            lost: None,
        })
    }

    /// The store's description. Creates the store if there is none, and migrates it if its schema is older.
    fn description(&mut self, now: Micros) -> Result<StoredDescription, StoreError> {
        if let Some(stored) = &self.description {
            return Ok(stored.clone());
        }
        for _ in 0..MAX_ATTEMPTS {
            let found = self.client.range(&RangeRequest::one(self.keyspace.description()), now)?;
            let Some(kv) = found.into_first() else {
                self.create(now)?;
                continue;
            };
            let stored = self.decode_description(kv.value.0)?;
            if stored.description.schema < SCHEMA {
                self.migrate(&stored, now)?;
                continue;
            }
            self.description = Some(stored.clone());
            return Ok(stored);
        }
        Err(self.being_replaced())
    }

    fn decode_description(&self, bytes: Vec<u8>) -> Result<StoredDescription, StoreError> {
        let location = self.keyspace.description_text();
        let description: Description =
            serde_json::from_slice(&bytes).map_err(|e| StoreError::corrupt(&location, e))?;
        if description.schema > SCHEMA {
            return Err(StoreError::NewerSchema { location, found: description.schema, supported: SCHEMA });
        }
        Ok(StoredDescription { description, bytes })
    }

    /// Creates an empty store, unless another instance does.
    fn create(&mut self, now: Micros) -> Result<(), StoreError> {
        let first = Description { schema: SCHEMA, generation: self.marks.first_generation() };
        let bytes = encode_description(&first)?;
        let request = TxnRequest {
            compare: vec![Compare::absent(self.keyspace.description())],
            success: vec![
                RequestOp::put(self.keyspace.description(), Bytes(bytes)),
                RequestOp::put(self.keyspace.head(), Bytes::from_text("begin")),
            ],
            failure: vec![],
        };
        // Making it twice is harmless: the second finds the store that the first created.
        self.client.idempotent_txn(&request, now).map(drop).map_err(CallFailure::into_store_error)
    }

    /// The error after the last attempt: the store was changed during each one.
    fn being_replaced(&self) -> StoreError {
        StoreError::Unavailable {
            endpoint: self.keyspace.prefix().to_owned(),
            cause: "the store is being replaced or is moving to another schema".into(),
        }
    }

    /// Reads records of the present generation. `operations` makes the reads for a generation.
    fn read(
        &mut self,
        now: Micros,
        operations: impl Fn(&Keyspace, &str) -> Vec<RequestOp>,
    ) -> Result<(StoredDescription, TxnResponse), StoreError> {
        for _ in 0..MAX_ATTEMPTS {
            let stored = self.description(now)?;
            let request = TxnRequest {
                compare: vec![self.is_described_as(&stored)],
                success: operations(&self.keyspace, stored.generation()),
                failure: vec![],
            };
            let response =
                self.client.idempotent_txn(&request, now).map_err(CallFailure::into_store_error)?;
            if response.succeeded {
                return Ok((stored, response));
            }
            self.description = None;
        }
        Err(self.being_replaced())
    }

    /// Reads a range of records, with the revision of the transaction. `key` names the range in errors.
    fn read_range(
        &mut self,
        key: &str,
        now: Micros,
        range: impl Fn(&Keyspace, &str) -> RangeRequest,
    ) -> Result<(StoredDescription, RangeResponse), StoreError> {
        let operations =
            |keyspace: &Keyspace, generation: &str| vec![RequestOp::Range(range(keyspace, generation))];
        let (stored, response) = self.read(now, operations)?;
        let revision = response.header.revision;
        let found = response.responses.into_iter().next().and_then(|response| response.response_range);
        let mut found = found.ok_or_else(|| unexpected_answer(key))?;
        found.header.revision = revision;
        Ok((stored, found))
    }

    /// Reads up to as many records as a transaction may.
    fn read_many(&mut self, keys: &[Key], now: Micros) -> Result<Vec<Option<Entry>>, StoreError> {
        let (stored, response) = self.read(now, |keyspace, generation| {
            keys.iter().map(|key| RequestOp::get(keyspace.record(generation, &key.text()))).collect()
        })?;
        if response.responses.len() != keys.len() {
            return Err(unexpected_answer(self.keyspace.prefix()));
        }
        let mut entries = Vec::with_capacity(keys.len());
        for kv in response.into_first_of_each() {
            entries.push(kv.map(|kv| self.keyspace.entry(stored.generation(), kv)).transpose()?);
        }
        Ok(entries)
    }

    /// The condition that the store's description has not changed.
    fn is_described_as(&self, stored: &StoredDescription) -> Compare {
        Compare::has_value(self.keyspace.description(), Bytes(stored.bytes.clone()))
    }

    /// The revision of the last transaction of all instances.
    fn head(&mut self, now: Micros) -> Result<Revision, StoreError> {
        let found = self.client.range(&RangeRequest::one(self.keyspace.head()), now)?;
        Ok(found.into_first().map_or(Revision(0), |kv| Revision(kv.mod_revision.0)))
    }

    /// Reads a watch from after `since` until it shows the head at `head`.
    fn watch(&mut self, since: Revision, head: Revision, now: Micros) -> Result<Changes, StoreError> {
        let stored = self.description(now)?;
        let range = self.keyspace.all();
        let create_request =
            WatchCreateRequest { key: range.from, range_end: range.end, start_revision: Number(since.0 + 1) };
        let request = WatchRequest { create_request };
        let mut reader = WatchReader::new(&self.keyspace, stored.generation(), since, head);
        let result = self.client.watch(&request, now, &mut |line| reader.on_line(line));
        if reader.is_replaced() {
            self.description = None;
        }
        reader.finish(result)
    }
}

fn unexpected_answer(location: &str) -> StoreError {
    StoreError::corrupt(location, "the engine answers something else")
}

fn encode_description(description: &Description) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(description).map_err(|e| StoreError::corrupt("engine/about", e))
}

impl Store for Replicated {
    fn get(&mut self, key: &Key, now: Micros) -> Result<Option<Entry>, StoreError> {
        let (stored, found) = self.read_range(&key.text(), now, |keyspace, generation| {
            RangeRequest::one(keyspace.record(generation, &key.text()))
        })?;
        found.into_first().map(|kv| self.keyspace.entry(stored.generation(), kv)).transpose()
    }

    fn get_many(&mut self, keys: &[Key], now: Micros) -> Result<Vec<Option<Entry>>, StoreError> {
        let mut entries = Vec::with_capacity(keys.len());
        for keys in keys.chunks(Batch::MAX_OPERATIONS) {
            entries.extend(self.read_many(keys, now)?);
        }
        Ok(entries)
    }

    fn list(&mut self, query: &Query, now: Micros) -> Result<Page, StoreError> {
        let collection = query.collection.as_str();
        let prefix = format!("{collection}/{}", query.prefix);
        // The least key after the one named.
        let after = query.after.as_ref().map(|name| format!("{collection}/{name}\0"));
        let from = after.filter(|after| *after > prefix).unwrap_or_else(|| prefix.clone());
        let (stored, found) = self.read_range(&from, now, |keyspace, generation| {
            // No key with the prefix has this byte next: keys are UTF-8.
            let end = [&keyspace.record(generation, &prefix).0[..], b"\xff"].concat();
            RangeRequest {
                key: keyspace.record(generation, &from),
                range_end: Some(Bytes(end)),
                limit: Some(Number(query.limit as u64)),
                revision: None,
            }
        })?;
        let entry = |kv| self.keyspace.entry(stored.generation(), kv);
        let revision = Revision(found.header.revision.0);
        let entries = found.kvs.into_iter().map(entry).collect::<Result<_, _>>()?;
        Ok(Page { entries, more: found.more, revision })
    }

    fn apply(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError> {
        batch.validate()?;
        self.apply_batch(batch, now)
    }

    fn changes(&mut self, since: Revision, now: Micros) -> Result<Changes, StoreError> {
        self.description(now)?;
        let head = self.head(now)?;
        if head <= since {
            return Ok(Changes::Since { changes: Vec::new(), up_to: since, more: false });
        }
        self.watch(since, head, now)
    }

    fn visit(
        &mut self,
        collections: &[Collection],
        now: Micros,
        visitor: Visitor<'_>,
    ) -> Result<Revision, StoreError> {
        self.description = None;
        let stored = self.description(now)?;
        self.visit_generation(&stored.description, collections, now, visitor)
    }

    fn replace(&mut self, records: Vec<(Key, Vec<u8>)>, now: Micros) -> Result<Revision, StoreError> {
        self.resolve_lost(now)?;
        let stored = self.description(now)?;
        self.replace_generation(&stored, records, None, now)
    }

    fn verify(&mut self, now: Micros) -> Result<(), StoreError> {
        self.visit(&Collection::ALL, now, &mut |_| Ok(())).map(drop)
    }

    fn health(&self) -> StoreHealth {
        StoreHealth {
            engine: format!("etcd under {}/", self.keyspace.prefix()),
            revision: self.client.newest_revision(),
            last_answer: self.client.last_answer(),
            fault: self.client.fault().cloned(),
            schema: self.description.as_ref().map_or(SCHEMA, |stored| stored.description.schema),
        }
    }
}
