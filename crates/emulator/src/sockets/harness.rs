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
    Action(FromBalancer),
    /// Something that only sockets show.
    Connection(ConnectionObservation),
}

impl From<FromBalancer> for BalancerObservation {
    fn from(what: FromBalancer) -> Self {
        BalancerObservation::Action(what)
    }
}

impl From<ConnectionObservation> for BalancerObservation {
    fn from(what: ConnectionObservation) -> Self {
        BalancerObservation::Connection(what)
    }
}

/// What only sockets show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionObservation {
    /// A client's first line has been written to its last byte, on a connection that the balancer's machine took;
    /// so much of its patience is left.
    RequestSent(RequestLine, Micros),
    /// A client has written a line on a standing connection.
    LineSent(ConnId),
    /// It has come out at its node.
    LineAtNode(ConnId),
    /// The node has returned it on this link.
    LineReturned(LinkId),
    /// It has come out at its client.
    LineAtClient(ConnId),
    /// A client has read a line that its node has not written.
    Changed(ConnId),
    /// A client has read `MOVE` after a part of a line.
    MoveInLine(ConnId),
    /// A bad client has been served.
    MisbehavingClientServed(ConnId),
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
    fn advance(&mut self, now: Micros, commands: &mut Commands);

    /// A balancer does something.
    fn on_balancer_action(
        &mut self,
        now: Micros,
        who: BalancerId,
        what: FromBalancer,
        commands: &mut Commands,
    );

    /// A link has been reset by what lies between, which neither side has done.
    fn on_link_reset(&mut self, _now: Micros, _who: BalancerId, _link: LinkId, _said: &mut Commands) {}

    /// How a node's machine meets connections now.
    fn reachability(&self, node: NodeId) -> Reachability;

    /// Connections that stand before the day begins, each at its home.
    fn connections_at_start(&mut self) -> Vec<(BalancerId, RequestLine)> {
        Vec::new()
    }

    /// Those of them that are up, each on a link to its home; all others have been closed.
    fn on_connections_restored(&mut self, _up: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>) {}

    /// This has been carried to a balancer.
    fn on_command_executed(&mut self, _now: Micros, _who: BalancerId, _what: &ToBalancer) {}

    /// What only sockets show.
    fn on_observation(&mut self, _now: Micros, _who: BalancerId, _observation: ConnectionObservation) {}

    /// A second of the day has passed.
    fn on_status_sample(&mut self, _now: Micros, _balancers: &[BalancerStatus]) {}

    /// Whether all has been played to its end.
    fn is_over(&self, now: Micros) -> bool;
}
