//! What balancers do, and what happens to them.

use super::conns::Stage;
use super::links::{At, Link};
use super::*;
use crate::environment::BalancerEvent;
use crate::node::NodeInput;

impl World {
    /// A balancer does something, now.
    pub fn did(
        &mut self,
        now: Micros,
        balancer: BalancerId,
        what: FromBalancer,
        ear: &mut impl WorldListener,
    ) {
        self.now = self.now.max(now);
        self.events += 1;
        if !self.balancers[balancer.0 as usize].up {
            return;
        }
        match what {
            FromBalancer::Answer(conn, answer) => self.answers(balancer, conn, answer),
            FromBalancer::EndClient(conn, end) => {
                if self.last_word(balancer, conn) {
                    self.send_to_client(conn, ClientMessage::Ended(end));
                }
            }
            FromBalancer::Link { link, node, conn } => self.links_to(balancer, link, node, conn, ear),
            FromBalancer::EndLink(link, _) => {
                if let Some(id) = self.links.of(balancer, link) {
                    self.balancer_ends(id);
                }
            }
            FromBalancer::Watch => self.discovery.watch(self.now, balancer),
            // In virtual time these follow from the link; on sockets they come with it.
            FromBalancer::Forward { .. } | FromBalancer::Probe(_) | FromBalancer::Pass(_) => {}
            FromBalancer::Ready => self.front.answered(self.now, balancer),
            FromBalancer::Unwatch => self.discovery.unwatch(balancer),
            FromBalancer::Refused(conn) => {
                if self.last_word(balancer, conn) {
                    self.send_to_client(conn, ClientMessage::Ended(End::Reset));
                }
            }
            // Told to whoever judges; it changes nothing here.
            FromBalancer::Syntax(_) => {}
            FromBalancer::Exited => self.balancer_gone(balancer, ear),
        }
    }

    /// Whether this balancer still owes this client something; from now on it does not.
    fn last_word(&mut self, balancer: BalancerId, conn: ConnId) -> bool {
        let owed = |c: &&mut conns::Conn| c.balancer == balancer && !c.done;
        self.conns.get_mut(conn).filter(owed).map(|c| c.done = true).is_some()
    }

    fn answers(&mut self, balancer: BalancerId, conn: ConnId, answer: Answer) {
        let word = match answer {
            Answer::Up(theirs) => {
                let stands = self
                    .links
                    .of(balancer, theirs)
                    .filter(|id| self.links.get(*id).is_some_and(|l| l.conn == Some(conn) && l.at == At::Up));
                let Some(id) = stands else { return };
                if self.now == 0 {
                    // From before the day: no time passes.
                    return self.at_client(conn, ClientMessage::Up(id));
                }
                return self.send_to_client(conn, ClientMessage::Up(id));
            }
            Answer::Busy(after) => ClientMessage::Busy(after),
            Answer::Err | Answer::Other | Answer::Forged => ClientMessage::Err,
            Answer::Move => ClientMessage::Move { by_node: false },
        };
        let stood = self.conns.get(conn).is_some_and(|c| c.stage == Stage::Standing);
        if self.last_word(balancer, conn) {
            if matches!(answer, Answer::Move) && stood {
                self.score.moved(self.now);
            }
            self.send_to_client(conn, word);
        }
    }

    fn links_to(
        &mut self,
        b: BalancerId,
        theirs: LinkId,
        node: NodeId,
        conn: Option<ConnId>,
        ear: &mut impl WorldListener,
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
            heard: false,
        };
        let id = self.links.add(link);
        let home = conn.and_then(|c| self.conns.get_mut(c)).and_then(|c| {
            c.link = Some(id);
            c.ask.home
        });
        if home == Some(node) && now == 0 {
            return self.carries(id, ear);
        }
        let leg = self.leg(b, node);
        let handshake = match self.mode {
            Mode::Virtual => (self.day.limits.handshake_rtts * 2.0 * leg as f64) as Micros,
            Mode::Sockets => 0,
        };
        let up = self.pairs.used(now, b, node, handshake);
        match conn {
            Some(_) => {
                self.score.attempt(now);
                self.series.sent(now);
            }
            None => self.score.probe(now),
        }
        self.send_to_node(id, up + leg, if conn.is_some() { AtNode::First } else { AtNode::Probe });
    }

    /// A connection from before the day is up at once.
    fn carries(&mut self, id: LinkId, ear: &mut impl WorldListener) {
        let Some(l) = self.links.get_mut(id) else { return };
        l.at = At::Up;
        l.paired = false;
        let (b, theirs, node, conn) = (l.balancer, l.theirs, l.node, l.conn);
        if let Some(c) = conn.and_then(|c| self.conns.get(c)) {
            let heard = NodeInput::Carry { link: id, by: b, ask: c.ask, profile: c.profile };
            self.node_hears(node, heard, ear);
        }
        ear.to(self.now, b, ToBalancer::LinkUp(theirs));
        ear.to(self.now, b, ToBalancer::NodeSays(theirs, NodeMessage::Up));
    }

    fn send_to_node(&mut self, id: LinkId, at: Micros, what: AtNode) {
        let Some(l) = self.links.get_mut(id) else { return };
        l.last_at_node = l.last_at_node.max(at);
        self.queue.push(l.last_at_node, Event::Node(id, what));
    }

    fn balancer_ends(&mut self, id: LinkId) {
        let Some(l) = self.links.get_mut(id) else { return };
        if std::mem::replace(&mut l.left, true) {
            return;
        }
        let (b, node, over) = (l.balancer, l.node, l.ended);
        if over {
            self.link_over(id);
            return;
        }
        let leg = self.leg(b, node);
        self.send_to_node(id, self.now + leg, AtNode::Ended);
    }

    /// A link is over at both ends.
    pub(super) fn link_over(&mut self, id: LinkId) {
        if let Some(l) = self.links.remove(id).filter(|l| l.paired) {
            self.pairs.left(self.now, l.balancer, l.node);
        }
    }

    /// Something on a link has come at its balancer.
    pub(super) fn at_balancer(&mut self, id: LinkId, what: OnLink, ear: &mut impl WorldListener) {
        let now = self.now;
        let Some(l) = self.links.get_mut(id) else { return };
        if l.left {
            return;
        }
        let (b, theirs, conn, was_up) = (l.balancer, l.theirs, l.conn, l.at == At::Up);
        match what {
            OnLink::Up => ear.to(now, b, ToBalancer::LinkUp(theirs)),
            OnLink::Failed => {
                if conn.is_some() {
                    self.series.attempt("not connected");
                }
                ear.to(now, b, ToBalancer::LinkFailed(theirs));
                self.link_over(id);
            }
            OnLink::Says(word) => {
                let first = conn.is_some() && !was_up && !std::mem::replace(&mut l.heard, true);
                if word == NodeMessage::Up {
                    l.at = At::Up;
                }
                if matches!(word, NodeMessage::Bye | NodeMessage::Move) {
                    l.last = Some(word);
                }
                if word == NodeMessage::Reply {
                    l.asked = false;
                }
                if first {
                    self.series.attempt_word(word);
                }
                ear.to(now, b, ToBalancer::NodeSays(theirs, word));
                if let (NodeMessage::Bye | NodeMessage::Move, true, Some(conn)) = (word, was_up, conn) {
                    // Lines on a standing connection pass through.
                    self.send_to_client(
                        conn,
                        if word == NodeMessage::Bye {
                            ClientMessage::Bye
                        } else {
                            ClientMessage::Move { by_node: true }
                        },
                    );
                }
            }
            OnLink::Ended(end) => {
                if conn.is_some() && !was_up && !l.heard {
                    self.series.attempt("reset");
                }
                ear.to(now, b, ToBalancer::NodeEnded(theirs, end));
                self.link_over(id);
            }
        }
    }

    pub(super) fn balancer_turns(
        &mut self,
        b: BalancerId,
        turn: BalancerEvent,
        ear: &mut impl WorldListener,
    ) {
        match turn {
            BalancerEvent::Start => self.balancer_starts(b, ear),
            BalancerEvent::Kill => {
                if self.balancers[b.0 as usize].up {
                    ear.to(self.now, b, ToBalancer::Kill);
                    self.balancer_gone(b, ear);
                }
            }
            BalancerEvent::Terminate => {
                let at = &mut self.balancers[b.0 as usize];
                if at.up && !std::mem::replace(&mut at.terminating, true) {
                    self.front.terminates(self.now, b);
                    ear.to(self.now, b, ToBalancer::Terminate);
                }
            }
            BalancerEvent::Reload { moved } => {
                if self.balancers[b.0 as usize].up {
                    ear.to(self.now, b, ToBalancer::Reload { moved });
                }
            }
        }
    }

    fn balancer_starts(&mut self, b: BalancerId, ear: &mut impl WorldListener) {
        let at = &mut self.balancers[b.0 as usize];
        if at.up {
            return;
        }
        at.up = true;
        at.terminating = false;
        at.lives += 1;
        let lives = at.lives;
        let seed = rand::Rng::random(&mut rng(self.day.seed, "balancer", u64::from(b.0) << 32 | lives));
        let known = self.discovery.known(b);
        ear.to(self.now, b, ToBalancer::Start { seed, known });
    }

    /// A balancer's process is no more: what it held breaks.
    fn balancer_gone(&mut self, b: BalancerId, _ear: &mut impl WorldListener) {
        let at = &mut self.balancers[b.0 as usize];
        if !std::mem::replace(&mut at.up, false) {
            return;
        }
        self.front.died(self.now, b);
        self.discovery.ended(b);
        let held: Vec<ConnId> =
            self.conns.iter().filter(|c| c.balancer == b && c.come && !c.done).map(|c| c.ask.conn).collect();
        for conn in held {
            self.last_word(b, conn);
            self.send_to_client(conn, ClientMessage::Ended(End::Reset));
        }
        let links: Vec<LinkId> =
            self.links.iter().filter(|(_, l)| l.balancer == b).map(|(id, _)| id).collect();
        links.into_iter().for_each(|id| self.balancer_ends(id));
        self.pairs.broke(Some(b), None);
    }
}
