//! The life of a request as a state machine, and the guard that each attempt and each final answer has to pass.
//!
//! The decision module chooses servers and answers; the network code carries them out, and ends requests by itself when
//! the process shuts down, runs short of descriptors or is late. The rule on duplicates has to hold on all of these
//! paths, so it is checked in one place: [`RequestGuard`] knows what repeating a request may do and what each of its
//! attempts has done so far. No I/O and no clock: times are arguments, in microseconds of a monotonic clock.

mod cause;
mod guard;
mod request;
mod stats;

pub use cause::Cause;
pub use guard::{RequestGuard, Violation};
pub use request::{Answer, RequestState, SendError, Target};
pub use stats::{AnswerCount, Rule, Stats};
