//! The event loop of a worker: waiting for sockets, timers, and the work of one iteration.

pub mod hub;
pub mod iteration;
pub mod poll;
pub mod timers;
