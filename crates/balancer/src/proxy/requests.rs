//! Clients from accept to the request in their first line, and while that waits for an answer.

use std::net::SocketAddr;

use mio::net::TcpStream;
use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::{NetworkEvent, ReceivedRequest};
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_protocol::open_request::{OpenRequest, class_of, parse_open};
use shorewharf_units::Micros;
use tracing::{debug, warn};

use super::{Proxy, RETRY_AFTER};
use crate::admin::counters::Reply;
use crate::clients::session::{FirstLine, Session, SessionRequest, SessionStage, WaitingActivity};
use crate::discovery::update::server_id;
use crate::event_loop::context::LoopContext;
use crate::shutdown::MIN_DRAIN_TIME;
use crate::transport::readiness::Readiness;

/// A connection from before the start of this process has this long to be established again.
const RESTORE_TIMEOUT: Micros = 38_000_000;
/// The retry delay while another process accepts clients in place of this one.
const RETRY_AFTER_WITH_SUCCESSOR: Micros = 10_000;
/// The retry delay in an overload, which only fewer clients relieve.
const RETRY_AFTER_OVERLOAD: Micros = 1_000_000;

impl Proxy {
    /// A client has connected.
    pub fn accept_client(&mut self, context: &mut LoopContext, stream: TcpStream, client: SocketAddr) {
        let attempts = &self.attempts;
        let accepted = self.sessions.accept(context, stream, client, |id| attempts.has(id));
        let Some(id) = accepted else { return };
        self.evict_surplus(context);
        self.on_session_ready(context, id, Readiness::default());
    }

    /// The connection of a client is ready.
    pub fn on_session_ready(&mut self, context: &mut LoopContext, id: RequestId, readiness: Readiness) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        session.connection.on_ready(readiness);
        match session.stage() {
            SessionStage::AwaitingRequest => self.read_first_line(context, id),
            SessionStage::AwaitingAnswer => match session.poll_while_waiting(&context.buffers) {
                WaitingActivity::Silent => {}
                // Passed on to the server later, it would be malformed there.
                WaitingActivity::SentData => self.reject_malformed(context, id, "spoke before its answer"),
                WaitingActivity::Closed => self.on_client_left(context, id),
            },
            SessionStage::Established | SessionStage::Migrating => self.relay(context, id),
            SessionStage::Closing => self.continue_close(context, id),
        }
    }

    fn read_first_line(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        match session.read_first_line(context.now, &context.buffers) {
            FirstLine::Incomplete => self.sessions.schedule_timer(context, id),
            FirstLine::Line(line) => self.on_request(context, id, &line),
            FirstLine::Closed => self.on_incomplete_request(context, id),
            FirstLine::TooManyPings => self.reject_malformed(context, id, "too many commands at a time"),
            FirstLine::LineTooLong => {
                let client = session.client_address();
                if self.log_limiter.acquire(context) {
                    warn!(event = "line-too-long", peer = "client", client = %client);
                }
                self.answer(context, id, Answer::Failed, Cause::BadRequest);
            }
        }
    }

    /// A client closed, or took too long, with its first line incomplete or missing. If it has not closed, its input is
    /// read for a moment, so that the close does not become a reset.
    pub(super) fn on_incomplete_request(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(session) = self.sessions.get(id) else { return };
        let has_closed = session.connection.peer_close.is_some();
        if !session.connection.pending_input().is_empty() {
            let client = session.client_address();
            if self.log_limiter.acquire(context) {
                warn!(event = "incomplete-line", client = %client);
            }
        }
        if has_closed {
            self.close_session(context, id, Cause::Idle);
        } else {
            self.answer(context, id, Answer::Closed, Cause::Idle);
        }
    }

    /// Answers a client that violates the protocol with an error.
    fn reject_malformed(&mut self, context: &mut LoopContext, id: RequestId, why: &str) {
        let Some(session) = self.sessions.get(id) else { return };
        let (client, is_waiting) = (session.client_address(), session.is_waiting());
        if self.log_limiter.acquire(context) {
            warn!(event = "malformed", client = %client, why);
        }
        if is_waiting {
            context.emit(NetworkEvent::ClientLeft(id));
            self.end_attempt(context, id, Outcome::Cancelled);
        }
        self.answer(context, id, Answer::Failed, Cause::BadRequest);
    }

    /// The first line of a client is complete.
    fn on_request(&mut self, context: &mut LoopContext, id: RequestId, line: &[u8]) {
        let open = match parse_open(line, &self.settings.names) {
            Ok(open) => open,
            Err(error) => {
                if let Some(class) = class_of(line, &self.settings.names) {
                    self.set_class(id, class);
                }
                return self.reject_malformed(context, id, &error.to_string());
            }
        };
        self.set_class(id, open.class);
        let previous_server = open.previous_server.as_deref().map(server_id);
        if previous_server.is_some_and(|server| !self.servers.is_listed(server)) {
            return self.reject_malformed(context, id, "at= names no server");
        }
        let request = self.received_request(context.now, id, &open);
        let deadline =
            if previous_server.is_some() { context.now + RESTORE_TIMEOUT } else { request.deadline };
        let opened = SessionRequest { line, open_id: open.id, request, previous_server, deadline };
        if !self.sessions.open_request(context, id, opened) {
            // A client that retries or migrates uses a new id, and an answered request has released its own.
            return self.reject_malformed(context, id, "the id is in use");
        }
        self.guard.receive(id, self.settings.idempotency_of(open.class));
        debug!(event = "received", req = id.0, id = %format_args!("{:x}", open.id), class = open.class);
        if self.reject_if_unserviceable(context, id, previous_server) {
            return;
        }
        // The client may have closed already, or sent more than it should.
        self.on_session_ready(context, id, Readiness::default());
        if self.sessions.get(id).is_some_and(Session::is_waiting) {
            self.place_request(context, request, previous_server);
        }
    }

    fn set_class(&mut self, id: RequestId, class: usize) {
        if let Some(session) = self.sessions.get_mut(id) {
            session.set_class(class);
        }
    }

    fn received_request(&self, now: Micros, id: RequestId, open: &OpenRequest) -> ReceivedRequest {
        let timeout = open.timeout.or(self.settings.client_timeouts.get(open.class).copied()).unwrap_or(0);
        ReceivedRequest {
            id,
            class: open.class,
            tenant: open.tenant,
            key: open.key,
            deadline: now + timeout,
            load: open.load,
            group: open.group,
            is_returning: open.is_returning,
        }
    }

    /// Rejects a request during a shutdown, in an overload or without descriptors. Returns whether it did.
    fn reject_if_unserviceable(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        previous_server: Option<ServerId>,
    ) -> bool {
        if self.is_shutting_down {
            // Clients are sent elsewhere in a moment; one that was accepted now would only have to migrate.
            let retry_after = if self.has_successor { RETRY_AFTER_WITH_SUCCESSOR } else { MIN_DRAIN_TIME };
            self.answer_unserved(context, id, retry_after, Cause::Shutdown);
            return true;
        }
        if previous_server.is_none() && !context.overload.admit() {
            // Rejecting costs a tenth of accepting, so established connections stay served.
            self.answer_unserved(context, id, RETRY_AFTER_OVERLOAD, Cause::Overload);
            return true;
        }
        if !self.ensure_capacity(context) {
            self.set_descriptor_shortage(true);
            self.answer_unserved(context, id, RETRY_AFTER, Cause::Descriptors);
            return true;
        }
        false
    }

    /// Has the driver place a request, or brings it back to the server that had accepted it before.
    fn place_request(
        &mut self,
        context: &mut LoopContext,
        request: ReceivedRequest,
        previous_server: Option<ServerId>,
    ) {
        if let Some(server) = previous_server {
            return self.begin_attempt(context, request.id, server, RESTORE_TIMEOUT);
        }
        let (group, key) = (request.group, request.key);
        debug!(event = "request-placed", req = request.id.0, group, key, returning = request.is_returning);
        self.guard.queue(request.id);
        context.emit(NetworkEvent::RequestReceived(request));
    }

    /// A client has closed while its request was waiting.
    fn on_client_left(&mut self, context: &mut LoopContext, id: RequestId) {
        context.emit(NetworkEvent::ClientLeft(id));
        self.count_reply(id, Reply::Error);
        debug!(event = "client-left", req = id.0, attempts = self.guard.attempts(id));
        self.guard.abandon(id);
        self.close_session(context, id, Cause::Decision);
        self.end_attempt(context, id, Outcome::Cancelled);
    }

    /// Counts the outcome of a request for operators: that it was established, or how it ended; the first of them only.
    pub(super) fn count_reply(&mut self, id: RequestId, reply: Reply) {
        if let Some(class) = self.sessions.get_mut(id).and_then(Session::take_uncounted_class) {
            self.counters.record_reply(class, reply);
        }
    }
}
