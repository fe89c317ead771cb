//! How many descriptors may be held at once, and for what.

use tracing::{info, warn};

/// Descriptors that aren't connections: the loop's own, the listener, the log, and some to spare.
pub const OWN_DESCRIPTORS: usize = 16;
/// Descriptors kept for clients that are only told to come again, and for those whose first line is on its way.
const SPARE: usize = 16;
/// Connections that ask for nothing may hold this part of the descriptors: usual clients need two each, one to
/// their server, and hold two thirds at most.
const UNSERVED_PART: usize = 4;

/// The connections that are held.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// All of them: clients', attempts and probes.
    pub all: usize,
    /// Of these, those that ask for nothing.
    pub unserved: usize,
}

/// The descriptors that the process may hold.
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

    /// Whether a connection to a server can be had and enough is left to answer clients. Those who ask for nothing
    /// are in the part that is kept for them, as far as it goes.
    pub fn has_room(&self, held: Held) -> bool {
        OWN_DESCRIPTORS + (held.all - held.unserved) + held.unserved.max(SPARE) < self.limit
    }

    /// Whether there would be more room if one went who asks for nothing.
    pub fn can_make_room(&self, held: Held) -> bool {
        held.unserved > SPARE
    }

    /// Whether one more client can be held, if only to be answered, where someone may have to go for it.
    pub fn may_accept(&self, held: Held) -> bool {
        OWN_DESCRIPTORS + held.all < self.limit || held.unserved > 0
    }

    /// Whether one must go who asks for nothing. Guards usual clients against floods: those hold a part and no more.
    pub fn is_over(&self, held: Held) -> bool {
        held.unserved > self.limit / UNSERVED_PART || OWN_DESCRIPTORS + held.all > self.limit
    }

    /// Whether descriptors have run out, by what was noted last.
    pub fn is_short(&self) -> bool {
        self.short
    }

    /// Says once that descriptors have run out, and once that there are some again.
    pub fn note_short(&mut self, short: bool, held: Held) {
        if std::mem::replace(&mut self.short, short) != short {
            let (held, limit) = (OWN_DESCRIPTORS + held.all, self.limit);
            if short {
                warn!(event = "descriptors-short", held, limit);
            } else {
                info!(event = "descriptors-recovered", held, limit);
            }
        }
    }
}

#[cfg(test)]
mod tests;
