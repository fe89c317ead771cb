//! Decisions for the time when much of a fleet fails at once: how reduced the service is, whether an attempt may be
//! repeated, which standing connections move once servers are back. Events in, decisions out, with the time as an
//! argument: no I/O, no clock, no text but names. The decision module still chooses the server.

pub mod care;
pub mod estimate;
pub mod levels;
pub mod memory;
pub mod queue;
pub mod rebalance;
pub mod report;
pub mod retry;
mod table;
