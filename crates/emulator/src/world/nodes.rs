//! Messages to and from nodes, and faults of nodes.

use rand::Rng;

use super::conns::Stage;
use super::links::At;
use super::{BalancerArrival, ClientArrival, Event, Mode, NodeArrival, World, WorldListener};
use crate::audit::Health;
use crate::audit::Observation;
use crate::edge::{ConnId, End, LinkId, NodeId, NodeMessage, Reachability};
use crate::environment::NodeEvent;
use crate::node::{Accepts, NodeInput, NodeOutput};

impl World {
    /// How a node's machine answers connections now, for a driver with real listeners.
    pub fn reachability(&self, node: NodeId) -> Reachability {
        let at = &self.nodes[node.0 as usize];
        match (at.model.accepts(self.now), at.silent) {
            (Accepts::Refused, _) => Reachability::Refused,
            (Accepts::Silent, _) => Reachability::Silent,
            (Accepts::Yes, true) => Reachability::Mute,
            (Accepts::Yes, false) => Reachability::Open,
        }
    }

    /// Puts a node's next wake into the queue, if it is a new one.
    pub(super) fn schedule_node_wake(&mut self, node: NodeId) {
        let at = &mut self.nodes[node.0 as usize];
        let due = at.model.next_due();
        if let Some(due) = due.filter(|due| at.wake.is_none_or(|wake| *due < wake)) {
            at.wake = Some(due);
            self.queue.push(due.max(self.now), Event::NodeWake(node));
        }
    }

    pub(super) fn on_node_wake(&mut self, node: NodeId, listener: &mut impl WorldListener) {
        let at = &mut self.nodes[node.0 as usize];
        if at.wake.is_some_and(|wake| wake > self.now) {
            // An earlier wake took its place.
            return;
        }
        at.wake = None;
        let mut out = std::mem::take(&mut self.buffers.node_outputs);
        at.model.advance(self.now, &mut out);
        out.drain(..).for_each(|what| self.handle_node_output(node, what, listener));
        self.buffers.node_outputs = out;
        self.schedule_node_wake(node);
    }

    /// Passes an input to a node's model and handles its outputs.
    pub(super) fn handle_node_input(
        &mut self,
        node: NodeId,
        what: NodeInput,
        listener: &mut impl WorldListener,
    ) {
        let mut out = std::mem::take(&mut self.buffers.node_outputs);
        self.nodes[node.0 as usize].model.handle(self.now, what, &mut out);
        out.drain(..).for_each(|what| self.handle_node_output(node, what, listener));
        self.buffers.node_outputs = out;
        self.schedule_node_wake(node);
    }

    fn handle_node_output(&mut self, node: NodeId, what: NodeOutput, listener: &mut impl WorldListener) {
        match what {
            NodeOutput::Message(link, message) => self.send_from_node(link, message),
            NodeOutput::Close(link, end) => {
                self.end_service_by_node(link);
                self.close_from_node(link, end);
            }
            NodeOutput::Reached { link, weight, cold } => {
                if let Some(l) = self.links.get(link) {
                    let (by, theirs) = (l.balancer, l.theirs);
                    listener.fact(
                        self.now,
                        Observation::AttemptArrived { balancer: by, link: theirs, node, weight, cold },
                    );
                }
            }
            NodeOutput::Silent(silent) => self.set_node_silent(node, silent, listener),
            NodeOutput::Overloaded => {
                listener.fact(self.now, Observation::NodeHealth(node, Health::Down));
                self.break_node_pairs(node);
            }
        }
    }

    /// Ends a client's service whose node has dropped the connection.
    fn end_service_by_node(&mut self, id: LinkId) {
        let Some(l) = self.links.get(id) else { return };
        if let (Some(conn), At::Up) = (l.conn, l.at)
            && self.conns.get(conn).is_some_and(|c| c.link == Some(id) && c.stage == Stage::Standing)
        {
            self.end_service(conn);
        }
    }

    /// Sends a node's message to the balancer.
    pub(super) fn send_from_node(&mut self, id: LinkId, message: NodeMessage) {
        self.send_to_balancer_on_link(id, BalancerArrival::Message(message));
    }

    pub(super) fn close_from_node(&mut self, id: LinkId, end: End) {
        let Some(l) = self.links.get_mut(id) else { return };
        l.ended = true;
        if l.left {
            // The balancer's own end is on its way here, or has been.
            return self.remove_link(id);
        }
        self.send_to_balancer_on_link(id, BalancerArrival::Ended(end));
    }

    fn send_to_balancer_on_link(&mut self, id: LinkId, what: BalancerArrival) {
        let Some((b, node)) = self.links.get(id).filter(|l| !l.left).map(|l| (l.balancer, l.node)) else {
            return;
        };
        let leg = self.one_way_delay(b, node);
        if let Some(l) = self.links.get_mut(id) {
            l.last_at_balancer = l.last_at_balancer.max(self.now + leg);
            self.queue.push(l.last_at_balancer, Event::BalancerArrival(id, what));
        }
    }

    /// Handles what arrives at the node of a link.
    pub(super) fn on_arrival_at_node(
        &mut self,
        id: LinkId,
        what: NodeArrival,
        listener: &mut impl WorldListener,
    ) {
        let now = self.now;
        let Some(l) = self.links.get(id).copied() else { return };
        let node = l.node;
        match what {
            NodeArrival::Ended => {
                if l.at != At::Coming {
                    self.handle_node_input(node, NodeInput::Close { link: id }, listener);
                }
                self.remove_link(id);
            }
            NodeArrival::FirstLine | NodeArrival::Probe if l.left => {}
            NodeArrival::FirstLine | NodeArrival::Probe => {
                match self.nodes[node.0 as usize].model.accepts(now) {
                    Accepts::Refused => {
                        if let Some(l) = self.links.get_mut(id) {
                            l.ended = true;
                        }
                        if l.paired {
                            self.pairs.broke(Some(l.balancer), Some(node));
                        }
                        self.send_to_balancer_on_link(id, BalancerArrival::Failed);
                    }
                    // Nothing comes back; the balancer will give up.
                    Accepts::Silent => {}
                    Accepts::Yes => {
                        if matches!(what, NodeArrival::FirstLine) {
                            self.series.set_up(now, node);
                        }
                        if let Some(l) = self.links.get_mut(id) {
                            l.at = At::Asked;
                        }
                        if self.pairs.came_up(l.balancer, node) {
                            self.score.on_handshake(now);
                            self.score.set_open_pairs(now, self.pairs.open());
                        }
                        self.send_to_balancer_on_link(id, BalancerArrival::Up);
                        let input = match l.conn.and_then(|c| self.conns.get(c)) {
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
                        self.handle_node_input(node, input, listener);
                    }
                }
            }
        }
    }

    pub(super) fn apply_node_event(
        &mut self,
        node: NodeId,
        event: NodeEvent,
        listener: &mut impl WorldListener,
    ) {
        let now = self.now;
        self.discovery.on_node_event(now, node, event);
        let input = match event {
            NodeEvent::Drain => NodeInput::Drain,
            NodeEvent::Stop => NodeInput::Stop,
            NodeEvent::Crash => NodeInput::Crash,
            NodeEvent::Start => NodeInput::Start,
            NodeEvent::Fault { kind, on, size } => NodeInput::Fault { kind, on, size },
        };
        match event {
            NodeEvent::Start => listener.fact(now, Observation::NodeHealth(node, Health::Started)),
            NodeEvent::Stop | NodeEvent::Crash => {
                listener.fact(now, Observation::NodeHealth(node, Health::Down));
            }
            _ => {}
        }
        self.handle_node_input(node, input, listener);
        if matches!(event, NodeEvent::Stop | NodeEvent::Crash) {
            self.break_node_pairs(node);
        }
    }

    fn break_node_pairs(&mut self, node: NodeId) {
        self.pairs.broke(None, Some(node));
    }

    /// A node falls silent, or speaks again. Only now do the lines of its standing clients matter, so only now are
    /// they events: each client's next line, unanswered; and the answers when the node speaks again.
    fn set_node_silent(&mut self, node: NodeId, silent: bool, listener: &mut impl WorldListener) {
        let at = &mut self.nodes[node.0 as usize];
        if std::mem::replace(&mut at.silent, silent) == silent {
            return;
        }
        let health = match (silent, at.model.accepts(self.now)) {
            (false, _) => Health::Recovered,
            (true, Accepts::Silent) => Health::CutOff,
            (true, _) => Health::Silent,
        };
        listener.fact(self.now, Observation::NodeHealth(node, health));
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
                self.queue.push(self.now + phase, Event::ClientLineDue(conn));
            } else if asked {
                self.send_from_node(id, NodeMessage::Reply);
            }
        }
    }

    /// A standing client's line is due; it is an event only while the client's node is silent.
    pub(super) fn on_line_due(&mut self, conn: ConnId, listener: &mut impl WorldListener) {
        let Some(c) = self.conns.get(conn).filter(|c| c.stage == Stage::Standing) else { return };
        let silent =
            c.link.and_then(|l| self.links.get(l)).is_some_and(|l| self.nodes[l.node.0 as usize].silent);
        if silent {
            self.on_arrival_from_client(conn, ClientArrival::Line, listener);
        }
    }
}
