//! Limits that protect the process from overload: on descriptors, on new clients and on log lines that
//! clients cause.

pub mod descriptor_budget;
pub mod log_rate_limiter;
pub mod monitor;
