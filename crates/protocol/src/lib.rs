//! The wire format of the platform: lines of text between clients, balancers and servers, the endpoint list of the discovery
//! service, and the commands of operators. Parsing is strict; each format is written in one place. No I/O, no decisions.
//!
//! The words of the platform appear here only. The rest of the program uses the typed values.

pub mod admin;
pub mod endpoint_list;
pub mod line;
pub mod message;
pub mod name_index;
pub mod open_request;
