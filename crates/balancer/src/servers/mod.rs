//! The server side of the balancer: the server table, servers disabled by operators, connection attempts, probes and the
//! measured message delay. These modules know nothing of client connections.

pub mod attempt;
pub mod attempts;
pub mod delays;
pub mod disabled;
pub mod probes;
pub mod server_activity;
pub mod server_table;
