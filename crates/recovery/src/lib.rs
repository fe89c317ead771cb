//! Decisions for the time when much of a fleet fails at once: how far the service is degraded, whether a failed attempt
//! may be retried, and which established connections migrate once servers are back.
//!
//! Events go in and decisions come out, with the time as an argument: no I/O, no clock, no text but log lines. The
//! decision module ([`shorewharf_decisions`]) still chooses the server of each request;
//! [`ProtectedBalancer`](protected_balancer::ProtectedBalancer) puts the controller around it.

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
