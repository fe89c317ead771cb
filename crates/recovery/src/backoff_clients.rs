//! Rejected clients that are expected to send another request. Their number measures the demand that is not served.

use std::collections::BTreeMap;

use shorewharf_decisions::RequestId;

/// Minimum time after which a rejected client without a new request counts as served elsewhere or as having given up,
/// in seconds.
const MIN_EXPECTED_SECONDS: f64 = 3.0;
/// Time after which such a client no longer counts, as a multiple of the longest Retry-After. The larger of this time
/// and [`MIN_EXPECTED_SECONDS`] applies.
const EXPECTED_WAIT_RATIO: f64 = 2.0;
/// Maximum number of clients recorded.
const MAX_CLIENTS: usize = 8192;
/// Flag in the map's key for a client without a key, which is identified by the id of its request.
const REQUEST_ID_FLAG: u64 = 1 << 63;

/// The clients in backoff, with the time of each client's last rejection.
#[derive(Debug)]
pub(crate) struct BackoffClients {
    /// Time of the last rejection, by key.
    rejected_at: BTreeMap<u64, f64>,
    /// Time for which a rejected client is expected, in seconds.
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

    /// Records that a client was rejected; `key` is 0 for a client without a key.
    pub fn on_rejected(&mut self, now: f64, key: u64, request: RequestId) {
        let key = if key == 0 { REQUEST_ID_FLAG | u64::from(request.0) } else { key };
        if self.rejected_at.len() < MAX_CLIENTS || self.rejected_at.contains_key(&key) {
            self.rejected_at.insert(key, now);
        }
    }

    /// Records that a client is served.
    pub fn on_served(&mut self, key: u64) {
        self.rejected_at.remove(&key);
    }

    /// Returns the number of clients that are still expected.
    pub fn count(&mut self, now: f64) -> u32 {
        let expected_for = self.expected_for;
        self.rejected_at.retain(|_, rejected_at| now < *rejected_at + expected_for);
        self.rejected_at.len() as u32
    }
}
