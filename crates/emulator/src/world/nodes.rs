//! Messages to and from nodes, and faults of nodes.

use rand::Rng;

use super::conns::Stage;
use super::links::LinkStage;
use super::{BalancerArrival, ClientArrival, Event, Mode, NodeArrival, World, WorldListener};
use crate::audit::Health;
use crate::audit::Observation;
use crate::edge::{ConnId, End, LinkId, NodeId, NodeMessage, Reachability};
use crate::environment::NodeEvent;
use crate::node::{Accepts, NodeInput, NodeOutput};

impl World {
    /// How a node's machine reacts to connections now, for a driver with real listeners.
    pub fn reachability(&self, node: NodeId) -> Reachability {
        let at = &self.nodes[node.0 as usize];
        match (at.model.accepts(self.now), at.silent) {
            (Accepts::Refused, _) => Reachability::Refused,
            (Accepts::Silent, _) => Reachability::Silent,
            (Accepts::Yes, true) => Reachability::Mute,
            (Accepts::Yes, false) => Reachability::Open,
        }
    }

    /// Schedules a node's next wake-up, if it is earlier than the one that is scheduled.
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
            // This wake-up was replaced by an earlier one, which has been handled.
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
            NodeOutput::AttemptArrived { link, weight, cold } => {
                if let Some(l) = self.links.get(link) {
                    let (balancer, balancer_link) = (l.balancer, l.balancer_link);
                    listener.observe(
                        self.now,
                        Observation::AttemptArrived { balancer, link: balancer_link, node, weight, cold },
                    );
                }
            }
            NodeOutput::Silent(silent) => self.set_node_silent(node, silent, listener),
            NodeOutput::Overloaded => {
                listener.observe(self.now, Observation::NodeHealth(node, Health::Down));
                self.break_node_pairs(node);
            }
        }
    }

    /// Ends the service of a client whose node has closed the connection.
    fn end_service_by_node(&mut self, id: LinkId) {
        let Some(l) = self.links.get(id) else { return };
        if let (Some(conn), LinkStage::Established) = (l.conn, l.stage)
            && self.conns.get(conn).is_some_and(|c| c.link == Some(id) && c.stage == Stage::Established)
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
        l.closed_by_node = true;
        if l.closed_by_balancer {
            // The balancer has closed the link too, so nothing more needs to reach it. The balancer's close is in
            // transit or has arrived.
            return self.remove_link(id);
        }
        self.send_to_balancer_on_link(id, BalancerArrival::Ended(end));
    }

    fn send_to_balancer_on_link(&mut self, id: LinkId, what: BalancerArrival) {
        let Some((b, node)) =
            self.links.get(id).filter(|l| !l.closed_by_balancer).map(|l| (l.balancer, l.node))
        else {
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
                if l.stage != LinkStage::Opening {
                    self.handle_node_input(node, NodeInput::Close { link: id }, listener);
                }
                self.remove_link(id);
            }
            NodeArrival::FirstLine | NodeArrival::Probe if l.closed_by_balancer => {}
            NodeArrival::FirstLine | NodeArrival::Probe => {
                match self.nodes[node.0 as usize].model.accepts(now) {
                    Accepts::Refused => {
                        if let Some(l) = self.links.get_mut(id) {
                            l.closed_by_node = true;
                        }
                        if l.uses_pair {
                            self.pairs.disconnect(Some(l.balancer), Some(node));
                        }
                        self.send_to_balancer_on_link(id, BalancerArrival::Failed);
                    }
                    // Nothing is returned, so the balancer has to give up by itself.
                    Accepts::Silent => {}
                    Accepts::Yes => {
                        if matches!(what, NodeArrival::FirstLine) {
                            self.series.on_setup_received(now, node);
                        }
                        if let Some(l) = self.links.get_mut(id) {
                            l.stage = LinkStage::Requested;
                        }
                        if self.pairs.on_established(l.balancer, node) {
                            self.score.on_handshake(now);
                            self.score.set_open_pairs(now, self.pairs.open_count());
                        }
                        self.send_to_balancer_on_link(id, BalancerArrival::Up);
                        let input = match l.conn.and_then(|c| self.conns.get(c)) {
                            None => NodeInput::Probe { link: id },
                            Some(c) => {
                                let patience = (c.sent_at + c.request.timeout).saturating_sub(now);
                                NodeInput::Open {
                                    link: id,
                                    by: l.balancer,
                                    ask: c.request,
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
            NodeEvent::Start => listener.observe(now, Observation::NodeHealth(node, Health::Started)),
            NodeEvent::Stop | NodeEvent::Crash => {
                listener.observe(now, Observation::NodeHealth(node, Health::Down));
            }
            _ => {}
        }
        self.handle_node_input(node, input, listener);
        if matches!(event, NodeEvent::Stop | NodeEvent::Crash) {
            self.break_node_pairs(node);
        }
    }

    fn break_node_pairs(&mut self, node: NodeId) {
        self.pairs.disconnect(None, Some(node));
    }

    /// Records that a node becomes silent or is no longer silent. In virtual time the lines of clients on
    /// established connections matter only then, and are events only then: each client's next line, which
    /// gets no answer, and the replies once the node is no longer silent.
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
        listener.observe(self.now, Observation::NodeHealth(node, health));
        if self.mode == Mode::Sockets {
            return;
        }
        let up: Vec<(LinkId, ConnId, bool)> = self
            .links
            .iter()
            .filter(|(_, l)| {
                l.node == node
                    && l.stage == LinkStage::Established
                    && !l.closed_by_balancer
                    && !l.closed_by_node
            })
            .filter_map(|(id, l)| Some((id, l.conn?, l.awaits_reply)))
            .collect();
        let every = self.day.clients.line_every.max(1);
        for (id, conn, asked) in up {
            if silent {
                let phase = self.line_rng.random_range(0..every);
                self.queue.push(self.now + phase, Event::ClientLineDue(conn));
            } else if asked {
                self.send_from_node(id, NodeMessage::Reply);
            }
        }
    }

    /// Sends a client's line that is due; lines are events only while the client's node is silent.
    pub(super) fn on_line_due(&mut self, conn: ConnId, listener: &mut impl WorldListener) {
        let Some(c) = self.conns.get(conn).filter(|c| c.stage == Stage::Established) else { return };
        let silent =
            c.link.and_then(|l| self.links.get(l)).is_some_and(|l| self.nodes[l.node.0 as usize].silent);
        if silent {
            self.on_arrival_from_client(conn, ClientArrival::Line, listener);
        }
    }
}
