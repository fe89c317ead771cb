//! Data of the nodes that the endpoint list contains, and the mapping of the emulator's ids and times to the
//! module's.

use std::collections::HashMap;
use std::sync::Arc;

use shorewharf_decisions::interface::{ServerEntry, ServerId, ServerState};
use shorewharf_emulator::day::Day;
use shorewharf_emulator::edge::{self, Listed, NodeId};
use shorewharf_units::Micros;

/// The module's clock at the day's start. In the endpoint list, a start time of 0 means long ago.
const EPOCH: Micros = 1_000_000_000_000;

#[derive(Debug)]
struct Table {
    /// Id, zone, cell and weight of each node.
    servers: Vec<(ServerId, u32, u32, f64)>,
    nodes: HashMap<ServerId, NodeId>,
    longest_wait: Micros,
}

/// The nodes as the endpoint list describes them. Cheap to clone.
#[derive(Clone, Debug)]
pub struct NodeDirectory(Arc<Table>);

/// A server's id. It is a hash of the node's index, as the real program's ids are hashes of names.
fn server_id(node: usize) -> ServerId {
    // One round of splitmix64, which is a bijection, so different indices have different ids.
    let mut x = (node as u64).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ServerId(x ^ (x >> 31))
}

impl NodeDirectory {
    /// Creates the directory of a day's nodes.
    pub fn new(day: &Day) -> Self {
        let server =
            |(i, n): (usize, &shorewharf_emulator::day::Node)| (server_id(i), n.zone, n.cell, n.weight);
        let servers: Vec<_> = day.nodes.iter().enumerate().map(server).collect();
        let nodes = servers.iter().enumerate().map(|(i, s)| (s.0, NodeId(i as u32))).collect();
        let longest_wait = day.classes.iter().map(|c| c.give_up).max().unwrap_or(0);
        NodeDirectory(Arc::new(Table { servers, nodes, longest_wait }))
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.0.servers.len()
    }

    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.0.servers.is_empty()
    }

    /// The id that the module uses for a node.
    pub fn server(&self, node: NodeId) -> ServerId {
        self.0.servers[node.0 as usize].0
    }

    /// The node with a server's id; none for an unknown id.
    pub fn node(&self, server: ServerId) -> Option<NodeId> {
        self.0.nodes.get(&server).copied()
    }

    /// The maximum time that a client waits for a setup.
    pub fn longest_wait(&self) -> Micros {
        self.0.longest_wait
    }

    /// Converts a time of the day to the module's clock.
    pub fn to_module_clock(&self, t: Micros) -> Micros {
        EPOCH + t
    }

    /// Converts an entry of the emulator's endpoint list to the module's form.
    pub fn entry(&self, listed: &Listed) -> ServerEntry {
        let (server, zone, cell, weight) = self.0.servers[listed.node.0 as usize];
        let state = match listed.stage {
            edge::Stage::Ready => ServerState::Ready,
            edge::Stage::Draining => ServerState::Draining,
            edge::Stage::Gone => ServerState::Removed,
        };
        let started_at = listed.started_at.map_or(0.0, |t| self.to_module_clock(t) as f64 / 1e6);
        ServerEntry { server, zone, cell, state, weight, started_at }
    }
}
