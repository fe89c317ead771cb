//! Between clients and their balancers.

use super::conns::{Conn, Stage};
use super::*;

impl World {
    pub(super) fn clients_act(&mut self, ear: &mut impl Ear) {
        let mut acts = std::mem::take(&mut self.buffers.people);
        self.people.advance(self.now, &mut acts);
        acts.drain(..).for_each(|act| self.client_acts(act, ear));
        self.buffers.people = acts;
    }

    fn client_acts(&mut self, act: PeopleOut, ear: &mut impl Ear) {
        match act {
            PeopleOut::Connect { ask, zone } => self.connects(ask, zone, ear),
            PeopleOut::Done { conn } => self.served_to_the_end(conn),
            PeopleOut::Leave { conn } => self.client_leaves(conn),
        }
    }

    fn connects(&mut self, ask: Ask, zone: u32, ear: &mut impl Ear) {
        let now = self.now;
        let conn = ask.conn;
        let balancer = self.front.pick(now, zone);
        let first = Conn {
            ask,
            balancer: balancer.unwrap_or(BalancerId(0)),
            come: false,
            stage: Stage::Waiting,
            done: balancer.is_none(),
            link: None,
            sent: now,
            last_at_balancer: 0,
            last_at_client: 0,
        };
        if !self.conns.add(first) {
            return;
        }
        self.series.arrived(now);
        if balancer.is_none() {
            // Nobody is there to take it: the front resets it.
            return self.to_client(conn, Word::Ended(End::Reset));
        }
        if ask.home.is_some() {
            // From before the day: it stands where it stood, and no time passes for that.
            return self.from_client(conn, FromClient::Asks, ear);
        }
        self.to_balancer(conn, FromClient::Asks);
    }

    fn to_balancer(&mut self, conn: ConnId, what: FromClient) {
        let Some(c) = self.conns.get_mut(conn) else { return };
        c.last_at_balancer = c.last_at_balancer.max(self.now + self.network.client());
        self.queue.push(c.last_at_balancer, Event::Ask(conn, what));
    }

    /// Sends words to a client.
    pub(super) fn to_client(&mut self, conn: ConnId, word: Word) {
        let Some(c) = self.conns.get_mut(conn) else { return };
        c.last_at_client = c.last_at_client.max(self.now + self.network.client());
        self.queue.push(c.last_at_client, Event::Client(conn, word));
    }

    pub(super) fn from_client(&mut self, conn: ConnId, what: FromClient, ear: &mut impl Ear) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn).filter(|c| !c.done) else { return };
        let balancer = c.balancer;
        match what {
            FromClient::Asks if !self.balancers[balancer.0 as usize].up => {
                c.done = true;
                self.to_client(conn, Word::Ended(End::Reset));
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

    /// A client has left by itself.
    fn client_leaves(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(conn).filter(|c| c.stage != Stage::Over) else { return };
        let stood = std::mem::replace(&mut c.stage, Stage::Over) == Stage::Standing;
        if stood {
            self.stands_no_more(conn);
        }
        self.to_balancer(conn, FromClient::Ends(End::Fin));
    }

    /// A client has had all that it wanted: its node says so and ends, through the balancer.
    fn served_to_the_end(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get(conn).filter(|c| c.stage == Stage::Standing) else {
            return self.client_leaves(conn);
        };
        let Some((id, link)) = c.link.and_then(|id| self.links.get(id).map(|l| (id, *l))) else {
            return self.client_leaves(conn);
        };
        if self.nodes[link.node.0 as usize].silent || link.ended || link.left {
            return self.client_leaves(conn);
        }
        self.stands_no_more(conn);
        if let Some(c) = self.conns.get_mut(conn) {
            c.stage = Stage::Over;
        }
        self.series.ended("served");
        self.node_says(id, NodeWord::Bye);
        self.node_ends(id, End::Fin);
        self.node_hears(link.node, crate::node::NodeIn::Close { link: id });
    }

    pub(super) fn at_client(&mut self, conn: ConnId, word: Word) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn).filter(|c| c.stage != Stage::Over) else { return };
        if let Word::Up(id) = word {
            if c.stage == Stage::Waiting {
                c.stage = Stage::Standing;
                c.link = Some(id);
                return self.stands(conn, id);
            }
            return;
        }
        let stood = std::mem::replace(&mut c.stage, Stage::Over) == Stage::Standing;
        if stood {
            self.stands_no_more(conn);
        }
        let heard = match word {
            Word::Busy(after) => crate::people::Heard::Busy(after),
            Word::Err => crate::people::Heard::Err,
            Word::Move => crate::people::Heard::Move,
            Word::Up(_) | Word::Bye => return self.people.ended(now, conn, End::Fin),
            Word::Ended(end) => {
                self.series.ended(if stood { "broken" } else { "unanswered" });
                return self.people.ended(now, conn, end);
            }
        };
        self.people.answered(now, conn, heard);
    }
}
