//! The connections of clients to balancers, in order of their ids.

use crate::edge::{BalancerId, ConnId, LinkId, NodeId, RequestLine};
use crate::population::{Cell, LoadProfile};
use shorewharf_units::Micros;

/// The state of a connection as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The client waits for an answer.
    Waiting,
    /// The connection is established.
    Established,
    /// The client has received its final answer, or has left.
    Ended,
}

/// A client's connection.
#[derive(Clone, Copy, Debug)]
pub struct Conn {
    /// The request in its first line.
    pub request: RequestLine,
    /// The account of its client in the score.
    pub cell: Cell,
    /// The load that it will put on its node.
    pub profile: LoadProfile,
    /// Its balancer.
    pub balancer: BalancerId,
    /// Whether its first line has arrived at the balancer.
    pub has_arrived: bool,
    /// Its state as seen by the client.
    pub stage: Stage,
    /// Whether the balancer has sent its final answer, or has received the client's end.
    pub is_done_at_balancer: bool,
    /// The link that the balancer opened for it last.
    pub link: Option<LinkId>,
    /// While its service counts: its node, and whether node and balancer are in different zones.
    pub established_on: Option<(NodeId, bool)>,
    /// When the client sent its first line.
    pub sent_at: Micros,
    /// When the message that was sent last to the balancer arrives there. Later messages don't arrive
    /// earlier.
    pub last_at_balancer: Micros,
    /// When the message that was sent last to the client arrives there. Later messages don't arrive earlier.
    pub last_at_client: Micros,
}

/// All connections, except for those at the front of the order that have finished.
#[derive(Debug, Default)]
pub struct Conns {
    first: u64,
    table: std::collections::VecDeque<Conn>,
}

impl Conns {
    /// Adds a connection. Ids are consecutive; returns false, and adds nothing, if the id is not the next
    /// one.
    pub fn add(&mut self, conn: Conn) -> bool {
        let next = conn.request.conn.0 == self.first + self.table.len() as u64;
        if next {
            self.table.push_back(conn);
        }
        next
    }

    /// Returns the connection, unless it was removed.
    pub fn get(&self, id: ConnId) -> Option<&Conn> {
        self.table.get(id.0.checked_sub(self.first)? as usize)
    }

    /// Returns the connection for changes, unless it was removed.
    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut Conn> {
        self.table.get_mut(id.0.checked_sub(self.first)? as usize)
    }

    /// Removes the connections at the front of the order that have ended for both the client and the
    /// balancer.
    pub fn remove_finished(&mut self) {
        while self.table.front().is_some_and(|c| c.stage == Stage::Ended && c.is_done_at_balancer) {
            self.table.pop_front();
            self.first += 1;
        }
    }

    /// Iterates over the connections that were not removed.
    pub fn iter(&self) -> impl Iterator<Item = &Conn> {
        self.table.iter()
    }
}
