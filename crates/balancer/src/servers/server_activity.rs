//! Records when a server last sent anything on any of its connections.

use std::cell::Cell;

use shorewharf_decisions::interface::RequestId;
use shorewharf_units::Micros;

/// The last time at which a server sent something, and the request whose connection it was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LastSent {
    at: Micros,
    to: RequestId,
}

/// The last activity of a server, shared by all its attempts.
#[derive(Debug, Default)]
pub struct ServerActivity {
    last: Cell<Option<LastSent>>,
    /// When the server last sent something to a request other than that of `last`.
    last_to_other: Cell<Option<Micros>>,
}

impl ServerActivity {
    /// Records that the server has sent something on the connection of this request.
    pub fn record(&self, now: Micros, request: RequestId) {
        if let Some(last) = self.last.replace(Some(LastSent { at: now, to: request }))
            && last.to != request
        {
            self.last_to_other.set(Some(last.at));
        }
    }

    /// Whether the server has sent anything to a request other than this one after `since`.
    pub fn is_alive_for_others(&self, request: RequestId, since: Micros) -> bool {
        let last = self.last.get().filter(|last| last.to != request).map(|last| last.at);
        last.max(self.last_to_other.get()).is_some_and(|at| at > since)
    }
}
