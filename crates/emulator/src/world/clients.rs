//! Between clients and their balancers.

use super::conns::{Conn, Stage};
use super::*;
use crate::population::ClientInput;

impl World {
    pub(super) fn clients_act(&mut self, ear: &mut impl WorldListener) {
        let mut acts = std::mem::take(&mut self.buffers.people);
        self.people.advance(self.now, &mut acts);
        acts.drain(..).for_each(|act| self.client_acts(act, ear));
        self.buffers.people = acts;
    }

    fn client_acts(&mut self, act: ClientAction, ear: &mut impl WorldListener) {
        match act {
            ClientAction::Wants { cell, first } => self.score.wants(self.now, cell, first),
            ClientAction::WantsNoMore { cell } => self.score.wants_no_more(self.now, cell),
            ClientAction::Connect { ask, zone, cell, profile } => {
                self.connects(ask, zone, cell, profile, ear)
            }
            ClientAction::Done { conn } => self.served_to_the_end(conn, ear),
            ClientAction::Leave { conn } => self.client_leaves(conn),
        }
    }

    fn connects(
        &mut self,
        ask: RequestLine,
        zone: u32,
        cell: Cell,
        profile: LoadProfile,
        ear: &mut impl WorldListener,
    ) {
        let now = self.now;
        let conn = ask.conn;
        let balancer = self.front.pick(now, zone);
        let first = Conn {
            ask,
            cell,
            profile,
            balancer: balancer.unwrap_or(BalancerId(0)),
            come: false,
            stage: Stage::Waiting,
            done: balancer.is_none(),
            link: None,
            stands: None,
            sent: now,
            last_at_balancer: 0,
            last_at_client: 0,
        };
        if !self.conns.add(first) {
            return;
        }
        self.waiting += 1;
        if ask.home.is_none() {
            self.series.tries(now, ask.key);
        }
        if balancer.is_none() {
            // Nobody is there to take it: the front resets it.
            return self.send_to_client(conn, ClientMessage::Ended(End::Reset));
        }
        if ask.home.is_some() {
            // From before the day: it stands where it stood, and no time passes for that.
            return self.client_says(conn, FromClient::Asks, ear);
        }
        self.send_to_balancer(conn, FromClient::Asks);
    }

    fn send_to_balancer(&mut self, conn: ConnId, what: FromClient) {
        let Some(c) = self.conns.get_mut(conn) else { return };
        c.last_at_balancer = c.last_at_balancer.max(self.now + self.network.client());
        self.queue.push(c.last_at_balancer, Event::Ask(conn, what));
    }

    /// Sends words to a client.
    pub(super) fn send_to_client(&mut self, conn: ConnId, word: ClientMessage) {
        let Some(c) = self.conns.get_mut(conn) else { return };
        c.last_at_client = c.last_at_client.max(self.now + self.network.client());
        self.queue.push(c.last_at_client, Event::Client(conn, word));
    }

    pub(super) fn client_says(&mut self, conn: ConnId, what: FromClient, ear: &mut impl WorldListener) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn).filter(|c| !c.done) else { return };
        let balancer = c.balancer;
        match what {
            FromClient::Asks if !self.balancers[balancer.0 as usize].up => {
                c.done = true;
                self.send_to_client(conn, ClientMessage::Ended(End::Reset));
            }
            FromClient::Asks => {
                c.come = true;
                let left = (c.sent + c.ask.patience).saturating_sub(now);
                ear.to(now, balancer, ToBalancer::Asked { ask: c.ask, left });
            }
            FromClient::Line => {
                if c.stage == Stage::Standing {
                    if let Some(link) = c.link.and_then(|l| self.links.get_mut(l)) {
                        link.asked = true;
                    }
                    ear.to(now, balancer, ToBalancer::ClientLine(conn));
                }
            }
            FromClient::Ends(end) => {
                c.done = true;
                if c.come {
                    ear.to(now, balancer, ToBalancer::ClientEnded(conn, end));
                }
            }
        }
    }

    pub(super) fn clients_struck(&mut self, fault: usize, ear: &mut impl WorldListener) {
        let mut acts = std::mem::take(&mut self.buffers.people);
        self.people.struck(self.now, &self.day.faults[fault], &mut acts);
        acts.drain(..).for_each(|act| self.client_acts(act, ear));
        self.buffers.people = acts;
    }

    /// Those that stand from before the day connect to balancers that run at its start.
    pub fn stand(&mut self, ear: &mut impl WorldListener) {
        let mut acts = std::mem::take(&mut self.buffers.people);
        self.people.standing(&mut acts);
        acts.drain(..).for_each(|act| self.client_acts(act, ear));
        self.buffers.people = acts;
    }

    /// A client's share of the service begins.
    fn stands(&mut self, conn: ConnId, link: LinkId) {
        let now = self.now;
        let Some(l) = self.links.get(link).filter(|l| !l.ended) else { return };
        let (node, balancer) = (l.node, l.balancer);
        let crosses = self.balancers[balancer.0 as usize].zone != self.nodes[node.0 as usize].zone;
        let Some(c) = self.conns.get_mut(conn) else { return };
        c.stands = Some((node, crosses));
        let integral = self.nodes[node.0 as usize].model.served(c.ask.class);
        self.score.stands(now, c.cell, node, crosses, integral);
    }

    /// It ends, however it does.
    pub(super) fn stands_no_more(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn) else { return };
        let Some((node, crosses)) = c.stands.take() else { return };
        let integral = self.nodes[node.0 as usize].model.served(c.ask.class);
        self.score.stands_no_more(now, c.cell, node, crosses, integral);
    }

    /// A connection is over for its client; true if it stood.
    fn over(&mut self, conn: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(conn) else { return false };
        let stage = std::mem::replace(&mut c.stage, Stage::Over);
        self.waiting -= usize::from(stage == Stage::Waiting);
        self.stands_no_more(conn);
        stage == Stage::Standing
    }

    /// A client has left by itself.
    fn client_leaves(&mut self, conn: ConnId) {
        let Some(key) = self.conns.get(conn).filter(|c| c.stage != Stage::Over).map(|c| c.ask.key) else {
            return;
        };
        if self.over(conn) {
            self.series.ends(self.now, "left");
        } else {
            self.series.refused(self.now, "not answered");
            self.series.forgets(key);
        }
        self.send_to_balancer(conn, FromClient::Ends(End::Fin));
    }

    /// A client has had all that it wanted: its node says so and ends, through the balancer.
    fn served_to_the_end(&mut self, conn: ConnId, ear: &mut impl WorldListener) {
        let Some(c) = self.conns.get(conn).filter(|c| c.stage == Stage::Standing) else {
            return self.client_leaves(conn);
        };
        let Some((id, link)) = c.link.and_then(|id| self.links.get(id).map(|l| (id, *l))) else {
            return self.client_leaves(conn);
        };
        if self.nodes[link.node.0 as usize].silent || link.ended || link.left {
            return self.client_leaves(conn);
        }
        self.over(conn);
        self.series.ends(self.now, "served");
        self.node_says(id, NodeMessage::Bye);
        self.node_ends(id, End::Fin);
        self.node_hears(link.node, crate::node::NodeInput::Close { link: id }, ear);
    }

    pub(super) fn at_client(&mut self, conn: ConnId, word: ClientMessage) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn).filter(|c| c.stage != Stage::Over) else { return };
        if let ClientMessage::Up(id) = word {
            if c.stage != Stage::Waiting {
                return;
            }
            c.stage = Stage::Standing;
            c.link = Some(id);
            self.waiting -= 1;
            if c.ask.home.is_none() {
                self.series.stands(now, c.ask.key);
            }
            self.people.answered(now, conn, ClientInput::Up);
            return self.stands(conn, id);
        }
        let stood = self.over(conn);
        let (heard, cause) = match word {
            ClientMessage::Busy(after) => (ClientInput::Busy(after), "busy"),
            ClientMessage::Err => (ClientInput::Err, "error"),
            ClientMessage::Move { by_node: true } => (ClientInput::Move, "moved by node"),
            ClientMessage::Move { by_node: false } => (ClientInput::Move, "moved by balancer"),
            ClientMessage::Up(_) | ClientMessage::Bye => return self.people.ended(now, conn, End::Fin),
            ClientMessage::Ended(end) => {
                if stood {
                    self.series.ends(now, "broken");
                } else {
                    self.series.refused(now, "no balancer");
                }
                return self.people.ended(now, conn, end);
            }
        };
        if stood {
            self.series.ends(now, cause);
        } else {
            self.series.refused(now, cause);
        }
        self.people.answered(now, conn, heard);
    }
}
