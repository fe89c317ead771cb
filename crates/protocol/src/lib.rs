//! The platform's words: lines, first lines, answers and the form of the server list, each read strictly and
//! written in one place. No I/O, no decisions.

pub mod line;
pub mod list;
pub mod names;
pub mod open;
pub mod operators;
pub mod words;
