//! The list of servers, from discovery: the answer, the text in it, and what is kept of that.

mod answer;
pub mod discovery_client;
pub mod incoming;
pub mod reader;
pub mod wall_clock;
