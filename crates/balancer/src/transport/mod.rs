//! Connections that carry lines, and the buffers that they share.

pub mod buffer_pool;
pub mod connection;
