//! Which balancers hold a connection to which nodes, in virtual time: one for each pair, opened at need and closed
//! when unused. (On sockets every link is a connection of its own.) What stands from before the day is on none.

use crate::edge::{BalancerId, NodeId};
use shorewharf_units::Micros;

#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    users: u32,
    /// The handshake is over then; none while it is closed.
    up_at: Option<Micros>,
    /// It has come up.
    up: bool,
    /// Unused since then.
    idle: Micros,
}

/// All pairs.
#[derive(Debug)]
pub struct Pairs {
    nodes: usize,
    table: Vec<Pair>,
    idle_close: Micros,
    open: u32,
}

impl Pairs {
    /// All closed.
    pub fn new(balancers: usize, nodes: usize, idle_close: Micros) -> Self {
        Pairs { nodes, table: vec![Pair::default(); balancers * nodes], idle_close, open: 0 }
    }

    /// Connections open now.
    pub fn open(&self) -> u32 {
        self.open
    }

    fn pair(&mut self, b: BalancerId, n: NodeId) -> &mut Pair {
        &mut self.table[b.0 as usize * self.nodes + n.0 as usize]
    }

    /// One more link uses the pair's connection: when it is up, where a new one takes `handshake`.
    pub fn used(&mut self, now: Micros, b: BalancerId, n: NodeId, handshake: Micros) -> Micros {
        let idle_close = self.idle_close;
        let pair = self.pair(b, n);
        let closed = pair.users == 0 && now > pair.idle + idle_close;
        pair.users += 1;
        if closed {
            let was_up = std::mem::replace(&mut pair.up, false);
            pair.up_at = None;
            self.open -= u32::from(was_up);
        }
        self.pair(b, n).up_at.get_or_insert(now + handshake).to_owned().max(now)
    }

    /// The node has taken it; true if that is news.
    pub fn came_up(&mut self, b: BalancerId, n: NodeId) -> bool {
        let pair = self.pair(b, n);
        let news = pair.up_at.is_some() && !std::mem::replace(&mut pair.up, true);
        self.open += u32::from(news);
        news
    }

    /// One link less uses it.
    pub fn left(&mut self, now: Micros, b: BalancerId, n: NodeId) {
        let pair = self.pair(b, n);
        pair.users = pair.users.saturating_sub(1);
        pair.idle = now;
    }

    fn close(pair: &mut Pair, open: &mut u32) {
        pair.up_at = None;
        *open -= u32::from(std::mem::replace(&mut pair.up, false));
    }

    /// A side's process is gone, or the node refuses: a new connection is needed.
    pub fn broke(&mut self, b: Option<BalancerId>, n: Option<NodeId>) {
        let nodes = self.nodes;
        for (i, pair) in self.table.iter_mut().enumerate() {
            if b.is_none_or(|b| i / nodes == b.0 as usize) && n.is_none_or(|n| i % nodes == n.0 as usize) {
                Pairs::close(pair, &mut self.open);
            }
        }
    }

    /// Closes what has been unused for long enough.
    pub fn sweep(&mut self, now: Micros) {
        for pair in &mut self.table {
            if pair.users == 0 && now > pair.idle + self.idle_close {
                Pairs::close(pair, &mut self.open);
            }
        }
    }
}

#[cfg(test)]
mod tests;
