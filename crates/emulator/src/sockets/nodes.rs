//! The nodes' listeners, one for each node and balancer, and the links that balancers open to them.
//!
//! The world decides what a node does; this module reports first lines and probes to it, sends its messages, and returns
//! clients' lines. A node whose process is dead refuses connections; one whose machine is cut off neither establishes
//! connections nor reads; one whose process hangs accepts and reads everything, but sends nothing.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};

use shorewharf_protocol::message::Message;

use super::addresses::Addresses;
use super::connection_log::ConnectionLog;
use super::harness::{ConnectionObservation, Observations};
use super::link::{Link, LinkContext, LinkInput, Stage};
use super::net::{Listener, Net, Ready, Role};
use super::network_faults::most_restrictive;
use crate::edge::{
    BalancerId, ConnId, End, FromBalancer, LinkId, NodeId, NodeMessage, Reachability, ToBalancer,
};

#[derive(Debug)]
struct NodeEndpoint {
    /// How the node's machine responds.
    node_reachability: Reachability,
    /// How the network faults affect the links to each balancer.
    link_reachability: Vec<Reachability>,
    /// The listeners by balancer; none while connections are refused.
    listeners: Vec<Option<Listener>>,
    addresses: Vec<SocketAddr>,
    /// The connections that keep the accept queue full while the node is silent, by balancer.
    fillers: Vec<Vec<TcpStream>>,
}

impl NodeEndpoint {
    /// How the node responds to a balancer's connections now.
    fn reachability(&self, balancer: BalancerId) -> Reachability {
        most_restrictive(self.node_reachability, self.link_reachability[balancer.0 as usize])
    }
}

/// All nodes.
#[derive(Debug)]
pub struct Nodes {
    endpoints: Vec<NodeEndpoint>,
    links: BTreeMap<LinkId, Link>,
    next_id: u64,
    /// Before the day begins, nodes accept every request at once, without the harness.
    is_before_day: bool,
    /// The number of lines received before the node had accepted their connection.
    pub early_lines: u64,
}

impl Nodes {
    /// Listens for each node and balancer.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub fn new(net: &mut Net, addresses: Addresses, balancers: u32, nodes: u32) -> io::Result<Self> {
        let mut endpoints = Vec::new();
        for node in (0..nodes).map(NodeId) {
            let mut listeners = Vec::new();
            for balancer in (0..balancers).map(BalancerId) {
                listeners.push(Some(
                    net.listen(addresses.node(balancer, node), Role::NodeListener(balancer, node))?,
                ));
            }
            let node_addresses = listeners.iter().flatten().map(Listener::address).collect();
            let fillers = listeners.iter().map(|_| Vec::new()).collect();
            let link_reachability = vec![Reachability::Open; listeners.len()];
            endpoints.push(NodeEndpoint {
                node_reachability: Reachability::Open,
                link_reachability,
                listeners,
                addresses: node_addresses,
                fillers,
            });
        }
        Ok(Nodes { endpoints, links: BTreeMap::new(), next_id: 1, is_before_day: true, early_lines: 0 })
    }

    /// The nodes' addresses by balancer and node.
    pub fn addresses(&self, balancers: u32) -> Vec<Vec<SocketAddr>> {
        (0..balancers as usize)
            .map(|balancer| self.endpoints.iter().map(|s| s.addresses[balancer]).collect())
            .collect()
    }

    /// Begins the day: from now on the world decides the answers.
    pub fn begin_day(&mut self) {
        self.is_before_day = false;
    }

    /// The number of open links, with or without a first line.
    pub fn open_links(&self) -> usize {
        self.links.len()
    }

    /// The node of a link, and its client connection if it has one.
    pub fn node_and_conn(&self, link: LinkId) -> Option<(NodeId, Option<ConnId>)> {
        self.links.get(&link).map(|l| (l.node, l.conn))
    }

    /// Sets how a node's machine responds to connections from now on.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be opened, stopped or resumed.
    pub fn set_node_reachability(
        &mut self,
        net: &mut Net,
        node: NodeId,
        reachability: Reachability,
        observations: &mut Observations,
    ) -> io::Result<()> {
        let endpoint = &mut self.endpoints[node.0 as usize];
        if endpoint.node_reachability == reachability {
            return Ok(());
        }
        let before: Vec<Reachability> = (0..endpoint.link_reachability.len() as u32)
            .map(|balancer| endpoint.reachability(BalancerId(balancer)))
            .collect();
        endpoint.node_reachability = reachability;
        for (balancer, before) in before.into_iter().enumerate() {
            self.apply_reachability(net, node, BalancerId(balancer as u32), before, observations)?;
        }
        Ok(())
    }

    /// Sets how network faults affect the links between a node and a balancer. If the links are no longer blocked, the
    /// messages that were withheld are appended to `arrives`.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be opened, stopped or resumed.
    pub fn set_link_reachability(
        &mut self,
        net: &mut Net,
        (node, balancer): (NodeId, BalancerId),
        reachability: Reachability,
        observations: &mut Observations,
        arrives: &mut Vec<(BalancerId, ToBalancer)>,
    ) -> io::Result<()> {
        let endpoint = &mut self.endpoints[node.0 as usize];
        let before = endpoint.reachability(balancer);
        endpoint.link_reachability[balancer.0 as usize] = reachability;
        self.apply_reachability(net, node, balancer, before, observations)?;
        if !self.is_blocked(node, balancer) {
            let links = self.links.values_mut().filter(|l| (l.node, l.balancer) == (node, balancer));
            arrives.extend(links.flat_map(|l| l.withheld.drain(..)).map(|what| (balancer, what)));
        }
        Ok(())
    }

    fn is_blocked(&self, node: NodeId, balancer: BalancerId) -> bool {
        matches!(
            self.endpoints[node.0 as usize].link_reachability[balancer.0 as usize],
            Reachability::Silent | Reachability::Mute
        )
    }

    /// Withholds a node's message if a fault blocks its link; returns whether it did.
    pub fn withhold(&mut self, id: LinkId, what: &ToBalancer) -> bool {
        let Some((node, balancer)) = self.links.get(&id).map(|l| (l.node, l.balancer)) else { return false };
        if !self.is_blocked(node, balancer) {
            return false;
        }
        self.links.get_mut(&id).into_iter().for_each(|l| l.withheld.push(what.clone()));
        true
    }

    /// Resets all links between a node and a balancer, and returns their ids.
    pub fn reset(&mut self, net: &mut Net, node: NodeId, balancer: BalancerId) -> Vec<LinkId> {
        let ids = self.links_between(node, balancer);
        ids.iter().for_each(|id| self.remove(net, *id, End::Reset));
        ids
    }

    fn links_between(&self, node: NodeId, balancer: BalancerId) -> Vec<LinkId> {
        let links = self.links.iter().filter(|(_, l)| (l.node, l.balancer) == (node, balancer));
        links.map(|(id, _)| *id).collect()
    }

    /// Applies a change of reachability between a node and a balancer.
    fn apply_reachability(
        &mut self,
        net: &mut Net,
        node: NodeId,
        balancer: BalancerId,
        before: Reachability,
        observations: &mut Observations,
    ) -> io::Result<()> {
        let (endpoint, at) = (&mut self.endpoints[node.0 as usize], balancer.0 as usize);
        let reachability = endpoint.reachability(balancer);
        if before == reachability {
            return Ok(());
        }
        if before == Reachability::Silent {
            endpoint.fillers[at].clear();
            endpoint.listeners[at].iter().try_for_each(Listener::resume_accepting)?;
        }
        match reachability {
            Reachability::Refused => endpoint.listeners[at].take().into_iter().for_each(|listener| {
                net.close_listener(listener);
            }),
            Reachability::Silent => {
                if let Some(listener) = &endpoint.listeners[at] {
                    endpoint.fillers[at] = listener.stop_accepting()?;
                }
            }
            Reachability::Open | Reachability::Mute => {
                if endpoint.listeners[at].is_none() {
                    endpoint.listeners[at] =
                        Some(net.listen(endpoint.addresses[at], Role::NodeListener(balancer, node))?);
                }
            }
        }
        for id in self.links_between(node, balancer) {
            // The world closes the links of a dead process, except those without a first line, which it does not know.
            if reachability == Reachability::Refused && self.links[&id].stage == Stage::FirstLine {
                self.remove(net, id, End::Reset);
            } else if before == Reachability::Silent {
                net.requeue(Role::Link(id));
            }
            if reachability == Reachability::Open {
                self.send_withheld_replies(net, id, observations);
            }
        }
        Ok(())
    }

    /// Sends the returned lines that a hung node has not sent.
    fn send_withheld_replies(&mut self, net: &mut Net, id: LinkId, observations: &mut Observations) {
        if let Some(link) = self.links.get_mut(&id).filter(|l| !l.unsent_replies.is_empty()) {
            let replies = std::mem::take(&mut link.unsent_replies);
            link.connection.send(net, &replies);
            let lines = replies.windows(2).filter(|w| w == b"\r\n").count();
            observations
                .extend((0..lines).map(|_| (link.balancer, ConnectionObservation::LineReturned(id).into())));
        }
    }

    /// Accepts pending connections of a listener.
    pub fn on_listener_ready(
        &mut self,
        net: &mut Net,
        balancer: BalancerId,
        node: NodeId,
        connection_log: &mut ConnectionLog,
        observations: &mut Observations,
    ) {
        let endpoint = &self.endpoints[node.0 as usize];
        if endpoint.reachability(balancer) == Reachability::Silent {
            return;
        }
        let mut accepted = Vec::new();
        while let Some(stream) =
            endpoint.listeners[balancer.0 as usize].as_ref().and_then(|listener| net.accept(listener))
        {
            accepted.push(stream);
        }
        for stream in accepted {
            let id = LinkId(self.next_id);
            self.next_id += 1;
            // A connection that was broken while it waited to be accepted is ignored.
            let Ok(connection) = net.adopt(stream, Role::Link(id)) else { continue };
            let stage = Stage::FirstLine;
            self.links.insert(
                id,
                Link {
                    connection,
                    balancer,
                    node,
                    conn: None,
                    stage,
                    unsent_replies: Vec::new(),
                    withheld: Vec::new(),
                },
            );
            self.on_ready(
                net,
                id,
                Ready { role: Role::Link(id), read: true, write: true },
                connection_log,
                observations,
            );
        }
    }

    /// Handles readiness of a link's connection.
    pub fn on_ready(
        &mut self,
        net: &mut Net,
        id: LinkId,
        ready: Ready,
        connection_log: &mut ConnectionLog,
        observations: &mut Observations,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let reachability = self.endpoints[link.node.0 as usize].reachability(link.balancer);
        if reachability == Reachability::Silent {
            return;
        }
        link.connection.on_ready(net, ready);
        let is_before_day = self.is_before_day;
        let mut context = LinkContext { net, id, reachability, is_before_day, connection_log, observations };
        loop {
            match link.next_input(&mut context) {
                Ok(Some(LinkInput::Early)) => self.early_lines += 1,
                Ok(Some(input)) => link.on_input(&mut context, input),
                Ok(None) => break,
                // Well-behaved clients send no line of this length, so the balancer must not forward one.
                Err(_) => {
                    observations.push((link.balancer, FromBalancer::MalformedRequest(link.node).into()));
                    return self.remove(net, id, End::Reset);
                }
            }
        }
        link.connection.compact(net);
        if let Some(how) = link.connection.ended() {
            if !matches!(link.stage, Stage::FirstLine | Stage::Over) {
                observations.push((link.balancer, FromBalancer::EndLink(id, how).into()));
            }
            self.remove(net, id, End::Fin);
        }
    }

    /// Sends a node's message on a link.
    pub fn send(&mut self, net: &mut Net, id: LinkId, what: NodeMessage, connection_log: &mut ConnectionLog) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if self.endpoints[link.node.0 as usize].reachability(link.balancer) == Reachability::Silent
            || link.stage == Stage::Over
        {
            return;
        }
        let text = match (what, link.conn) {
            (NodeMessage::Up, Some(conn)) => {
                link.stage = Stage::Established;
                Message::Accepted(connection_log.accept(conn, id).as_bytes()).to_string()
            }
            (NodeMessage::Up, None) | (NodeMessage::Pong, _) => Message::Pong.to_string(),
            (NodeMessage::Busy, _) => Message::Rejected(None).to_string(),
            (NodeMessage::Err, _) => Message::Failed.to_string(),
            (NodeMessage::Move, _) => Message::Migrate.to_string(),
            (NodeMessage::Bye, _) => Message::Completed.to_string(),
            (NodeMessage::Load(x) | NodeMessage::Delay(x), _) => Message::LoadReport(Some(x)).to_string(),
            // Clients' lines are returned when they are received.
            (NodeMessage::Reply, _) => return,
            (NodeMessage::Junk, _) => "7f3a HUH 0\r\n".to_owned(),
        };
        link.connection.send(net, text.as_bytes());
    }

    /// Closes a link from the node's side.
    pub fn close(&mut self, net: &mut Net, id: LinkId, how: End) {
        match self.links.get_mut(&id) {
            Some(link) if how == End::Fin => {
                link.stage = Stage::Over;
                link.connection.finish(net);
            }
            _ => self.remove(net, id, End::Reset),
        }
    }

    fn remove(&mut self, net: &mut Net, id: LinkId, how: End) {
        if let Some(link) = self.links.remove(&id) {
            net.close(link.connection, how);
        }
    }
}
