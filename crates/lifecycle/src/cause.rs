//! The causes of final answers.

use std::fmt;

/// Why a client gets its final answer. The log shows the cause by its display name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The decisions or an admission check chose the answer.
    Decision,
    /// The process is shutting down.
    Shutdown,
    /// The event loop can't keep up with its work.
    Overload,
    /// The process has no descriptors left.
    Descriptors,
    /// The request's deadline passed without an answer.
    Overdue,
    /// The request is malformed.
    BadRequest,
    /// The client sent no complete request in time.
    Idle,
    /// The server answered or closed the connection.
    Server,
    /// The server no longer answers.
    Unresponsive,
    /// The connection is migrated away from its server.
    Migration,
    /// The connection was transferred in a hand-over, and this process can't continue it.
    Handover,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::Decision => "decision",
            Cause::Shutdown => "shutdown",
            Cause::Overload => "overload",
            Cause::Descriptors => "descriptors",
            Cause::Overdue => "overdue",
            Cause::BadRequest => "bad-request",
            Cause::Idle => "idle",
            Cause::Server => "server",
            Cause::Unresponsive => "silent",
            Cause::Migration => "move",
            Cause::Handover => "handover",
        })
    }
}
