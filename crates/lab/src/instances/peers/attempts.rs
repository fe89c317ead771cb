//! Attempts of the emulated peers: connections to servers, their deadlines, and what servers send on them.

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId, ServerState};
use shorewharf_driver::NetworkEvent;
use shorewharf_emulator::edge::{Answer, End, FromBalancer, LinkId, NodeMessage};
use shorewharf_units::Micros;

use super::{Attempt, CARRY_OVER_RETRY_DELAY, EmulatedPeers, ServerActivity, SessionStage, TimerEvent};

impl EmulatedPeers {
    pub(super) fn attempt_on_link(&self, id: RequestId, link: LinkId) -> Option<Attempt> {
        self.sessions.get(&id).and_then(|s| s.attempt).filter(|attempt| attempt.link == link)
    }

    pub(super) fn open_attempt(&mut self, id: RequestId, server: ServerId, timeout: Micros) {
        let Some(s) =
            self.sessions.get(&id).filter(|s| s.stage == SessionStage::Pending && s.attempt.is_none())
        else {
            return;
        };
        let is_previous = s.carried_over_server == Some(server);
        let conn = s.conn;
        let node = self.directory.node(server).filter(|n| {
            let state = self.server_states[n.0 as usize];
            // A carried-over connection may return to its own server while that is draining.
            state == Some(ServerState::Ready) || (is_previous && state.is_some())
        });
        let Some(node) = node else { return self.report_attempt_end(id, Outcome::NotSent) };
        let link = LinkId(self.next_link);
        self.next_link += 1;
        let until = self.now + timeout;
        if let Some(s) = self.sessions.get_mut(&id) {
            s.attempt = Some(Attempt { link, server, is_connected: false, last_message: None });
        }
        self.request_by_link.insert(link, id);
        self.actions.push(FromBalancer::Link { link, node, conn: Some(conn) });
        self.actions.push(FromBalancer::Forward { link, timeout });
        // With less time left than the connect timeout, the attempt ends as not sent, which is no failure of
        // the server: impatient clients must not put servers in quarantine.
        if self.connect_timeout <= timeout {
            self.schedule(self.now + self.connect_timeout, TimerEvent::ConnectTimeout(id, link));
        }
        self.schedule(until, TimerEvent::AttemptTimeout(id, link));
    }

    pub(super) fn report_attempt_end(&mut self, id: RequestId, outcome: Outcome) {
        let Some(s) = self.sessions.get(&id) else {
            return self.emit(NetworkEvent::AttemptEnded(id, outcome));
        };
        if s.carried_over_server.is_some() && s.stage == SessionStage::Pending {
            // The driver does not know a carried-over connection yet, so it is retried here if that is safe.
            if outcome.never_ran() {
                self.schedule(self.now + CARRY_OVER_RETRY_DELAY, TimerEvent::RetryCarriedOver(id));
            } else {
                self.answer_and_forget(id, Answer::Err);
            }
        } else {
            self.emit(NetworkEvent::AttemptEnded(id, outcome));
        }
    }

    /// Closes the current attempt's connection and reports its outcome to the driver.
    pub(super) fn abort_attempt(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(attempt) = self.take_attempt(id) {
            self.actions.push(FromBalancer::EndLink(attempt.link, End::Fin));
            self.report_attempt_end(id, outcome);
        }
    }

    /// Reports an attempt whose connection the server or the network ended.
    pub(super) fn on_attempt_broken(&mut self, id: RequestId, outcome: Outcome) {
        if self.take_attempt(id).is_some() {
            self.report_attempt_end(id, outcome);
        }
    }

    pub(super) fn take_attempt(&mut self, id: RequestId) -> Option<Attempt> {
        let attempt = self.sessions.get_mut(&id).and_then(|s| s.attempt.take())?;
        self.request_by_link.remove(&attempt.link);
        Some(attempt)
    }

    pub(super) fn on_attempt_timeout(&mut self, id: RequestId, link: LinkId) {
        let Some(attempt) = self.attempt_on_link(id, link) else { return };
        match self.sessions.get(&id).map(|s| s.stage) {
            Some(SessionStage::Pending) if attempt.is_connected => self.abort_attempt(id, Outcome::TimedOut),
            Some(SessionStage::Pending) => self.abort_attempt(id, Outcome::NotSent),
            _ => {}
        }
    }

    pub(super) fn on_link_up(&mut self, link: LinkId) {
        let Some(id) = self.request_by_link.get(&link) else { return };
        if let Some(attempt) = self.sessions.get_mut(id).and_then(|s| s.attempt.as_mut()) {
            attempt.is_connected = true;
        }
    }

    pub(super) fn on_link_failed(&mut self, link: LinkId) {
        if self.probes.contains_key(&link) {
            return self.end_probe(link, Outcome::ConnectFailed);
        }
        if let Some(&id) = self.request_by_link.get(&link) {
            self.on_attempt_broken(id, Outcome::ConnectFailed);
        }
    }

    pub(super) fn on_node_message(&mut self, link: LinkId, message: NodeMessage) {
        if self.probes.contains_key(&link) {
            let outcome = if message == NodeMessage::Pong { Outcome::Ok } else { Outcome::Error };
            return self.end_probe(link, outcome);
        }
        let Some(&id) = self.request_by_link.get(&link) else { return };
        let now = self.now;
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let Some(attempt) = s.attempt.as_mut() else { return };
        attempt.is_connected = true;
        attempt.last_message = Some(message);
        let server = attempt.server;
        if s.stage == SessionStage::Established {
            match message {
                NodeMessage::Load(load) => self.emit(NetworkEvent::LoadReported(id, load / 1e6)),
                NodeMessage::Delay(ms) => {
                    self.emit(NetworkEvent::MessageDelayReported(server, (ms * 1e3) as Micros));
                }
                NodeMessage::Bye | NodeMessage::Move => {}
                _ => s.unanswered_since = None,
            }
            return self.record_activity(server, now, id);
        }
        let outcome = match message {
            NodeMessage::Up => return self.on_established(id, server, link),
            NodeMessage::Busy => Outcome::Rejected,
            NodeMessage::Move => Outcome::Cancelled,
            NodeMessage::Bye => Outcome::Ok,
            _ => Outcome::Error,
        };
        self.abort_attempt(id, outcome);
        if outcome == Outcome::Ok {
            self.answer_and_forget(id, Answer::Err);
        }
    }

    pub(super) fn on_established(&mut self, id: RequestId, server: ServerId, link: LinkId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.stage = SessionStage::Established;
        let (conn, req, carried) = (s.conn, s.req, s.carried_over_server.is_some());
        self.record_activity(server, self.now, id);
        self.actions.push(FromBalancer::Answer(conn, Answer::Up(link)));
        self.emit(if carried {
            NetworkEvent::ConnectionRestored(req, server)
        } else {
            NetworkEvent::AttemptEstablished(id)
        });
    }

    pub(super) fn record_activity(&mut self, server: ServerId, now: Micros, id: RequestId) {
        let Some(node) = self.directory.node(server) else { return };
        let activity = &mut self.server_activity[node.0 as usize];
        *activity = Some(match *activity {
            Some(ServerActivity { latest: last, latest_of_other: other }) if last.1 == id => {
                ServerActivity { latest: (now, id), latest_of_other: other }
            }
            Some(ServerActivity { latest: last, .. }) => {
                ServerActivity { latest: (now, id), latest_of_other: last.0 }
            }
            None => ServerActivity { latest: (now, id), latest_of_other: 0 },
        });
    }

    /// Whether a server has sent anything on another connection since a time.
    pub(super) fn is_server_active_since(&self, server: ServerId, id: RequestId, since: Micros) -> bool {
        let activity = self.directory.node(server).and_then(|n| self.server_activity[n.0 as usize]);
        activity.is_some_and(|a| (if a.latest.1 == id { a.latest_of_other } else { a.latest.0 }) > since)
    }

    pub(super) fn on_node_closed(&mut self, link: LinkId, end: End) {
        if self.probes.contains_key(&link) {
            return self.end_probe(link, Outcome::Reset);
        }
        let Some(&id) = self.request_by_link.get(&link) else { return };
        let Some(s) = self.sessions.get(&id) else { return };
        let (conn, stage) = (s.conn, s.stage);
        let last = s.attempt.and_then(|attempt| attempt.last_message);
        if stage == SessionStage::Pending {
            return self.on_attempt_broken(id, Outcome::Reset);
        }
        let outcome = match last {
            Some(NodeMessage::Bye) => Outcome::Ok,
            Some(NodeMessage::Move) => Outcome::Cancelled,
            // Servers close connections on malformed lines, so a FIN with an unanswered line is not reported
            // as a failure of the server.
            _ if end == End::Fin && s.unanswered_since.is_some() => Outcome::Cancelled,
            _ => Outcome::Reset,
        };
        self.on_attempt_broken(id, outcome);
        self.actions.push(FromBalancer::EndClient(conn, end));
        self.remove_session(id);
    }
}
