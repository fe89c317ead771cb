//! The life of a request as a state machine, and the guard that each attempt and each final answer has to
//! pass.
//!
//! The decisions choose servers and answers; the network code carries them out, and ends requests by itself
//! when the process shuts down, runs short of descriptors or is late. The rules on duplicates and final
//! answers have to hold on all of these paths, so they are checked in one place: [`RequestGuard`] knows what
//! repeating a request may do and what each of its attempts has done so far. No I/O and no clock: times are
//! arguments, in microseconds of a monotonic clock.

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
pub use stats::{AnswerCount, Stats};
