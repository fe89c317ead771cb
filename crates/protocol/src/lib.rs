//! The wire format of the platform: the lines of text between clients, balancers and servers, the endpoint
//! list of the discovery service, and operators' commands. The package does no I/O and makes no decisions.
//!
//! Parsing is strict, and each format is written in one place only. The protocol's keywords appear only here;
//! the rest of the program uses typed values.

pub mod admin;
pub mod endpoint_list;
pub mod line;
pub mod message;
pub mod name_index;
pub mod open_request;
