//! Tracks whether the process at the other end of a link knows the open ids of this one.
//!
//! While two processes accept requests, both may claim the same id at the same moment. After a claim, a process therefore sends
//! the change and a sync request. Each process sends its own changes before a reply, and a link keeps the order, so once the reply
//! arrives, a claim of the other process has arrived too if there is one.

/// The state of one link.
#[derive(Debug, Default)]
pub struct LinkSync {
    /// Whether the other process answers sync requests. Processes of earlier versions don't.
    pub is_supported: bool,
    /// The number of the last change that the other process knows.
    confirmed: u64,
    /// The sync request of the other process that is to be answered.
    requested: Option<u64>,
}

impl LinkSync {
    /// Creates the state of a link to a process that knows all changes up to this one.
    pub fn new(is_supported: bool, confirmed: u64) -> Self {
        LinkSync { is_supported, confirmed, requested: None }
    }

    /// Records a sync request of the other process.
    pub fn on_request(&mut self, number: u64) {
        self.requested = Some(number);
    }

    /// Records a reply of the other process.
    pub fn on_reply(&mut self, number: u64) {
        self.confirmed = self.confirmed.max(number);
    }

    /// Whether a sync request is to be answered.
    pub fn is_reply_due(&self) -> bool {
        self.requested.is_some()
    }

    /// Takes the number with which a sync request is to be answered.
    pub fn take_reply(&mut self) -> Option<u64> {
        self.requested.take()
    }

    /// The number of the last change that need not be waited for.
    pub fn confirmed(&self) -> u64 {
        if self.is_supported { self.confirmed } else { u64::MAX }
    }
}
