//! The rules that the guard keeps.

use thiserror::Error;

/// A rule on attempts and final answers, named by what breaks it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request that may have run was to be rejected, which invites its client to send it again.
    #[error("refused-after-run")]
    RejectedAfterRun,
    /// A request that may have run was to be sent again where it must not be.
    #[error("repeated-after-run")]
    RepeatedAfterRun,
    /// Two attempts of one request were to be out at once.
    #[error("second-copy")]
    ConcurrentAttempt,
    /// An attempt was to begin or to be sent after the request's end.
    #[error("attempt-after-answer")]
    AttemptAfterAnswer,
    /// A request was to have two final answers.
    #[error("second-answer")]
    SecondAnswer,
    /// A request was to end without its final answer.
    #[error("closed-unanswered")]
    ClosedUnanswered,
}
