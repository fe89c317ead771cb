//! All records at once: read at one revision, replaced by switching to a new generation, migrated to another schema.

use super::api::{Bytes, Compare, Number, RangeRequest, RequestOp, TxnRequest, TxnResponse};
use super::client::CallFailure;
use super::{Description, Replicated, StoredDescription, encode_description};
use crate::error::StoreError;
use crate::key::{Collection, Key};
use crate::migrate::{self, Records, SCHEMA};
use crate::revision::Revision;
use crate::store::{Batch, Visitor};
use shorewharf_units::Micros;

/// The most records that one call reads.
const RECORDS_PER_READ: u64 = 500;

impl Replicated {
    /// Calls the visitor with the records of a generation as of one revision, which is returned.
    pub(super) fn visit_generation(
        &mut self,
        description: &Description,
        collections: &[Collection],
        now: Micros,
        visitor: Visitor<'_>,
    ) -> Result<Revision, StoreError> {
        let generation = &description.generation;
        let mut revision = None;
        for collection in collections {
            let mut from = self.keyspace.record(generation, &format!("{}/", collection.as_str()));
            // `0` is the next character after `/`.
            let end = self.keyspace.record(generation, &format!("{}0", collection.as_str()));
            loop {
                let request = RangeRequest {
                    key: from,
                    range_end: Some(end.clone()),
                    limit: Some(Number(RECORDS_PER_READ)),
                    revision,
                };
                let found = self.client.range(&request, now)?;
                revision = revision.or(Some(found.header.revision));
                let Some(last_key) = found.kvs.last().map(|kv| kv.key.clone()) else { break };
                for kv in found.kvs {
                    visitor(self.keyspace.entry(generation, kv)?)?;
                }
                if !found.more {
                    break;
                }
                from = Bytes([&last_key.0[..], b"\0"].concat());
            }
        }
        // If the generation had been replaced before this was read, its records would have been gone.
        if self.read_description(now)?.as_ref() != Some(description) {
            return Err(self.being_replaced());
        }
        Ok(revision.map_or(Revision(0), |revision| Revision(revision.0)))
    }

    fn read_description(&mut self, now: Micros) -> Result<Option<Description>, StoreError> {
        let found = self.client.range(&RangeRequest::one(self.keyspace.description()), now)?;
        Ok(found.into_first().and_then(|kv| serde_json::from_slice(&kv.value.0).ok()))
    }

    /// Writes records as a new generation and switches to it; with `head`, only if nothing else was written since that
    /// revision. A generation that is not switched to is removed with the next switch.
    pub(super) fn replace_generation(
        &mut self,
        stored: &StoredDescription,
        records: Vec<(Key, Vec<u8>)>,
        head: Option<Revision>,
        now: Micros,
    ) -> Result<Revision, StoreError> {
        let generation = self.marks.next_generation(self.client.newest_revision().0 + 1);
        self.write_generation(&generation, records, now)?;
        let next = Description { schema: SCHEMA, generation };
        let next = StoredDescription { bytes: encode_description(&next)?, description: next };
        let revision = self.switch_generation(stored, &next, head, now)?;
        self.remove_other_generations(next.generation(), now);
        self.description = Some(next);
        Ok(revision)
    }

    /// Writes all records of a generation that nobody reads yet, in as many transactions as they need.
    fn write_generation(
        &mut self,
        generation: &str,
        records: Vec<(Key, Vec<u8>)>,
        now: Micros,
    ) -> Result<(), StoreError> {
        let mut puts: Vec<RequestOp> = Vec::new();
        let mut batch_bytes = 0;
        for (key, value) in records {
            let record_bytes = key.name.len() + value.len();
            batch_bytes += record_bytes;
            if !puts.is_empty() && (puts.len() == Batch::MAX_OPERATIONS || batch_bytes > Batch::MAX_BYTES) {
                self.make_all(std::mem::take(&mut puts), now)?;
                batch_bytes = record_bytes;
            }
            puts.push(RequestOp::put(self.keyspace.record(generation, &key.text()), Bytes(value)));
        }
        self.make_all(puts, now)
    }

    /// Replaces the store's description, and returns the revision.
    fn switch_generation(
        &mut self,
        stored: &StoredDescription,
        next: &StoredDescription,
        head: Option<Revision>,
        now: Micros,
    ) -> Result<Revision, StoreError> {
        let mut compare = vec![self.is_described_as(stored)];
        compare.extend(head.map(|head| Compare::at_revision(self.keyspace.head(), head.0)));
        let request = TxnRequest {
            compare,
            success: vec![
                RequestOp::put(self.keyspace.description(), Bytes(next.bytes.clone())),
                RequestOp::put(self.keyspace.head(), Bytes::from_text(next.generation())),
            ],
            failure: vec![RequestOp::get(self.keyspace.description())],
        };
        self.description = None;
        // May be made twice: if the answer to the first was lost, the second finds its description.
        let response: TxnResponse =
            self.client.idempotent_txn(&request, now).map_err(|failure| match failure {
                CallFailure::OutcomeUnknown(e) => StoreError::OutcomeUnknown {
                    location: self.keyspace.prefix().to_owned(),
                    cause: e.to_string(),
                },
                failure => failure.into_store_error(),
            })?;
        if response.succeeded {
            return Ok(Revision(response.header.revision.0));
        }
        match response.into_first_of_each().next().flatten() {
            Some(kv) if kv.value.0 == next.bytes => Ok(Revision(kv.mod_revision.0)),
            _ => Err(self.being_replaced()),
        }
    }

    /// Removes all generations but one. What is left if that fails is removed with the next switch.
    fn remove_other_generations(&mut self, generation: &str, now: Micros) {
        let ranges = self.keyspace.other_generations(generation);
        let deletes = ranges.map(|range| RequestOp::Delete { key: range.from, range_end: Some(range.end) });
        let _ = self.make_all(deletes.into(), now);
    }

    /// Makes operations that may be made twice.
    fn make_all(&mut self, operations: Vec<RequestOp>, now: Micros) -> Result<(), StoreError> {
        if operations.is_empty() {
            return Ok(());
        }
        let request = TxnRequest { compare: vec![], success: operations, failure: vec![] };
        self.client.idempotent_txn(&request, now).map(drop).map_err(CallFailure::into_store_error)
    }

    /// Migrates the records to this program's schema: a new generation, switched to if nobody wrote meanwhile.
    pub(super) fn migrate(&mut self, stored: &StoredDescription, now: Micros) -> Result<(), StoreError> {
        let head = self.head(now)?;
        let mut records = Records::new();
        self.visit_generation(&stored.description, &Collection::ALL, now, &mut |entry| {
            records.insert(entry.key, entry.value);
            Ok(())
        })?;
        migrate::migrate(stored.description.schema, &mut records, now)?;
        self.replace_generation(stored, records.into_iter().collect(), Some(head), now).map(drop)
    }
}
