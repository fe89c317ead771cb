//! The final answer to a client.

use shorewharf_units::Micros;

/// The final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Not served, and harmless to retry.
    Rejected {
        /// How long the client should wait first; 0 for no advice.
        retry_after: Micros,
    },
    /// Not served to its end; it may have run.
    Failed,
    /// Served to its end.
    Served,
    /// The client is to come again, to another server.
    Migrated,
    /// The end of a connection without an answer.
    Closed,
}
