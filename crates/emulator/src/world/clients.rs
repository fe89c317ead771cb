//! Messages between clients and their balancers.

use super::conns::{Conn, Stage};
use super::{ClientArrival, ClientMessage, Event, World, WorldListener};
use crate::edge::{BalancerId, ConnId, End, LinkId, NodeMessage, RequestLine, ToBalancer};
use crate::population::{Cell, ClientAction, ClientInput, LoadProfile};

impl World {
    pub(super) fn run_due_clients(&mut self, listener: &mut impl WorldListener) {
        let mut actions = std::mem::take(&mut self.buffers.client_actions);
        self.clients.advance(self.now, &mut actions);
        actions.drain(..).for_each(|action| self.apply_client_action(action, listener));
        self.buffers.client_actions = actions;
    }

    fn apply_client_action(&mut self, action: ClientAction, listener: &mut impl WorldListener) {
        match action {
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
        let new_conn = Conn {
            request: ask,
            cell,
            profile,
            balancer: balancer.unwrap_or(BalancerId(0)),
            has_arrived: false,
            stage: Stage::Waiting,
            is_done_at_balancer: balancer.is_none(),
            link: None,
            established_on: None,
            sent_at: now,
            last_at_balancer: 0,
            last_at_client: 0,
        };
        if !self.conns.add(new_conn) {
            return;
        }
        self.waiting_clients += 1;
        if ask.previous_node.is_none() {
            self.series.on_client_request(now, ask.key);
        }
        if balancer.is_none() {
            // No balancer is available, so the front resets the connection.
            return self.send_to_client(conn, ClientMessage::Ended(End::Reset));
        }
        if ask.previous_node.is_some() {
            // A connection from before the day is restored without delay.
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
        self.queue.push(c.last_at_client, Event::ClientMessage(conn, message));
    }

    pub(super) fn on_arrival_from_client(
        &mut self,
        conn: ConnId,
        what: ClientArrival,
        listener: &mut impl WorldListener,
    ) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn).filter(|c| !c.is_done_at_balancer) else { return };
        let balancer = c.balancer;
        match what {
            ClientArrival::Open if !self.balancers[balancer.0 as usize].up => {
                c.is_done_at_balancer = true;
                self.send_to_client(conn, ClientMessage::Ended(End::Reset));
            }
            ClientArrival::Open => {
                c.has_arrived = true;
                let remaining = (c.sent_at + c.request.timeout).saturating_sub(now);
                listener.deliver(now, balancer, ToBalancer::Request { request: c.request, remaining });
            }
            ClientArrival::Line => {
                if c.stage == Stage::Established {
                    if let Some(link) = c.link.and_then(|l| self.links.get_mut(l)) {
                        link.awaits_reply = true;
                    }
                    listener.deliver(now, balancer, ToBalancer::ClientLine(conn));
                }
            }
            ClientArrival::Ended(end) => {
                c.is_done_at_balancer = true;
                if c.has_arrived {
                    listener.deliver(now, balancer, ToBalancer::ClientEnded(conn, end));
                }
            }
        }
    }

    pub(super) fn apply_client_fault(&mut self, fault: usize, listener: &mut impl WorldListener) {
        let mut actions = std::mem::take(&mut self.buffers.client_actions);
        self.clients.apply_fault(self.now, &self.day.faults[fault], &mut actions);
        actions.drain(..).for_each(|action| self.apply_client_action(action, listener));
        self.buffers.client_actions = actions;
    }

    /// Connects the clients whose connections were established before the day to the balancers that run at
    /// its start.
    pub fn open_standing_connections(&mut self, listener: &mut impl WorldListener) {
        let mut actions = std::mem::take(&mut self.buffers.client_actions);
        self.clients.connect_initial_clients(&mut actions);
        actions.drain(..).for_each(|action| self.apply_client_action(action, listener));
        self.buffers.client_actions = actions;
    }

    /// Begins to count the service of a client.
    fn begin_service(&mut self, conn: ConnId, link: LinkId) {
        let now = self.now;
        let Some(l) = self.links.get(link).filter(|l| !l.closed_by_node) else { return };
        let (node, balancer) = (l.node, l.balancer);
        let crosses = self.balancers[balancer.0 as usize].zone != self.nodes[node.0 as usize].zone;
        let Some(c) = self.conns.get_mut(conn) else { return };
        c.established_on = Some((node, crosses));
        let integral = self.nodes[node.0 as usize].model.served(c.request.class);
        self.score.on_established(now, c.cell, node, crosses, integral);
    }

    /// Ends the counting of a client's service, whatever the cause.
    pub(super) fn end_service(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn) else { return };
        let Some((node, crosses)) = c.established_on.take() else { return };
        let integral = self.nodes[node.0 as usize].model.served(c.request.class);
        self.score.on_connection_ended(now, c.cell, node, crosses, integral);
    }

    /// Ends a connection on the client's side; returns whether it was established.
    fn end_connection(&mut self, conn: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(conn) else { return false };
        let stage = std::mem::replace(&mut c.stage, Stage::Ended);
        self.waiting_clients -= usize::from(stage == Stage::Waiting);
        self.end_service(conn);
        stage == Stage::Established
    }

    /// Handles a client that closes its connection.
    fn on_client_leaves(&mut self, conn: ConnId) {
        let Some(key) = self.conns.get(conn).filter(|c| c.stage != Stage::Ended).map(|c| c.request.key)
        else {
            return;
        };
        if self.end_connection(conn) {
            self.series.on_connection_ended(self.now, "left");
        } else {
            self.series.on_request_failed(self.now, "not answered");
            self.series.on_client_gone(key);
        }
        self.send_to_balancer(conn, ClientArrival::Ended(End::Fin));
    }

    /// Completes a client's service: its node sends `BYE` and closes, through the balancer.
    fn on_client_served(&mut self, conn: ConnId, listener: &mut impl WorldListener) {
        let Some(c) = self.conns.get(conn).filter(|c| c.stage == Stage::Established) else {
            return self.on_client_leaves(conn);
        };
        let Some((id, link)) = c.link.and_then(|id| self.links.get(id).map(|l| (id, *l))) else {
            return self.on_client_leaves(conn);
        };
        if self.nodes[link.node.0 as usize].silent || link.closed_by_node || link.closed_by_balancer {
            return self.on_client_leaves(conn);
        }
        self.end_connection(conn);
        self.series.on_connection_ended(self.now, "served");
        self.send_from_node(id, NodeMessage::Bye);
        self.close_from_node(id, End::Fin);
        self.handle_node_input(link.node, crate::node::NodeInput::Close { link: id }, listener);
    }

    pub(super) fn on_arrival_at_client(&mut self, conn: ConnId, message: ClientMessage) {
        let now = self.now;
        let Some(c) = self.conns.get_mut(conn).filter(|c| c.stage != Stage::Ended) else { return };
        if let ClientMessage::Up(id) = message {
            if c.stage != Stage::Waiting {
                return;
            }
            c.stage = Stage::Established;
            c.link = Some(id);
            self.waiting_clients -= 1;
            if c.request.previous_node.is_none() {
                self.series.on_established(now, c.request.key);
            }
            self.clients.on_answer(now, conn, ClientInput::Up);
            return self.begin_service(conn, id);
        }
        let was_established = self.end_connection(conn);
        let (input, cause) = match message {
            ClientMessage::Busy(after) => (ClientInput::Busy(after), "busy"),
            ClientMessage::Err => (ClientInput::Err, "error"),
            ClientMessage::Move { by_node: true } => (ClientInput::Move, "moved by node"),
            ClientMessage::Move { by_node: false } => (ClientInput::Move, "moved by balancer"),
            ClientMessage::Up(_) | ClientMessage::Bye => {
                return self.clients.on_connection_closed(now, conn, End::Fin);
            }
            ClientMessage::Ended(end) => {
                if was_established {
                    self.series.on_connection_ended(now, "broken");
                } else {
                    self.series.on_request_failed(now, "no balancer");
                }
                return self.clients.on_connection_closed(now, conn, end);
            }
        };
        if was_established {
            self.series.on_connection_ended(now, cause);
        } else {
            self.series.on_request_failed(now, cause);
        }
        self.clients.on_answer(now, conn, input);
    }
}
