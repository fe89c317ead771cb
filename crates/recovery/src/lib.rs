//! Overload control for failures that affect a large part of a fleet: decides the level of service, whether a
//! failed attempt may be retried, and which established connections migrate once servers are back.
//!
//! The package performs no I/O and reads no clock: it takes events and the current time as arguments and returns
//! actions and log lines. The decision module ([`shorewharf_decisions`]) still chooses the server for each request;
//! [`ProtectedBalancer`](protected_balancer::ProtectedBalancer) combines it with the overload controller.

mod backoff_clients;
pub mod capacity_estimate;
mod capacity_shortage;
pub mod controller;
mod instance_view;
pub mod levels;
mod probe_limiter;
pub mod protected_balancer;
mod random;
pub mod rebalance;
mod retry_after;
pub mod retry_budget;
mod slow_start;
pub mod snapshot_state;
