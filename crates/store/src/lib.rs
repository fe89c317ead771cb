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
pub mod replicated;
pub mod service;
#[cfg(feature = "standin")]
pub mod standin;
pub mod store;
