//! Client sessions, from accept to close. Connections to servers are managed by the proxy and unknown here.

pub mod id_changes;
mod idle_connections;
pub mod open_ids;
pub mod session;
pub mod sessions;
