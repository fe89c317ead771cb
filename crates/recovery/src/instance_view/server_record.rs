//! The state of one server as one instance knows it.

use shorewharf_decisions::Outcome;
use shorewharf_decisions::interface::{ServerEntry, ServerState};

use crate::retry_budget::is_server_failure;

/// Time for which a server is no migration target after a failed attempt, in seconds. Each further failure without an
/// established connection in between doubles it.
const EXCLUDED_SECONDS: f64 = 3.0;
/// Longest exclusion, in seconds.
const MAX_EXCLUDED_SECONDS: f64 = 30.0;

/// The state of a server as this instance knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerRecord {
    pub entry: ServerEntry,
    /// When the server was removed from the list without having drained; none otherwise.
    pub missing_since: Option<f64>,
    /// The server is no migration target before this time, since attempts have failed there.
    pub excluded_until: f64,
    /// Duration of the next exclusion, in seconds.
    next_exclusion: f64,
    /// Whether the server could not be connected to at the last attempt or failed the last probe.
    pub is_unreachable: bool,
    /// When the server last reported slow messages.
    pub slow_reported_at: f64,
}

impl ServerRecord {
    pub fn new(entry: ServerEntry) -> Self {
        ServerRecord {
            entry,
            missing_since: None,
            excluded_until: f64::NEG_INFINITY,
            next_exclusion: EXCLUDED_SECONDS,
            is_unreachable: false,
            slow_reported_at: f64::NEG_INFINITY,
        }
    }

    /// Records a connection that was established at the server.
    pub fn on_established(&mut self) {
        self.is_unreachable = false;
        self.next_exclusion = EXCLUDED_SECONDS;
    }

    /// Records an attempt that ended before a connection was established.
    pub fn on_attempt_failed(&mut self, now: f64, outcome: Outcome) {
        self.is_unreachable |= outcome == Outcome::ConnectFailed;
        if is_server_failure(outcome) {
            self.excluded_until = now + self.next_exclusion;
            self.next_exclusion = (self.next_exclusion * 2.0).min(MAX_EXCLUDED_SECONDS);
        }
    }

    /// Excludes the server as a migration target until `until`, but for no longer than the longest exclusion.
    pub fn exclude_until(&mut self, now: f64, until: f64) {
        self.excluded_until = self.excluded_until.max(until.min(now + MAX_EXCLUDED_SECONDS));
    }

    /// Whether the server is listed as ready and can be reached.
    pub fn is_in_service(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.is_unreachable
    }
}
