#![doc = include_str!("../README.md")]

pub mod backup;
pub mod cached;
pub mod calls;
pub mod check;
pub mod embedded;
pub mod error;
pub mod exchange;
pub mod key;
pub mod known;
mod migrate;
pub mod name;
pub mod record;
pub mod service;
pub mod store;
