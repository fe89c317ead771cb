//! Transactions that are made at most once, whatever happens to their answers.

use super::api::{Bytes, Compare, RangeRequest, RequestOp, TxnRequest, TxnResponse};
use super::client::CallFailure;
use super::mark::LostTransaction;
use super::{MAX_ATTEMPTS, Replicated, StoredDescription};
use crate::error::StoreError;
use crate::revision::Revision;
use crate::store::{Batch, Condition};
use shorewharf_units::Micros;

/// What is to be done after a transaction whose conditions did not hold.
enum Rejection {
    /// This instance's knowledge was out of date: make the transaction again.
    Outdated,
    /// A condition of the batch did not hold.
    ConditionFailed(StoreError),
}

impl Replicated {
    /// Makes a batch once, and returns the revision.
    pub(super) fn apply_batch(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError> {
        self.resolve_lost(now)?;
        let mut lost_answers = 0;
        for _ in 0..MAX_ATTEMPTS {
            let stored = self.description(now)?;
            let before = self.read_mark(now)?;
            let mark = self.marks.next();
            let request = self.transaction(batch, &stored, before.as_deref(), &mark);
            let e = match self.client.txn(&request, now) {
                Ok(response) if response.succeeded => {
                    self.mark = Some(Some(mark));
                    return Ok(Revision(response.header.revision.0));
                }
                Ok(response) => match self.rejection(batch, &stored, response) {
                    Rejection::Outdated => continue,
                    Rejection::ConditionFailed(e) => return Err(e),
                },
                Err(CallFailure::OutcomeUnknown(e)) => e,
                Err(failure) => return Err(failure.into_store_error()),
            };
            self.lost = Some(LostTransaction { before, mark });
            lost_answers += 1;
            match self.resolve_lost_now(now) {
                Ok(Some(revision)) => return Ok(revision),
                Ok(None) if lost_answers == 1 => {}
                Ok(None) => return Err(e),
                Err(_) => {
                    let location = self.keyspace.prefix().to_owned();
                    return Err(StoreError::OutcomeUnknown { location, cause: e.to_string() });
                }
            }
        }
        Err(self.being_replaced())
    }

    /// This instance's mark.
    fn read_mark(&mut self, now: Micros) -> Result<Option<String>, StoreError> {
        if let Some(mark) = &self.mark {
            return Ok(mark.clone());
        }
        let found = self.client.range(&RangeRequest::one(self.keyspace.mark()), now)?;
        let mark = found.into_first().map(|kv| kv.value.into_text());
        self.mark = Some(mark.clone());
        Ok(mark)
    }

    /// The condition that this instance's mark has not changed.
    fn is_marked(&self, mark: Option<&str>) -> Compare {
        match mark {
            Some(mark) => Compare::has_value(self.keyspace.mark(), Bytes::from_text(mark)),
            None => Compare::absent(self.keyspace.mark()),
        }
    }

    fn transaction(
        &self,
        batch: &Batch,
        stored: &StoredDescription,
        mark_before: Option<&str>,
        mark: &str,
    ) -> TxnRequest {
        let keyspace = &self.keyspace;
        let record = |key: &crate::key::Key| keyspace.record(stored.generation(), &key.text());
        let mut compare = vec![self.is_described_as(stored), self.is_marked(mark_before)];
        let mut failure = vec![RequestOp::get(keyspace.description()), RequestOp::get(keyspace.mark())];
        for condition in &batch.conditions {
            compare.push(match condition {
                Condition::Absent(key) => Compare::absent(record(key)),
                Condition::AtRevision(key, revision) => Compare::at_revision(record(key), revision.0),
            });
            failure.push(RequestOp::get(record(condition.key())));
        }
        let mut success: Vec<RequestOp> = Vec::with_capacity(batch.writes.len() + 2);
        for (key, value) in &batch.writes {
            success.push(match value {
                Some(value) => RequestOp::put(record(key), Bytes(value.clone())),
                None => RequestOp::Delete { key: record(key), range_end: None },
            });
        }
        success.push(RequestOp::put(keyspace.head(), Bytes::from_text(mark)));
        success.push(RequestOp::put(keyspace.mark(), Bytes::from_text(mark)));
        TxnRequest { compare, success, failure }
    }

    /// Why a transaction's conditions did not hold.
    fn rejection(&mut self, batch: &Batch, stored: &StoredDescription, response: TxnResponse) -> Rejection {
        let mut found = response.into_first_of_each();
        let found_description = found.next().flatten();
        let found_mark = found.next().flatten();
        if found_description.is_none_or(|kv| kv.value.0 != stored.bytes) {
            self.description = None;
            return Rejection::Outdated;
        }
        let mark = found_mark.map(|kv| kv.value.into_text());
        if self.mark.as_ref() != Some(&mark) {
            self.mark = Some(mark);
            return Rejection::Outdated;
        }
        for (condition, kv) in batch.conditions.iter().zip(found) {
            let found = kv.map_or(Revision(0), |kv| Revision(kv.mod_revision.0));
            if let Some(e) = failed_condition(condition, found) {
                return Rejection::ConditionFailed(e);
            }
        }
        Rejection::Outdated
    }

    /// Finds out what became of a transaction whose answer was lost, if there is one.
    pub(super) fn resolve_lost(&mut self, now: Micros) -> Result<(), StoreError> {
        self.fence_lost(now).map(drop)
    }

    /// The same while a caller waits for the outcome: members in backoff are called too. Returns the revision in which
    /// the transaction was made, or `None`.
    fn resolve_lost_now(&mut self, now: Micros) -> Result<Option<Revision>, StoreError> {
        self.client.end_backoff();
        self.fence_lost(now)
    }

    /// Makes a transaction that changes only the mark, if it is still the one before the lost transaction.
    fn fence_lost(&mut self, now: Micros) -> Result<Option<Revision>, StoreError> {
        let Some(lost) = self.lost.clone() else { return Ok(None) };
        let fence = self.marks.next();
        let request = TxnRequest {
            compare: vec![self.is_marked(lost.before.as_deref())],
            success: vec![RequestOp::put(self.keyspace.mark(), Bytes::from_text(fence.clone()))],
            failure: vec![RequestOp::get(self.keyspace.mark())],
        };
        // Making a fence twice is harmless: the second finds the first.
        let response = self.client.idempotent_txn(&request, now).map_err(CallFailure::into_store_error)?;
        self.lost = None;
        if response.succeeded {
            self.mark = Some(Some(fence));
            return Ok(None);
        }
        let found = response.into_first_of_each().next().flatten();
        let found = found.map(|kv| (kv.value.into_text(), Revision(kv.mod_revision.0)));
        self.mark = Some(found.as_ref().map(|(mark, _)| mark.clone()));
        match found {
            Some((mark, revision)) if mark == lost.mark => Ok(Some(revision)),
            // A later fence of this process has been made: the lost transaction was not made and can't be.
            Some((mark, _)) if self.marks.is_own_after(&mark, &lost.mark) => Ok(None),
            _ => Err(self.duplicate_instance()),
        }
    }

    fn duplicate_instance(&self) -> StoreError {
        let cause = format!("another process writes as {:?}", self.keyspace.instance());
        StoreError::corrupt(format!("{}/engine/mark", self.keyspace.prefix()), cause)
    }
}

/// The error of a condition, if it does not hold for a record at this revision; 0 for no record.
fn failed_condition(condition: &Condition, found: Revision) -> Option<StoreError> {
    match condition {
        Condition::Absent(key) if found > Revision(0) => Some(StoreError::AlreadyExists { key: key.text() }),
        Condition::AtRevision(key, expected) if found != *expected => {
            Some(StoreError::Conflict { key: key.text(), expected: *expected, found })
        }
        _ => None,
    }
}
