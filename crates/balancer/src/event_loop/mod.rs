//! The event loop of a worker: waits for sockets and timers and passes their events to the components.
//!
//! [`dispatch::EventLoop`] composes the components of a worker. Each component owns its own state and is
//! passed the [`context::LoopContext`] of the current iteration. The driver makes the decisions about
//! requests and carries them out by calling the event loop through the trait `Effects`.

mod accept;
mod acceptor;
mod admin;
mod connection_transfer;
pub mod context;
mod descriptor_sharing;
pub mod dispatch;
mod driver_effects;
mod handover;
mod open_id_sharing;
pub mod poll;
mod shutdown;
pub mod timers;
mod worker_messages;
