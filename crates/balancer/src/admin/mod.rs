//! The admin side of the balancer: a second listener for operators, the counters that they read, and the servers that they
//! disable. Commands are executed by the event loop; nothing here knows clients or sessions.

pub mod counters;
pub mod handler;
pub mod server;
pub mod shared_folder;
