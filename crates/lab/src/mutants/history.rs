//! What a mutant has to know of its instance's doings and of the list.

use std::collections::BTreeMap;

use shorewharf_emulator::edge::{ConnId, LinkId, Listed, NodeId, Stage};
use shorewharf_units::Micros;

/// Kept for one life of a process.
#[derive(Debug, Default)]
pub struct MutantHistory {
    /// The nodes that the list has named, as they were when they were ready.
    nodes: BTreeMap<NodeId, Listed>,
    /// Standing connections by link, and links by connection.
    by_link: BTreeMap<LinkId, ConnId>,
    links: BTreeMap<ConnId, LinkId>,
    /// Connections that the fault strikes, and from when on an answer to them is late.
    affected: BTreeMap<ConnId, Micros>,
    /// A node that has just started, and until when it is overrun.
    started_node: Option<(NodeId, Micros)>,
}

impl MutantHistory {
    /// The process is gone.
    pub fn clear(&mut self) {
        *self = MutantHistory::default();
    }

    /// A process begins with this list.
    pub fn on_start(&mut self, known: &[Listed]) {
        self.clear();
        self.all_ready(false, known);
    }

    /// Takes news of the list in, and tells them with every drain and end left out.
    pub fn all_ready(&mut self, full: bool, entries: &[Listed]) -> Vec<Listed> {
        let ready = |e: &Listed| Listed { stage: Stage::Ready, ..*e };
        entries.iter().filter(|e| e.stage != Stage::Gone).for_each(|e| {
            self.nodes.insert(e.node, ready(e));
        });
        if full {
            self.nodes.values().copied().collect()
        } else {
            entries.iter().filter(|e| e.stage != Stage::Gone).map(ready).collect()
        }
    }

    /// Some node that the list has named.
    pub fn some_node(&self, conn: ConnId) -> NodeId {
        let place = conn.0 as usize % self.nodes.len().max(1);
        self.nodes.keys().nth(place).copied().unwrap_or(NodeId(0))
    }

    /// Another node that the list has named.
    pub fn other_than(&self, node: NodeId) -> NodeId {
        self.nodes.keys().copied().find(|n| *n != node).unwrap_or(node)
    }

    /// Looks for nodes that have just started.
    pub fn record_started_nodes(&mut self, until: Micros, entries: &[Listed]) {
        let known = |e: &Listed| self.nodes.get(&e.node).and_then(|n| n.born);
        let fresh = entries.iter().find(|e| e.stage == Stage::Ready && e.born > known(e)).map(|e| e.node);
        self.started_node = fresh.map(|node| (node, until)).or(self.started_node);
        self.all_ready(false, entries);
    }

    /// The node that everything goes to now.
    pub fn overrun_node(&self, now: Micros) -> Option<NodeId> {
        self.started_node.filter(|(_, until)| now < *until).map(|(node, _)| node)
    }

    /// The fault strikes this connection; from then on an answer to it is late.
    pub fn mark_affected(&mut self, conn: ConnId, late: Micros) {
        self.affected.insert(conn, late);
    }

    /// Whether the fault strikes a connection, and from when on an answer to it is late.
    pub fn late_after(&self, conn: ConnId) -> Option<Micros> {
        self.affected.get(&conn).copied()
    }

    /// A connection stands on this link.
    pub fn on_established(&mut self, conn: ConnId, link: LinkId) {
        self.by_link.insert(link, conn);
        self.links.insert(conn, link);
    }

    /// The connection that stands on this link.
    pub fn connection_on(&self, link: LinkId) -> Option<ConnId> {
        self.by_link.get(&link).copied()
    }

    /// All that stand.
    pub fn established(&self) -> Vec<ConnId> {
        self.links.keys().copied().collect()
    }

    /// A client's connection is over.
    pub fn on_client_closed(&mut self, conn: ConnId) {
        self.affected.remove(&conn);
        if let Some(link) = self.links.remove(&conn) {
            self.by_link.remove(&link);
        }
    }
}
