//! Accepts clients, reads their requests, and watches the clients while their requests wait for an answer.

use std::net::SocketAddr;

use mio::net::TcpStream;
use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::{NetworkEvent, ReceivedRequest};
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_protocol::open_request::{OpenRequest, class_of, parse_open};
use shorewharf_units::Micros;
use tracing::{debug, warn};

use super::unconfirmed::UnconfirmedRequest;
use super::{Proxy, RETRY_AFTER};
use crate::admin::counters::Reply;
use crate::clients::session::{FirstLine, Session, SessionRequest, SessionStage, WaitingActivity};
use crate::discovery::update::server_id;
use crate::event_loop::context::LoopContext;
use crate::transport::readiness::Readiness;

/// Time within which a connection from before the start of this process must be established again.
const RESTORE_TIMEOUT: Micros = 38_000_000;
/// The retry delay during an overload; it is long, since only fewer clients relieve the overload.
const RETRY_AFTER_OVERLOAD: Micros = 1_000_000;

impl Proxy {
    /// Begins the session of a client that has connected. Returns its id, or `None` if the connection can't be
    /// watched.
    pub fn accept_client(
        &mut self,
        context: &mut LoopContext,
        stream: TcpStream,
        client: SocketAddr,
    ) -> Option<RequestId> {
        let attempts = &self.attempts;
        let id = self.sessions.accept(context, stream, client, |id| attempts.has(id))?;
        self.evict_surplus(context);
        self.on_session_ready(context, id, Readiness::default());
        Some(id)
    }

    /// Handles readiness of a client's connection.
    pub fn on_session_ready(&mut self, context: &mut LoopContext, id: RequestId, readiness: Readiness) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        session.connection.on_ready(readiness);
        if self.unfinished.contains(id) {
            // Its next turn comes later in this iteration.
            return;
        }
        match session.stage() {
            SessionStage::AwaitingRequest => self.read_first_line(context, id),
            SessionStage::AwaitingAnswer => match session.poll_while_waiting(&context.buffers) {
                WaitingActivity::Silent => {}
                // Forwarded to the server later, this data would be malformed there.
                WaitingActivity::SentData => {
                    self.reject_malformed(context, id, "sent data before its answer");
                }
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
            FirstLine::TooManyPings => self.reject_malformed(context, id, "too many PING lines at a time"),
            FirstLine::LineTooLong => {
                let client = session.client_address();
                if self.log_limiter.acquire(context) {
                    warn!(event = "line-too-long", peer = "client", client = %client);
                }
                self.answer(context, id, Answer::Failed, Cause::BadRequest);
            }
        }
    }

    /// Answers a client that has violated the protocol with an error; `why` is logged.
    pub(super) fn reject_malformed(&mut self, context: &mut LoopContext, id: RequestId, why: &str) {
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

    /// Handles a complete first line: passes its request on for placement, or rejects it.
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
            return self.reject_malformed(context, id, "at= names a server that is not in the endpoint list");
        }
        let request = self.received_request(context.now, id, &open);
        let deadline =
            if previous_server.is_some() { context.now + RESTORE_TIMEOUT } else { request.deadline };
        let opened = SessionRequest { line, open_id: open.id, request, previous_server, deadline };
        let Some(claim) = self.sessions.open_request(context, id, opened) else {
            // This is no valid retry: clients use a new id when they retry or migrate. An id is released when its
            // request is answered, unless that request may have run and must not run again.
            return self.reject_duplicate(context, id, open.id);
        };
        self.guard.receive(id, self.settings.idempotency_of(open.class));
        debug!(event = "received", req = id.0, id = %format_args!("{:x}", open.id), class = open.class);
        if self.reject_if_unserviceable(context, id, previous_server) {
            return;
        }
        // The client may have closed already, or sent data after its request.
        self.on_session_ready(context, id, Readiness::default());
        if self.sessions.get(id).is_some_and(Session::is_waiting) {
            let request = UnconfirmedRequest::new(context.now, claim, open.id, request, previous_server);
            self.place_once_confirmed(context, request);
        }
    }

    /// Answers a client whose request has the id of another one with an error.
    pub(super) fn reject_duplicate(&mut self, context: &mut LoopContext, id: RequestId, open_id: u64) {
        let why = match self.sessions.id_holder(open_id) {
            Some(holder) => format!("the id belongs to {holder}: {open_id:x}"),
            None => format!("the id belonged to another open request a moment ago: {open_id:x}"),
        };
        self.reject_malformed(context, id, &why);
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

    /// Rejects a request if a shutdown has begun, the worker is overloaded or descriptors are short. Returns
    /// whether the request was rejected.
    fn reject_if_unserviceable(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        previous_server: Option<ServerId>,
    ) -> bool {
        if self.is_shutting_down {
            // Clients are about to be migrated: one that was accepted now would have to migrate at once.
            self.answer_unserved(context, id, self.shutdown_retry_after(), Cause::Shutdown);
            return true;
        }
        if previous_server.is_none() && !context.overload.admit() {
            // Rejecting costs a tenth of accepting, which leaves time to serve established connections.
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

    /// Passes a request to the driver for placement, or begins an attempt at the server that had accepted it
    /// before this process started.
    pub(super) fn place_request(
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

    /// Abandons the request of a client that has closed while the request was waiting.
    fn on_client_left(&mut self, context: &mut LoopContext, id: RequestId) {
        context.emit(NetworkEvent::ClientLeft(id));
        self.count_reply(id, Reply::Error);
        debug!(event = "client-left", req = id.0, attempts = self.guard.attempts(id));
        self.guard.abandon(id);
        self.close_session(context, id, Cause::Decision);
        self.end_attempt(context, id, Outcome::Cancelled);
    }

    /// Counts the outcome of a request for operators. Only the first outcome counts: that the request was
    /// established or, if it never was, how it ended.
    pub(super) fn count_reply(&mut self, id: RequestId, reply: Reply) {
        if let Some(class) = self.sessions.get_mut(id).and_then(Session::take_uncounted_class) {
            self.counters.record_reply(class, reply);
        }
    }
}
