//! The event loop of a worker: waiting for sockets, timers, and the work of one iteration.

mod admin;
pub mod hub;
pub mod iteration;
pub mod poll;
mod siblings;
pub mod timers;
