//! The final answer to a client.

use shorewharf_units::Micros;

/// The final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request was not served, and the client may safely retry it.
    Rejected {
        /// Time that the client should wait before it retries; 0 for no advice.
        retry_after: Micros,
    },
    /// The request was not served to its end, and a server may have run it.
    Failed,
    /// The request was served to its end.
    Served,
    /// The client has to reconnect, so that it is placed on another server.
    Migrated,
    /// The connection is closed without an answer.
    Closed,
}
