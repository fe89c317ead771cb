//! The replicated engine: an etcd cluster that several instances share, called through its JSON gateway.
//!
//! Records are stored under `PREFIX/GENERATION/`, the engine's own keys under `PREFIX/engine/`:
//!
//! - `engine/about` is the store's description: its schema and generation. Its value is a condition of every
//!   transaction, so a program that is too old can't write to a migrated store. All records are replaced at once by
//!   switching to another generation.
//! - `engine/head` is written by every transaction. Its revision shows whether there are changes; in a watch, its event
//!   shows that all changes up to that revision have been received.
//! - `engine/mark/INSTANCE` names this instance's last transaction and is a condition of its next one. It tells whether
//!   a transaction whose response was lost was executed, so that no change is made twice or reported wrongly.
//!
//! A watch is opened when the head's revision has grown, and closed once the head's event has been received. It is not
//! left open, since an idle stream can't be distinguished from a broken one, and the client library blocks while it
//! reads.

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

/// The most attempts of an operation that fails because this instance's description or mark is out of date.
const MAX_ATTEMPTS: usize = 4;

/// The default timeout of a call: short enough that a retry at another member ends within 2 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How an instance connects to the engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// The members' addresses, as `http://HOST:PORT`.
    pub endpoints: Vec<String>,
    /// The prefix of all keys, so that several services can share a cluster.
    pub prefix: String,
    /// This instance's name, which must be unique among the instances.
    pub instance: String,
    /// The timeout of a call.
    pub call_timeout: Duration,
    /// The seed of random backoffs and of marks. It should differ at each start, so that marks are unique.
    pub seed: u64,
}

impl Options {
    /// Options with the default timeout of 700 ms.
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

/// A description and its encoding in the store.
#[derive(Clone)]
struct StoredDescription {
    description: Description,
    /// The stored bytes, which transactions compare with.
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
    /// `None` if it must be read again.
    description: Option<StoredDescription>,
    /// This instance's mark: `Some(None)` if the store has none, `None` if it has not been read yet.
    #[expect(clippy::option_option, reason = "a mark that was not read yet differs from a missing one")]
    mark: Option<Option<String>>,
    /// The last transaction if its response was lost and its outcome is not known yet.
    lost: Option<LostTransaction>,
}

impl Replicated {
    /// Creates a store without calling the engine, so that an instance can start while the engine is unavailable.
    ///
    /// # Errors
    /// If the prefix or the instance is not valid in keys, there is no endpoint, or an endpoint has an unsupported
    /// scheme.
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
            let found = self.client.range(&RangeRequest::single(self.keyspace.description()), now)?;
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
        Err(self.replacement_in_progress())
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

    /// Creates an empty store unless there is one.
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
        // Retrying is safe: the condition fails if the first attempt was executed.
        self.client.idempotent_txn(&request, now).map(drop).map_err(CallFailure::into_store_error)
    }

    /// The error after [`MAX_ATTEMPTS`]: the store's description changed during each attempt.
    fn replacement_in_progress(&self) -> StoreError {
        StoreError::Unavailable {
            endpoint: self.keyspace.prefix().to_owned(),
            cause: "the store is being replaced or migrated to another schema".into(),
        }
    }

    /// Reads records of the present generation in one transaction. `operations` returns the reads for a generation.
    fn read(
        &mut self,
        now: Micros,
        operations: impl Fn(&Keyspace, &str) -> Vec<RequestOp>,
    ) -> Result<(StoredDescription, TxnResponse), StoreError> {
        for _ in 0..MAX_ATTEMPTS {
            let stored = self.description(now)?;
            let request = TxnRequest {
                compare: vec![self.description_is(&stored)],
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
        Err(self.replacement_in_progress())
    }

    /// Reads a range of records, and returns it with the transaction's revision in its header. `key` names the range in
    /// errors.
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
        let mut found = found.ok_or_else(|| unexpected_response(key))?;
        found.header.revision = revision;
        Ok((stored, found))
    }

    /// Reads records in one transaction; at most [`Batch::MAX_OPERATIONS`].
    fn read_many(&mut self, keys: &[Key], now: Micros) -> Result<Vec<Option<Entry>>, StoreError> {
        let (stored, response) = self.read(now, |keyspace, generation| {
            keys.iter().map(|key| RequestOp::get(keyspace.record(generation, &key.text()))).collect()
        })?;
        if response.responses.len() != keys.len() {
            return Err(unexpected_response(self.keyspace.prefix()));
        }
        let mut entries = Vec::with_capacity(keys.len());
        for kv in response.into_first_key_values() {
            entries.push(kv.map(|kv| self.keyspace.entry(stored.generation(), kv)).transpose()?);
        }
        Ok(entries)
    }

    /// The condition that the store's description has not changed.
    fn description_is(&self, stored: &StoredDescription) -> Compare {
        Compare::has_value(self.keyspace.description(), Bytes(stored.bytes.clone()))
    }

    /// The revision of the last transaction of any instance.
    fn head(&mut self, now: Micros) -> Result<Revision, StoreError> {
        let found = self.client.range(&RangeRequest::single(self.keyspace.head()), now)?;
        Ok(found.into_first().map_or(Revision(0), |kv| Revision(kv.mod_revision.0)))
    }

    /// Reads the changes after `since` from a watch, until it has shown the head at revision `head`.
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

fn unexpected_response(location: &str) -> StoreError {
    StoreError::corrupt(location, "the response does not match the request")
}

fn encode_description(description: &Description) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(description).map_err(|e| StoreError::corrupt("engine/about", e))
}

impl Store for Replicated {
    fn get(&mut self, key: &Key, now: Micros) -> Result<Option<Entry>, StoreError> {
        let (stored, found) = self.read_range(&key.text(), now, |keyspace, generation| {
            RangeRequest::single(keyspace.record(generation, &key.text()))
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
        // Appending a zero byte gives the smallest key after `query.after`.
        let after = query.after.as_ref().map(|name| format!("{collection}/{name}\0"));
        let from = after.filter(|after| *after > prefix).unwrap_or_else(|| prefix.clone());
        let (stored, found) = self.read_range(&from, now, |keyspace, generation| {
            // Keys are UTF-8, which has no byte 0xff: all keys with the prefix sort before this one.
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
