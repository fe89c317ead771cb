//! The workers of a process: event loops on threads of their own, each with its own decisions, tables and listener.
//!
//! The primary worker (index 0) watches discovery, probes servers and handles signals for all.

mod handover_start;
mod listeners;
pub mod pool;
pub mod startup;
mod worker;
