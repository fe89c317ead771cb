//! Reading changes from a watch until it has shown the head of the store.

use super::api::{Bytes, WatchEvent, WatchLine};
use super::client::CallFailure;
use super::keyspace::Keyspace;
use crate::error::StoreError;
use crate::revision::Revision;
use crate::store::{Change, Changes};

/// The number of transactions after which reading a watch stops; the caller then reads on in another watch.
const MAX_TRANSACTIONS: usize = 500;

/// Reads the lines of a watch and collects the changes in them.
pub(super) struct WatchReader<'k> {
    keyspace: &'k Keyspace,
    generation: &'k str,
    /// The revision of the head before the watch was opened. Reading stops once an event shows it.
    head: Revision,
    head_key: Bytes,
    description_key: Bytes,
    /// The revision after which the watch begins.
    since: Revision,
    /// Every change up to this revision has been read.
    up_to: Revision,
    changes: Vec<Change>,
    /// The number of transactions that were read.
    transactions: usize,
    has_reached_head: bool,
    /// Whether another generation has replaced all records.
    is_replaced: bool,
    /// Changes before this revision have been compacted.
    compacted: Option<Revision>,
}

impl<'k> WatchReader<'k> {
    pub(super) fn new(
        keyspace: &'k Keyspace,
        generation: &'k str,
        since: Revision,
        head: Revision,
    ) -> WatchReader<'k> {
        WatchReader {
            keyspace,
            generation,
            head,
            head_key: keyspace.head(),
            description_key: keyspace.description(),
            since,
            up_to: since,
            changes: Vec::new(),
            transactions: 0,
            has_reached_head: false,
            is_replaced: false,
            compacted: None,
        }
    }

    /// Reads a line; returns `true` if no more lines are needed.
    pub(super) fn on_line(&mut self, line: &str) -> Result<bool, CallFailure> {
        let line: WatchLine = serde_json::from_str(line).map_err(|e| CallFailure::unknown("watch", e))?;
        if let Some(error) = line.error {
            return Err(CallFailure::unknown("watch", error.message));
        }
        let response = line.result;
        if response.compact_revision.0 > 0 {
            self.compacted = Some(Revision(response.compact_revision.0));
            return Ok(true);
        }
        if response.canceled {
            return Err(CallFailure::unknown("watch", response.cancel_reason));
        }
        for event in response.events {
            self.on_event(event);
        }
        // A line never ends within a revision, so the changes are complete up to `up_to`.
        Ok(self.has_reached_head || self.is_replaced || self.transactions >= MAX_TRANSACTIONS)
    }

    fn on_event(&mut self, event: WatchEvent) {
        let is_delete = event.is_delete();
        let revision = Revision(event.kv.mod_revision.0);
        self.up_to = self.up_to.max(revision);
        self.is_replaced |= event.kv.key == self.description_key;
        if event.kv.key == self.head_key {
            self.transactions += 1;
            self.has_reached_head |= revision >= self.head;
        }
        let etcd_key = event.kv.key.into_text();
        if let Some(key) = self.keyspace.parse_record(self.generation, &etcd_key) {
            let value = (!is_delete).then_some(event.kv.value.0);
            self.changes.push(Change { key, revision, value });
        }
    }

    /// Whether another generation has replaced all records.
    pub(super) fn is_replaced(&self) -> bool {
        self.compacted.is_none() && self.is_replaced
    }

    /// The changes, after the watch has ended with `result`.
    pub(super) fn finish(self, result: Result<(), CallFailure>) -> Result<Changes, StoreError> {
        if let Some(oldest) = self.compacted {
            return Ok(Changes::Compacted { oldest });
        }
        if self.is_replaced {
            return Ok(Changes::Compacted { oldest: self.up_to });
        }
        match result {
            Ok(()) => {}
            // The stream broke off after some changes, which are returned; the head has not been reached.
            Err(CallFailure::OutcomeUnknown(_)) if self.up_to > self.since => {}
            Err(e) => return Err(e.into_store_error()),
        }
        Ok(Changes::Since { changes: self.changes, up_to: self.up_to, more: !self.has_reached_head })
    }
}
