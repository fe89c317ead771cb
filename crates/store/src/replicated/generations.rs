//! Operations on all records: reading them at one revision, replacing them by switching to a new generation, and
//! migrating them to another schema.

use super::api::{Bytes, Compare, Number, RangeRequest, RequestOp, TxnRequest, TxnResponse};
use super::client::CallFailure;
use super::{Description, Replicated, StoredDescription, encode_description};
use crate::error::StoreError;
use crate::key::{Collection, Key};
use crate::migrate::{self, Records, SCHEMA};
use crate::revision::Revision;
use crate::store::{Batch, Visitor};
use shorewharf_units::Micros;

/// The most records that one request reads.
const RECORDS_PER_READ: u64 = 500;

impl Replicated {
    /// Calls the visitor with the records of a generation as of one revision, and returns that revision.
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
            // The range ends before `0`, the next character after `/`.
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
        // The records of a replaced generation are removed, so the pages are complete only if the generation is still
        // the present one.
        if self.read_description(now)?.as_ref() != Some(description) {
            return Err(self.replacement_in_progress());
        }
        Ok(revision.map_or(Revision(0), |revision| Revision(revision.0)))
    }

    fn read_description(&mut self, now: Micros) -> Result<Option<Description>, StoreError> {
        let found = self.client.range(&RangeRequest::single(self.keyspace.description()), now)?;
        Ok(found.into_first().and_then(|kv| serde_json::from_slice(&kv.value.0).ok()))
    }

    /// Writes records as a new generation and switches to it. With `head`, the switch fails if anything was written
    /// after that revision. A generation that was never switched to is removed after the next switch.
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

    /// Writes the records of a generation that is not in use yet, in as many transactions as needed.
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
                self.execute_idempotent(std::mem::take(&mut puts), now)?;
                batch_bytes = record_bytes;
            }
            puts.push(RequestOp::put(self.keyspace.record(generation, &key.text()), Bytes(value)));
        }
        self.execute_idempotent(puts, now)
    }

    /// Replaces the store's description by one with another generation, and returns the revision of that transaction.
    fn switch_generation(
        &mut self,
        stored: &StoredDescription,
        next: &StoredDescription,
        head: Option<Revision>,
        now: Micros,
    ) -> Result<Revision, StoreError> {
        let mut compare = vec![self.description_is(stored)];
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
        // Retrying is safe: if the first attempt was executed, the retry reads the description that it wrote.
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
        match response.into_first_key_values().next().flatten() {
            Some(kv) if kv.value.0 == next.bytes => Ok(Revision(kv.mod_revision.0)),
            _ => Err(self.replacement_in_progress()),
        }
    }

    /// Removes all generations but one. If that fails, the leftovers are removed after the next switch.
    fn remove_other_generations(&mut self, generation: &str, now: Micros) {
        let ranges = self.keyspace.other_generations(generation);
        let deletes = ranges.map(|range| RequestOp::Delete { key: range.from, range_end: Some(range.end) });
        let _ = self.execute_idempotent(deletes.into(), now);
    }

    /// Executes idempotent operations in one transaction, if there are any.
    fn execute_idempotent(&mut self, operations: Vec<RequestOp>, now: Micros) -> Result<(), StoreError> {
        if operations.is_empty() {
            return Ok(());
        }
        let request = TxnRequest { compare: vec![], success: operations, failure: vec![] };
        self.client.idempotent_txn(&request, now).map(drop).map_err(CallFailure::into_store_error)
    }

    /// Migrates the records to this program's schema. Writes them as a new generation, which is switched to only if no
    /// instance has written meanwhile.
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
