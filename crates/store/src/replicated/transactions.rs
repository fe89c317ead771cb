//! Writing batches: each is executed at most once, even if responses are lost.

use super::api::{Bytes, Compare, RangeRequest, RequestOp, TxnRequest, TxnResponse};
use super::client::CallFailure;
use super::mark::LostTransaction;
use super::{MAX_ATTEMPTS, Replicated, StoredDescription};
use crate::error::StoreError;
use crate::revision::Revision;
use crate::store::{Batch, Condition};
use shorewharf_units::Micros;

/// Why the conditions of a transaction did not hold.
enum Rejection {
    /// This instance's description or mark was out of date: the transaction is tried again.
    Outdated,
    /// A condition of the batch did not hold.
    ConditionFailed(StoreError),
}

impl Replicated {
    /// Writes a batch and returns the revision. If the response is lost, the outcome is resolved, and a batch that was
    /// not written is tried once more.
    pub(super) fn apply_batch(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError> {
        self.resolve_lost(now)?;
        let mut lost_responses = 0;
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
            lost_responses += 1;
            match self.resolve_lost_now(now) {
                Ok(Some(revision)) => return Ok(revision),
                Ok(None) if lost_responses == 1 => {}
                Ok(None) => return Err(e),
                Err(_) => {
                    let location = self.keyspace.prefix().to_owned();
                    return Err(StoreError::OutcomeUnknown { location, cause: e.to_string() });
                }
            }
        }
        Err(self.replacement_in_progress())
    }

    /// This instance's mark, which is read from the store if it is not known.
    fn read_mark(&mut self, now: Micros) -> Result<Option<String>, StoreError> {
        if let Some(mark) = &self.mark {
            return Ok(mark.clone());
        }
        let found = self.client.range(&RangeRequest::single(self.keyspace.mark()), now)?;
        let mark = found.into_first().map(|kv| kv.value.into_text());
        self.mark = Some(mark.clone());
        Ok(mark)
    }

    /// The condition that this instance's mark is `mark`, or does not exist if that is `None`.
    fn mark_is(&self, mark: Option<&str>) -> Compare {
        match mark {
            Some(mark) => Compare::has_value(self.keyspace.mark(), Bytes::from_text(mark)),
            None => Compare::absent(self.keyspace.mark()),
        }
    }

    /// The transaction that writes a batch. If it fails, it reads the values of all its conditions in their order.
    fn transaction(
        &self,
        batch: &Batch,
        stored: &StoredDescription,
        mark_before: Option<&str>,
        mark: &str,
    ) -> TxnRequest {
        let keyspace = &self.keyspace;
        let record = |key: &crate::key::Key| keyspace.record(stored.generation(), &key.text());
        let mut compare = vec![self.description_is(stored), self.mark_is(mark_before)];
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

    /// Finds out from the response which condition of a transaction did not hold, and updates this instance's
    /// description and mark.
    fn rejection(&mut self, batch: &Batch, stored: &StoredDescription, response: TxnResponse) -> Rejection {
        let mut found = response.into_first_key_values();
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

    /// Resolves the outcome of a transaction whose response was lost, if there is one.
    pub(super) fn resolve_lost(&mut self, now: Micros) -> Result<(), StoreError> {
        self.fence_lost(now).map(drop)
    }

    /// Resolves the outcome of a lost transaction for a waiting caller, calling members in backoff too. Returns the
    /// transaction's revision, or `None` if it was not executed.
    fn resolve_lost_now(&mut self, now: Micros) -> Result<Option<Revision>, StoreError> {
        self.client.end_backoff();
        self.fence_lost(now)
    }

    /// Executes a fence: a transaction that changes only the mark, if that is still the one before the lost
    /// transaction. Returns the revision of the lost transaction, or `None` if it was not executed and can't be later.
    fn fence_lost(&mut self, now: Micros) -> Result<Option<Revision>, StoreError> {
        let Some(lost) = self.lost.clone() else { return Ok(None) };
        let fence = self.marks.next();
        let request = TxnRequest {
            compare: vec![self.mark_is(lost.before.as_deref())],
            success: vec![RequestOp::put(self.keyspace.mark(), Bytes::from_text(fence.clone()))],
            failure: vec![RequestOp::get(self.keyspace.mark())],
        };
        // Retrying is safe: if the first attempt was executed, the retry reads the mark that it wrote.
        let response = self.client.idempotent_txn(&request, now).map_err(CallFailure::into_store_error)?;
        self.lost = None;
        if response.succeeded {
            self.mark = Some(Some(fence));
            return Ok(None);
        }
        let found = response.into_first_key_values().next().flatten();
        let found = found.map(|kv| (kv.value.into_text(), Revision(kv.mod_revision.0)));
        self.mark = Some(found.as_ref().map(|(mark, _)| mark.clone()));
        match found {
            Some((mark, revision)) if mark == lost.mark => Ok(Some(revision)),
            // A fence of this process was executed: the lost transaction was not, and can't be any more.
            Some((mark, _)) if self.marks.is_own_after(&mark, &lost.mark) => Ok(None),
            _ => Err(self.duplicate_instance()),
        }
    }

    /// The error if the mark is neither the lost transaction's nor a later one of this process.
    fn duplicate_instance(&self) -> StoreError {
        let cause = format!("another process uses the instance name {:?}", self.keyspace.instance());
        StoreError::corrupt(format!("{}/engine/mark", self.keyspace.prefix()), cause)
    }
}

/// The error of a condition if it does not hold for a record of version `found`, which is 0 for no record.
fn failed_condition(condition: &Condition, found: Revision) -> Option<StoreError> {
    match condition {
        Condition::Absent(key) if found > Revision(0) => Some(StoreError::AlreadyExists { key: key.text() }),
        Condition::AtRevision(key, expected) if found != *expected => {
            Some(StoreError::Conflict { key: key.text(), expected: *expected, found })
        }
        _ => None,
    }
}
