//! Runs the attempts of requests, from the start of an attempt to the server's answer.

use std::net::SocketAddr;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_units::Micros;
use tracing::{debug, warn};

use super::Proxy;
use super::dialing::PendingDial;
use crate::admin::counters::Reply;
use crate::clients::session::Session;
use crate::event_loop::context::LoopContext;
use crate::servers::attempt::{AttemptStage, ServerAnswer};
use crate::transport::readiness::Readiness;

impl Proxy {
    /// Returns the address of a server if an attempt of this request may use it. A restored request may
    /// return to its previous server even while that server is draining.
    pub(super) fn address_for(&self, id: RequestId, server: ServerId) -> Option<SocketAddr> {
        match self.sessions.get(id).map(Session::previous_server) {
            Some(Some(previous)) if previous == server => self.servers.address(server),
            _ => self.servers.ready_address(server),
        }
    }

    fn is_waiting(&self, id: RequestId) -> bool {
        self.sessions.get(id).is_some_and(Session::is_waiting)
    }

    /// Begins an attempt that is ended after `timeout` if the server has not answered by then.
    pub fn begin_attempt(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        server: ServerId,
        timeout: Micros,
    ) {
        // A request has at most one attempt at a time.
        if self.attempts.has(id) || self.pending_dials.contains_key(&id) {
            return;
        }
        if self.is_waiting(id) {
            // Poll may not have reported yet that the client has closed.
            self.on_session_ready(context, id, Readiness::READ);
        }
        if !self.is_waiting(id) {
            return self.report_attempt_end(context, id, Outcome::NotSent);
        }
        let address = self.address_for(id, server).filter(|_| self.ensure_capacity(context));
        let Some(address) = address else {
            return self.report_attempt_end(context, id, Outcome::NotSent);
        };
        if let Err(violation) = self.guard.begin_attempt(id, self.servers.target(server)) {
            self.report_violation(&violation, Cause::Decision);
            return self.report_attempt_end(context, id, Outcome::NotSent);
        }
        let attempt = self.guard.attempts(id);
        let name = self.servers.name(Some(server));
        debug!(event = "attempt", req = id.0, attempt, server = name, us = timeout);
        let deadline = context.now.saturating_add(timeout);
        self.dial(context, id, PendingDial { server, deadline, failures: 0 }, address);
    }

    /// Reports to the driver how an attempt ended. A failed attempt to restore a connection is handled here
    /// instead: the driver learns of such a connection only once it is established.
    pub(super) fn report_attempt_end(&mut self, context: &mut LoopContext, id: RequestId, outcome: Outcome) {
        match self.sessions.get(id).map(|session| (session.previous_server(), session.is_waiting())) {
            Some((Some(server), true)) => self.on_restored_attempt_ended(context, id, server, outcome),
            _ => context.emit(NetworkEvent::AttemptEnded(id, outcome)),
        }
    }

    /// Handles a failed attempt to restore a connection from before the start of this process. It is retried
    /// if the server can't have run the request; otherwise the request fails.
    fn on_restored_attempt_ended(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        server: ServerId,
        outcome: Outcome,
    ) {
        if self.sessions.get_mut(id).is_some_and(|session| session.on_restore_failed(context.now)) {
            warn!(event = "restore-failed", server = self.servers.name(Some(server)), ?outcome);
        }
        if outcome.never_ran() {
            self.sessions.schedule_timer(context, id);
        } else {
            self.answer(context, id, Answer::Failed, Cause::Server);
        }
    }

    /// Ends the attempt of a request, closes its connection to the server and reports the outcome.
    pub fn end_attempt(&mut self, context: &mut LoopContext, id: RequestId, outcome: Outcome) {
        let server = self.attempts.server(id);
        let is_pending = self.pending_dials.remove(&id).is_some();
        if self.attempts.end(context, id) || is_pending {
            self.guard.end_attempt(id, outcome);
            debug!(event = "attempt-ended", req = id.0, server = self.servers.name(server), ?outcome);
            self.report_attempt_end(context, id, outcome);
        }
    }

    /// Handles readiness of an attempt's connection.
    pub fn on_attempt_ready(&mut self, context: &mut LoopContext, id: RequestId, readiness: Readiness) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.connection.on_ready(readiness);
        if self.unfinished.contains(id) {
            // Its next turn comes later in this iteration.
            return;
        }
        match attempt.stage() {
            AttemptStage::Established => self.relay(context, id),
            AttemptStage::Connecting | AttemptStage::Sent => self.advance_attempt(context, id),
        }
    }

    /// Advances an attempt: sends the first line once the connection is up, and reads the server's answer.
    pub(super) fn advance_attempt(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if attempt.stage() == AttemptStage::Connecting {
            match attempt.connection.is_connected() {
                Ok(false) => return,
                Ok(true) if self.send_first_line(context, id) => {}
                Ok(true) => return,
                Err(_) => return self.end_attempt(context, id, Outcome::ConnectFailed),
            }
        }
        self.read_answer(context, id);
    }

    /// Sends the first line on a new connection, or ends the attempt if the request may no longer be sent.
    /// Returns whether the line was sent.
    fn send_first_line(&mut self, context: &mut LoopContext, id: RequestId) -> bool {
        // Poll may not have reported yet that the client has closed.
        self.on_session_ready(context, id, Readiness::READ);
        let Some(server) = self.attempts.server(id) else { return false };
        // The server may have begun to drain since the attempt began.
        let is_available = self.address_for(id, server).is_some();
        let may_send = is_available
            && self.guard.send(id, context.now).unwrap_or_else(|violation| {
                self.report_violation(&violation, Cause::Decision);
                false
            });
        if !may_send {
            self.end_attempt(context, id, Outcome::NotSent);
            return false;
        }
        let first_line = self.sessions.get(id).and_then(Session::first_line);
        let (Some(line), Some(attempt)) = (first_line, self.attempts.get_mut(id)) else { return false };
        attempt.send_request(context.now, &context.buffers, line);
        true
    }

    fn read_answer(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if attempt.take_dispatched() {
            self.counters.record_dispatch();
        }
        let server = self.servers.name(Some(attempt.server()));
        let outcome = match attempt.read_answer(&context.buffers) {
            None => return,
            Some(ServerAnswer::Accepted) => return self.on_attempt_established(context, id),
            Some(ServerAnswer::Ended(outcome)) => outcome,
            Some(ServerAnswer::Unexpected(line)) => {
                warn!(event = "unexpected-answer", server, line);
                Outcome::Error
            }
            Some(ServerAnswer::LineTooLong) => {
                warn!(event = "line-too-long", peer = "server", server);
                Outcome::Error
            }
        };
        self.end_attempt(context, id, outcome);
        if outcome == Outcome::Ok {
            self.answer(context, id, Answer::Served, Cause::Server);
        }
    }

    /// Marks a session and its attempt as established after the server has accepted the client, and relays
    /// what has already been received.
    fn on_attempt_established(&mut self, context: &mut LoopContext, id: RequestId) {
        let (Some(attempt), Some(session)) = (self.attempts.get_mut(id), self.sessions.get_mut(id)) else {
            return;
        };
        let server = self.servers.name(Some(attempt.server()));
        debug!(event = "established", req = id.0, client = %session.client_address(), server);
        attempt.establish(context.now, id);
        session.establish();
        let event = match (session.previous_server(), session.restored_request()) {
            (Some(server), Some(request)) => NetworkEvent::ConnectionRestored(request, server),
            _ => NetworkEvent::AttemptEstablished(id),
        };
        self.guard.serve(id);
        self.count_reply(id, Reply::Success);
        context.emit(event);
        self.relay(context, id);
    }
}
