//! What the platform calls its parties in text: names, addresses and entries of the list as each balancer gets it.

use std::net::SocketAddr;

use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};
use shorewharf_protocol::name_index::NameIndex;

use crate::day::Day;
use crate::edge::{BalancerId, Listed, NodeId, Stage};

/// Names and places of all parties of one run.
#[derive(Clone, Debug)]
pub struct Directory {
    day: Day,
    nodes: Vec<String>,
    /// By balancer and node.
    at: Vec<Vec<SocketAddr>>,
    /// Unix time of the day's start, milliseconds.
    epoch_ms: f64,
}

/// Spreads numbers over all 64 bits (splitmix64), so that names tell nothing of what they name.
fn spread(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Directory {
    /// The parties of a day, with the nodes' addresses by balancer and node.
    pub fn new(day: &Day, at: Vec<Vec<SocketAddr>>) -> Self {
        let name = |n: usize| format!("s-{:08x}", spread(day.seed ^ ((n as u64 + 1) << 32)) >> 32);
        Directory { day: day.clone(), nodes: (0..day.nodes.len()).map(name).collect(), at, epoch_ms: 0.0 }
    }

    /// The day began at this Unix time, milliseconds.
    pub fn begins(&mut self, epoch_ms: f64) {
        self.epoch_ms = epoch_ms;
    }

    /// How many nodes there are.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// A node's name.
    pub fn node(&self, node: NodeId) -> &str {
        &self.nodes[node.0 as usize]
    }

    /// The node of this name.
    pub fn node_named(&self, name: &str) -> Option<NodeId> {
        self.nodes.iter().position(|n| n == name).map(|n| NodeId(n as u32))
    }

    /// A balancer's name.
    pub fn balancer(who: BalancerId) -> String {
        format!("n{}", who.0)
    }

    /// Where this balancer reaches this node.
    pub fn address(&self, who: BalancerId, node: NodeId) -> SocketAddr {
        self.at[who.0 as usize][node.0 as usize]
    }

    /// How first lines name classes and tenants.
    pub fn names(&self) -> NameIndex {
        let day = &self.day;
        NameIndex {
            classes: day.classes.iter().enumerate().map(|(i, c)| (c.name.clone(), i)).collect(),
            tenants: day.tenants.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect(),
            zones: day.zones.iter().cloned().zip(0..).collect(),
        }
    }

    /// An entry as this balancer gets it.
    pub fn endpoint(&self, who: BalancerId, entry: &Listed) -> Endpoint {
        let node = &self.day.nodes[entry.node.0 as usize];
        let status = match entry.stage {
            Stage::Ready => "Ready",
            Stage::Draining => "Terminating",
            Stage::Gone => "Gone",
        };
        Endpoint {
            name: self.node(entry.node).to_owned(),
            address: self.address(who, entry.node).to_string(),
            zone: self.day.zones[node.zone as usize].clone(),
            kind: self.day.kinds[node.kind as usize].name.clone(),
            group: node.cell,
            status: status.to_owned(),
            weight: node.weight,
            since_ms: entry.started_at.map_or(0.0, |at| (self.epoch_ms + at as f64 / 1e3).floor()),
        }
    }

    /// A list or changes as this balancer gets them.
    pub fn listing(&self, who: BalancerId, index: u64, snapshot: bool, entries: &[Listed]) -> EndpointList {
        let endpoints = entries.iter().map(|e| self.endpoint(who, e)).collect();
        EndpointList { index, snapshot, endpoints }
    }
}
