//! Clients that were rejected and are expected to come again: their number shows how much of the demand is not served.

use std::collections::BTreeMap;

use shorewharf_decisions::RequestId;

/// A rejected client that has not come again for so long, in seconds, is served elsewhere or has given up.
const MIN_EXPECTED_SECONDS: f64 = 3.0;
/// The same, as a multiple of the longest Retry-After.
const EXPECTED_WAIT_RATIO: f64 = 2.0;
/// Clients remembered at most.
const MAX_CLIENTS: usize = 8192;
/// Marks a client without a key, which is identified by its request's id.
const REQUEST_ID_FLAG: u64 = 1 << 63;

/// Clients in backoff, by key, and when they were rejected last.
#[derive(Debug)]
pub(crate) struct BackoffClients {
    rejected_at: BTreeMap<u64, f64>,
    expected_for: f64,
}

impl BackoffClients {
    /// Creates an empty set.
    pub fn new() -> Self {
        BackoffClients { rejected_at: BTreeMap::new(), expected_for: MIN_EXPECTED_SECONDS }
    }

    /// Sets the longest Retry-After, in seconds.
    pub fn set_longest_wait(&mut self, longest_wait: f64) {
        self.expected_for = MIN_EXPECTED_SECONDS.max(EXPECTED_WAIT_RATIO * longest_wait);
    }

    /// A client was rejected; `key` is 0 for one without a key.
    pub fn on_rejected(&mut self, now: f64, key: u64, request: RequestId) {
        let key = if key == 0 { REQUEST_ID_FLAG | u64::from(request.0) } else { key };
        if self.rejected_at.len() < MAX_CLIENTS || self.rejected_at.contains_key(&key) {
            self.rejected_at.insert(key, now);
        }
    }

    /// A client is served.
    pub fn on_served(&mut self, key: u64) {
        self.rejected_at.remove(&key);
    }

    /// Number of clients that are still expected.
    pub fn count(&mut self, now: f64) -> u32 {
        let expected_for = self.expected_for;
        self.rejected_at.retain(|_, rejected_at| now < *rejected_at + expected_for);
        self.rejected_at.len() as u32
    }
}
