//! The observer of a world: the driver that passes messages to balancers, and observations to the auditor.

use crate::audit::Observation;
use crate::edge::{BalancerId, ToBalancer};
use shorewharf_units::Micros;

/// Receives the messages and observations of a world.
pub trait WorldListener {
    /// A message reaches a balancer now.
    fn deliver(&mut self, at: Micros, balancer: BalancerId, what: ToBalancer);

    /// Something has happened that balancers can't see, for the auditor.
    fn observe(&mut self, _at: Micros, _what: Observation<'_>) {}
}
