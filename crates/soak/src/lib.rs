//! A soak test of the built program: 10 to 40 real processes on loopback with stub servers, clients and discovery, faults
//! drawn from a seed that overlap in time, and the rules of the platform as the verdict.
//!
//! - [`plan`]: what a seed draws: the fleet, the classes, the faults. Pure.
//! - [`ledger`]: what servers and clients observed, and which rules that breaks. Pure.
//! - [`run`]: plays a plan.
//! - [`verdict`]: what a run has shown.

mod client;
mod discovery;
pub mod error;
mod flag;
mod fleet;
mod injection;
pub mod ledger;
mod loopback;
pub mod plan;
mod recorder;
pub mod run;
mod server;
pub mod verdict;
