//! A client session: one client's connection, from accept to close.
//!
//! A session covers the client's side only. The proxy tracks which server serves the client and whether its
//! request may have run.

mod closing;
mod opening;
mod restored;

use std::net::SocketAddr;

use shorewharf_decisions::interface::ServerId;
use shorewharf_driver::ReceivedRequest;
use shorewharf_units::Micros;

use crate::event_loop::context::{LoopContext, TimerHandle};
use crate::transport::buffer_pool::{Buffer, BufferPool};
use crate::transport::connection::{Connection, LineTooLong, PeerClose};
use crate::transport::line_budget::LineBudget;

pub use closing::CloseProgress;
pub use opening::{FirstLine, WaitingActivity};
use restored::RestoredConnection;

/// Time within which a client that has connected must send its complete first line. The connection of a
/// client that sends none must be closed within 3 s.
const FIRST_LINE_TIMEOUT: Micros = 2_500_000;
/// Time within which one side must close after the other has. The whole connection must be closed within a
/// second.
const HALF_OPEN_TIMEOUT: Micros = 700_000;
/// A connection to a server is considered dead if a line of the client goes unanswered for this long. Clients
/// send a line every 2 s, and must leave a dead connection within 7 s.
const SILENT_SERVER_TIMEOUT: Micros = 1_500_000;
/// A connection that has used up each of its turns for this long is logged.
const SATURATION_TIME: Micros = 1_000_000;
/// Time after the deadline of a request at which the proxy answers it if the driver has not.
const OVERDUE_ANSWER_GRACE: Micros = 15_000;

/// The stage of a client session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionStage {
    /// The client's first line is awaited.
    AwaitingRequest,
    /// The request is being placed, or a server's answer to it is awaited.
    AwaitingAnswer,
    /// A server has accepted the client; lines are forwarded in both directions.
    Established,
    /// The client will be asked to migrate as soon as the line that is being forwarded to it is complete.
    Migrating,
    /// The final answer has been sent; the client's close is awaited.
    Closing,
}

/// A client session.
#[derive(Debug)]
pub struct Session {
    /// The connection to the client.
    pub connection: Connection,
    client_address: SocketAddr,
    stage: SessionStage,
    stage_since: Micros,
    /// The deadline of the current stage.
    deadline: Micros,
    /// The deadline for the complete first line.
    first_line_deadline: Micros,
    /// Whether the client has sent a ping, as front ends do.
    has_pinged: bool,
    /// The number of bytes that were received and discarded after the final answer.
    discarded_bytes: usize,
    /// The id that the client chose for its open request; `None` before the request and after the final answer.
    open_id: Option<u64>,
    /// Whether the open id stays taken after the end of the request, which must not run again.
    is_id_retained: bool,
    /// The deadline for the other side to close, once one side has closed.
    half_open_deadline: Option<Micros>,
    /// The first line, until a server has accepted the client.
    first_line: Option<Buffer>,
    /// Set if the connection was established before this process started. Boxed, since that is rare.
    restored: Option<Box<RestoredConnection>>,
    /// When the oldest line that the server has not answered was received.
    unanswered_since: Option<Micros>,
    /// The class of the request, until the outcome of the request has been counted.
    uncounted_class: Option<u16>,
    /// Since when the connection has used up each of its turns; `None` if it has not.
    saturated_since: Option<Micros>,
    /// Whether that has been logged.
    has_logged_saturation: bool,
    /// Whether the session is in the proxy's list of sessions with a message delay to report.
    reports_delay: bool,
    pub(crate) timer: TimerHandle,
}

/// The request in a session's first line.
#[derive(Debug)]
pub struct SessionRequest<'a> {
    /// The first line, without the line end.
    pub line: &'a [u8],
    /// The id that the client chose for its open request.
    pub open_id: u64,
    /// The request, as the driver receives it.
    pub request: ReceivedRequest,
    /// The server that had accepted the client before this process started, if any.
    pub previous_server: Option<ServerId>,
    /// The deadline for the answer to the request.
    pub deadline: Micros,
}

/// The state of an established session that another process transfers.
#[derive(Clone, Copy, Debug)]
pub struct TransferredSession {
    /// The address of the client.
    pub client_address: SocketAddr,
    /// The id that the client chose for its open request.
    pub open_id: u64,
    /// When the oldest line that the server has not answered was received.
    pub unanswered_since: Option<Micros>,
}

impl Session {
    /// Creates the session of a client that has just connected.
    pub(crate) fn new(connection: Connection, client_address: SocketAddr, now: Micros) -> Self {
        Session {
            connection,
            client_address,
            stage: SessionStage::AwaitingRequest,
            stage_since: now,
            deadline: now + FIRST_LINE_TIMEOUT,
            first_line_deadline: now + FIRST_LINE_TIMEOUT,
            has_pinged: false,
            discarded_bytes: 0,
            open_id: None,
            is_id_retained: false,
            half_open_deadline: None,
            first_line: None,
            restored: None,
            unanswered_since: None,
            uncounted_class: None,
            saturated_since: None,
            has_logged_saturation: false,
            reports_delay: false,
            timer: TimerHandle::default(),
        }
    }

    /// Creates an established session that another process of this balancer has transferred.
    pub(crate) fn adopted(connection: Connection, transferred: &TransferredSession, now: Micros) -> Self {
        Session {
            stage: SessionStage::Established,
            open_id: Some(transferred.open_id),
            unanswered_since: transferred.unanswered_since.map(|since| since.min(now)),
            ..Session::new(connection, transferred.client_address, now)
        }
    }

    /// Whether the session can be transferred to another process.
    pub fn is_transferable(&self) -> bool {
        self.stage == SessionStage::Established
            && self.half_open_deadline.is_none()
            && self.connection.is_transferable()
    }

    /// The earliest deadline of the current stage.
    pub(crate) fn next_deadline(&self, context: &LoopContext) -> Option<Micros> {
        let earliest_timeout = context.earliest_timeout();
        match self.stage {
            SessionStage::AwaitingRequest => Some(self.deadline.max(earliest_timeout)),
            SessionStage::Closing => Some(self.deadline),
            SessionStage::AwaitingAnswer => {
                let retry_at = self.restored.as_ref().and_then(|restored| restored.retry_at());
                earlier(retry_at, Some(self.deadline + OVERDUE_ANSWER_GRACE))
            }
            SessionStage::Established | SessionStage::Migrating => {
                let half_open = self.half_open_deadline.map(|deadline| deadline.max(earliest_timeout));
                let silent = self.unanswered_since.map(|since| silent_server_deadline(since, context));
                earlier(half_open, silent)
            }
        }
    }

    /// Whether the deadline of the request and the grace after it have passed.
    pub fn is_overdue(&self, now: Micros) -> bool {
        now >= self.deadline + OVERDUE_ANSWER_GRACE
    }

    /// The address of the client.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// The current stage.
    pub fn stage(&self) -> SessionStage {
        self.stage
    }

    /// When the current stage began.
    pub(crate) fn stage_since(&self) -> Micros {
        self.stage_since
    }

    /// The deadline of the current stage.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Whether the deadline of the current stage has passed.
    pub fn is_past_deadline(&self, now: Micros) -> bool {
        now >= self.deadline
    }

    /// Whether the request waits for an answer.
    pub fn is_waiting(&self) -> bool {
        self.stage == SessionStage::AwaitingAnswer
    }

    /// Whether the client has sent a ping, as front ends do.
    pub fn has_pinged(&self) -> bool {
        self.has_pinged
    }

    /// The first line, until a server has accepted the client.
    pub fn first_line(&self) -> Option<&[u8]> {
        self.first_line.as_ref().map(Buffer::contents)
    }

    /// The id that the client chose for its open request; `None` before the request and after the final answer.
    pub fn open_id(&self) -> Option<u64> {
        self.open_id
    }

    /// Has the open id stay taken after the end of the request.
    pub fn retain_id(&mut self) {
        self.is_id_retained = true;
    }

    /// Whether the open id stays taken after the end of the request.
    pub fn is_id_retained(&self) -> bool {
        self.is_id_retained
    }

    /// A mutable reference to the time of the oldest unanswered line, which an answer of the server clears.
    pub fn unanswered_since_mut(&mut self) -> &mut Option<Micros> {
        &mut self.unanswered_since
    }

    /// When the oldest line that the server has not answered was received.
    pub fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered_since
    }

    /// Marks a session with an unanswered line as one that has a message delay to report. Returns true if it
    /// was not marked before, so that the caller adds it to the list of such sessions.
    pub fn begin_reporting_delay(&mut self) -> bool {
        self.unanswered_since.is_some() && !std::mem::replace(&mut self.reports_delay, true)
    }

    /// Records whether the session stays in the list of sessions with a message delay to report.
    pub fn set_reports_delay(&mut self, reports_delay: bool) {
        self.reports_delay = reports_delay;
    }

    /// Records whether the connection has used up its turn in this iteration. Returns how long it has done so without a
    /// pause, once that is long enough to be logged and has not been logged.
    pub fn record_turn(&mut self, now: Micros, is_used_up: bool) -> Option<Micros> {
        if !is_used_up {
            self.saturated_since = None;
            self.has_logged_saturation = false;
            return None;
        }
        let duration = now - *self.saturated_since.get_or_insert(now);
        let is_due = duration >= SATURATION_TIME && !self.has_logged_saturation;
        self.has_logged_saturation |= is_due;
        is_due.then_some(duration)
    }

    /// When the oldest unanswered line was received, if that is so long ago that the connection to the server
    /// is considered dead.
    pub fn server_silent_since(&self, context: &LoopContext) -> Option<Micros> {
        self.unanswered_since.filter(|since| context.now >= silent_server_deadline(*since, context))
    }

    /// Stores the request of the session, which waits for an answer from now on.
    pub(crate) fn begin_request(&mut self, now: Micros, pool: &BufferPool, opened: SessionRequest) {
        let mut first_line = pool.take();
        first_line.append(opened.line);
        self.first_line = Some(first_line);
        self.restored =
            opened.previous_server.map(|server| Box::new(RestoredConnection::new(server, opened.request)));
        self.stage = SessionStage::AwaitingAnswer;
        self.stage_since = now;
        self.deadline = opened.deadline;
        self.open_id = Some(opened.open_id);
        self.set_class(opened.request.class);
    }

    /// Records the class of the request, which can be known even if the rest of the first line is malformed.
    pub fn set_class(&mut self, class: usize) {
        self.uncounted_class = u16::try_from(class).ok();
    }

    /// Takes the class under which the outcome of the request is to be counted; `None` once it has been
    /// counted.
    pub fn take_uncounted_class(&mut self) -> Option<usize> {
        self.uncounted_class.take().map(usize::from)
    }

    /// Marks the session as established after a server has accepted the client.
    pub fn establish(&mut self) {
        self.stage = SessionStage::Established;
        self.first_line = None;
    }

    /// Marks the session as migrating. Returns false, and changes nothing, unless it is in the established
    /// stage.
    pub fn begin_migration(&mut self) -> bool {
        let is_established = self.stage == SessionStage::Established;
        if is_established {
            self.stage = SessionStage::Migrating;
        }
        is_established
    }

    /// Reads lines of an established session that are to be forwarded, as far as the budget goes. Returns whether anything was
    /// read.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is over the protocol's limit.
    pub fn read_lines(
        &mut self,
        now: Micros,
        pool: &BufferPool,
        budget: &mut LineBudget,
    ) -> Result<bool, LineTooLong> {
        let has_read = self.half_open_deadline.is_none() && self.connection.read_available(pool);
        let inspected = self.inspect_lines(now, budget);
        if self.connection.peer_close == Some(PeerClose::Fin) && !budget.is_exhausted() {
            self.connection.inspect_rest();
        }
        inspected.map(|()| has_read)
    }

    fn inspect_lines(&mut self, now: Micros, budget: &mut LineBudget) -> Result<(), LineTooLong> {
        while !budget.is_exhausted() && self.connection.inspect_line()?.is_some() {
            budget.take();
            self.unanswered_since.get_or_insert(now);
        }
        Ok(())
    }

    /// Sets the deadline for the other side to close, after one side has closed; a deadline that is set
    /// already stays.
    pub fn begin_half_open(&mut self, now: Micros) {
        self.half_open_deadline.get_or_insert(now + HALF_OPEN_TIMEOUT);
    }

    /// Whether the deadline for the other side to close has passed.
    pub fn is_half_open_expired(&self, now: Micros) -> bool {
        self.half_open_deadline.is_some_and(|deadline| now >= deadline)
    }
}

fn earlier(one: Option<Micros>, other: Option<Micros>) -> Option<Micros> {
    one.into_iter().chain(other).min()
}

/// The time by which the server must have answered a line that was received at `since`.
fn silent_server_deadline(since: Micros, context: &LoopContext) -> Micros {
    context.waiting_since(since) + SILENT_SERVER_TIMEOUT
}

#[cfg(test)]
mod tests;
