//! Which balancers hold a connection to which nodes, in virtual time: one for each pair, opened at need and closed
//! when unused. (On sockets every link is a connection of its own.)

use crate::Micros;
use crate::edge::{BalancerId, NodeId};

#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    users: u32,
    /// The handshake is over then; none while it is closed.
    up_at: Option<Micros>,
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
    /// Opened ones over time, in connections times microseconds, up to `at`.
    area: f64,
    at: Micros,
    /// Handshakes made.
    pub handshakes: u64,
}

impl Pairs {
    /// All closed.
    pub fn new(balancers: usize, nodes: usize, idle_close: Micros) -> Self {
        let table = vec![Pair::default(); balancers * nodes];
        Pairs { nodes, table, idle_close, open: 0, area: 0.0, at: 0, handshakes: 0 }
    }

    fn pair(&mut self, b: BalancerId, n: NodeId) -> &mut Pair {
        &mut self.table[b.0 as usize * self.nodes + n.0 as usize]
    }

    fn count(&mut self, now: Micros) {
        self.area += f64::from(self.open) * (now.saturating_sub(self.at)) as f64;
        self.at = self.at.max(now);
    }

    /// One more link uses the pair's connection: when it is up, where a new one takes `handshake`.
    pub fn used(&mut self, now: Micros, b: BalancerId, n: NodeId, handshake: Micros) -> Micros {
        let idle_close = self.idle_close;
        self.count(now);
        let pair = self.pair(b, n);
        let closed = pair.users == 0 && now > pair.idle + idle_close;
        pair.users += 1;
        match pair.up_at.filter(|_| !closed) {
            Some(up_at) => up_at.max(now),
            None => {
                let fresh = pair.up_at.replace(now + handshake).is_none();
                // What closed unnoticed was counted as open until now; the sweep keeps that short.
                self.open += u32::from(fresh);
                self.handshakes += 1;
                now + handshake
            }
        }
    }

    /// It stands from before the day, at no cost.
    pub fn stood(&mut self, now: Micros, b: BalancerId, n: NodeId) {
        self.count(now);
        let pair = self.pair(b, n);
        pair.users += 1;
        let fresh = pair.up_at.replace(now).is_none();
        self.open += u32::from(fresh);
    }

    /// One link less uses it.
    pub fn left(&mut self, now: Micros, b: BalancerId, n: NodeId) {
        let pair = self.pair(b, n);
        pair.users = pair.users.saturating_sub(1);
        if pair.users == 0 {
            pair.idle = now;
        }
    }

    /// One side's process is gone: a new connection is needed.
    pub fn broke(&mut self, now: Micros, b: Option<BalancerId>, n: Option<NodeId>) {
        self.count(now);
        let nodes = self.nodes;
        for (i, pair) in self.table.iter_mut().enumerate() {
            let hit = b.is_none_or(|b| i / nodes == b.0 as usize) && n.is_none_or(|n| i % nodes == n.0 as usize);
            if hit && pair.up_at.take().is_some() {
                self.open -= 1;
            }
        }
    }

    /// Closes what has been unused for long enough.
    pub fn sweep(&mut self, now: Micros) {
        self.count(now);
        for pair in &mut self.table {
            if pair.users == 0 && now > pair.idle + self.idle_close && pair.up_at.take().is_some() {
                self.open -= 1;
            }
        }
    }

    /// Connections open on average up to now.
    pub fn mean_open(&mut self, now: Micros) -> f64 {
        self.count(now);
        self.area / now.max(1) as f64
    }
}
