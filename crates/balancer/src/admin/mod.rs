//! Operators' side: the door at which they call, and what is counted for them. What a call asks for is done by the
//! caller of this module; nothing here knows of clients or servers.

pub mod counters;
pub mod handler;
pub mod server;
pub mod shared_folder;
