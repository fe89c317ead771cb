//! What the driver plays: the world, or a script.

use std::collections::BTreeMap;

use super::nodes::Reach;
use crate::Micros;
use crate::edge::{Ask, BalancerId, ConnId, FromBalancer, LinkId, NodeId, ToBalancer};

/// What reaches balancers, in order.
pub type Said = Vec<(BalancerId, ToBalancer)>;

/// What balancers have done, in order.
pub type Did = Vec<(BalancerId, FromBalancer)>;

/// What only sockets show, told as it is seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sight {
    /// An attempt's first line has been read at the node to its last byte; the first byte came then.
    Sent {
        /// The link.
        link: LinkId,
        /// The node.
        node: NodeId,
        /// The connection that the line names.
        conn: ConnId,
        /// When its first byte came.
        first: Micros,
    },
    /// A client's line has come out at its node.
    ToNode(ConnId),
    /// A node's line has come out at its client.
    ToClient(ConnId),
    /// A line has come out changed, or one that nobody sent.
    Garbled(ConnId),
    /// SIGHUP has gone to the program.
    Reloaded,
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

    /// How a node's machine meets connections now.
    fn reach(&self, node: NodeId) -> Reach;

    /// Connections that stand before the day begins, each at its home.
    fn standing(&mut self) -> Vec<(BalancerId, Ask)> {
        Vec::new()
    }

    /// Those of them that are up, each with the link and node that its balancer chose.
    fn carried(&mut self, _up: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>) {}

    /// What only sockets show.
    fn saw(&mut self, _now: Micros, _who: BalancerId, _sight: Sight) {}

    /// Whether all has been played to its end.
    fn is_over(&self, now: Micros) -> bool;
}
