//! What reports show of a run: figures of each second and sums by cause. Nothing here decides anything.

use shorewharf_units::Micros;
use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::day::Day;
use crate::edge::{NodeId, NodeMessage};
use crate::world::ground_truth::GroundTruth;

/// Set-ups are measured up to this; a longer one counts as this.
const LONGEST: u64 = 600_000_000;

/// Sums by cause.
pub type Causes = BTreeMap<&'static str, u64>;

/// A second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Tries of clients that came to the front.
    pub tries: u32,
    /// Attempts that balancers sent to nodes.
    pub attempts: u32,
    /// Tries that were answered `UP`.
    pub ups: u32,
    /// Tries that were refused, failed or left unanswered, by any side.
    pub refused: u32,
    /// Standing connections that were moved.
    pub moves: u32,
    /// Standing connections that broke.
    pub breaks: u32,
}

/// A node over the seconds; one figure a second, of its end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeSeries {
    /// Load asked of it over what it can do.
    pub load: Vec<f32>,
    /// What it can do, in standard cores.
    pub capacity: Vec<f32>,
    /// Standing connections.
    pub connections: Vec<u32>,
    /// Set-ups in work and waiting.
    pub set_ups: Vec<u32>,
    /// Work piled up, in seconds.
    pub pile_s: Vec<f32>,
    /// It takes connections.
    pub takes: Vec<bool>,
}

/// Set-ups are counted by the time they came, so long at once.
pub const SETUP_INTERVAL: Micros = 200_000;

/// A run as reports show it.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// By second.
    pub seconds: Vec<Second>,
    /// By node.
    pub nodes: Vec<NodeSeries>,
    /// Set-ups that came at each node, for each [`SETUP_INTERVAL`] of the day.
    #[serde(skip)]
    pub set_ups: Vec<Vec<u32>>,
    /// What attempts came to.
    pub attempts: Causes,
    /// What clients were answered by their balancers.
    pub answers: Causes,
    /// The same by second.
    pub refused_by: BTreeMap<&'static str, Vec<u32>>,
    /// How standing connections ended.
    pub ends: Causes,
    /// Time from a client's first line to its `UP`, over all its tries since it last stood, in microseconds.
    #[serde(skip)]
    pub set_up: Histogram<u64>,
    #[serde(skip)]
    waiting: HashMap<u64, Micros>,
}

impl Series {
    /// Nothing yet.
    pub fn new(day: &Day) -> Series {
        let seconds = (day.length / 1_000_000 + 1) as usize;
        Series {
            seconds: Vec::with_capacity(seconds),
            nodes: vec![NodeSeries::default(); day.nodes.len()],
            set_ups: Vec::new(),
            attempts: Causes::new(),
            answers: Causes::new(),
            refused_by: BTreeMap::new(),
            ends: Causes::new(),
            set_up: Histogram::new_with_bounds(1, LONGEST, 3)
                .expect("three digits and a range are in bounds"),
            waiting: HashMap::new(),
        }
    }

    fn second(&mut self, now: Micros) -> &mut Second {
        let at = (now / 1_000_000) as usize;
        if self.seconds.len() <= at {
            self.seconds.resize_with(at + 1, Second::default);
        }
        &mut self.seconds[at]
    }

    /// A client comes to the front.
    pub fn attempt_by_client(&mut self, now: Micros, key: u64) {
        self.second(now).tries += 1;
        self.waiting.entry(key).or_insert(now);
    }

    /// It stands.
    pub fn stands(&mut self, now: Micros, key: u64) {
        self.second(now).ups += 1;
        if let Some(since) = self.waiting.remove(&key) {
            self.set_up.saturating_record((now - since).max(1));
        }
    }

    /// It has gone for good while it waited, or was served to its end.
    pub fn forgets(&mut self, key: u64) {
        self.waiting.remove(&key);
    }

    /// A try ended without `UP`.
    pub fn refused(&mut self, now: Micros, cause: &'static str) {
        self.second(now).refused += 1;
        *self.answers.entry(cause).or_default() += 1;
        let seconds = self.refused_by.entry(cause).or_default();
        let at = (now / 1_000_000) as usize;
        if seconds.len() <= at {
            seconds.resize(at + 1, 0);
        }
        seconds[at] += 1;
    }

    /// A balancer sent an attempt.
    pub fn sent(&mut self, now: Micros) {
        self.second(now).attempts += 1;
    }

    /// An attempt came to something.
    pub fn attempt(&mut self, cause: &'static str) {
        *self.attempts.entry(cause).or_default() += 1;
    }

    /// What a node's first word on a link makes of the attempt.
    pub fn attempt_answered(&mut self, message: NodeMessage) {
        self.attempt(match message {
            NodeMessage::Up => "up",
            NodeMessage::Busy => "busy",
            NodeMessage::Err => "error",
            NodeMessage::Move => "moved",
            _ => "other",
        });
    }

    /// A standing connection ended.
    pub fn ended(&mut self, now: Micros, cause: &'static str) {
        match cause {
            "moved by balancer" | "moved by node" => self.second(now).moves += 1,
            "broken" => self.second(now).breaks += 1,
            _ => {}
        }
        *self.ends.entry(cause).or_default() += 1;
    }

    /// A first line comes at a node that takes it.
    pub fn set_up(&mut self, now: Micros, node: NodeId) {
        let slot = (now / SETUP_INTERVAL) as usize;
        if self.set_ups.len() <= slot {
            self.set_ups.resize(slot + 1, vec![0; self.nodes.len()]);
        }
        self.set_ups[slot][node.0 as usize] += 1;
    }

    /// A node at the end of a second.
    pub fn node(&mut self, node: NodeId, truth: GroundTruth) {
        let n = &mut self.nodes[node.0 as usize];
        n.load.push(if truth.capacity > 0.0 { (truth.load / truth.capacity) as f32 } else { 0.0 });
        n.capacity.push(truth.capacity as f32);
        n.connections.push(truth.connections);
        n.set_ups.push(truth.set_ups);
        n.pile_s.push(truth.backlog_s as f32);
        n.takes.push(truth.accepts_connections);
    }
}
