//! The actions of balancers, the messages of nodes to them, and their faults.

use super::conns::Stage;
use super::links::{Link, LinkStage};
use super::{BalancerArrival, ClientMessage, Event, Mode, NodeArrival, World, WorldListener, conns, rng};
use crate::edge::{Answer, BalancerId, ConnId, End, FromBalancer, LinkId, NodeId, NodeMessage, ToBalancer};
use crate::environment::BalancerEvent;
use crate::node::NodeInput;
use shorewharf_units::Micros;

impl World {
    /// Applies an action of a balancer at `now`.
    pub fn on_balancer_action(
        &mut self,
        now: Micros,
        balancer: BalancerId,
        what: FromBalancer,
        listener: &mut impl WorldListener,
    ) {
        self.now = self.now.max(now);
        self.events += 1;
        if !self.balancers[balancer.0 as usize].up {
            return;
        }
        match what {
            FromBalancer::Answer(conn, answer) => self.on_answer(balancer, conn, answer),
            FromBalancer::EndClient(conn, end) => {
                if self.finish_connection(balancer, conn) {
                    self.send_to_client(conn, ClientMessage::Ended(end));
                }
            }
            FromBalancer::Link { link, node, conn } => {
                self.on_link_opened(balancer, link, node, conn, listener);
            }
            FromBalancer::EndLink(link, _) => {
                if let Some(id) = self.links.find(balancer, link) {
                    self.close_from_balancer(id);
                }
            }
            FromBalancer::Watch => self.discovery.watch(self.now, balancer),
            // The world handles the first line or the probe as part of the link; on sockets these actions
            // follow that of the link.
            FromBalancer::Forward { .. } | FromBalancer::Probe(_) | FromBalancer::Pass(_) => {}
            FromBalancer::Ready => self.front.on_ready(self.now, balancer),
            FromBalancer::Unwatch => self.discovery.unwatch(balancer),
            FromBalancer::ConnectionRefused(conn) => {
                if self.finish_connection(balancer, conn) {
                    self.send_to_client(conn, ClientMessage::Ended(End::Reset));
                }
            }
            // Only the auditor uses it.
            FromBalancer::MalformedRequest(_) => {}
            FromBalancer::Exited => self.on_balancer_exit(balancer, listener),
        }
    }

    /// Marks the connection as finished at this balancer; returns whether it was not finished before.
    fn finish_connection(&mut self, balancer: BalancerId, conn: ConnId) -> bool {
        let unfinished = |c: &&mut conns::Conn| c.balancer == balancer && !c.is_done_at_balancer;
        self.conns.get_mut(conn).filter(unfinished).map(|c| c.is_done_at_balancer = true).is_some()
    }

    fn on_answer(&mut self, balancer: BalancerId, conn: ConnId, answer: Answer) {
        let message = match answer {
            Answer::Up(balancer_link) => {
                let established = self.links.find(balancer, balancer_link).filter(|id| {
                    self.links
                        .get(*id)
                        .is_some_and(|l| l.conn == Some(conn) && l.stage == LinkStage::Established)
                });
                let Some(id) = established else { return };
                if self.now == 0 {
                    // A connection from before the day is restored without delay.
                    return self.on_arrival_at_client(conn, ClientMessage::Up(id));
                }
                return self.send_to_client(conn, ClientMessage::Up(id));
            }
            Answer::Busy(after) => ClientMessage::Busy(after),
            Answer::Err | Answer::Other | Answer::Forged => ClientMessage::Err,
            Answer::Move => ClientMessage::Move { by_node: false },
        };
        let was_established = self.conns.get(conn).is_some_and(|c| c.stage == Stage::Established);
        if self.finish_connection(balancer, conn) {
            if matches!(answer, Answer::Move) && was_established {
                self.score.on_migration(self.now);
            }
            self.send_to_client(conn, message);
        }
    }

    fn on_link_opened(
        &mut self,
        b: BalancerId,
        balancer_link: LinkId,
        node: NodeId,
        conn: Option<ConnId>,
        listener: &mut impl WorldListener,
    ) {
        let now = self.now;
        let link = Link {
            balancer: b,
            balancer_link,
            node,
            conn,
            stage: LinkStage::Opening,
            closed_by_balancer: false,
            closed_by_node: false,
            closing_message: None,
            last_at_node: 0,
            last_at_balancer: 0,
            awaits_reply: false,
            uses_pair: true,
            has_answered: false,
        };
        let id = self.links.add(link);
        let home = conn.and_then(|c| self.conns.get_mut(c)).and_then(|c| {
            c.link = Some(id);
            c.request.previous_node
        });
        if home == Some(node) && now == 0 {
            return self.restore_link(id, listener);
        }
        let leg = self.one_way_delay(b, node);
        let handshake = match self.mode {
            Mode::Virtual => (self.day.limits.handshake_rtts * 2.0 * leg as f64) as Micros,
            Mode::Sockets => 0,
        };
        let up = self.pairs.acquire(now, b, node, handshake);
        match conn {
            Some(_) => {
                self.score.on_attempt(now);
                self.series.on_attempt_sent(now);
            }
            None => self.score.on_probe(now),
        }
        self.send_to_node(
            id,
            up + leg,
            if conn.is_some() { NodeArrival::FirstLine } else { NodeArrival::Probe },
        );
    }

    /// Restores a connection that was established before the day, without delay.
    fn restore_link(&mut self, id: LinkId, listener: &mut impl WorldListener) {
        let Some(l) = self.links.get_mut(id) else { return };
        l.stage = LinkStage::Established;
        l.uses_pair = false;
        let (b, balancer_link, node, conn) = (l.balancer, l.balancer_link, l.node, l.conn);
        if let Some(c) = conn.and_then(|c| self.conns.get(c)) {
            let input = NodeInput::InitialConnection { link: id, by: b, ask: c.request, profile: c.profile };
            self.handle_node_input(node, input, listener);
        }
        listener.deliver(self.now, b, ToBalancer::LinkUp(balancer_link));
        listener.deliver(self.now, b, ToBalancer::NodeMessage(balancer_link, NodeMessage::Up));
    }

    fn send_to_node(&mut self, id: LinkId, at: Micros, what: NodeArrival) {
        let Some(l) = self.links.get_mut(id) else { return };
        l.last_at_node = l.last_at_node.max(at);
        self.queue.push(l.last_at_node, Event::NodeArrival(id, what));
    }

    fn close_from_balancer(&mut self, id: LinkId) {
        let Some(l) = self.links.get_mut(id) else { return };
        if std::mem::replace(&mut l.closed_by_balancer, true) {
            return;
        }
        let (b, node, is_closed_by_node) = (l.balancer, l.node, l.closed_by_node);
        if is_closed_by_node {
            self.remove_link(id);
            return;
        }
        let leg = self.one_way_delay(b, node);
        self.send_to_node(id, self.now + leg, NodeArrival::Ended);
    }

    /// Removes a link that is closed at both ends.
    pub(super) fn remove_link(&mut self, id: LinkId) {
        if let Some(l) = self.links.remove(id).filter(|l| l.uses_pair) {
            self.pairs.release(self.now, l.balancer, l.node);
        }
    }

    /// Handles what arrives at the balancer of a link.
    pub(super) fn on_arrival_at_balancer(
        &mut self,
        id: LinkId,
        what: BalancerArrival,
        listener: &mut impl WorldListener,
    ) {
        let now = self.now;
        let Some(l) = self.links.get_mut(id) else { return };
        if l.closed_by_balancer {
            return;
        }
        let (b, balancer_link, conn, was_up) =
            (l.balancer, l.balancer_link, l.conn, l.stage == LinkStage::Established);
        match what {
            BalancerArrival::Up => listener.deliver(now, b, ToBalancer::LinkUp(balancer_link)),
            BalancerArrival::Failed => {
                if conn.is_some() {
                    self.series.on_attempt_ended("not connected");
                }
                listener.deliver(now, b, ToBalancer::LinkFailed(balancer_link));
                self.remove_link(id);
            }
            BalancerArrival::Message(message) => {
                let first = conn.is_some() && !was_up && !std::mem::replace(&mut l.has_answered, true);
                if message == NodeMessage::Up {
                    l.stage = LinkStage::Established;
                }
                if matches!(message, NodeMessage::Bye | NodeMessage::Move) {
                    l.closing_message = Some(message);
                }
                if message == NodeMessage::Reply {
                    l.awaits_reply = false;
                }
                if first {
                    self.series.on_attempt_answered(message);
                }
                listener.deliver(now, b, ToBalancer::NodeMessage(balancer_link, message));
                if let (NodeMessage::Bye | NodeMessage::Move, true, Some(conn)) = (message, was_up, conn) {
                    // The balancer relays the lines of an established connection.
                    self.send_to_client(
                        conn,
                        if message == NodeMessage::Bye {
                            ClientMessage::Bye
                        } else {
                            ClientMessage::Move { by_node: true }
                        },
                    );
                }
            }
            BalancerArrival::Ended(end) => {
                if conn.is_some() && !was_up && !l.has_answered {
                    self.series.on_attempt_ended("reset");
                }
                listener.deliver(now, b, ToBalancer::NodeEnded(balancer_link, end));
                self.remove_link(id);
            }
        }
    }

    pub(super) fn apply_balancer_event(
        &mut self,
        b: BalancerId,
        event: BalancerEvent,
        listener: &mut impl WorldListener,
    ) {
        match event {
            BalancerEvent::Start => self.start_balancer(b, listener),
            BalancerEvent::Kill => {
                if self.balancers[b.0 as usize].up {
                    listener.deliver(self.now, b, ToBalancer::Kill);
                    self.on_balancer_exit(b, listener);
                }
            }
            BalancerEvent::Terminate => {
                let at = &mut self.balancers[b.0 as usize];
                if at.up && !std::mem::replace(&mut at.terminating, true) {
                    self.front.on_terminate(self.now, b);
                    listener.deliver(self.now, b, ToBalancer::Terminate);
                }
            }
            BalancerEvent::Reload { moved } => {
                if self.balancers[b.0 as usize].up {
                    listener.deliver(self.now, b, ToBalancer::Reload { moved });
                }
            }
        }
    }

    fn start_balancer(&mut self, b: BalancerId, listener: &mut impl WorldListener) {
        let at = &mut self.balancers[b.0 as usize];
        if at.up {
            return;
        }
        at.up = true;
        at.terminating = false;
        at.incarnations += 1;
        let incarnation = at.incarnations;
        let seed = rand::Rng::random(&mut rng(self.day.seed, "balancer", u64::from(b.0) << 32 | incarnation));
        let known = self.discovery.known_list(b);
        listener.deliver(self.now, b, ToBalancer::Start { seed, known });
    }

    /// Breaks the connections of a balancer whose process has ended.
    fn on_balancer_exit(&mut self, b: BalancerId, _listener: &mut impl WorldListener) {
        let at = &mut self.balancers[b.0 as usize];
        if !std::mem::replace(&mut at.up, false) {
            return;
        }
        self.front.on_death(self.now, b);
        self.discovery.on_balancer_exit(b);
        let open: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|c| c.balancer == b && c.has_arrived && !c.is_done_at_balancer)
            .map(|c| c.request.conn)
            .collect();
        for conn in open {
            self.finish_connection(b, conn);
            self.send_to_client(conn, ClientMessage::Ended(End::Reset));
        }
        let links: Vec<LinkId> =
            self.links.iter().filter(|(_, l)| l.balancer == b).map(|(id, _)| id).collect();
        links.into_iter().for_each(|id| self.close_from_balancer(id));
        self.pairs.disconnect(Some(b), None);
    }
}
