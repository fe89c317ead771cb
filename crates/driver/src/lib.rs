//! Connects the decisions to the network: translates network events into events of the decisions, and carries
//! out the actions that follow as calls on the network. In the balancer, only this package calls the
//! decisions.
//!
//! Requests pass admission checks before they reach the decisions ([`AdmissionGate`]). Nothing in this
//! package depends on the text of a protocol, so the same decisions can serve another protocol.

pub mod admission;
mod budgets;
mod driver;
mod events;
mod gate;
mod tenants;

use shorewharf_units::Micros;

pub use budgets::Budgets;
pub use driver::{Driver, InitialState};
pub use events::{Effects, NetworkEvent, ReceivedRequest};
pub use gate::AdmissionGate;
pub use tenants::Tenants;

/// Longest delay between a failed call to discovery and the retry that the decisions ask for.
pub const MAX_DISCOVERY_RETRY_DELAY: Micros = 1_350_000;
