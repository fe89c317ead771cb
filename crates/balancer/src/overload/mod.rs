//! What the process can take on: descriptors, the load of the event loop, and log lines that clients cause.

pub mod descriptor_budget;
pub mod log_rate_limiter;
pub mod monitor;
