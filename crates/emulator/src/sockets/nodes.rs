//! The nodes' side: a listener of each node for each balancer, and the links on them.
//!
//! The world decides what a node does; this module hears first lines and probes for it, says its words, and returns
//! clients' lines. A dead process refuses, a machine that is cut off lets nothing come up and reads nothing, a hung
//! process takes everything in and says nothing.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};

use shorewharf_protocol::message::Message;

use super::addresses::Addresses;
use super::connection_log::{ConnectionLog, FirstLine};
use super::harness::{ConnectionObservation, Observations};
use super::lines::LineConnection;
use super::net::{Listener, Net, Ready, Role};
use super::network_faults::worse;
use crate::edge::{
    BalancerId, ConnId, End, FromBalancer, LinkId, NodeId, NodeMessage, Reachability, ToBalancer,
};

/// Lines of one connection that a hung node owes. No client sends so many before it is moved or gives up.
const MAX_UNSENT_REPLY_BYTES: usize = 64 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its first line has not come.
    FirstLine,
    /// It carries probes.
    Probes,
    /// It has asked for a client.
    AwaitingAnswer,
    /// It stands.
    Established,
    /// The node has ended it.
    Over,
}

#[derive(Debug)]
struct Link {
    connection: LineConnection,
    balancer: BalancerId,
    node: NodeId,
    conn: Option<ConnId>,
    stage: Stage,
    unsent_replies: Vec<u8>,
    /// Messages of the node that the link's fault has blocked.
    withheld: Vec<ToBalancer>,
}

#[derive(Debug)]
struct NodeEndpoint {
    node_reachability: Reachability,
    /// What the links to the balancers let through.
    link_reachability: Vec<Reachability>,
    /// By balancer; none while refused.
    listeners: Vec<Option<Listener>>,
    addresses: Vec<SocketAddr>,
    /// What keeps the queues full while silent, by balancer.
    filling: Vec<Vec<TcpStream>>,
}

impl NodeEndpoint {
    /// How a balancer's connections meet the node now.
    fn reachability(&self, balancer: BalancerId) -> Reachability {
        worse(self.node_reachability, self.link_reachability[balancer.0 as usize])
    }
}

/// The nodes.
#[derive(Debug)]
pub struct Nodes {
    endpoints: Vec<NodeEndpoint>,
    links: BTreeMap<LinkId, Link>,
    next: u64,
    /// The day has not begun: the node accepts everything at once, without the harness.
    is_before_day: bool,
    /// Lines that came before their connection stood.
    pub early: u64,
}

impl Nodes {
    /// Listens for all nodes and balancers.
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
            let at = listeners.iter().flatten().map(Listener::address).collect();
            let filling = listeners.iter().map(|_| Vec::new()).collect();
            let links = vec![Reachability::Open; listeners.len()];
            endpoints.push(NodeEndpoint {
                node_reachability: Reachability::Open,
                link_reachability: links,
                listeners,
                addresses: at,
                filling,
            });
        }
        Ok(Nodes { endpoints, links: BTreeMap::new(), next: 1, is_before_day: true, early: 0 })
    }

    /// Where each balancer reaches each node.
    pub fn addresses(&self, balancers: u32) -> Vec<Vec<SocketAddr>> {
        (0..balancers as usize)
            .map(|balancer| self.endpoints.iter().map(|s| s.addresses[balancer]).collect())
            .collect()
    }

    /// Begins the day: from now on the world decides the answers.
    pub fn begin_day(&mut self) {
        self.is_before_day = false;
    }

    /// Connections that are open, first lines or not.
    pub fn open_links(&self) -> usize {
        self.links.len()
    }

    /// The node and connection of a link.
    pub fn node_and_conn(&self, link: LinkId) -> Option<(NodeId, Option<ConnId>)> {
        self.links.get(&link).map(|l| (l.node, l.conn))
    }

    /// Sets how a node's machine answers connections from now on.
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

    /// The links between a node and a balancer let through so much from now on. What the node has said meanwhile and
    /// now arrives is appended.
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
            let of = self.links.values_mut().filter(|l| (l.node, l.balancer) == (node, balancer));
            arrives.extend(of.flat_map(|l| l.withheld.drain(..)).map(|what| (balancer, what)));
        }
        Ok(())
    }

    fn is_blocked(&self, node: NodeId, balancer: BalancerId) -> bool {
        matches!(
            self.endpoints[node.0 as usize].link_reachability[balancer.0 as usize],
            Reachability::Silent | Reachability::Mute
        )
    }

    /// Takes what a node says on a link if the link lets nothing through.
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
        let of =
            self.links.iter().filter(|(_, l)| (l.node, l.balancer) == (node, balancer)).map(|(id, _)| *id);
        let ids: Vec<LinkId> = of.collect();
        ids.iter().for_each(|id| self.remove(net, *id, End::Reset));
        ids
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
            endpoint.filling[at].clear();
            endpoint.listeners[at].iter().try_for_each(Listener::resume_accepting)?;
        }
        match reachability {
            Reachability::Refused => endpoint.listeners[at].take().into_iter().for_each(|listener| {
                net.close_listener(listener);
            }),
            Reachability::Silent => {
                if let Some(listener) = &endpoint.listeners[at] {
                    endpoint.filling[at] = listener.stop_accepting()?;
                }
            }
            Reachability::Open | Reachability::Mute => {
                if endpoint.listeners[at].is_none() {
                    endpoint.listeners[at] =
                        Some(net.listen(endpoint.addresses[at], Role::NodeListener(balancer, node))?);
                }
            }
        }
        let of =
            self.links.iter().filter(|(_, l)| (l.node, l.balancer) == (node, balancer)).map(|(id, _)| *id);
        let of: Vec<LinkId> = of.collect();
        for id in of {
            // Who has said nothing is unknown to the world, which ends all others of a dead process.
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

    /// Sends the replies that a stalled node has not sent.
    fn send_withheld_replies(&mut self, net: &mut Net, id: LinkId, observations: &mut Observations) {
        if let Some(link) = self.links.get_mut(&id).filter(|l| !l.unsent_replies.is_empty()) {
            let owed = std::mem::take(&mut link.unsent_replies);
            link.connection.send(net, &owed);
            let lines = owed.windows(2).filter(|w| w == b"\r\n").count();
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
        let mut came = Vec::new();
        while let Some(stream) =
            endpoint.listeners[balancer.0 as usize].as_ref().and_then(|listener| net.accept(listener))
        {
            came.push(stream);
        }
        for stream in came {
            let id = LinkId(self.next);
            self.next += 1;
            // One that broke while it waited is no link.
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
        loop {
            match link.connection.next_line() {
                Ok(Some(line)) => match (link.stage, line) {
                    (Stage::FirstLine | Stage::Probes, b"PING" | b"STATS") => {
                        if link.stage == Stage::FirstLine {
                            let (balancer, node) = (link.balancer, link.node);
                            observations
                                .push((balancer, FromBalancer::Link { link: id, node, conn: None }.into()));
                            observations.push((balancer, FromBalancer::Probe(id).into()));
                        } else if reachability == Reachability::Open {
                            // The world knows one probe a link; further ones are answered here.
                            link.connection.send(net, Message::Pong.to_string().as_bytes());
                        }
                        link.stage = Stage::Probes;
                    }
                    (Stage::FirstLine, line) => match connection_log.classify_first_line(link.balancer, line)
                    {
                        FirstLine::Sent(conn, patience) => {
                            (link.conn, link.stage) = (Some(conn), Stage::AwaitingAnswer);
                            if self.is_before_day {
                                let up =
                                    Message::Accepted(connection_log.accept(conn, id).as_bytes()).to_string();
                                link.stage = Stage::Established;
                                link.connection.send(net, up.as_bytes());
                            }
                            let node = link.node;
                            observations.push((
                                link.balancer,
                                FromBalancer::Link { link: id, node, conn: Some(conn) }.into(),
                            ));
                            observations.push((
                                link.balancer,
                                FromBalancer::Forward { link: id, timeout: patience }.into(),
                            ));
                        }
                        FirstLine::Unusable => {
                            link.stage = Stage::Over;
                            link.connection.send(net, Message::Failed.to_string().as_bytes());
                            link.connection.finish(net);
                        }
                        FirstLine::Unknown => {
                            link.stage = Stage::Over;
                            link.connection.send(net, Message::Malformed.to_string().as_bytes());
                            link.connection.finish(net);
                            observations
                                .push((link.balancer, FromBalancer::MalformedRequest(link.node).into()));
                        }
                    },
                    (Stage::Established, line) => {
                        let answer = [line, b"\r\n"].concat();
                        if let Some(conn) = link.conn.filter(|_| !self.is_before_day) {
                            observations
                                .push((link.balancer, ConnectionObservation::LineAtNode(conn).into()));
                        }
                        if reachability == Reachability::Mute {
                            if link.unsent_replies.len() < MAX_UNSENT_REPLY_BYTES {
                                link.unsent_replies.extend(answer);
                            }
                        } else {
                            link.connection.send(net, &answer);
                            if !self.is_before_day {
                                observations
                                    .push((link.balancer, ConnectionObservation::LineReturned(id).into()));
                            }
                        }
                    }
                    (Stage::AwaitingAnswer | Stage::Probes, _) => self.early += 1,
                    (Stage::Over, _) => {}
                },
                Ok(None) => break,
                // No client sends such a line, so no balancer may.
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
            // Clients' lines are returned as they come.
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
