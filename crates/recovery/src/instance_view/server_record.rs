//! One server as an instance knows it.

use shorewharf_decisions::Outcome;
use shorewharf_decisions::interface::{ServerEntry, ServerState};

use crate::retry_budget::is_server_failure;

/// A server where an attempt failed is no migration target for so long; each further failure doubles it.
const EXCLUDED_SECONDS: f64 = 3.0;
/// The longest such exclusion.
const MAX_EXCLUDED_SECONDS: f64 = 30.0;

/// A server as this instance knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerRecord {
    pub entry: ServerEntry,
    /// When the server went without having drained.
    pub missing_since: Option<f64>,
    /// Attempts failed there: it is no migration target before this time.
    pub excluded_until: f64,
    /// Length of the next exclusion, in seconds.
    next_exclusion: f64,
    /// The last connection to it could not be made.
    pub is_unreachable: bool,
    /// When it last reported slow messages.
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

    /// A connection was established there.
    pub fn on_established(&mut self) {
        self.is_unreachable = false;
        self.next_exclusion = EXCLUDED_SECONDS;
    }

    /// An attempt has ended before its connection was established.
    pub fn on_attempt_failed(&mut self, now: f64, outcome: Outcome) {
        self.is_unreachable |= outcome == Outcome::ConnectFailed;
        if is_server_failure(outcome) {
            self.excluded_until = now + self.next_exclusion;
            self.next_exclusion = (self.next_exclusion * 2.0).min(MAX_EXCLUDED_SECONDS);
        }
    }

    /// Excludes it as a migration target until a time, as far as that may last.
    pub fn exclude_until(&mut self, now: f64, until: f64) {
        self.excluded_until = self.excluded_until.max(until.min(now + MAX_EXCLUDED_SECONDS));
    }

    /// Whether it is listed as ready and can be reached.
    pub fn is_in_service(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.is_unreachable
    }
}
