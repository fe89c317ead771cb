//! The servers' side: backends as they are listed, fetches, probes, and what messages take. Nothing here knows of
//! clients' connections.

pub mod backends;
pub mod delays;
pub mod fetches;
pub mod probes;
pub mod taken_out;
