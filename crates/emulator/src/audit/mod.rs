//! The auditor: checks the rules against the traffic on the connections and the state known to the other parties. It
//! knows nothing of a balancer's internals.
//!
//! The driver of the run, in virtual time or on sockets, reports each event as an [`Observation`], with the time as an
//! argument. The auditor does no I/O, reads no clock and uses no randomness, so the same history gives the same
//! verdict. For each connection it keeps a small record and a trace of a dozen events, and drops both soon after the
//! connection has ended.

mod auditor;
mod established;
mod lists;
mod nodes;
mod request;
mod table;
#[cfg(test)]
mod tests;
mod tolerances;
mod trace;
mod verdict;

pub use auditor::Auditor;
pub use tolerances::AuditTolerances;
pub use trace::TraceEntry;
pub use verdict::{Counts, Exemption, Reason, Rule, RuleViolation, Verdict};

use crate::edge::{BalancerId, ConnId, FromBalancer, LinkId, Listed, NodeId, ToBalancer};
use shorewharf_units::Micros;

/// The health of a node, as the emulator knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Its process has just started, is cold and answers.
    Started,
    /// It answers again after it was silent or cut off.
    Recovered,
    /// Its process runs and can be reached, but sends nothing.
    Silent,
    /// Its machine is cut off from the network.
    CutOff,
    /// Its process does not run.
    Down,
}

impl Health {
    fn text(self) -> &'static str {
        match self {
            Health::Started => "has started",
            Health::Recovered => "answers again",
            Health::Silent => "is silent",
            Health::CutOff => "is cut off",
            Health::Down => "is down",
        }
    }
}

/// The direction of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to its node.
    ToNode,
    /// From the node to its client.
    ToClient,
}

/// Corrupted data that a client has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// `MOVE` after an incomplete line.
    MoveInLine,
    /// A line that differs from what its node sent.
    Changed,
}

/// An event that can be observed from outside the balancers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation<'a> {
    /// A message or event reaches a balancer (on sockets: it has been written to the balancer).
    Input(BalancerId, &'a ToBalancer),
    /// A balancer takes an action (on sockets: its output has been read).
    Output(BalancerId, &'a FromBalancer),
    /// The discovery service's own list shows this state of a node from now on.
    Listed(Listed),
    /// The health of a node changes.
    NodeHealth(NodeId, Health),
    /// The first line of an attempt has arrived at its node, which may reject it.
    AttemptArrived {
        /// The balancer that sent it.
        balancer: BalancerId,
        /// The link that it came on.
        link: LinkId,
        /// The node that it arrived at.
        node: NodeId,
        /// The work that it costs the node, in a unit of the node's own.
        weight: f64,
        /// The work that the node can do per second, in the same unit, while it is cold; none if it is warm.
        cold: Option<f64>,
    },
    /// A connection was established before the run began; no earlier event of it was observed.
    AlreadyEstablished {
        /// The balancer that the client is connected to.
        balancer: BalancerId,
        /// The client's connection.
        conn: ConnId,
        /// The link that carries it.
        link: LinkId,
        /// The node at the other end of the link.
        node: NodeId,
    },
    /// On sockets: a connection from before the run was not established again in time.
    NotReestablished(BalancerId, ConnId),
    /// On sockets: the first line of an attempt has been read completely. This observation may be omitted if the line's
    /// first and last bytes were read together, because [`FromBalancer::Link`] then has the same information.
    AttemptSent {
        /// The balancer that sent it.
        balancer: BalancerId,
        /// The new link.
        link: LinkId,
        /// The node that it was sent to.
        node: NodeId,
        /// The connection id in the line.
        conn: ConnId,
        /// When the first byte of the line was read.
        first: Micros,
    },
    /// On sockets: a line of an established connection has been delivered to the other end.
    LineDelivered(ConnId, Direction),
    /// On sockets: a client has read corrupted data.
    Corrupted(ConnId, Corruption),
    /// On sockets: a misbehaving client has connected. The only violation on its connection is that it is served.
    MisbehavingClient(BalancerId, ConnId),
}
