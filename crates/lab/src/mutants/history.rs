//! What a mutant records of its instance's connections and of the endpoint list.

use std::collections::BTreeMap;

use shorewharf_emulator::edge::{ConnId, LinkId, Listed, NodeId, Stage};
use shorewharf_units::Micros;

/// The history of one process incarnation.
#[derive(Debug, Default)]
pub struct MutantHistory {
    /// Listed nodes, in their last ready state.
    nodes: BTreeMap<NodeId, Listed>,
    /// Established connections by link, and links by connection.
    by_link: BTreeMap<LinkId, ConnId>,
    links: BTreeMap<ConnId, LinkId>,
    /// Connections that the mutation affects, and when a reply to them becomes late.
    affected: BTreeMap<ConnId, Micros>,
    /// A node that has just started, and until when it gets all requests.
    started_node: Option<(NodeId, Micros)>,
}

impl MutantHistory {
    /// Clears the history, when the process ends.
    pub fn clear(&mut self) {
        *self = MutantHistory::default();
    }

    /// Starts a new history with this list.
    pub fn on_start(&mut self, known: &[Listed]) {
        self.clear();
        self.all_ready(false, known);
    }

    /// Records list entries and returns them without drains and removals.
    pub fn all_ready(&mut self, full: bool, entries: &[Listed]) -> Vec<Listed> {
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
    pub fn some_node(&self, conn: ConnId) -> NodeId {
        let index = conn.0 as usize % self.nodes.len().max(1);
        self.nodes.keys().nth(index).copied().unwrap_or(NodeId(0))
    }

    /// A listed node other than this one.
    pub fn other_than(&self, node: NodeId) -> NodeId {
        self.nodes.keys().copied().find(|n| *n != node).unwrap_or(node)
    }

    /// Records nodes that have just started.
    pub fn record_started_nodes(&mut self, until: Micros, entries: &[Listed]) {
        let known = |e: &Listed| self.nodes.get(&e.node).and_then(|n| n.started_at);
        let fresh =
            entries.iter().find(|e| e.stage == Stage::Ready && e.started_at > known(e)).map(|e| e.node);
        self.started_node = fresh.map(|node| (node, until)).or(self.started_node);
        self.all_ready(false, entries);
    }

    /// The node that gets all requests at this time.
    pub fn overrun_node(&self, now: Micros) -> Option<NodeId> {
        self.started_node.filter(|(_, until)| now < *until).map(|(node, _)| node)
    }

    /// Marks a connection as affected; replies after `late` are late.
    pub fn mark_affected(&mut self, conn: ConnId, late: Micros) {
        self.affected.insert(conn, late);
    }

    /// When a reply to an affected connection becomes late; none for others.
    pub fn late_after(&self, conn: ConnId) -> Option<Micros> {
        self.affected.get(&conn).copied()
    }

    /// Records that a connection is established on a link.
    pub fn on_established(&mut self, conn: ConnId, link: LinkId) {
        self.by_link.insert(link, conn);
        self.links.insert(conn, link);
    }

    /// The connection that is established on a link.
    pub fn connection_on(&self, link: LinkId) -> Option<ConnId> {
        self.by_link.get(&link).copied()
    }

    /// All established connections.
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
