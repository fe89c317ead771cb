//! Messages between clients and their balancers.

use super::conns::{Conn, Stage};
use super::{ClientArrival, ClientMessage, Event, World, WorldListener};
use crate::edge::{BalancerId, ConnId, End, LinkId, NodeMessage, RequestLine, ToBalancer};
use crate::population::{Cell, ClientAction, ClientInput, LoadProfile};

impl World {
    pub(super) fn run_due_clients(&mut self, listener: &mut impl WorldListener) {
        let mut acts = std::mem::take(&mut self.buffers.client_actions);
        self.clients.advance(self.now, &mut acts);
        acts.drain(..).for_each(|act| self.apply_client_action(act, listener));
        self.buffers.client_actions = acts;
    }

    fn apply_client_action(&mut self, act: ClientAction, listener: &mut impl WorldListener) {
        match act {
            ClientAction::ServiceWanted { cell, first } => {
                self.score.on_service_wanted(self.now, cell, first);
            }
            ClientAction::ServiceNoLongerWanted { cell } => {
                self.score.on_service_no_longer_wanted(self.now, cell);
            }
            ClientAction::Connect { ask, zone, cell, profile } => {
                self.connect_client(ask, zone, cell, profile, listener);
            }
            ClientAction::Done { conn } => self.on_client_served(conn, listener),
            ClientAction::Leave { conn } => self.on_client_leaves(conn),
        }
    }

    fn connect_client(
        &mut self,
        ask: RequestLine,
        zone: u32,
        cell: Cell,
        profile: LoadProfile,
        listener: &mut impl WorldListener,
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
        if ask.previous_node.is_none() {
            self.series.attempt_by_client(now, ask.key);
        }
        if balancer.is_none() {
            // Nobody is there to take it: the front resets it.
            return self.send_to_client(conn, ClientMessage::Ended(End::Reset));
        }
        if ask.previous_node.is_some() {
            // From before the day: it stands where it stood, and no time passes for that.
            return self.on_arrival_from_client(conn, ClientArrival::Open, listener);
        }
        self.send_to_balancer(conn, ClientArrival::Open);
    }

    fn send_to_balancer(&mut self, conn: ConnId, what: ClientArrival) {
        let Some(c) = self.conns.get_mut(conn) else { return };
        c.last_at_balancer = c.last_at_balancer.max(self.now + self.network.client());
        self.queue.push(c.last_at_balancer, Event::ClientArrival(conn, what));
    }

    /// Sends a message to a client.
    pub(super) fn send_to_client(&mut self, conn: ConnId, message: ClientMessage) {
        let Some(c) = self.conns.get_mut(conn) else { return };
        c.last_at_client = c.last_at_client.max(self.now + self.network.client());
        self.queue.push(c.last_at_client, Event::AtClient(conn, message));
    }

    pub(super) fn on_arrival_from_client(
        &mut self,
        conn: ConnId,
        what: ClientArrival,
        listener: &mut impl WorldListener,
    ) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn).filter(|c| !c.done) else { return };
        let balancer = c.balancer;
        match what {
            ClientArrival::Open if !self.balancers[balancer.0 as usize].up => {
                c.done = true;
                self.send_to_client(conn, ClientMessage::Ended(End::Reset));
            }
            ClientArrival::Open => {
                c.come = true;
                let left = (c.sent + c.ask.timeout).saturating_sub(now);
                listener.deliver(now, balancer, ToBalancer::Request { request: c.ask, remaining: left });
            }
            ClientArrival::Line => {
                if c.stage == Stage::Standing {
                    if let Some(link) = c.link.and_then(|l| self.links.get_mut(l)) {
                        link.asked = true;
                    }
                    listener.deliver(now, balancer, ToBalancer::ClientLine(conn));
                }
            }
            ClientArrival::Ends(end) => {
                c.done = true;
                if c.come {
                    listener.deliver(now, balancer, ToBalancer::ClientEnded(conn, end));
                }
            }
        }
    }

    pub(super) fn apply_client_fault(&mut self, fault: usize, listener: &mut impl WorldListener) {
        let mut acts = std::mem::take(&mut self.buffers.client_actions);
        self.clients.apply_fault(self.now, &self.day.faults[fault], &mut acts);
        acts.drain(..).for_each(|act| self.apply_client_action(act, listener));
        self.buffers.client_actions = acts;
    }

    /// Connects the clients whose connections were established before the day to the balancers that run at its start.
    pub fn open_standing_connections(&mut self, listener: &mut impl WorldListener) {
        let mut acts = std::mem::take(&mut self.buffers.client_actions);
        self.clients.connect_initial_clients(&mut acts);
        acts.drain(..).for_each(|act| self.apply_client_action(act, listener));
        self.buffers.client_actions = acts;
    }

    /// Begins the service of a client.
    fn begin_service(&mut self, conn: ConnId, link: LinkId) {
        let now = self.now;
        let Some(l) = self.links.get(link).filter(|l| !l.ended) else { return };
        let (node, balancer) = (l.node, l.balancer);
        let crosses = self.balancers[balancer.0 as usize].zone != self.nodes[node.0 as usize].zone;
        let Some(c) = self.conns.get_mut(conn) else { return };
        c.stands = Some((node, crosses));
        let integral = self.nodes[node.0 as usize].model.served(c.ask.class);
        self.score.on_established(now, c.cell, node, crosses, integral);
    }

    /// Ends the service of a client, whatever the cause.
    pub(super) fn end_service(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn) else { return };
        let Some((node, crosses)) = c.stands.take() else { return };
        let integral = self.nodes[node.0 as usize].model.served(c.ask.class);
        self.score.on_connection_ended(now, c.cell, node, crosses, integral);
    }

    /// Ends a connection on the client's side; returns whether it was established.
    fn end_connection(&mut self, conn: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(conn) else { return false };
        let stage = std::mem::replace(&mut c.stage, Stage::Over);
        self.waiting -= usize::from(stage == Stage::Waiting);
        self.end_service(conn);
        stage == Stage::Standing
    }

    /// Handles a client that leaves by itself.
    fn on_client_leaves(&mut self, conn: ConnId) {
        let Some(key) = self.conns.get(conn).filter(|c| c.stage != Stage::Over).map(|c| c.ask.key) else {
            return;
        };
        if self.end_connection(conn) {
            self.series.ended(self.now, "left");
        } else {
            self.series.refused(self.now, "not answered");
            self.series.forgets(key);
        }
        self.send_to_balancer(conn, ClientArrival::Ends(End::Fin));
    }

    /// Completes a client's service: its node sends `BYE` and closes, through the balancer.
    fn on_client_served(&mut self, conn: ConnId, listener: &mut impl WorldListener) {
        let Some(c) = self.conns.get(conn).filter(|c| c.stage == Stage::Standing) else {
            return self.on_client_leaves(conn);
        };
        let Some((id, link)) = c.link.and_then(|id| self.links.get(id).map(|l| (id, *l))) else {
            return self.on_client_leaves(conn);
        };
        if self.nodes[link.node.0 as usize].silent || link.ended || link.left {
            return self.on_client_leaves(conn);
        }
        self.end_connection(conn);
        self.series.ended(self.now, "served");
        self.send_from_node(id, NodeMessage::Bye);
        self.close_from_node(id, End::Fin);
        self.handle_node_input(link.node, crate::node::NodeInput::Close { link: id }, listener);
    }

    pub(super) fn on_arrival_at_client(&mut self, conn: ConnId, message: ClientMessage) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn).filter(|c| c.stage != Stage::Over) else { return };
        if let ClientMessage::Up(id) = message {
            if c.stage != Stage::Waiting {
                return;
            }
            c.stage = Stage::Standing;
            c.link = Some(id);
            self.waiting -= 1;
            if c.ask.previous_node.is_none() {
                self.series.stands(now, c.ask.key);
            }
            self.clients.on_answer(now, conn, ClientInput::Up);
            return self.begin_service(conn, id);
        }
        let stood = self.end_connection(conn);
        let (input, cause) = match message {
            ClientMessage::Busy(after) => (ClientInput::Busy(after), "busy"),
            ClientMessage::Err => (ClientInput::Err, "error"),
            ClientMessage::Move { by_node: true } => (ClientInput::Move, "moved by node"),
            ClientMessage::Move { by_node: false } => (ClientInput::Move, "moved by balancer"),
            ClientMessage::Up(_) | ClientMessage::Bye => {
                return self.clients.on_connection_closed(now, conn, End::Fin);
            }
            ClientMessage::Ended(end) => {
                if stood {
                    self.series.ended(now, "broken");
                } else {
                    self.series.refused(now, "no balancer");
                }
                return self.clients.on_connection_closed(now, conn, end);
            }
        };
        if stood {
            self.series.ended(now, cause);
        } else {
            self.series.refused(now, cause);
        }
        self.clients.on_answer(now, conn, input);
    }
}
