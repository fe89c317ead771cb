//! A soak test of the built program: 10 to 40 real processes on loopback with stub servers, clients and discovery. The
//! faults are drawn by a seed and overlap in time; the rules of the platform are checked.
//!
//! - [`plan`]: the fleet, the classes and the faults that a seed determines. No I/O.
//! - [`ledger`]: the observations of servers and clients, and the rules that they violate. No I/O.
//! - [`run`]: runs a plan with real processes.
//! - [`verdict`]: the result of a run.

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
