//! The servers' side: servers as they are listed, attempts, probes, and what messages take. Nothing here knows of
//! clients' connections.

pub mod attempts;
pub mod delays;
pub mod disabled;
pub mod probes;
pub mod server_table;
