//! The shared connections between balancers and nodes in virtual time: one for each pair of a balancer and a
//! node, opened when it is needed and closed when it has been unused for some time. On sockets each link is a
//! connection of its own. Links that were established before the day use none.

use crate::edge::{BalancerId, NodeId};
use shorewharf_units::Micros;

#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    users: u32,
    /// When the connection's handshake is complete; `None` while the connection is closed.
    ready_at: Option<Micros>,
    /// Whether the node has accepted the connection.
    is_established: bool,
    /// The time from which the connection is unused.
    idle_since: Micros,
}

/// The connections of all pairs.
#[derive(Debug)]
pub struct Pairs {
    nodes: usize,
    table: Vec<Pair>,
    idle_close: Micros,
    open: u32,
}

impl Pairs {
    /// Creates the pairs with all connections closed. Connections are closed when unused for `idle_close`.
    pub fn new(balancers: usize, nodes: usize, idle_close: Micros) -> Self {
        Pairs { nodes, table: vec![Pair::default(); balancers * nodes], idle_close, open: 0 }
    }

    /// The number of established connections.
    pub fn open_count(&self) -> u32 {
        self.open
    }

    fn pair(&mut self, b: BalancerId, n: NodeId) -> &mut Pair {
        &mut self.table[b.0 as usize * self.nodes + n.0 as usize]
    }

    /// Adds a link to the pair's connection, and opens the connection if it is closed, which takes
    /// `handshake`. Returns when the connection is ready.
    pub fn acquire(&mut self, now: Micros, b: BalancerId, n: NodeId, handshake: Micros) -> Micros {
        let idle_close = self.idle_close;
        let pair = self.pair(b, n);
        let closed = pair.users == 0 && now > pair.idle_since + idle_close;
        pair.users += 1;
        if closed {
            let was_established = std::mem::replace(&mut pair.is_established, false);
            pair.ready_at = None;
            self.open -= u32::from(was_established);
        }
        self.pair(b, n).ready_at.get_or_insert(now + handshake).to_owned().max(now)
    }

    /// Records that the node has accepted the connection; returns whether it was not established before.
    pub fn on_established(&mut self, b: BalancerId, n: NodeId) -> bool {
        let pair = self.pair(b, n);
        let is_new = pair.ready_at.is_some() && !std::mem::replace(&mut pair.is_established, true);
        self.open += u32::from(is_new);
        is_new
    }

    /// Removes a link from the pair's connection.
    pub fn release(&mut self, now: Micros, b: BalancerId, n: NodeId) {
        let pair = self.pair(b, n);
        pair.users = pair.users.saturating_sub(1);
        pair.idle_since = now;
    }

    fn close(pair: &mut Pair, open: &mut u32) {
        pair.ready_at = None;
        *open -= u32::from(std::mem::replace(&mut pair.is_established, false));
    }

    /// Closes the connections of a balancer, of a node or of one pair, after a process has ended or the node
    /// has refused a link.
    pub fn disconnect(&mut self, b: Option<BalancerId>, n: Option<NodeId>) {
        let nodes = self.nodes;
        for (i, pair) in self.table.iter_mut().enumerate() {
            if b.is_none_or(|b| i / nodes == b.0 as usize) && n.is_none_or(|n| i % nodes == n.0 as usize) {
                Pairs::close(pair, &mut self.open);
            }
        }
    }

    /// Closes the connections that have been unused for long enough.
    pub fn close_idle(&mut self, now: Micros) {
        for pair in &mut self.table {
            if pair.users == 0 && now > pair.idle_since + self.idle_close {
                Pairs::close(pair, &mut self.open);
            }
        }
    }
}

#[cfg(test)]
mod tests;
