//! The state machine of a request, and the guard that checks each attempt and each final answer.
//!
//! The decisions choose servers and answers. The network code carries them out, and also ends requests by
//! itself when the process shuts down, runs out of descriptors or falls behind. The rules on duplicates and
//! final answers must hold on all of these paths, so they are checked in one place: [`RequestGuard`] knows
//! whether a request may be repeated and what its attempts have done so far.
//!
//! This package does no I/O and reads no clock. Times are passed in, in microseconds of a monotonic clock.

mod answer;
mod cause;
mod guard;
mod request;
mod rule;
mod stats;

pub use answer::Answer;
pub use cause::Cause;
pub use guard::{ForbiddenAnswer, RequestGuard, Violation};
pub use request::{RequestState, SendError, Target};
pub use rule::Rule;
pub use stats::{AnswerKey, Stats};
