//! How many descriptors may be held at once, and for what.

use tracing::{info, warn};

/// Descriptors that aren't connections: the loop's own, the listener, the log, and some to spare.
const OWN_DESCRIPTORS: usize = 16;
/// Descriptors kept for clients that are only told to come again.
const SPARE: usize = 16;
/// Connections that ask for nothing may hold this part of the descriptors: usual clients need two each, one to
/// their server, and hold two thirds at most.
const UNSERVED_PART: usize = 4;

/// The descriptors that the process may hold. Its questions are put with the number of connections held.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    short: bool,
}

impl Budget {
    /// So many descriptors may be held.
    pub fn new(limit: usize) -> Self {
        Budget { limit, short: false }
    }

    /// Another limit is in force from now on.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Whether a connection to a server can be had and enough is left to answer clients.
    pub fn has_room(&self, connections: usize) -> bool {
        OWN_DESCRIPTORS + connections + SPARE < self.limit
    }

    /// Whether one more client can be held, if only to be answered.
    pub fn may_answer(&self, connections: usize) -> bool {
        OWN_DESCRIPTORS + connections < self.limit
    }

    /// So many connections may ask for nothing.
    pub fn unserved(&self) -> usize {
        self.limit / UNSERVED_PART
    }

    /// Says once that descriptors have run out, and once that there are some again.
    pub fn note_short(&mut self, short: bool, connections: usize) {
        if std::mem::replace(&mut self.short, short) != short {
            let (held, limit) = (OWN_DESCRIPTORS + connections, self.limit);
            if short {
                warn!(event = "descriptors-short", held, limit);
            } else {
                info!(event = "descriptors-enough", held, limit);
            }
        }
    }
}
