//! The clients' side: sessions from their first line to their end. What a session needs of a server is told to
//! the caller; nothing here knows of servers' connections.

mod idle_connections;
pub mod open_ids;
pub mod session;
pub mod sessions;
