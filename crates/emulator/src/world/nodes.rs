//! What nodes hear and say, and what happens to them.

use rand::Rng;

use super::conns::Stage;
use super::links::At;
use super::*;
use crate::audit::Health;
use crate::environment::NodeEvent;
use crate::node::{Accepts, NodeInput};

impl World {
    /// How a node's machine meets connections now, for the driver that has listeners.
    pub fn reach(&self, node: NodeId) -> Reachability {
        let at = &self.nodes[node.0 as usize];
        match (at.model.accepts(self.now), at.silent) {
            (Accepts::Refused, _) => Reachability::Refused,
            (Accepts::Silent, _) => Reachability::Silent,
            (Accepts::Yes, true) => Reachability::Mute,
            (Accepts::Yes, false) => Reachability::Open,
        }
    }

    /// Puts a node's next wake into the queue, if it is a new one.
    pub(super) fn wake(&mut self, node: NodeId) {
        let at = &mut self.nodes[node.0 as usize];
        let due = at.model.next_due();
        if let Some(due) = due.filter(|due| at.wake.is_none_or(|wake| *due < wake)) {
            at.wake = Some(due);
            self.queue.push(due.max(self.now), Event::Wake(node));
        }
    }

    pub(super) fn node_wakes(&mut self, node: NodeId, ear: &mut impl WorldListener) {
        let at = &mut self.nodes[node.0 as usize];
        if at.wake.is_some_and(|wake| wake > self.now) {
            // An earlier wake took its place.
            return;
        }
        at.wake = None;
        let mut out = std::mem::take(&mut self.buffers.node);
        at.model.advance(self.now, &mut out);
        out.drain(..).for_each(|what| self.node_did(node, what, ear));
        self.buffers.node = out;
        self.wake(node);
    }

    /// Something comes at a node's model.
    pub(super) fn node_hears(&mut self, node: NodeId, what: NodeInput, ear: &mut impl WorldListener) {
        let mut out = std::mem::take(&mut self.buffers.node);
        self.nodes[node.0 as usize].model.handle(self.now, what, &mut out);
        out.drain(..).for_each(|what| self.node_did(node, what, ear));
        self.buffers.node = out;
        self.wake(node);
    }

    fn node_did(&mut self, node: NodeId, what: NodeOutput, ear: &mut impl WorldListener) {
        match what {
            NodeOutput::Says(link, word) => self.node_says(link, word),
            NodeOutput::Ends(link, end) => {
                self.broken_by_node(link);
                self.node_ends(link, end);
            }
            NodeOutput::Reached { link, weight, cold } => {
                if let Some(l) = self.links.get(link) {
                    let (by, theirs) = (l.balancer, l.theirs);
                    ear.fact(self.now, Observation::Reached { by, link: theirs, node, weight, cold });
                }
            }
            NodeOutput::Silent(silent) => self.falls_silent(node, silent, ear),
            NodeOutput::Fallen => {
                ear.fact(self.now, Observation::Node(node, Health::Down));
                self.process_gone(node);
            }
        }
    }

    /// A standing client's node has dropped it.
    fn broken_by_node(&mut self, id: LinkId) {
        let Some(l) = self.links.get(id) else { return };
        if let (Some(conn), At::Up) = (l.conn, l.at)
            && self.conns.get(conn).is_some_and(|c| c.link == Some(id) && c.stage == Stage::Standing)
        {
            self.stands_no_more(conn);
        }
    }

    /// A node's word is on its way to the balancer.
    pub(super) fn node_says(&mut self, id: LinkId, word: NodeMessage) {
        self.on_its_way(id, OnLink::Says(word));
    }

    pub(super) fn node_ends(&mut self, id: LinkId, end: End) {
        let Some(l) = self.links.get_mut(id) else { return };
        l.ended = true;
        if l.left {
            // The balancer's own end is on its way here, or has been.
            return self.link_over(id);
        }
        self.on_its_way(id, OnLink::Ended(end));
    }

    fn on_its_way(&mut self, id: LinkId, what: OnLink) {
        let Some((b, node)) = self.links.get(id).filter(|l| !l.left).map(|l| (l.balancer, l.node)) else {
            return;
        };
        let leg = self.leg(b, node);
        if let Some(l) = self.links.get_mut(id) {
            l.last_at_balancer = l.last_at_balancer.max(self.now + leg);
            self.queue.push(l.last_at_balancer, Event::Balancer(id, what));
        }
    }

    /// Something on a link has come at its node.
    pub(super) fn at_node(&mut self, id: LinkId, what: AtNode, ear: &mut impl WorldListener) {
        let now = self.now;
        let Some(l) = self.links.get(id).copied() else { return };
        let node = l.node;
        match what {
            AtNode::Ended => {
                if l.at != At::Coming {
                    self.node_hears(node, NodeInput::Close { link: id }, ear);
                }
                self.link_over(id);
            }
            AtNode::First | AtNode::Probe if l.left => {}
            AtNode::First | AtNode::Probe => match self.nodes[node.0 as usize].model.accepts(now) {
                Accepts::Refused => {
                    if let Some(l) = self.links.get_mut(id) {
                        l.ended = true;
                    }
                    if l.paired {
                        self.pairs.broke(Some(l.balancer), Some(node));
                    }
                    self.on_its_way(id, OnLink::Failed);
                }
                // Nothing comes back; the balancer will give up.
                Accepts::Silent => {}
                Accepts::Yes => {
                    if matches!(what, AtNode::First) {
                        self.series.set_up(now, node);
                    }
                    if let Some(l) = self.links.get_mut(id) {
                        l.at = At::Asked;
                    }
                    if self.pairs.came_up(l.balancer, node) {
                        self.score.handshake(now);
                        self.score.pairs(now, self.pairs.open());
                    }
                    self.on_its_way(id, OnLink::Up);
                    let heard = match l.conn.and_then(|c| self.conns.get(c)) {
                        None => NodeInput::Probe { link: id },
                        Some(c) => {
                            let patience = (c.sent + c.ask.patience).saturating_sub(now);
                            NodeInput::Open {
                                link: id,
                                by: l.balancer,
                                ask: c.ask,
                                profile: c.profile,
                                patience,
                            }
                        }
                    };
                    self.node_hears(node, heard, ear);
                }
            },
        }
    }

    pub(super) fn node_turns(&mut self, node: NodeId, turn: NodeEvent, ear: &mut impl WorldListener) {
        let now = self.now;
        self.discovery.node(now, node, turn);
        let heard = match turn {
            NodeEvent::Drain => NodeInput::Drain,
            NodeEvent::Stop => NodeInput::Stop,
            NodeEvent::Crash => NodeInput::Crash,
            NodeEvent::Start => NodeInput::Start,
            NodeEvent::Fault { kind, on, size } => NodeInput::Fault { kind, on, size },
        };
        match turn {
            NodeEvent::Start => ear.fact(now, Observation::Node(node, Health::Started)),
            NodeEvent::Stop | NodeEvent::Crash => ear.fact(now, Observation::Node(node, Health::Down)),
            _ => {}
        }
        self.node_hears(node, heard, ear);
        if matches!(turn, NodeEvent::Stop | NodeEvent::Crash) {
            self.process_gone(node);
        }
    }

    fn process_gone(&mut self, node: NodeId) {
        self.pairs.broke(None, Some(node));
    }

    /// A node falls silent, or speaks again. Only now do the lines of its standing clients matter, so only now are
    /// they events: each client's next line, unanswered; and the answers when the node speaks again.
    fn falls_silent(&mut self, node: NodeId, silent: bool, ear: &mut impl WorldListener) {
        let at = &mut self.nodes[node.0 as usize];
        if std::mem::replace(&mut at.silent, silent) == silent {
            return;
        }
        let health = match (silent, at.model.accepts(self.now)) {
            (false, _) => Health::Answers,
            (true, Accepts::Silent) => Health::CutOff,
            (true, _) => Health::Silent,
        };
        ear.fact(self.now, Observation::Node(node, health));
        if self.mode == Mode::Sockets {
            return;
        }
        let up: Vec<(LinkId, ConnId, bool)> = self
            .links
            .iter()
            .filter(|(_, l)| l.node == node && l.at == At::Up && !l.left && !l.ended)
            .filter_map(|(id, l)| Some((id, l.conn?, l.asked)))
            .collect();
        let every = self.day.clients.line_every.max(1);
        for (id, conn, asked) in up {
            if silent {
                let phase = self.lines.random_range(0..every);
                self.queue.push(self.now + phase, Event::Line(conn));
            } else if asked {
                self.node_says(id, NodeMessage::Reply);
            }
        }
    }

    /// A standing client's line is due; it is an event only while the client's node is silent.
    pub(super) fn line_due(&mut self, conn: ConnId, ear: &mut impl WorldListener) {
        let Some(c) = self.conns.get(conn).filter(|c| c.stage == Stage::Standing) else { return };
        let silent =
            c.link.and_then(|l| self.links.get(l)).is_some_and(|l| self.nodes[l.node.0 as usize].silent);
        if silent {
            self.client_says(conn, FromClient::Line, ear);
        }
    }
}
