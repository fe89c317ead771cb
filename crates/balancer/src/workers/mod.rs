//! The workers of a process. Each worker runs an event loop on its own thread, with its own decisions, server
//! table and listener.
//!
//! The primary worker (index 0) also watches discovery, probes servers and handles signals for all workers.

mod handover_start;
mod listeners;
pub mod pool;
pub mod startup;
mod worker;
