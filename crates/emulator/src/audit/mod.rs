//! The auditor: it sees only what went over the connections and what the other parties know, and judges the rules.
//!
//! It takes its facts from whoever plays the world, in virtual time or on sockets, as [`Observation`], with the time as an
//! argument. It does no I/O, reads no clock and draws nothing, so the same history gets the same verdict. What is
//! kept of a connection is a small record and a dozen steps, and it is let go of soon after the connection's end.

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

/// How a node's process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It begins now, cold, and answers.
    Started,
    /// It answers again after it was silent or cut off.
    Answers,
    /// It runs and can be reached, and says nothing.
    Silent,
    /// Its machine is cut off from the network.
    CutOff,
    /// It does not run.
    Down,
}

impl Health {
    fn text(self) -> &'static str {
        match self {
            Health::Started => "starts",
            Health::Answers => "answers again",
            Health::Silent => "falls silent",
            Health::CutOff => "is cut off",
            Health::Down => "is down",
        }
    }
}

/// Which way a line goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to its node.
    ToNode,
    /// From the node to its client.
    ToClient,
}

/// What a client read that nobody should have written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// `MOVE` after a part of a line.
    MoveInLine,
    /// A line other than its node wrote it.
    Changed,
}

/// A fact, as it is seen from outside the balancers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation<'a> {
    /// This reaches a balancer (on sockets: it has been written to it).
    To(BalancerId, &'a ToBalancer),
    /// A balancer does this (on sockets: it has been read from it).
    From(BalancerId, &'a FromBalancer),
    /// Discovery's own list shows this from now on.
    Listed(Listed),
    /// A node's process begins to do so.
    Node(NodeId, Health),
    /// An attempt's first line has come at its node, which may refuse it.
    Reached {
        /// Who sent it.
        by: BalancerId,
        /// On which link.
        link: LinkId,
        /// The node.
        node: NodeId,
        /// What it asks of the node, in a unit of the node's.
        weight: f64,
        /// What the node can do now, in that unit a second, while it is cold.
        cold: Option<f64>,
    },
    /// It stands when the run begins, and nothing was told of it before.
    Stands {
        /// At this balancer.
        by: BalancerId,
        /// The client's connection.
        conn: ConnId,
        /// The link that carries it.
        link: LinkId,
        /// To this node.
        node: NodeId,
    },
    /// Sockets: a connection that stood before the run has not come up again in its time.
    Missed(BalancerId, ConnId),
    /// Sockets: the first line of an attempt has been read to its end. May be left out where the first byte came with
    /// the last one: [`FromBalancer::Link`] tells the rest.
    Sent {
        /// Who sent it.
        by: BalancerId,
        /// The new link.
        link: LinkId,
        /// To whom.
        node: NodeId,
        /// The id in the line.
        conn: ConnId,
        /// When its first byte came.
        first: Micros,
    },
    /// Sockets: a line of a standing connection has come out at its other end.
    Passed(ConnId, Direction),
    /// Sockets: a client has read what nobody should have written.
    Garbled(ConnId, Corruption),
    /// Sockets: a bad client's connection, on which only being served is a break.
    Bad(BalancerId, ConnId),
}
