//! A soak of the built program: 10 to 40 real processes on loopback, stand-in servers, clients and discovery, faults drawn
//! from a seed that overlap in time, and the rules of the platform as the judge.
//!
//! - [`plan`]: what a seed draws: the fleet, the classes, the faults. Pure.
//! - [`ledger`]: what servers and clients saw, and which rules that breaks. Pure.
//! - [`run`]: plays a plan.

mod client;
mod discovery;
mod fleet;
pub mod ledger;
pub mod plan;
pub mod run;
mod server;
