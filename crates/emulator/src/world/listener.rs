//! Who listens to a world: the driver that hands balancers what reaches them, and who watches.

use crate::audit::Observation;
use crate::edge::{BalancerId, ToBalancer};
use shorewharf_units::Micros;

/// Hears what a world says, in order of time.
pub trait WorldListener {
    /// This reaches a balancer now.
    fn deliver(&mut self, at: Micros, balancer: BalancerId, what: ToBalancer);

    /// A fact beyond the edge, for whoever judges.
    fn observe(&mut self, _at: Micros, _what: Observation<'_>) {}
}
