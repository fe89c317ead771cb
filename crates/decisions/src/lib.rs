//! The decisions of the balancer: which server a request goes to, whether it is retried, and when it is
//! rejected.
//!
//! A [`Balancer`] takes events and appends actions ([`interface`]). It does no I/O and has no clock: the time
//! is an argument, and all randomness comes from a seed.

mod arrival_rate;
mod attempts;
mod embedding_api;
mod fleet_placement;
mod fleet_view;
mod groups;
pub mod hashing;
pub mod interface;
mod load;
mod numeric;
pub mod persistence;
mod placement;
mod policy;
mod probe_table;
mod probing;
mod rate_limit;
mod requests;
mod reservations;
mod retry;
mod server_health;
mod servers;
mod slow_servers;
mod slow_start;
mod state;
mod timers;

pub use embedding_api::Holding;
pub use interface::{Action, Event, Outcome, RequestId, ServerId, Settings};
pub use state::Balancer;
