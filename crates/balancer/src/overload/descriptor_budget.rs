//! The descriptors that the process may hold, and what they are reserved for.

use tracing::{info, warn};

/// Descriptors that are not connections: the event loop's own, the listener, the log, and some to spare.
pub const RESERVED_FOR_PROCESS: usize = 16;
/// Descriptors reserved for idle clients, which are rejected or whose first line is still to come.
const RESERVED_FOR_IDLE: usize = 16;
/// Idle clients may hold at most one in so many descriptors. A served client needs two, one of them to its server.
const IDLE_SHARE_DIVISOR: usize = 4;

/// Descriptors that connections hold.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorsInUse {
    /// Those of clients, attempts and probes.
    pub total: usize,
    /// Of these, those of idle clients, which have no open request.
    pub idle: usize,
}

/// The limit on descriptors.
#[derive(Debug)]
pub struct DescriptorBudget {
    limit: usize,
    has_shortage: bool,
}

impl DescriptorBudget {
    /// A budget of `limit` descriptors.
    pub fn new(limit: usize) -> Self {
        DescriptorBudget { limit, has_shortage: false }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Whether a connection to a server may be opened, with enough descriptors left to reply to clients. Idle clients use the
    /// descriptors that are reserved for them first.
    pub fn can_connect(&self, in_use: DescriptorsInUse) -> bool {
        let busy = in_use.total - in_use.idle;
        RESERVED_FOR_PROCESS + busy + in_use.idle.max(RESERVED_FOR_IDLE) < self.limit
    }

    /// Whether evicting an idle client would let a connection to a server be opened.
    pub fn can_evict(&self, in_use: DescriptorsInUse) -> bool {
        in_use.idle > RESERVED_FOR_IDLE
    }

    /// Whether one more client can be accepted, if only to be replied to, and if necessary by evicting an idle one.
    pub fn can_accept(&self, in_use: DescriptorsInUse) -> bool {
        RESERVED_FOR_PROCESS + in_use.total < self.limit || in_use.idle > 0
    }

    /// Whether idle clients hold more than their share, which protects the others against a flood of idle connections.
    pub fn must_evict(&self, in_use: DescriptorsInUse) -> bool {
        in_use.idle > self.limit / IDLE_SHARE_DIVISOR || RESERVED_FOR_PROCESS + in_use.total > self.limit
    }

    /// Whether descriptors have run out, as set last.
    pub fn has_shortage(&self) -> bool {
        self.has_shortage
    }

    /// Sets whether descriptors have run out; a change is logged.
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
