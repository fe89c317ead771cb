//! Limits the descriptors that connections hold, and reserves some for the process and for idle clients.

use tracing::{info, warn};

/// Descriptors reserved for other uses than connections: the event loop, the listener, the log, and a margin.
pub const RESERVED_FOR_PROCESS: usize = 16;
/// Descriptors reserved for idle clients: those that are being rejected or whose first line is awaited.
const RESERVED_FOR_IDLE: usize = 16;
/// Idle clients may hold at most the limit divided by this. A client that is served needs two descriptors,
/// one of them for the connection to its server.
const IDLE_SHARE_DIVISOR: usize = 4;

/// The number of descriptors that connections hold.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorsInUse {
    /// Descriptors of clients, attempts and probes.
    pub total: usize,
    /// The part of `total` that idle clients hold, which have no open request.
    pub idle: usize,
}

/// The limit on descriptors, and whether descriptors have run out.
#[derive(Debug)]
pub struct DescriptorBudget {
    limit: usize,
    has_shortage: bool,
}

impl DescriptorBudget {
    /// Creates a budget of `limit` descriptors.
    pub fn new(limit: usize) -> Self {
        DescriptorBudget { limit, has_shortage: false }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Whether a connection to a server may be opened with enough descriptors left to reply to clients. Idle
    /// clients use the descriptors that are reserved for them first.
    pub fn can_connect(&self, in_use: DescriptorsInUse) -> bool {
        let busy = in_use.total - in_use.idle;
        RESERVED_FOR_PROCESS + busy + in_use.idle.max(RESERVED_FOR_IDLE) < self.limit
    }

    /// Whether evicting an idle client would free a descriptor for a connection to a server.
    pub fn can_evict(&self, in_use: DescriptorsInUse) -> bool {
        in_use.idle > RESERVED_FOR_IDLE
    }

    /// Whether one more client can be accepted, at least to be rejected, and if necessary by evicting an idle
    /// client.
    pub fn can_accept(&self, in_use: DescriptorsInUse) -> bool {
        RESERVED_FOR_PROCESS + in_use.total < self.limit || in_use.idle > 0
    }

    /// Whether an idle client must be evicted: idle clients hold more than their share, which protects the
    /// other clients against a flood of idle connections, or the limit is exceeded.
    pub fn must_evict(&self, in_use: DescriptorsInUse) -> bool {
        in_use.idle > self.limit / IDLE_SHARE_DIVISOR || RESERVED_FOR_PROCESS + in_use.total > self.limit
    }

    /// Whether descriptors had run out when that was last recorded.
    pub fn has_shortage(&self) -> bool {
        self.has_shortage
    }

    /// Records whether descriptors have run out, and logs a change.
    pub fn set_shortage(&mut self, has_shortage: bool, in_use: DescriptorsInUse) {
        if std::mem::replace(&mut self.has_shortage, has_shortage) == has_shortage {
            return;
        }
        let (held, limit) = (RESERVED_FOR_PROCESS + in_use.total, self.limit);
        if has_shortage {
            warn!(event = "descriptors-short", held, limit);
        } else {
            info!(event = "descriptors-recovered", held, limit);
        }
    }
}

#[cfg(test)]
mod tests;
