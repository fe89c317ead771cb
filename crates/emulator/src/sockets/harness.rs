//! The interface between the driver and the source of its commands: the world, or the script of a test.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use crate::edge::{BalancerId, ConnId, FromBalancer, LinkId, NodeId, Reachability, RequestLine, ToBalancer};

/// Commands and events for balancers, in order.
pub type Commands = Vec<(BalancerId, ToBalancer)>;

/// Observations of balancers, in order.
pub type Observations = Vec<(BalancerId, BalancerObservation)>;

/// An observation that the driver makes on its sockets and processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BalancerObservation {
    /// An action of a balancer.
    Action(FromBalancer),
    /// An event of a connection that can only be observed on sockets.
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

/// An event of a connection that can only be observed on sockets; the world does not model it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionObservation {
    /// A client's first line has been written completely on an established connection to the balancer. The duration is
    /// the client's remaining timeout.
    RequestSent(RequestLine, Micros),
    /// A client has sent a line on an established connection.
    LineSent(ConnId),
    /// The line has arrived at the node.
    LineAtNode(ConnId),
    /// The node has returned the line on this link.
    LineReturned(LinkId),
    /// The returned line, or a load report of the node, has arrived at the client.
    LineAtClient(ConnId),
    /// A client has received a line that its node has not sent.
    Changed(ConnId),
    /// A client has received a line that ends in `MOVE` but has other bytes before it.
    MoveInLine(ConnId),
    /// A misbehaving client's request has been accepted.
    MisbehavingClientServed(ConnId),
}

/// The status of a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerStatus {
    /// Whether its process runs.
    pub runs: bool,
    /// Whether it has answered a `PING`.
    pub ready: bool,
    /// The number of its established client connections.
    pub clients: usize,
}

/// Decides what happens on the platform; times are on the day's clock.
///
/// The driver advances the harness, reports the balancers' actions to it, and carries out its commands as lines and
/// signals. Reports about a connection or link may still arrive after one side has ended it.
pub trait Harness {
    /// The time of the next due event.
    fn next_due(&self) -> Option<Micros>;

    /// Processes all events that are due by `now`.
    fn advance(&mut self, now: Micros, commands: &mut Commands);

    /// Handles an action of a balancer.
    fn on_balancer_action(
        &mut self,
        now: Micros,
        who: BalancerId,
        what: FromBalancer,
        commands: &mut Commands,
    );

    /// Handles the reset of a link by a network fault.
    fn on_link_reset(&mut self, _now: Micros, _who: BalancerId, _link: LinkId, _commands: &mut Commands) {}

    /// How a node's machine responds to connections now.
    fn reachability(&self, node: NodeId) -> Reachability;

    /// The connections that are established before the day begins; each request names its previous server.
    fn connections_at_start(&mut self) -> Vec<(BalancerId, RequestLine)> {
        Vec::new()
    }

    /// Reports which of them have been restored, each on a link to its previous server; all others have been closed.
    fn on_connections_restored(&mut self, _established: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>) {}

    /// Reports that a command has been executed for a balancer.
    fn on_command_executed(&mut self, _now: Micros, _who: BalancerId, _what: &ToBalancer) {}

    /// Handles an event of a connection that can only be observed on sockets.
    fn on_observation(&mut self, _now: Micros, _who: BalancerId, _observation: ConnectionObservation) {}

    /// Handles the balancers' status once a second of the day.
    fn on_status_sample(&mut self, _now: Micros, _balancers: &[BalancerStatus]) {}

    /// Whether the run is complete.
    fn is_over(&self, now: Micros) -> bool;
}
