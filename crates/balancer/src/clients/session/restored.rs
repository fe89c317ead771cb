//! A session whose connection was established before this process started: its request goes to the server that
//! had accepted it, again and again if that fails.

use shorewharf_decisions::interface::ServerId;
use shorewharf_driver::ReceivedRequest;
use shorewharf_units::Micros;

use super::Session;

/// The delay between two attempts to restore a connection from before the start of this process.
const RESTORE_RETRY_DELAY: Micros = 500_000;

/// A connection that was established before this process started.
#[derive(Debug)]
pub(super) struct RestoredConnection {
    /// The server that had accepted the client.
    server: ServerId,
    request: ReceivedRequest,
    /// When to retry, once an attempt to restore the connection has failed.
    retry_at: Option<Micros>,
    /// Whether any attempt to restore the connection has failed.
    has_failed: bool,
}

impl RestoredConnection {
    /// Creates the state of a connection whose first attempt has not been made.
    pub(super) fn new(server: ServerId, request: ReceivedRequest) -> Self {
        RestoredConnection { server, request, retry_at: None, has_failed: false }
    }

    /// When to retry, once an attempt has failed.
    pub(super) fn retry_at(&self) -> Option<Micros> {
        self.retry_at
    }
}

impl Session {
    /// The server that had accepted the client before this process started, if any.
    pub fn previous_server(&self) -> Option<ServerId> {
        self.restored.as_ref().map(|restored| restored.server)
    }

    /// The request, if its connection was established before this process started.
    pub fn restored_request(&self) -> Option<ReceivedRequest> {
        self.restored.as_ref().map(|restored| restored.request)
    }

    /// Schedules a retry after an attempt to restore the connection has failed. Returns whether this is the
    /// first failure.
    pub fn on_restore_failed(&mut self, now: Micros) -> bool {
        let Some(restored) = &mut self.restored else { return false };
        restored.retry_at = Some(now + RESTORE_RETRY_DELAY);
        !std::mem::replace(&mut restored.has_failed, true)
    }

    /// Returns whether another attempt to restore the connection is due, and clears its time if so.
    pub fn take_due_restore(&mut self, now: Micros) -> bool {
        let Some(restored) = &mut self.restored else { return false };
        restored.retry_at.take_if(|retry_at| now >= *retry_at).is_some()
    }
}
