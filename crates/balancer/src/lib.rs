#![doc = include_str!("../../../README.md")]

pub mod config;
pub mod net;
