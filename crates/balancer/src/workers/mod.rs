//! The workers of the process: starting them, and what they know of and tell each other.

pub mod pool;
pub mod startup;
