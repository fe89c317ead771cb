//! What lies between clients, balancers and nodes: the network, the front, discovery, and the schedule of what goes
//! wrong. Each is a machine without sockets or clock: it is told what happens and when, says when it is due next,
//! and hands out what follows. The figures behind them are in `docs/design/emulator-places.md`.

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
