//! Connections that carry lines, what they are ready for, and the buffers that they share.

pub mod buffer_pool;
pub mod connection;
pub mod readiness;
