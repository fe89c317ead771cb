//! Drives the decisions: network events become events of the decisions, and what they want done becomes calls
//! on the network. The only caller of the decisions in the balancer.
//!
//! Admission checks come before the decisions ([`AdmissionGate`]). Nothing here knows a protocol's text, so
//! another protocol can be put before the same decisions.

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

/// The decisions call discovery again at the latest this long after a call has failed.
pub const MAX_DISCOVERY_RETRY_DELAY: Micros = 1_350_000;
