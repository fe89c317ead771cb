//! The score of a day: the service that clients asked for, the service that they got, the costs, and the figure G that
//! combines them.
//!
//! Requested and established connections are kept as counts and not by client, so a change costs a few additions, and a
//! second with 100,000 established connections costs one step for each node and cell. Sums are taken at each full
//! second, so that the worst ten seconds can be found. Nothing after the day's last whole step counts.

mod outcome;
mod time_integral;

use crate::day::Day;
use crate::edge::NodeId;
use crate::population::Cell;
pub use outcome::{Cost, Outcome, Part, Prices, Second, TenantSecond, WorstWindow};
use shorewharf_units::Micros;
use time_integral::TimeIntegral;

const SECOND: Micros = 1_000_000;

/// The established connections of one cell on one node, and the service that they have got together.
///
/// A node's served seconds are the seconds for which a connection of a class would have been served well, had it been
/// established all the time. A connection has earned the served seconds at its end less those at its start.
#[derive(Clone, Copy, Debug, Default)]
struct CellOnNode {
    /// Number of connections that are established now.
    count: f64,
    /// Sum of the node's served seconds at the ends of connections, less the sum of those at their starts.
    ended_minus_started: f64,
    /// Seconds earned up to the last full second.
    counted: f64,
}

/// Counts of events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    clients: u64,
    attempts: u64,
    handshakes: u64,
    probes: u64,
    moves: u64,
}

/// Collects the events of a day that its score is computed from.
#[derive(Debug)]
pub struct Score {
    day: Day,
    /// Number of cells. A cell is a class, a tenant, and whether service is within the share of that tenant.
    cells: usize,
    /// Nothing counts from this time on.
    end: Micros,
    /// By cell, the number of clients that want a connection.
    wanted: Vec<TimeIntegral>,
    /// The established connections of each node in each cell.
    established: Vec<CellOnNode>,
    /// Established connections whose balancer and node are in different zones.
    cross_zone: TimeIntegral,
    /// Pairs of balancer and node that have an open connection.
    open_pairs: TimeIntegral,
    /// By second and cell: seconds of service asked for, and earned.
    seconds: Vec<Vec<(f64, f64)>>,
    counts: Counts,
    /// By tenant, the number of established connections now, and its maximum in the current second.
    by_tenant: Vec<(f64, f64)>,
    /// By second and tenant, the largest number of established connections.
    peak_by_tenant: Vec<Vec<f64>>,
    /// When sums are taken next.
    due: Micros,
}

impl Score {
    /// An empty score.
    pub fn new(day: &Day) -> Score {
        let cells = day.classes.len().max(1) * day.tenants.len().max(1) * 2;
        // Nodes compute their service in whole steps, so service after the last one could not be earned.
        let end = day.length - day.length % crate::node::STEP;
        Score {
            cells,
            end,
            wanted: vec![TimeIntegral::default(); cells],
            established: vec![CellOnNode::default(); cells * day.nodes.len()],
            cross_zone: TimeIntegral::default(),
            open_pairs: TimeIntegral::default(),
            seconds: Vec::new(),
            counts: Counts::default(),
            by_tenant: vec![(0.0, 0.0); day.tenants.len().max(1)],
            peak_by_tenant: Vec::new(),
            due: SECOND.min(end),
            day: day.clone(),
        }
    }

    fn counts_now(&self, now: Micros) -> bool {
        now < self.end
    }

    /// A client wants a connection from now on; `first` says that it is a new client.
    pub fn on_service_wanted(&mut self, now: Micros, cell: Cell, first: bool) {
        self.counts.clients += u64::from(first && self.counts_now(now));
        self.wanted[cell.0 as usize].add(now.min(self.end), 1.0);
    }

    /// A client no longer wants a connection.
    pub fn on_service_no_longer_wanted(&mut self, now: Micros, cell: Cell) {
        self.wanted[cell.0 as usize].add(now.min(self.end), -1.0);
    }

    /// A connection is established. `served` is the node's served seconds so far for the connection's class.
    pub fn on_established(
        &mut self,
        now: Micros,
        cell: Cell,
        node: NodeId,
        is_cross_zone: bool,
        served: f64,
    ) {
        self.change_established(now, cell, node, is_cross_zone, served, 1.0);
    }

    /// An established connection has ended. `served` is as for [`Score::on_established`].
    pub fn on_connection_ended(
        &mut self,
        now: Micros,
        cell: Cell,
        node: NodeId,
        is_cross_zone: bool,
        served: f64,
    ) {
        self.change_established(now, cell, node, is_cross_zone, served, -1.0);
    }

    fn change_established(
        &mut self,
        now: Micros,
        cell: Cell,
        node: NodeId,
        is_cross_zone: bool,
        served: f64,
        delta: f64,
    ) {
        if !self.counts_now(now) {
            return;
        }
        let s = &mut self.established[node.0 as usize * self.cells + cell.0 as usize];
        s.count += delta;
        s.ended_minus_started -= delta * served;
        let (_, tenant, _) = cell.parts(self.day.tenants.len());
        if let Some((number, peak)) = self.by_tenant.get_mut(tenant as usize) {
            *number += delta;
            *peak = peak.max(*number);
        }
        if is_cross_zone {
            self.cross_zone.add(now, delta);
        }
    }

    /// When [`Score::tick`] is due next: at each full second, and at the end of the day.
    pub fn next_due(&self) -> Option<Micros> {
        (self.due <= self.end).then_some(self.due)
    }

    /// Takes the sums up to `now`, if [`Score::next_due`] has come. `served` returns the served seconds so far of a
    /// node for a class.
    pub fn tick(&mut self, now: Micros, served: &mut dyn FnMut(NodeId, u32) -> f64) {
        if self.next_due().is_none_or(|due| now < due) {
            return;
        }
        let now = now.min(self.end);
        let mut row: Vec<(f64, f64)> = self.wanted.iter_mut().map(|w| (w.take(now), 0.0)).collect();
        let tenants = self.day.tenants.len();
        for (i, s) in self.established.iter_mut().enumerate() {
            let (node, cell) = (i / self.cells, i % self.cells);
            if s.count == 0.0 && s.ended_minus_started == s.counted {
                continue;
            }
            let (class, ..) = Cell(cell as u32).parts(tenants);
            let earned = s.ended_minus_started + s.count * served(NodeId(node as u32), class);
            row[cell].1 += earned - s.counted;
            s.counted = earned;
        }
        self.seconds.push(row);
        self.peak_by_tenant.push(self.by_tenant.iter().map(|tenant| tenant.1).collect());
        self.by_tenant.iter_mut().for_each(|tenant| tenant.1 = tenant.0);
        self.cross_zone.advance_to(now);
        self.open_pairs.advance_to(now);
        self.due = if now == self.end { Micros::MAX } else { (now / SECOND * SECOND + SECOND).min(self.end) };
    }

    /// A balancer sends an attempt to a node.
    pub fn on_attempt(&mut self, now: Micros) {
        self.counts.attempts += u64::from(self.counts_now(now));
    }

    /// A connection of a pair of balancer and node has been opened.
    pub fn on_handshake(&mut self, now: Micros) {
        self.counts.handshakes += u64::from(self.counts_now(now));
    }

    /// `open` pairs of balancer and node have an open connection from now on.
    pub fn set_open_pairs(&mut self, now: Micros, open: u32) {
        self.open_pairs.set(now.min(self.end), f64::from(open));
    }

    /// A balancer sends a probe.
    pub fn on_probe(&mut self, now: Micros) {
        self.counts.probes += u64::from(self.counts_now(now));
    }

    /// A balancer has sent `MOVE` on an established connection.
    pub fn on_migration(&mut self, now: Micros) {
        self.counts.moves += u64::from(self.counts_now(now));
    }

    /// The result of the day, after the last sums have been taken.
    pub fn finish(&self) -> Outcome {
        outcome::outcome(self)
    }
}

#[cfg(test)]
mod tests;
