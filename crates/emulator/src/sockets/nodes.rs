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
const OWED_MOST: usize = 64 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its first line has not come.
    FirstLine,
    /// It carries probes.
    Probes,
    /// It has asked for a client.
    Asked,
    /// It stands.
    Stands,
    /// The node has ended it.
    Over,
}

#[derive(Debug)]
struct Link {
    wire: LineConnection,
    who: BalancerId,
    node: NodeId,
    conn: Option<ConnId>,
    stage: Stage,
    owed: Vec<u8>,
    /// What the node has said while its words were lost on the link.
    withheld: Vec<ToBalancer>,
}

#[derive(Debug)]
struct Seat {
    reach: Reachability,
    /// What the links to the balancers let through.
    links: Vec<Reachability>,
    /// By balancer; none while refused.
    ears: Vec<Option<Listener>>,
    at: Vec<SocketAddr>,
    /// What keeps the queues full while silent, by balancer.
    filling: Vec<Vec<TcpStream>>,
}

impl Seat {
    /// How a balancer's connections meet the node now.
    fn reach(&self, who: BalancerId) -> Reachability {
        worse(self.reach, self.links[who.0 as usize])
    }
}

/// The nodes.
#[derive(Debug)]
pub struct Nodes {
    seats: Vec<Seat>,
    links: BTreeMap<LinkId, Link>,
    next: u64,
    /// The node takes everything at once and asks nobody: before the day begins.
    alone: bool,
    /// Lines that came before their connection stood.
    pub early: u64,
}

impl Nodes {
    /// Listens for all nodes and balancers.
    pub fn new(net: &mut Net, addresses: Addresses, balancers: u32, nodes: u32) -> io::Result<Self> {
        let mut seats = Vec::new();
        for node in (0..nodes).map(NodeId) {
            let mut ears = Vec::new();
            for who in (0..balancers).map(BalancerId) {
                ears.push(Some(net.listen(addresses.node(who, node), Role::NodeEar(who, node))?));
            }
            let at = ears.iter().flatten().map(Listener::address).collect();
            let filling = ears.iter().map(|_| Vec::new()).collect();
            let links = vec![Reachability::Open; ears.len()];
            seats.push(Seat { reach: Reachability::Open, links, ears, at, filling });
        }
        Ok(Nodes { seats, links: BTreeMap::new(), next: 1, alone: true, early: 0 })
    }

    /// Where each balancer reaches each node.
    pub fn addresses(&self, balancers: u32) -> Vec<Vec<SocketAddr>> {
        (0..balancers as usize).map(|who| self.seats.iter().map(|s| s.at[who]).collect()).collect()
    }

    /// From now on the world answers.
    pub fn day_begins(&mut self) {
        self.alone = false;
    }

    /// Connections that are open, first lines or not.
    pub fn open_links(&self) -> usize {
        self.links.len()
    }

    /// The node and connection of a link.
    pub fn of(&self, link: LinkId) -> Option<(NodeId, Option<ConnId>)> {
        self.links.get(&link).map(|l| (l.node, l.conn))
    }

    /// A node's machine meets connections in this way from now on.
    pub fn reach(
        &mut self,
        net: &mut Net,
        node: NodeId,
        reach: Reachability,
        did: &mut Observations,
    ) -> io::Result<()> {
        let seat = &mut self.seats[node.0 as usize];
        if seat.reach == reach {
            return Ok(());
        }
        let before: Vec<Reachability> =
            (0..seat.links.len() as u32).map(|who| seat.reach(BalancerId(who))).collect();
        seat.reach = reach;
        for (who, before) in before.into_iter().enumerate() {
            self.meets(net, node, BalancerId(who as u32), before, did)?;
        }
        Ok(())
    }

    /// The links between a node and a balancer let through so much from now on. What the node has said meanwhile and
    /// now arrives is appended.
    pub fn link(
        &mut self,
        net: &mut Net,
        (node, who): (NodeId, BalancerId),
        reach: Reachability,
        did: &mut Observations,
        arrives: &mut Vec<(BalancerId, ToBalancer)>,
    ) -> io::Result<()> {
        let seat = &mut self.seats[node.0 as usize];
        let before = seat.reach(who);
        seat.links[who.0 as usize] = reach;
        self.meets(net, node, who, before, did)?;
        if !self.lets_nothing_through(node, who) {
            let of = self.links.values_mut().filter(|l| (l.node, l.who) == (node, who));
            arrives.extend(of.flat_map(|l| l.withheld.drain(..)).map(|what| (who, what)));
        }
        Ok(())
    }

    fn lets_nothing_through(&self, node: NodeId, who: BalancerId) -> bool {
        matches!(self.seats[node.0 as usize].links[who.0 as usize], Reachability::Silent | Reachability::Mute)
    }

    /// Takes what a node says on a link if the link lets nothing through.
    pub fn withholds(&mut self, id: LinkId, what: &ToBalancer) -> bool {
        let Some((node, who)) = self.links.get(&id).map(|l| (l.node, l.who)) else { return false };
        if !self.lets_nothing_through(node, who) {
            return false;
        }
        self.links.get_mut(&id).into_iter().for_each(|l| l.withheld.push(what.clone()));
        true
    }

    /// Resets all links between a node and a balancer; which ones.
    pub fn reset(&mut self, net: &mut Net, node: NodeId, who: BalancerId) -> Vec<LinkId> {
        let of = self.links.iter().filter(|(_, l)| (l.node, l.who) == (node, who)).map(|(id, _)| *id);
        let ids: Vec<LinkId> = of.collect();
        ids.iter().for_each(|id| self.end(net, *id, End::Reset));
        ids
    }

    /// Connections of a balancer meet a node otherwise than before, or not.
    fn meets(
        &mut self,
        net: &mut Net,
        node: NodeId,
        who: BalancerId,
        before: Reachability,
        did: &mut Observations,
    ) -> io::Result<()> {
        let (seat, at) = (&mut self.seats[node.0 as usize], who.0 as usize);
        let reach = seat.reach(who);
        if before == reach {
            return Ok(());
        }
        if before == Reachability::Silent {
            seat.filling[at].clear();
            seat.ears[at].iter().try_for_each(Listener::speak_again)?;
        }
        match reach {
            Reachability::Refused => seat.ears[at].take().into_iter().for_each(|ear| {
                net.deafen(ear);
            }),
            Reachability::Silent => {
                if let Some(ear) = &seat.ears[at] {
                    seat.filling[at] = ear.fall_silent()?;
                }
            }
            Reachability::Open | Reachability::Mute => {
                if seat.ears[at].is_none() {
                    seat.ears[at] = Some(net.listen(seat.at[at], Role::NodeEar(who, node))?);
                }
            }
        }
        let of = self.links.iter().filter(|(_, l)| (l.node, l.who) == (node, who)).map(|(id, _)| *id);
        let of: Vec<LinkId> = of.collect();
        for id in of {
            // Who has said nothing is unknown to the world, which ends all others of a dead process.
            if reach == Reachability::Refused && self.links[&id].stage == Stage::FirstLine {
                self.end(net, id, End::Reset);
            } else if before == Reachability::Silent {
                net.call_again(Role::Link(id));
            }
            if reach == Reachability::Open {
                self.pay(net, id, did);
            }
        }
        Ok(())
    }

    /// Returns the lines that a hung node owes.
    fn pay(&mut self, net: &mut Net, id: LinkId, did: &mut Observations) {
        if let Some(link) = self.links.get_mut(&id).filter(|l| !l.owed.is_empty()) {
            let owed = std::mem::take(&mut link.owed);
            link.wire.say(net, &owed);
            let lines = owed.windows(2).filter(|w| w == b"\r\n").count();
            did.extend((0..lines).map(|_| (link.who, ConnectionObservation::Returned(id).into())));
        }
    }

    /// Connections wait to be accepted.
    pub fn called(
        &mut self,
        net: &mut Net,
        who: BalancerId,
        node: NodeId,
        book: &mut ConnectionLog,
        did: &mut Observations,
    ) {
        let seat = &self.seats[node.0 as usize];
        if seat.reach(who) == Reachability::Silent {
            return;
        }
        let mut came = Vec::new();
        while let Some(stream) = seat.ears[who.0 as usize].as_ref().and_then(|ear| net.accept(ear)) {
            came.push(stream);
        }
        for stream in came {
            let id = LinkId(self.next);
            self.next += 1;
            // One that broke while it waited is no link.
            let Ok(wire) = net.adopt(stream, Role::Link(id)) else { continue };
            let stage = Stage::FirstLine;
            self.links.insert(
                id,
                Link { wire, who, node, conn: None, stage, owed: Vec::new(), withheld: Vec::new() },
            );
            self.ready(net, id, Ready { role: Role::Link(id), read: true, write: true }, book, did);
        }
    }

    /// A link has something.
    pub fn ready(
        &mut self,
        net: &mut Net,
        id: LinkId,
        ready: Ready,
        book: &mut ConnectionLog,
        did: &mut Observations,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let reach = self.seats[link.node.0 as usize].reach(link.who);
        if reach == Reachability::Silent {
            return;
        }
        link.wire.ready(net, ready);
        loop {
            match link.wire.line() {
                Ok(Some(line)) => match (link.stage, line) {
                    (Stage::FirstLine | Stage::Probes, b"PING" | b"STATS") => {
                        if link.stage == Stage::FirstLine {
                            let (who, node) = (link.who, link.node);
                            did.push((who, FromBalancer::Link { link: id, node, conn: None }.into()));
                            did.push((who, FromBalancer::Probe(id).into()));
                        } else if reach == Reachability::Open {
                            // The world knows one probe a link; further ones are answered here.
                            link.wire.say(net, Message::Pong.to_string().as_bytes());
                        }
                        link.stage = Stage::Probes;
                    }
                    (Stage::FirstLine, line) => match book.read(link.who, line) {
                        FirstLine::Sent(conn, patience) => {
                            (link.conn, link.stage) = (Some(conn), Stage::Asked);
                            if self.alone {
                                let up = Message::Accepted(book.stands(conn, id).as_bytes()).to_string();
                                link.stage = Stage::Stands;
                                link.wire.say(net, up.as_bytes());
                            }
                            let node = link.node;
                            did.push((
                                link.who,
                                FromBalancer::Link { link: id, node, conn: Some(conn) }.into(),
                            ));
                            did.push((link.who, FromBalancer::Forward { link: id, patience }.into()));
                        }
                        FirstLine::Unusable => {
                            link.stage = Stage::Over;
                            link.wire.say(net, Message::Failed.to_string().as_bytes());
                            link.wire.finish(net);
                        }
                        FirstLine::Unknown => {
                            link.stage = Stage::Over;
                            link.wire.say(net, Message::Malformed.to_string().as_bytes());
                            link.wire.finish(net);
                            did.push((link.who, FromBalancer::Syntax(link.node).into()));
                        }
                    },
                    (Stage::Stands, line) => {
                        let answer = [line, b"\r\n"].concat();
                        if let Some(conn) = link.conn.filter(|_| !self.alone) {
                            did.push((link.who, ConnectionObservation::AtNode(conn).into()));
                        }
                        if reach == Reachability::Mute {
                            if link.owed.len() < OWED_MOST {
                                link.owed.extend(answer);
                            }
                        } else {
                            link.wire.say(net, &answer);
                            if !self.alone {
                                did.push((link.who, ConnectionObservation::Returned(id).into()));
                            }
                        }
                    }
                    (Stage::Asked | Stage::Probes, _) => self.early += 1,
                    (Stage::Over, _) => {}
                },
                Ok(None) => break,
                // No client sends such a line, so no balancer may.
                Err(_) => {
                    did.push((link.who, FromBalancer::Syntax(link.node).into()));
                    return self.end(net, id, End::Reset);
                }
            }
        }
        link.wire.tidy(net);
        if let Some(how) = link.wire.ended() {
            if !matches!(link.stage, Stage::FirstLine | Stage::Over) {
                did.push((link.who, FromBalancer::EndLink(id, how).into()));
            }
            self.end(net, id, End::Fin);
        }
    }

    /// A node says this on a link.
    pub fn says(&mut self, net: &mut Net, id: LinkId, what: NodeMessage, book: &mut ConnectionLog) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if self.seats[link.node.0 as usize].reach(link.who) == Reachability::Silent
            || link.stage == Stage::Over
        {
            return;
        }
        let text = match (what, link.conn) {
            (NodeMessage::Up, Some(conn)) => {
                link.stage = Stage::Stands;
                Message::Accepted(book.stands(conn, id).as_bytes()).to_string()
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
        link.wire.say(net, text.as_bytes());
    }

    /// A node ends a link.
    pub fn ends(&mut self, net: &mut Net, id: LinkId, how: End) {
        match self.links.get_mut(&id) {
            Some(link) if how == End::Fin => {
                link.stage = Stage::Over;
                link.wire.finish(net);
            }
            _ => self.end(net, id, End::Reset),
        }
    }

    fn end(&mut self, net: &mut Net, id: LinkId, how: End) {
        if let Some(link) = self.links.remove(&id) {
            net.close(link.wire, how);
        }
    }
}
