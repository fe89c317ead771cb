//! Why a request gets its final answer.

use std::fmt;

/// Why a client gets its final answer, as the log tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The decision module, or an admission before it, says so.
    Decision,
    /// The process is about to end.
    Shutdown,
    /// The event loop can't keep up.
    Overload,
    /// There are no descriptors left.
    Descriptors,
    /// Nobody has answered by the deadline.
    Overdue,
    /// What the client said can't be used.
    BadRequest,
    /// It asked for nothing, or not whole, in the time for that.
    Idle,
    /// Its server has answered or ended.
    Server,
    /// Its server no longer answers.
    Silent,
    /// It is moved off its server.
    Move,
    /// It can't go on in this process.
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
            Cause::Silent => "silent",
            Cause::Move => "move",
            Cause::Handover => "handover",
        })
    }
}
