//! Sessions of the emulated peers: requests and lines of clients, and the replies that end a session.

use shorewharf_decisions::interface::{Outcome, RequestId};
use shorewharf_driver::{NetworkEvent, ReceivedRequest};
use shorewharf_emulator::edge::{Answer, ConnId, FromBalancer, RequestLine};
use shorewharf_units::Micros;

use super::{
    CARRY_OVER_TIMEOUT, EmulatedPeers, OVERDUE_GRACE, REPLY_TIMEOUT, RETRY_AFTER, SWEEP_INTERVAL, Session,
    SessionStage, TimerEvent, drain,
};

impl EmulatedPeers {
    pub(super) fn on_request(&mut self, request: &RequestLine, remaining: Micros) {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let req = ReceivedRequest {
            id,
            class: request.class as usize,
            tenant: request.tenant as usize,
            key: request.key,
            deadline: self.directory.to_module_clock(self.now + remaining),
            load: request.hint,
            group: request.group,
            is_returning: request.retry || request.is_reconnect,
        };
        if self.draining_since.is_some() {
            return self
                .actions
                .push(FromBalancer::Answer(request.conn, Answer::Busy(drain::DRAIN_MIGRATE_AFTER)));
        }
        let previous_server = request.previous_node.map(|n| self.directory.server(n));
        let deadline = self.now + if previous_server.is_some() { CARRY_OVER_TIMEOUT } else { remaining };
        let session = Session {
            conn: request.conn,
            stage: SessionStage::Pending,
            req,
            carried_over_server: previous_server,
            deadline,
            unanswered_since: None,
            attempt: None,
        };
        self.sessions.insert(id, session);
        self.request_by_connection.insert(request.conn, id);
        self.schedule(deadline + OVERDUE_GRACE, TimerEvent::RequestOverdue(id));
        match previous_server {
            Some(server) => self.open_attempt(id, server, CARRY_OVER_TIMEOUT),
            None => self.emit(NetworkEvent::RequestReceived(req)),
        }
    }

    pub(super) fn retry_carried_over(&mut self, id: RequestId) {
        let is_due =
            |s: &&Session| s.stage == SessionStage::Pending && s.attempt.is_none() && self.now < s.deadline;
        let previous_server = self
            .sessions
            .get(&id)
            .filter(is_due)
            .and_then(|s| s.carried_over_server.map(|h| (h, s.deadline)));
        if let Some((server, deadline)) = previous_server {
            self.open_attempt(id, server, deadline - self.now);
        }
    }

    pub(super) fn on_client_line(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(&id) = self.request_by_connection.get(&conn) else { return };
        let Some(s) = self
            .sessions
            .get_mut(&id)
            .filter(|s| s.stage == SessionStage::Established && s.unanswered_since.is_none())
        else {
            return;
        };
        s.unanswered_since = Some(now);
        // Dead connections are found by the periodic sweep, so the timeout is rounded up to its next run.
        let due = (now + REPLY_TIMEOUT).div_ceil(SWEEP_INTERVAL) * SWEEP_INTERVAL;
        self.schedule(due, TimerEvent::ReplyTimeout(id, now));
    }

    /// Migrates a client whose server does not answer. The server is not reported as failed if it has sent
    /// anything on other connections since then.
    pub(super) fn on_reply_timeout(&mut self, id: RequestId, since: Micros) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.unanswered_since == Some(since)) else { return };
        let Some(attempt) = s.attempt else { return };
        let is_alive = self.is_server_active_since(attempt.server, id, since);
        self.abort_attempt(id, if is_alive { Outcome::Cancelled } else { Outcome::Reset });
        self.answer_and_forget(id, Answer::Move);
    }

    pub(super) fn on_client_closed(&mut self, conn: ConnId) {
        let Some(&id) = self.request_by_connection.get(&conn) else { return };
        if self.sessions.get(&id).is_some_and(|s| s.stage == SessionStage::Pending) {
            self.emit(NetworkEvent::ClientLeft(id));
        }
        self.abort_attempt(id, Outcome::Cancelled);
        self.remove_session(id);
    }

    pub(super) fn on_request_overdue(&mut self, id: RequestId) {
        if self.sessions.get(&id).is_some_and(|s| s.stage == SessionStage::Pending) {
            self.emit(NetworkEvent::ClientLeft(id));
            self.abort_attempt(id, Outcome::TimedOut);
            self.answer_and_forget(id, Answer::Busy(RETRY_AFTER));
        }
    }

    /// Sends the final reply of a session and removes it.
    pub(super) fn answer_and_forget(&mut self, id: RequestId, answer: Answer) {
        if let Some(conn) = self.sessions.get(&id).map(|s| s.conn) {
            self.actions.push(FromBalancer::Answer(conn, answer));
            self.remove_session(id);
        }
    }

    pub(super) fn remove_session(&mut self, id: RequestId) {
        if let Some(s) = self.sessions.remove(&id) {
            self.request_by_connection.remove(&s.conn);
            if let Some(attempt) = s.attempt {
                self.request_by_link.remove(&attempt.link);
            }
        }
    }
}
