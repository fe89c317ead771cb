//! The admin side of the balancer: a separate listener for operators, the counters that operators read, and
//! the storage of the servers that operators disable. The event loop executes the commands; this module does
//! not depend on clients or sessions.

pub mod counters;
pub mod handler;
pub mod server;
pub mod shared_folder;
