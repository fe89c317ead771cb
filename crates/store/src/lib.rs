#![doc = include_str!("../README.md")]

pub mod backup;
pub mod cached_store;
pub mod change_batch;
pub mod check;
pub mod commands;
mod digest;
pub mod directory;
pub mod embedded;
pub mod error;
pub mod exchange;
mod files;
mod integrity;
pub mod key;
mod migrate;
pub mod name;
pub mod record;
pub mod replicated;
pub mod revision;
pub mod service;
#[cfg(feature = "standin")]
pub mod standin;
pub mod store;
