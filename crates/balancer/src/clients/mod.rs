//! Client sessions, from accept to close. What a session needs of a server is the proxy's: nothing here knows of
//! connections to servers.

mod idle_connections;
pub mod open_ids;
pub mod session;
pub mod sessions;
