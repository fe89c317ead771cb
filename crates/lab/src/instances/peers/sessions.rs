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
    pub(super) fn on_request(&mut self, ask: &RequestLine, left: Micros) {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let req = ReceivedRequest {
            id,
            class: ask.class as usize,
            tenant: ask.tenant as usize,
            key: ask.key,
            deadline: self.directory.to_module_clock(self.now + left),
            load: ask.hint,
            group: ask.group,
            is_returning: ask.retry || ask.is_reconnect,
        };
        if self.draining_since.is_some() {
            return self
                .actions
                .push(FromBalancer::Answer(ask.conn, Answer::Busy(drain::DRAIN_MIGRATE_AFTER)));
        }
        let home = ask.previous_node.map(|n| self.directory.server(n));
        let until = self.now + if home.is_some() { CARRY_OVER_TIMEOUT } else { left };
        let session = Session {
            conn: ask.conn,
            stage: SessionStage::Pending,
            req,
            carried_over_server: home,
            deadline: until,
            unanswered_since: None,
            attempt: None,
        };
        self.sessions.insert(id, session);
        self.request_by_connection.insert(ask.conn, id);
        self.schedule(until + OVERDUE_GRACE, TimerEvent::RequestOverdue(id));
        match home {
            Some(server) => self.open_attempt(id, server, CARRY_OVER_TIMEOUT),
            None => self.emit(NetworkEvent::RequestReceived(req)),
        }
    }

    pub(super) fn retry_carried_over(&mut self, id: RequestId) {
        let due =
            |s: &&Session| s.stage == SessionStage::Pending && s.attempt.is_none() && self.now < s.deadline;
        let home =
            self.sessions.get(&id).filter(due).and_then(|s| s.carried_over_server.map(|h| (h, s.deadline)));
        if let Some((server, until)) = home {
            self.open_attempt(id, server, until - self.now);
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
        // Silence is looked for by the sweep, which may be a part of its period away.
        let due = (now + REPLY_TIMEOUT).div_ceil(SWEEP_INTERVAL) * SWEEP_INTERVAL;
        self.schedule(due, TimerEvent::ReplyTimeout(id, now));
    }

    /// Migrates a client whose server doesn't answer. A server that answered others meanwhile is not reported as failed.
    pub(super) fn on_reply_timeout(&mut self, id: RequestId, since: Micros) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.unanswered_since == Some(since)) else { return };
        let Some(f) = s.attempt else { return };
        let lives = self.is_server_active_since(f.server, id, since);
        self.abort_attempt(id, if lives { Outcome::Cancelled } else { Outcome::Reset });
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
            if let Some(f) = s.attempt {
                self.request_by_link.remove(&f.link);
            }
        }
    }
}
