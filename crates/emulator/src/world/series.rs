//! The data of a run for reports: figures for each second, and counts by cause. The run itself doesn't depend
//! on them.

use shorewharf_units::Micros;
use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::day::Day;
use crate::edge::{NodeId, NodeMessage};
use crate::world::ground_truth::GroundTruth;

/// The longest set-up time that is measured, in microseconds; longer ones count as this.
const MAX_SETUP_TIME: u64 = 600_000_000;

/// Counts by cause.
pub type Causes = BTreeMap<&'static str, u64>;

/// What happened in one second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Requests that clients sent to the front.
    pub tries: u32,
    /// Attempts that balancers sent to nodes.
    pub attempts: u32,
    /// Requests that were answered with `UP`.
    pub ups: u32,
    /// Requests that were rejected, failed, or got no answer.
    pub refused: u32,
    /// Established connections that were migrated.
    pub moves: u32,
    /// Established connections that broke.
    pub breaks: u32,
}

/// A node over the run: one value for the end of each second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeSeries {
    /// Its utilization: load divided by capacity.
    pub load: Vec<f32>,
    /// Its capacity, in standard cores.
    pub capacity: Vec<f32>,
    /// The number of established connections.
    pub connections: Vec<u32>,
    /// The number of set-ups in progress and waiting.
    pub set_ups: Vec<u32>,
    /// The backlog of work, in seconds.
    pub pile_s: Vec<f32>,
    /// Whether it accepts connections.
    pub takes: Vec<bool>,
}

/// The length of the intervals in which set-ups at nodes are counted.
pub const SETUP_INTERVAL: Micros = 200_000;

/// The data of a run for reports.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// The run second by second.
    pub seconds: Vec<Second>,
    /// Each node over the run.
    pub nodes: Vec<NodeSeries>,
    /// For each [`SETUP_INTERVAL`] of the day: the number of first lines that reached each node.
    #[serde(skip)]
    pub set_ups: Vec<Vec<u32>>,
    /// Attempts, by their result.
    pub attempts: Causes,
    /// Requests that did not succeed, by cause.
    pub answers: Causes,
    /// Requests that did not succeed, by cause and second.
    pub refused_by: BTreeMap<&'static str, Vec<u32>>,
    /// Established connections that ended, by cause.
    pub ends: Causes,
    /// The time from a client's first request since its last established connection to its `UP`, in
    /// microseconds.
    #[serde(skip)]
    pub set_up: Histogram<u64>,
    /// When each waiting client sent its first request, by the client's key.
    #[serde(skip)]
    waiting: HashMap<u64, Micros>,
}

impl Series {
    /// Creates the empty series of a day.
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
            set_up: Histogram::new_with_bounds(1, MAX_SETUP_TIME, 3)
                .expect("the histogram's bounds and precision are valid"),
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

    /// Records a request that a client sends to the front.
    pub fn on_client_request(&mut self, now: Micros, key: u64) {
        self.second(now).tries += 1;
        self.waiting.entry(key).or_insert(now);
    }

    /// Records that the client's connection is established.
    pub fn on_established(&mut self, now: Micros, key: u64) {
        self.second(now).ups += 1;
        if let Some(since) = self.waiting.remove(&key) {
            self.set_up.saturating_record((now - since).max(1));
        }
    }

    /// Records that a waiting client has left.
    pub fn on_client_gone(&mut self, key: u64) {
        self.waiting.remove(&key);
    }

    /// Records a request that ended without `UP`.
    pub fn on_request_failed(&mut self, now: Micros, cause: &'static str) {
        self.second(now).refused += 1;
        *self.answers.entry(cause).or_default() += 1;
        let seconds = self.refused_by.entry(cause).or_default();
        let at = (now / 1_000_000) as usize;
        if seconds.len() <= at {
            seconds.resize(at + 1, 0);
        }
        seconds[at] += 1;
    }

    /// Records an attempt that a balancer sends to a node.
    pub fn on_attempt_sent(&mut self, now: Micros) {
        self.second(now).attempts += 1;
    }

    /// Records the result of an attempt.
    pub fn on_attempt_ended(&mut self, cause: &'static str) {
        *self.attempts.entry(cause).or_default() += 1;
    }

    /// Records the result of an attempt from the node's first message.
    pub fn on_attempt_answered(&mut self, message: NodeMessage) {
        self.on_attempt_ended(match message {
            NodeMessage::Up => "up",
            NodeMessage::Busy => "busy",
            NodeMessage::Err => "error",
            NodeMessage::Move => "moved",
            _ => "other",
        });
    }

    /// Records the end of an established connection.
    pub fn on_connection_ended(&mut self, now: Micros, cause: &'static str) {
        match cause {
            "moved by balancer" | "moved by node" => self.second(now).moves += 1,
            "broken" => self.second(now).breaks += 1,
            _ => {}
        }
        *self.ends.entry(cause).or_default() += 1;
    }

    /// Records a first line that reaches a node which accepts connections.
    pub fn on_setup_received(&mut self, now: Micros, node: NodeId) {
        let interval = (now / SETUP_INTERVAL) as usize;
        if self.set_ups.len() <= interval {
            self.set_ups.resize(interval + 1, vec![0; self.nodes.len()]);
        }
        self.set_ups[interval][node.0 as usize] += 1;
    }

    /// Adds the state of a node at the end of a second.
    pub fn sample_node(&mut self, node: NodeId, truth: GroundTruth) {
        let n = &mut self.nodes[node.0 as usize];
        n.load.push(if truth.capacity > 0.0 { (truth.load / truth.capacity) as f32 } else { 0.0 });
        n.capacity.push(truth.capacity as f32);
        n.connections.push(truth.connections);
        n.set_ups.push(truth.set_ups);
        n.pile_s.push(truth.backlog_s as f32);
        n.takes.push(truth.accepts_connections);
    }
}
