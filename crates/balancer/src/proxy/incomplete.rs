//! Ends sessions whose clients have not sent a complete request: after a timeout, in a shutdown, or to free
//! a descriptor.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use mio::net::TcpStream;
use shorewharf_decisions::interface::RequestId;
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_units::Micros;
use tracing::{debug, warn};

use super::{Proxy, RETRY_AFTER};
use crate::clients::session::{Session, SessionStage};
use crate::event_loop::context::LoopContext;
use crate::transport::readiness::Readiness;

/// How much of its request a client had sent when its session was ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestProgress {
    /// No byte of its first line.
    Nothing,
    /// A part of its first line.
    Partial,
}

/// The key under which sessions without a complete request are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IncompleteKey {
    progress: RequestProgress,
    /// Why the session was ended.
    cause: Cause,
}

impl fmt::Display for IncompleteKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let progress = match self.progress {
            RequestProgress::Nothing => "nothing",
            RequestProgress::Partial => "partial",
        };
        write!(f, "{progress}/{}", self.cause)
    }
}

/// Numbers of sessions that were ended without a complete request.
pub(super) type IncompleteCounts = BTreeMap<IncompleteKey, u64>;

impl Proxy {
    /// Handles the deadline for the complete first line of a session.
    pub(super) fn on_first_line_overdue(&mut self, context: &mut LoopContext, id: RequestId) {
        // The first line may have arrived in time without having been read.
        let is_still_overdue = self.read_incomplete_request(context, id)
            && self.sessions.get(id).is_some_and(|session| session.is_past_deadline(context.now));
        if is_still_overdue {
            self.on_incomplete_request(context, id);
        }
    }

    /// Ends the session of a client that has closed, or timed out, before its first line was complete. A client
    /// that has not closed gets an error, since what is missing of its line may be on its way, except an idle
    /// front end: it would take the error for the answer to its next ping. The input is read a little longer,
    /// since a close with unread input would send a reset.
    pub(super) fn on_incomplete_request(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(session) = self.sessions.get(id) else { return };
        let (client, progress) = (session.client_address(), progress_of(session));
        let is_idle_front_end = session.has_pinged() && progress == RequestProgress::Nothing;
        let has_closed = session.connection.peer_close.is_some();
        if progress == RequestProgress::Partial && self.log_limiter.acquire(context) {
            warn!(event = "incomplete-line", client = %client);
        }
        if has_closed {
            return self.close_session(context, id, Cause::Idle);
        }
        self.record_incomplete_request(context.now, id, Cause::Idle);
        let answer = if is_idle_front_end { Answer::Closed } else { Answer::Failed };
        self.answer(context, id, answer, Cause::Idle);
    }

    /// Rejects a client without a complete request in a shutdown, after checking for a first line that has
    /// just arrived. A silent client is rejected as well: its request may be on its way, and could not be
    /// answered after the close.
    pub(super) fn reject_incomplete_request(&mut self, context: &mut LoopContext, id: RequestId) {
        if self.read_incomplete_request(context, id) {
            self.record_incomplete_request(context.now, id, Cause::Shutdown);
            let retry_after = self.shutdown_retry_after();
            self.answer(context, id, Answer::Rejected { retry_after }, Cause::Shutdown);
        }
    }

    /// Closes the connection of a client without a complete request to free its descriptor. A client that has
    /// sent a part of its line is rejected first, since the rest may be on its way.
    pub(super) fn evict_incomplete_request(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(progress) = self.sessions.get(id).map(progress_of) else { return };
        self.record_incomplete_request(context.now, id, Cause::Descriptors);
        if progress == RequestProgress::Partial {
            let answer = Answer::Rejected { retry_after: RETRY_AFTER };
            self.answer(context, id, answer, Cause::Descriptors);
        }
        self.close_session(context, id, Cause::Descriptors);
    }

    /// Accepts and rejects a client that has connected, whether its request is complete or not. Must be called
    /// in a shutdown only.
    pub fn reject_client(&mut self, context: &mut LoopContext, stream: TcpStream, client: SocketAddr) {
        if let Some(id) = self.accept_client(context, stream, client) {
            self.reject_incomplete_request(context, id);
        }
    }

    /// Reads what a session that awaits its request has received. Returns whether the request is still
    /// incomplete and the session still open.
    pub(super) fn read_incomplete_request(&mut self, context: &mut LoopContext, id: RequestId) -> bool {
        self.on_session_ready(context, id, Readiness::READ);
        self.sessions.get(id).is_some_and(|session| session.stage() == SessionStage::AwaitingRequest)
    }

    /// Logs and counts that a session is ended without a complete request.
    pub(super) fn record_incomplete_request(&mut self, now: Micros, id: RequestId, cause: Cause) {
        let Some(session) = self.sessions.get(id) else { return };
        let progress = progress_of(session);
        let received_bytes = session.connection.pending_input().len();
        let age_ms = (now - session.stage_since()) / 1000;
        let client = session.client_address();
        debug!(event = "request-incomplete", req = id.0, %client, %cause, received_bytes, age_ms);
        *self.incomplete_requests.entry(IncompleteKey { progress, cause }).or_default() += 1;
    }
}

/// How much of its request the client of a session has sent so far.
fn progress_of(session: &Session) -> RequestProgress {
    if session.connection.pending_input().is_empty() {
        RequestProgress::Nothing
    } else {
        RequestProgress::Partial
    }
}
