//! Why a request gets its final answer.

use std::fmt;

/// Why a client gets its final answer, as the log tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The decisions, or an admission check before them.
    Decision,
    /// The process shuts down.
    Shutdown,
    /// The event loop can't keep up.
    Overload,
    /// There are no descriptors left.
    Descriptors,
    /// The deadline has passed without an answer.
    Overdue,
    /// The client's request is malformed.
    BadRequest,
    /// The client sent no complete request in time.
    Idle,
    /// Its server has answered or closed the connection.
    Server,
    /// Its server no longer answers.
    Unresponsive,
    /// It is migrated off its server.
    Migration,
    /// It can't go on in this process, and is not handed over.
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
