//! What the driver plays: the world, or a script.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use crate::edge::{Ask, BalancerId, ConnId, FromBalancer, LinkId, NodeId, Reach, ToBalancer};

/// What reaches balancers, in order.
pub type Said = Vec<(BalancerId, ToBalancer)>;

/// What has been seen of balancers, in order.
pub type Did = Vec<(BalancerId, Heard)>;

/// What the driver hears on its sockets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Heard {
    /// A balancer has done this.
    Did(FromBalancer),
    /// Something that only sockets show.
    Saw(Sight),
}

impl From<FromBalancer> for Heard {
    fn from(what: FromBalancer) -> Self {
        Heard::Did(what)
    }
}

impl From<Sight> for Heard {
    fn from(what: Sight) -> Self {
        Heard::Saw(what)
    }
}

/// What only sockets show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sight {
    /// A client's first line has been written to its last byte, on a connection that the balancer's machine took;
    /// so much of its patience is left.
    Asked(Ask, Micros),
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
pub struct Post {
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
pub trait Stage {
    /// When something is due next.
    fn next_due(&self) -> Option<Micros>;

    /// Lets everything happen that is due by now.
    fn advance(&mut self, now: Micros, said: &mut Said);

    /// A balancer does something.
    fn did(&mut self, now: Micros, who: BalancerId, what: FromBalancer, said: &mut Said);

    /// A link has been reset by what lies between, which neither side has done.
    fn broke(&mut self, _now: Micros, _who: BalancerId, _link: LinkId, _said: &mut Said) {}

    /// How a node's machine meets connections now.
    fn reach(&self, node: NodeId) -> Reach;

    /// Connections that stand before the day begins, each at its home.
    fn standing(&mut self) -> Vec<(BalancerId, Ask)> {
        Vec::new()
    }

    /// Those of them that are up, each on a link to its home; all others have been closed.
    fn carried(&mut self, _up: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>) {}

    /// This has been carried to a balancer.
    fn carried_out(&mut self, _now: Micros, _who: BalancerId, _what: &ToBalancer) {}

    /// What only sockets show.
    fn saw(&mut self, _now: Micros, _who: BalancerId, _sight: Sight) {}

    /// A second of the day has passed.
    fn second(&mut self, _now: Micros, _balancers: &[Post]) {}

    /// Whether all has been played to its end.
    fn is_over(&self, now: Micros) -> bool;
}
