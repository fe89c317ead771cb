#![doc = include_str!("../../../README.md")]

pub mod check;
pub mod config;
pub mod config_error;
pub mod fleet;
pub mod net;
pub mod peers;
