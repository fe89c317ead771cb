//! Every decision about a request: which server it goes to, whether it is tried again, what is turned away.
//! Events in, actions out, with the time as an argument: no I/O, no clock, no text.

mod fleet_view;
pub mod interface;
mod load;
pub mod memory;
pub mod outside;
mod pace;
mod placement;
pub mod policy;
mod probing;
mod retry;
mod server_health;
mod slow_servers;
mod slow_start;
mod state;

pub use fleet_view::Holding;
pub use interface::{Action, Event, Outcome, RequestId, ServerId, Settings};
pub use policy::Balancer;
