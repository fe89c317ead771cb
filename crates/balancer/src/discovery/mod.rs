//! The endpoint list: a watch over HTTP/1.1 at the discovery service, the JSON in its response, and what is kept of that.

pub mod client;
pub mod reader;
mod response;
pub mod update;
pub mod wall_clock;
