//! The account of a day: what was asked for, what was earned, what it cost, and the figure G that they make.
//!
//! What is asked for and what stands is kept as counts, never client by client: a change costs a few additions, and
//! a second of 100,000 standing connections costs one look at each node. Sums are taken up to each full second, so
//! that the worst ten seconds can be found, and nothing after the day's last whole step counts.

mod ledger;
mod outcome;

use crate::day::Day;
use crate::edge::NodeId;
use crate::population::Cell;
use ledger::Level;
pub use outcome::{Cost, Outcome, Part, Prices, Second, TenantSecond, WorstWindow};
use shorewharf_units::Micros;

const SECOND: Micros = 1_000_000;

/// Connections of one account on one node: what they earn together.
#[derive(Clone, Copy, Debug, Default)]
struct AccountOnNode {
    number: f64,
    /// Node's seconds of share at which they came, taken from those at which they went.
    carried: f64,
    /// What they had earned at the last full second.
    counted: f64,
}

/// Counts of what happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    clients: u64,
    attempts: u64,
    handshakes: u64,
    probes: u64,
    moves: u64,
}

/// The books of a day.
#[derive(Debug)]
pub struct Score {
    day: Day,
    cells: usize,
    /// Nothing counts from here on.
    end: Micros,
    /// Clients that want a connection, by account.
    wanting: Vec<Level>,
    /// By node and account.
    established: Vec<AccountOnNode>,
    /// Standing connections whose balancer and node are in different zones.
    crossing: Level,
    /// Open connections of pairs of balancer and node.
    open: Level,
    /// By second and account: seconds asked for, and earned.
    seconds: Vec<Vec<(f64, f64)>>,
    counts: Counts,
    /// By tenant, standing connections now, and the most in the second so far.
    held: Vec<(f64, f64)>,
    /// By second and tenant, the most that stood.
    held_most: Vec<Vec<f64>>,
    /// The next time at which sums are taken.
    due: Micros,
}

impl Score {
    /// Empty books.
    pub fn new(day: &Day) -> Score {
        let cells = day.classes.len().max(1) * day.tenants.len().max(1) * 2;
        // Nodes' shares are known by whole steps; what is asked for after the last one could not be earned.
        let end = day.length - day.length % crate::node::STEP;
        Score {
            cells,
            end,
            wanting: vec![Level::default(); cells],
            established: vec![AccountOnNode::default(); cells * day.nodes.len()],
            crossing: Level::default(),
            open: Level::default(),
            seconds: Vec::new(),
            counts: Counts::default(),
            held: vec![(0.0, 0.0); day.tenants.len().max(1)],
            held_most: Vec::new(),
            due: SECOND.min(end),
            day: day.clone(),
        }
    }

    fn counts_now(&self, now: Micros) -> bool {
        now < self.end
    }

    /// A client wants a connection from now on; `first` if it is a new client.
    pub fn on_service_wanted(&mut self, now: Micros, cell: Cell, first: bool) {
        self.counts.clients += u64::from(first && self.counts_now(now));
        self.wanting[cell.0 as usize].add(now.min(self.end), 1.0);
    }

    /// A client wants none any more.
    pub fn on_service_no_longer_wanted(&mut self, now: Micros, cell: Cell) {
        self.wanting[cell.0 as usize].add(now.min(self.end), -1.0);
    }

    /// A connection stands from now on. `served`: the seconds that the node has served well so far, for its class.
    pub fn on_established(&mut self, now: Micros, cell: Cell, node: NodeId, crosses: bool, served: f64) {
        self.changes(now, cell, node, crosses, served, 1.0);
    }

    /// A connection stands no more.
    pub fn on_connection_ended(&mut self, now: Micros, cell: Cell, node: NodeId, crosses: bool, served: f64) {
        self.changes(now, cell, node, crosses, served, -1.0);
    }

    fn changes(&mut self, now: Micros, cell: Cell, node: NodeId, crosses: bool, served: f64, by: f64) {
        if !self.counts_now(now) {
            return;
        }
        let s = &mut self.established[node.0 as usize * self.cells + cell.0 as usize];
        s.number += by;
        s.carried -= by * served;
        let (_, tenant, _) = cell.parts(self.day.tenants.len());
        if let Some((number, most)) = self.held.get_mut(tenant as usize) {
            *number += by;
            *most = most.max(*number);
        }
        if crosses {
            self.crossing.add(now, by);
        }
    }

    /// When sums are to be taken next: each full second, and the end of the day.
    pub fn next_due(&self) -> Option<Micros> {
        (self.due <= self.end).then_some(self.due)
    }

    /// Takes the sums up to now, which is [`Self::next_due`]. `served` tells the seconds that a node has served well
    /// so far, by class.
    pub fn tick(&mut self, now: Micros, served: &mut dyn FnMut(NodeId, u32) -> f64) {
        if self.next_due().is_none_or(|due| now < due) {
            return;
        }
        let now = now.min(self.end);
        let mut row: Vec<(f64, f64)> = self.wanting.iter_mut().map(|w| (w.take(now), 0.0)).collect();
        let tenants = self.day.tenants.len();
        for (i, s) in self.established.iter_mut().enumerate() {
            let (node, cell) = (i / self.cells, i % self.cells);
            if s.number == 0.0 && s.carried == s.counted {
                continue;
            }
            let (class, ..) = Cell(cell as u32).parts(tenants);
            let so_far = s.carried + s.number * served(NodeId(node as u32), class);
            row[cell].1 += so_far - s.counted;
            s.counted = so_far;
        }
        self.seconds.push(row);
        self.held_most.push(self.held.iter().map(|h| h.1).collect());
        self.held.iter_mut().for_each(|h| h.1 = h.0);
        self.crossing.run_to(now);
        self.open.run_to(now);
        self.due = if now == self.end { Micros::MAX } else { (now / SECOND * SECOND + SECOND).min(self.end) };
    }

    /// A balancer makes an attempt at a node.
    pub fn on_attempt(&mut self, now: Micros) {
        self.counts.attempts += u64::from(self.counts_now(now));
    }

    /// A connection of a pair of balancer and node has come up.
    pub fn on_handshake(&mut self, now: Micros) {
        self.counts.handshakes += u64::from(self.counts_now(now));
    }

    /// So many pairs of balancer and node have an open connection from now on.
    pub fn set_open_pairs(&mut self, now: Micros, open: u32) {
        self.open.set(now.min(self.end), f64::from(open));
    }

    /// A balancer sends a probe.
    pub fn on_probe(&mut self, now: Micros) {
        self.counts.probes += u64::from(self.counts_now(now));
    }

    /// A balancer has moved a standing connection.
    pub fn on_migration(&mut self, now: Micros) {
        self.counts.moves += u64::from(self.counts_now(now));
    }

    /// The result, once the last sums are taken.
    pub fn finish(&self) -> Outcome {
        outcome::outcome(self)
    }
}

#[cfg(test)]
mod tests;
