//! The rules that the guard enforces.

use thiserror::Error;

/// A rule on attempts and final answers. Each is named after the step that it forbids.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request that may have run must not be rejected unless a repeat is harmless, as a rejected client
    /// retries.
    #[error("refused-after-run")]
    RejectedAfterRun,
    /// A request that may have run must not be sent again unless the server drops or tolerates a repeat.
    #[error("repeated-after-run")]
    RepeatedAfterRun,
    /// A request must not have two pending attempts.
    #[error("second-copy")]
    ConcurrentAttempt,
    /// No attempt may begin or be sent after the request was accepted by a server or got its final answer.
    #[error("attempt-after-answer")]
    AttemptAfterAnswer,
    /// A request must not get two final answers.
    #[error("second-answer")]
    SecondAnswer,
    /// A request must not end without a final answer while its client waits for one.
    #[error("closed-unanswered")]
    ClosedUnanswered,
}
