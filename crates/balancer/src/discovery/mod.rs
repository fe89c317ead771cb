//! The endpoint list from the discovery service: a watch over HTTP/1.1, the parsing of the JSON in its response, and the
//! conversion to entries of the server table.

pub mod client;
pub mod reader;
mod response;
pub mod update;
pub mod wall_clock;
pub mod watch_pacing;
