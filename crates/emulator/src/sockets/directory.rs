//! Names and addresses of the nodes and balancers of a run, and the endpoint list with them as each balancer receives it.

use std::net::SocketAddr;

use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};
use shorewharf_protocol::name_index::NameIndex;

use crate::day::Day;
use crate::edge::{BalancerId, Listed, NodeId, Stage};

/// Names and addresses of all nodes and balancers of a run.
#[derive(Clone, Debug)]
pub struct Directory {
    day: Day,
    nodes: Vec<String>,
    /// The nodes' addresses, by balancer and node.
    addresses: Vec<Vec<SocketAddr>>,
    /// The Unix time of the day's start in milliseconds; 0 before the start.
    epoch_ms: f64,
}

/// Hashes a number (splitmix64), so that names reveal neither the order nor the kind of the nodes.
fn hash(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Directory {
    /// Creates the names of a day's nodes; `addresses` are the nodes' addresses by balancer and node.
    pub fn new(day: &Day, addresses: Vec<Vec<SocketAddr>>) -> Self {
        let name = |n: usize| format!("s-{:08x}", hash(day.seed ^ ((n as u64 + 1) << 32)) >> 32);
        Directory {
            day: day.clone(),
            nodes: (0..day.nodes.len()).map(name).collect(),
            addresses,
            epoch_ms: 0.0,
        }
    }

    /// Sets the Unix time of the day's start in milliseconds.
    pub fn set_epoch(&mut self, epoch_ms: f64) {
        self.epoch_ms = epoch_ms;
    }

    /// The number of nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// A node's name.
    pub fn node_name(&self, node: NodeId) -> &str {
        &self.nodes[node.0 as usize]
    }

    /// The node with this name, if there is one.
    pub fn node_named(&self, name: &str) -> Option<NodeId> {
        self.nodes.iter().position(|n| n == name).map(|n| NodeId(n as u32))
    }

    /// A balancer's name.
    pub fn balancer_name(who: BalancerId) -> String {
        format!("n{}", who.0)
    }

    /// The address at which this balancer reaches this node.
    pub fn address(&self, who: BalancerId, node: NodeId) -> SocketAddr {
        self.addresses[who.0 as usize][node.0 as usize]
    }

    /// The names of classes, tenants and zones, with the indices that the day gives them.
    pub fn names(&self) -> NameIndex {
        let day = &self.day;
        NameIndex {
            classes: day.classes.iter().enumerate().map(|(i, c)| (c.name.clone(), i)).collect(),
            tenants: day.tenants.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect(),
            zones: day.zones.iter().cloned().zip(0..).collect(),
        }
    }

    /// An entry of the endpoint list as this balancer receives it.
    pub fn endpoint(&self, who: BalancerId, entry: &Listed) -> Endpoint {
        let node = &self.day.nodes[entry.node.0 as usize];
        let status = match entry.stage {
            Stage::Ready => "Ready",
            Stage::Draining => "Terminating",
            Stage::Gone => "Gone",
        };
        Endpoint {
            name: self.node_name(entry.node).to_owned(),
            address: self.address(who, entry.node).to_string(),
            zone: self.day.zones[node.zone as usize].clone(),
            kind: self.day.kinds[node.kind as usize].name.clone(),
            group: node.cell,
            status: status.to_owned(),
            weight: node.weight,
            since_ms: entry.started_at.map_or(0.0, |at| (self.epoch_ms + at as f64 / 1e3).floor()),
        }
    }

    /// A snapshot of the endpoint list, or changes to it, as this balancer receives them; `index` is the list's version.
    pub fn endpoint_list(
        &self,
        who: BalancerId,
        index: u64,
        snapshot: bool,
        entries: &[Listed],
    ) -> EndpointList {
        let endpoints = entries.iter().map(|e| self.endpoint(who, e)).collect();
        EndpointList { index, snapshot, endpoints }
    }
}
