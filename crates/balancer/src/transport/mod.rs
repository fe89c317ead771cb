//! Connections that carry lines, their readiness, and the pool of buffers that they share.

pub mod buffer_pool;
pub mod connection;
pub mod line_budget;
pub mod readiness;
