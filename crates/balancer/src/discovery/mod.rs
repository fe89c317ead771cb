//! The list of servers, from discovery: the answer, the text in it, and what is kept of that.

pub mod client;
pub mod reader;
mod response;
pub mod update;
pub mod wall_clock;
