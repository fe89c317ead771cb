//! The event loop of a worker: waits for sockets and timers and passes what happens to the components.
//!
//! [`dispatch::EventLoop`] composes the components of a worker. Each component owns its own state; what it needs of the
//! current iteration comes as a [`context::LoopContext`]. Decisions about requests are the driver's, which calls the
//! event loop through its `Effects`.

mod accept;
mod acceptor;
mod admin;
pub mod context;
pub mod dispatch;
mod driver_effects;
mod handover;
pub mod poll;
mod shutdown;
pub mod timers;
mod worker_messages;
