//! The list of servers, from discovery.

mod answer;
pub mod director;
