//! Actions of balancers, and faults of balancers.

use super::conns::Stage;
use super::links::{At, Link};
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
                if let Some(id) = self.links.of(balancer, link) {
                    self.close_from_balancer(id);
                }
            }
            FromBalancer::Watch => self.discovery.watch(self.now, balancer),
            // In virtual time these follow from the link; on sockets they come with it.
            FromBalancer::Forward { .. } | FromBalancer::Probe(_) | FromBalancer::Pass(_) => {}
            FromBalancer::Ready => self.front.on_ready(self.now, balancer),
            FromBalancer::Unwatch => self.discovery.unwatch(balancer),
            FromBalancer::Refused(conn) => {
                if self.finish_connection(balancer, conn) {
                    self.send_to_client(conn, ClientMessage::Ended(End::Reset));
                }
            }
            // Told to whoever judges; it changes nothing here.
            FromBalancer::Syntax(_) => {}
            FromBalancer::Exited => self.on_balancer_exit(balancer, listener),
        }
    }

    /// Marks the connection as finished at this balancer; returns whether it was not finished before.
    fn finish_connection(&mut self, balancer: BalancerId, conn: ConnId) -> bool {
        let owed = |c: &&mut conns::Conn| c.balancer == balancer && !c.done;
        self.conns.get_mut(conn).filter(owed).map(|c| c.done = true).is_some()
    }

    fn on_answer(&mut self, balancer: BalancerId, conn: ConnId, answer: Answer) {
        let message = match answer {
            Answer::Up(theirs) => {
                let stands = self
                    .links
                    .of(balancer, theirs)
                    .filter(|id| self.links.get(*id).is_some_and(|l| l.conn == Some(conn) && l.at == At::Up));
                let Some(id) = stands else { return };
                if self.now == 0 {
                    // From before the day: no time passes.
                    return self.on_arrival_at_client(conn, ClientMessage::Up(id));
                }
                return self.send_to_client(conn, ClientMessage::Up(id));
            }
            Answer::Busy(after) => ClientMessage::Busy(after),
            Answer::Err | Answer::Other | Answer::Forged => ClientMessage::Err,
            Answer::Move => ClientMessage::Move { by_node: false },
        };
        let stood = self.conns.get(conn).is_some_and(|c| c.stage == Stage::Standing);
        if self.finish_connection(balancer, conn) {
            if matches!(answer, Answer::Move) && stood {
                self.score.on_migration(self.now);
            }
            self.send_to_client(conn, message);
        }
    }

    fn on_link_opened(
        &mut self,
        b: BalancerId,
        theirs: LinkId,
        node: NodeId,
        conn: Option<ConnId>,
        listener: &mut impl WorldListener,
    ) {
        let now = self.now;
        let link = Link {
            balancer: b,
            theirs,
            node,
            conn,
            at: At::Coming,
            left: false,
            ended: false,
            last: None,
            last_at_node: 0,
            last_at_balancer: 0,
            asked: false,
            paired: true,
            has_answered: false,
        };
        let id = self.links.add(link);
        let home = conn.and_then(|c| self.conns.get_mut(c)).and_then(|c| {
            c.link = Some(id);
            c.ask.home
        });
        if home == Some(node) && now == 0 {
            return self.restore_link(id, listener);
        }
        let leg = self.one_way_delay(b, node);
        let handshake = match self.mode {
            Mode::Virtual => (self.day.limits.handshake_rtts * 2.0 * leg as f64) as Micros,
            Mode::Sockets => 0,
        };
        let up = self.pairs.used(now, b, node, handshake);
        match conn {
            Some(_) => {
                self.score.on_attempt(now);
                self.series.sent(now);
            }
            None => self.score.on_probe(now),
        }
        self.send_to_node(
            id,
            up + leg,
            if conn.is_some() { NodeArrival::FirstLine } else { NodeArrival::Probe },
        );
    }

    /// Restores a connection from before the day without delay.
    fn restore_link(&mut self, id: LinkId, listener: &mut impl WorldListener) {
        let Some(l) = self.links.get_mut(id) else { return };
        l.at = At::Up;
        l.paired = false;
        let (b, theirs, node, conn) = (l.balancer, l.theirs, l.node, l.conn);
        if let Some(c) = conn.and_then(|c| self.conns.get(c)) {
            let input = NodeInput::Carry { link: id, by: b, ask: c.ask, profile: c.profile };
            self.handle_node_input(node, input, listener);
        }
        listener.to(self.now, b, ToBalancer::LinkUp(theirs));
        listener.to(self.now, b, ToBalancer::NodeSays(theirs, NodeMessage::Up));
    }

    fn send_to_node(&mut self, id: LinkId, at: Micros, what: NodeArrival) {
        let Some(l) = self.links.get_mut(id) else { return };
        l.last_at_node = l.last_at_node.max(at);
        self.queue.push(l.last_at_node, Event::NodeArrival(id, what));
    }

    fn close_from_balancer(&mut self, id: LinkId) {
        let Some(l) = self.links.get_mut(id) else { return };
        if std::mem::replace(&mut l.left, true) {
            return;
        }
        let (b, node, over) = (l.balancer, l.node, l.ended);
        if over {
            self.remove_link(id);
            return;
        }
        let leg = self.one_way_delay(b, node);
        self.send_to_node(id, self.now + leg, NodeArrival::Ended);
    }

    /// Removes a link that is closed at both ends.
    pub(super) fn remove_link(&mut self, id: LinkId) {
        if let Some(l) = self.links.remove(id).filter(|l| l.paired) {
            self.pairs.left(self.now, l.balancer, l.node);
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
        if l.left {
            return;
        }
        let (b, theirs, conn, was_up) = (l.balancer, l.theirs, l.conn, l.at == At::Up);
        match what {
            BalancerArrival::Up => listener.to(now, b, ToBalancer::LinkUp(theirs)),
            BalancerArrival::Failed => {
                if conn.is_some() {
                    self.series.attempt("not connected");
                }
                listener.to(now, b, ToBalancer::LinkFailed(theirs));
                self.remove_link(id);
            }
            BalancerArrival::Message(message) => {
                let first = conn.is_some() && !was_up && !std::mem::replace(&mut l.has_answered, true);
                if message == NodeMessage::Up {
                    l.at = At::Up;
                }
                if matches!(message, NodeMessage::Bye | NodeMessage::Move) {
                    l.last = Some(message);
                }
                if message == NodeMessage::Reply {
                    l.asked = false;
                }
                if first {
                    self.series.attempt_answered(message);
                }
                listener.to(now, b, ToBalancer::NodeSays(theirs, message));
                if let (NodeMessage::Bye | NodeMessage::Move, true, Some(conn)) = (message, was_up, conn) {
                    // Lines on a standing connection pass through.
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
                    self.series.attempt("reset");
                }
                listener.to(now, b, ToBalancer::NodeEnded(theirs, end));
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
                    listener.to(self.now, b, ToBalancer::Kill);
                    self.on_balancer_exit(b, listener);
                }
            }
            BalancerEvent::Terminate => {
                let at = &mut self.balancers[b.0 as usize];
                if at.up && !std::mem::replace(&mut at.terminating, true) {
                    self.front.on_terminate(self.now, b);
                    listener.to(self.now, b, ToBalancer::Terminate);
                }
            }
            BalancerEvent::Reload { moved } => {
                if self.balancers[b.0 as usize].up {
                    listener.to(self.now, b, ToBalancer::Reload { moved });
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
        let lives = at.incarnations;
        let seed = rand::Rng::random(&mut rng(self.day.seed, "balancer", u64::from(b.0) << 32 | lives));
        let known = self.discovery.known_list(b);
        listener.to(self.now, b, ToBalancer::Start { seed, known });
    }

    /// Breaks the connections of a balancer whose process has ended.
    fn on_balancer_exit(&mut self, b: BalancerId, _listener: &mut impl WorldListener) {
        let at = &mut self.balancers[b.0 as usize];
        if !std::mem::replace(&mut at.up, false) {
            return;
        }
        self.front.on_death(self.now, b);
        self.discovery.on_balancer_exit(b);
        let held: Vec<ConnId> =
            self.conns.iter().filter(|c| c.balancer == b && c.come && !c.done).map(|c| c.ask.conn).collect();
        for conn in held {
            self.finish_connection(b, conn);
            self.send_to_client(conn, ClientMessage::Ended(End::Reset));
        }
        let links: Vec<LinkId> =
            self.links.iter().filter(|(_, l)| l.balancer == b).map(|(id, _)| id).collect();
        links.into_iter().for_each(|id| self.close_from_balancer(id));
        self.pairs.broke(Some(b), None);
    }
}
