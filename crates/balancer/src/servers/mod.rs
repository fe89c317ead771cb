//! Servers: as they are listed and as operators have disabled them, attempts, probes, and the delay of messages. Nothing
//! here knows of connections of clients.

pub mod attempt;
pub mod attempts;
pub mod delays;
pub mod disabled;
pub mod probes;
pub mod server_activity;
pub mod server_table;
