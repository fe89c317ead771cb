//! Clients' connections to balancers, in order of their numbers.

use crate::edge::{BalancerId, ConnId, LinkId, NodeId, RequestLine};
use crate::population::{Cell, LoadProfile};
use shorewharf_units::Micros;

/// How far a connection has come, seen from its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for its answer.
    Waiting,
    /// It stands.
    Standing,
    /// Its client has its last word, or has left.
    Over,
}

/// A client's connection.
#[derive(Clone, Copy, Debug)]
pub struct Conn {
    /// What it asked for.
    pub ask: RequestLine,
    /// Its client's account.
    pub cell: Cell,
    /// What it will load its node with.
    pub profile: LoadProfile,
    /// Its balancer.
    pub balancer: BalancerId,
    /// It has reached its balancer.
    pub come: bool,
    /// How far it has come.
    pub stage: Stage,
    /// The balancer has said its last word, or has got its client's.
    pub done: bool,
    /// The link that the balancer made for it last.
    pub link: Option<LinkId>,
    /// The node that it stands on, and whether that crosses zones, while it is counted as standing.
    pub stands: Option<(NodeId, bool)>,
    /// When its client sent its line.
    pub sent: Micros,
    /// Lines that balancer and client sent last arrive then: none overtakes another.
    pub last_at_balancer: Micros,
    /// As above, at the client.
    pub last_at_client: Micros,
}

/// All connections; those that are over at the front are forgotten.
#[derive(Debug, Default)]
pub struct Conns {
    first: u64,
    table: std::collections::VecDeque<Conn>,
}

impl Conns {
    /// Takes in the next one. Numbers are dense and rising; false if this one is not the next.
    pub fn add(&mut self, conn: Conn) -> bool {
        let next = conn.ask.conn.0 == self.first + self.table.len() as u64;
        if next {
            self.table.push_back(conn);
        }
        next
    }

    /// The connection, unless it is long over.
    pub fn get(&self, id: ConnId) -> Option<&Conn> {
        self.table.get(id.0.checked_sub(self.first)? as usize)
    }

    /// As above.
    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut Conn> {
        self.table.get_mut(id.0.checked_sub(self.first)? as usize)
    }

    /// Forgets those at the front that neither side has a word for.
    pub fn tidy(&mut self) {
        while self.table.front().is_some_and(|c| c.stage == Stage::Over && c.done) {
            self.table.pop_front();
            self.first += 1;
        }
    }

    /// All that are held.
    pub fn iter(&self) -> impl Iterator<Item = &Conn> {
        self.table.iter()
    }
}
