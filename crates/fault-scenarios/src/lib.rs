//! Fault scenarios: many processes of the program on a day of the platform, the faults that are injected between them, and
//! the expectations that must hold under these faults.
//!
//! [`Scenario::read`] reads a scenario's file, [`Scenario::network_faults`] and [`Scenario::store_faults`] resolve which
//! processes its faults affect, and [`evaluate`] compares what was observed at the stubs with the [`Expectations`].
//! [`LoadDistribution`] and [`worst_setup_burst`] measure how evenly nodes were used. This crate starts no process and reads
//! no clock.

mod error;
mod evaluate;
mod expectations;
mod fault;
mod load_distribution;
mod rules;
mod scenario;
mod selection;
mod verdict;

pub use error::ScenarioError;
pub use evaluate::{Observations, WeightedRequests, evaluate};
pub use expectations::{ConnectionBound, Expectations, Interval, RateBound, ServedBound};
pub use fault::{FaultKind, InjectedFault, StoreFault};
pub use load_distribution::{LoadDistribution, WorstInterval, worst_setup_burst};
pub use scenario::Scenario;
pub use selection::Selection;
pub use verdict::Verdict;
