//! The platform's words: lines, first lines, answers and the form of the server list, each read strictly and
//! written in one place. No I/O, no decisions.

pub mod admin;
pub mod endpoint_list;
pub mod line;
pub mod message;
pub mod name_index;
pub mod open_request;
