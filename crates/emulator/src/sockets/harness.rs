//! What the driver plays: the world, or a script.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use crate::edge::{BalancerId, ConnId, FromBalancer, LinkId, NodeId, Reachability, RequestLine, ToBalancer};

/// What reaches balancers, in order.
pub type Commands = Vec<(BalancerId, ToBalancer)>;

/// What has been seen of balancers, in order.
pub type Observations = Vec<(BalancerId, BalancerObservation)>;

/// What the driver hears on its sockets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BalancerObservation {
    /// A balancer has done this.
    Observations(FromBalancer),
    /// Something that only sockets show.
    Saw(ConnectionObservation),
}

impl From<FromBalancer> for BalancerObservation {
    fn from(what: FromBalancer) -> Self {
        BalancerObservation::Observations(what)
    }
}

impl From<ConnectionObservation> for BalancerObservation {
    fn from(what: ConnectionObservation) -> Self {
        BalancerObservation::Saw(what)
    }
}

/// What only sockets show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionObservation {
    /// A client's first line has been written to its last byte, on a connection that the balancer's machine took;
    /// so much of its patience is left.
    Asked(RequestLine, Micros),
    /// A client has written a line on a standing connection.
    Wrote(ConnId),
    /// It has come out at its node.
    AtNode(ConnId),
    /// The node has returned it on this link.
    Returned(LinkId),
    /// It has come out at its client.
    AtClient(ConnId),
    /// A client has read a line that its node has not written.
    Changed(ConnId),
    /// A client has read `MOVE` after a part of a line.
    MoveInLine(ConnId),
    /// A bad client has been served.
    BadServed(ConnId),
}

/// A balancer at a glance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerStatus {
    /// Its process runs.
    pub runs: bool,
    /// It has answered that it is ready.
    pub ready: bool,
    /// Clients that stand at it.
    pub clients: usize,
}

/// What happens on the platform, on the day's clock.
///
/// The driver asks for what is due, tells what balancers do, and turns what reaches them into lines and signals.
/// About a connection or link that has ended on one side, something may still be told that crossed its end.
pub trait Harness {
    /// When something is due next.
    fn next_due(&self) -> Option<Micros>;

    /// Lets everything happen that is due by now.
    fn advance(&mut self, now: Micros, said: &mut Commands);

    /// A balancer does something.
    fn did(&mut self, now: Micros, who: BalancerId, what: FromBalancer, said: &mut Commands);

    /// A link has been reset by what lies between, which neither side has done.
    fn broke(&mut self, _now: Micros, _who: BalancerId, _link: LinkId, _said: &mut Commands) {}

    /// How a node's machine meets connections now.
    fn reach(&self, node: NodeId) -> Reachability;

    /// Connections that stand before the day begins, each at its home.
    fn standing(&mut self) -> Vec<(BalancerId, RequestLine)> {
        Vec::new()
    }

    /// Those of them that are up, each on a link to its home; all others have been closed.
    fn carried(&mut self, _up: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>) {}

    /// This has been carried to a balancer.
    fn carried_out(&mut self, _now: Micros, _who: BalancerId, _what: &ToBalancer) {}

    /// What only sockets show.
    fn saw(&mut self, _now: Micros, _who: BalancerId, _sight: ConnectionObservation) {}

    /// A second of the day has passed.
    fn second(&mut self, _now: Micros, _balancers: &[BalancerStatus]) {}

    /// Whether all has been played to its end.
    fn is_over(&self, now: Micros) -> bool;
}
