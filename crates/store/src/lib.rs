#![doc = include_str!("../README.md")]

pub mod calls;
pub mod embedded;
pub mod error;
pub mod key;
mod migrate;
pub mod name;
pub mod record;
pub mod store;
