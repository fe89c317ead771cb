//! The environment of clients, balancers and nodes: the network, the front, discovery, and the schedule of
//! faults.
//!
//! Each is a state machine without sockets or a clock. It takes events with their times, reports when its
//! next event is due, and returns the resulting events. The parameters are explained in
//! `docs/design/emulator-places.md`.

pub mod discovery;
pub mod faults;
pub mod front;
pub mod network;
pub mod random_faults;

pub use discovery::Discovery;
pub use faults::{BalancerEvent, FaultEvent, FaultInterval, FaultSchedule, NodeEvent};
pub use front::Front;
pub use network::Network;

#[cfg(test)]
pub(crate) mod tests;
