#![doc = include_str!("../../../README.md")]

mod admin;
mod clients;
mod clock;
pub mod config;
pub mod discovery;
pub mod event_loop;
pub mod fleet;
mod handover;
mod overload;
mod proxy;
mod reload;
pub mod servers;
mod shutdown;
mod snapshot;
mod supervisor;
mod transport;
mod workers;

pub use workers::startup::{RunError, run};
