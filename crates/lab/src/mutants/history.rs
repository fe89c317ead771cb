//! The record that a mutant keeps of its instance's connections and of the endpoint list.

use std::collections::BTreeMap;

use shorewharf_emulator::edge::{ConnId, LinkId, Listed, NodeId, Stage};
use shorewharf_units::Micros;

/// The history of one incarnation of the balancer's process.
#[derive(Debug, Default)]
pub struct MutantHistory {
    /// The listed nodes that have not been removed, each as an entry in the ready stage.
    nodes: BTreeMap<NodeId, Listed>,
    /// The established connection on each link.
    by_link: BTreeMap<LinkId, ConnId>,
    /// The link of each established connection.
    links: BTreeMap<ConnId, LinkId>,
    /// Connections that the mutation affects, with the time from which a reply to them is late.
    affected: BTreeMap<ConnId, Micros>,
    /// The node that started last, and the time until which it gets all requests.
    started_node: Option<(NodeId, Micros)>,
}

impl MutantHistory {
    /// Clears the history; called when the process ends.
    pub fn clear(&mut self) {
        *self = MutantHistory::default();
    }

    /// Starts a new history with the endpoint list known at the start.
    pub fn on_start(&mut self, known: &[Listed]) {
        self.clear();
        self.record_as_ready(false, known);
    }

    /// Records entries of the endpoint list and returns them without drains and removals: all known nodes for
    /// a full list, else the nodes of the update, each in the ready stage.
    pub fn record_as_ready(&mut self, full: bool, entries: &[Listed]) -> Vec<Listed> {
        let ready = |e: &Listed| Listed { stage: Stage::Ready, ..*e };
        for entry in entries.iter().filter(|e| e.stage != Stage::Gone) {
            self.nodes.insert(entry.node, ready(entry));
        }
        if full {
            self.nodes.values().copied().collect()
        } else {
            entries.iter().filter(|e| e.stage != Stage::Gone).map(ready).collect()
        }
    }

    /// A listed node, chosen by the connection's id.
    pub fn node_for(&self, conn: ConnId) -> NodeId {
        let index = conn.0 as usize % self.nodes.len().max(1);
        self.nodes.keys().nth(index).copied().unwrap_or(NodeId(0))
    }

    /// The first listed node other than `node`; `node` itself if there is no other.
    pub fn node_other_than(&self, node: NodeId) -> NodeId {
        self.nodes.keys().copied().find(|n| *n != node).unwrap_or(node)
    }

    /// Records the entries of a list, and the first node in it that has started since, which gets all
    /// requests until `until`.
    pub fn record_started_nodes(&mut self, until: Micros, entries: &[Listed]) {
        let known_start = |e: &Listed| self.nodes.get(&e.node).and_then(|n| n.started_at);
        let newly_started =
            entries.iter().find(|e| e.stage == Stage::Ready && e.started_at > known_start(e)).map(|e| e.node);
        self.started_node = newly_started.map(|node| (node, until)).or(self.started_node);
        self.record_as_ready(false, entries);
    }

    /// The node that gets all requests at `now`, if there is one.
    pub fn overrun_node(&self, now: Micros) -> Option<NodeId> {
        self.started_node.filter(|(_, until)| now < *until).map(|(node, _)| node)
    }

    /// Marks a connection as affected by the mutation; replies from `late_after` on are late.
    pub fn mark_affected(&mut self, conn: ConnId, late_after: Micros) {
        self.affected.insert(conn, late_after);
    }

    /// The time from which a reply to an affected connection is late; none for other connections.
    pub fn late_after(&self, conn: ConnId) -> Option<Micros> {
        self.affected.get(&conn).copied()
    }

    /// Records a connection that was established on a link.
    pub fn on_established(&mut self, conn: ConnId, link: LinkId) {
        self.by_link.insert(link, conn);
        self.links.insert(conn, link);
    }

    /// The connection that is established on a link.
    pub fn connection_on(&self, link: LinkId) -> Option<ConnId> {
        self.by_link.get(&link).copied()
    }

    /// The ids of all established connections.
    pub fn established(&self) -> Vec<ConnId> {
        self.links.keys().copied().collect()
    }

    /// Removes a closed connection.
    pub fn on_client_closed(&mut self, conn: ConnId) {
        self.affected.remove(&conn);
        if let Some(link) = self.links.remove(&conn) {
            self.by_link.remove(&link);
        }
    }
}
