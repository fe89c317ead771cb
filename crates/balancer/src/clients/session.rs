//! A client session: one client's connection, from accept to close.
//!
//! It knows the client's side only. Which server serves it, and what its requests may cause, are the proxy's.

mod closing;
mod opening;

use std::net::SocketAddr;

use shorewharf_decisions::interface::ServerId;
use shorewharf_driver::ReceivedRequest;
use shorewharf_units::Micros;

use crate::event_loop::context::{LoopContext, TimerHandle};
use crate::transport::buffer_pool::{Buffer, BufferPool};
use crate::transport::connection::{Connection, LineTooLong, PeerClose};

pub use closing::CloseProgress;
pub use opening::{FirstLine, WaitingActivity};

/// A client that connects has this long for its complete first line. One that doesn't send it is owed a close within 3 s.
const FIRST_LINE_TIMEOUT: Micros = 2_500_000;
/// When one side has closed, the other has this long: a connection must be over within a second.
const HALF_OPEN_TIMEOUT: Micros = 700_000;
/// A client's line that goes unanswered for this long shows a dead connection. Clients send a line every 2 s, and must
/// leave a dead connection within 7 s.
const SILENT_SERVER_TIMEOUT: Micros = 1_500_000;
/// A request that the driver has not answered this long after its deadline is answered all the same.
const OVERDUE_ANSWER_GRACE: Micros = 15_000;
/// The delay between two attempts to restore a connection from before the start of this process.
const RESTORE_RETRY_DELAY: Micros = 500_000;

/// How far a client session has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionStage {
    /// Its first line is awaited.
    AwaitingRequest,
    /// Its request is being placed at a server.
    AwaitingAnswer,
    /// A server has accepted it: lines are forwarded both ways.
    Established,
    /// It is asked to migrate as soon as the line that is being forwarded has ended.
    Migrating,
    /// It has its final answer; its close is awaited.
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
    /// When the stage must be over.
    deadline: Micros,
    /// When the first line must be complete.
    first_line_deadline: Micros,
    /// Input that was discarded after the final answer.
    discarded_bytes: usize,
    /// The id of its open request, until its final answer.
    open_id: Option<u64>,
    /// Set once one side has closed: when the other must have.
    half_open_deadline: Option<Micros>,
    /// Its first line, until a server has accepted it.
    first_line: Option<Buffer>,
    /// Set if it was established before this process started. Boxed, since few are.
    restored: Option<Box<RestoredConnection>>,
    /// When the first line came that its server has not answered.
    unanswered_since: Option<Micros>,
    /// The class of its request, until its one outcome has been counted.
    uncounted_class: Option<u16>,
    /// It is in the proxy's list of sessions with a message delay to report.
    reports_delay: bool,
    pub(crate) timer: TimerHandle,
}

/// A connection that was established before this process started.
#[derive(Debug)]
struct RestoredConnection {
    /// The server that had accepted it.
    server: ServerId,
    request: ReceivedRequest,
    /// When to try again to restore it, once that has failed.
    retry_at: Option<Micros>,
    has_failed: bool,
}

/// The request in a session's first line.
#[derive(Debug)]
pub struct SessionRequest<'a> {
    /// The line itself.
    pub line: &'a [u8],
    /// The id of the open request.
    pub open_id: u64,
    /// The request, as the driver receives it.
    pub request: ReceivedRequest,
    /// The server that had accepted it before this process started.
    pub previous_server: Option<ServerId>,
    /// When it must be answered.
    pub deadline: Micros,
}

/// What another process knows of an established session that it transfers.
#[derive(Clone, Copy, Debug)]
pub struct TransferredSession {
    /// Where the client connects from.
    pub client_address: SocketAddr,
    /// The id of its open request.
    pub open_id: u64,
    /// When the first line came that its server has not answered.
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
            discarded_bytes: 0,
            open_id: None,
            half_open_deadline: None,
            first_line: None,
            restored: None,
            unanswered_since: None,
            uncounted_class: None,
            reports_delay: false,
            timer: TimerHandle::default(),
        }
    }

    /// Creates an established session that comes from another process of this balancer.
    pub(crate) fn adopted(connection: Connection, transferred: &TransferredSession, now: Micros) -> Self {
        Session {
            stage: SessionStage::Established,
            open_id: Some(transferred.open_id),
            unanswered_since: transferred.unanswered_since.map(|since| since.min(now)),
            ..Session::new(connection, transferred.client_address, now)
        }
    }

    /// Whether another process can go on with it.
    pub fn is_transferable(&self) -> bool {
        self.stage == SessionStage::Established
            && self.half_open_deadline.is_none()
            && self.connection.is_transferable()
    }

    /// Its first deadline, in the stage that it is in.
    pub(crate) fn next_deadline(&self, context: &LoopContext) -> Option<Micros> {
        let earliest_timeout = context.earliest_timeout();
        match self.stage {
            SessionStage::AwaitingRequest => Some(self.deadline.max(earliest_timeout)),
            SessionStage::Closing => Some(self.deadline),
            SessionStage::AwaitingAnswer => {
                let retry_at = self.restored.as_ref().and_then(|restored| restored.retry_at);
                earlier(retry_at, Some(self.deadline + OVERDUE_ANSWER_GRACE))
            }
            SessionStage::Established | SessionStage::Migrating => {
                let half_open = self.half_open_deadline.map(|deadline| deadline.max(earliest_timeout));
                let silent = self.unanswered_since.map(|since| silent_server_deadline(since, context));
                earlier(half_open, silent)
            }
        }
    }

    /// Whether its request should have been answered by now.
    pub fn is_overdue(&self, now: Micros) -> bool {
        now >= self.deadline + OVERDUE_ANSWER_GRACE
    }

    /// Where the client connects from.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// The stage that it is in.
    pub fn stage(&self) -> SessionStage {
        self.stage
    }

    /// When its stage began.
    pub(crate) fn stage_since(&self) -> Micros {
        self.stage_since
    }

    /// When its stage must be over.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Whether its stage should be over by now.
    pub fn is_past_deadline(&self, now: Micros) -> bool {
        now >= self.deadline
    }

    /// Whether its request waits for an answer.
    pub fn is_waiting(&self) -> bool {
        self.stage == SessionStage::AwaitingAnswer
    }

    /// The server that had accepted it before this process started.
    pub fn previous_server(&self) -> Option<ServerId> {
        self.restored.as_ref().map(|restored| restored.server)
    }

    /// Its request, if it was established before this process started.
    pub fn restored_request(&self) -> Option<ReceivedRequest> {
        self.restored.as_ref().map(|restored| restored.request)
    }

    /// Its first line, until a server has accepted it.
    pub fn first_line(&self) -> Option<&[u8]> {
        self.first_line.as_ref().map(Buffer::contents)
    }

    /// The id of its open request, until its final answer.
    pub fn open_id(&self) -> Option<u64> {
        self.open_id
    }

    /// When the first unanswered line came, to be cleared by an answer of the server.
    pub fn unanswered_since_mut(&mut self) -> &mut Option<Micros> {
        &mut self.unanswered_since
    }

    /// When the first line came that its server has not answered.
    pub fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered_since
    }

    /// Whether it is to be added to the sessions with a message delay to report; true once.
    pub fn begin_reporting_delay(&mut self) -> bool {
        self.unanswered_since.is_some() && !std::mem::replace(&mut self.reports_delay, true)
    }

    /// Keeps it among the sessions with a message delay to report, or removes it.
    pub fn set_reports_delay(&mut self, reports_delay: bool) {
        self.reports_delay = reports_delay;
    }

    /// When the first unanswered line came, if that is so long ago that the connection to the server is dead.
    pub fn server_silent_since(&self, context: &LoopContext) -> Option<Micros> {
        self.unanswered_since.filter(|since| context.now >= silent_server_deadline(*since, context))
    }

    /// Takes in its request, which waits for an answer from now on.
    pub(crate) fn begin_request(&mut self, now: Micros, pool: &BufferPool, opened: SessionRequest) {
        let mut first_line = pool.take();
        first_line.append(opened.line);
        self.first_line = Some(first_line);
        self.restored = opened.previous_server.map(|server| {
            Box::new(RestoredConnection {
                server,
                request: opened.request,
                retry_at: None,
                has_failed: false,
            })
        });
        self.stage = SessionStage::AwaitingAnswer;
        self.stage_since = now;
        self.deadline = opened.deadline;
        self.open_id = Some(opened.open_id);
        self.set_class(opened.request.class);
    }

    /// Notes the class of its request, which is known even if the rest of its first line is malformed.
    pub fn set_class(&mut self, class: usize) {
        self.uncounted_class = u16::try_from(class).ok();
    }

    /// Takes the class under which its outcome is to be counted; `None` once it has been counted.
    pub fn take_uncounted_class(&mut self) -> Option<usize> {
        self.uncounted_class.take().map(usize::from)
    }

    /// A server has accepted it.
    pub fn establish(&mut self) {
        self.stage = SessionStage::Established;
        self.first_line = None;
    }

    /// The client is to be asked to migrate. Returns false unless it is established and not migrating yet.
    pub fn begin_migration(&mut self) -> bool {
        let is_established = self.stage == SessionStage::Established;
        if is_established {
            self.stage = SessionStage::Migrating;
        }
        is_established
    }

    /// Reads lines of an established session, to be forwarded. Returns whether anything was read.
    ///
    /// # Errors
    ///
    /// If a line is over the protocol's limit.
    pub fn read_lines(&mut self, now: Micros, pool: &BufferPool) -> Result<bool, LineTooLong> {
        let has_read = self.half_open_deadline.is_none() && self.connection.read_available(pool);
        let inspected = self.inspect_lines(now);
        if self.connection.peer_close == Some(PeerClose::Fin) {
            self.connection.inspect_rest();
        }
        inspected.map(|()| has_read)
    }

    fn inspect_lines(&mut self, now: Micros) -> Result<(), LineTooLong> {
        while self.connection.inspect_line()?.is_some() {
            self.unanswered_since.get_or_insert(now);
        }
        Ok(())
    }

    /// One side has closed; the other has a deadline from now on.
    pub fn begin_half_open(&mut self, now: Micros) {
        self.half_open_deadline.get_or_insert(now + HALF_OPEN_TIMEOUT);
    }

    /// Whether the other side should have closed by now.
    pub fn is_half_open_expired(&self, now: Micros) -> bool {
        self.half_open_deadline.is_some_and(|deadline| now >= deadline)
    }

    /// An attempt to restore it has failed; it is tried again later. Returns whether it was the first one.
    pub fn on_restore_failed(&mut self, now: Micros) -> bool {
        let Some(restored) = &mut self.restored else { return false };
        restored.retry_at = Some(now + RESTORE_RETRY_DELAY);
        !std::mem::replace(&mut restored.has_failed, true)
    }

    /// Whether another attempt to restore it is due; true once.
    pub fn take_due_restore(&mut self, now: Micros) -> bool {
        let Some(restored) = &mut self.restored else { return false };
        restored.retry_at.take_if(|retry_at| now >= *retry_at).is_some()
    }
}

fn earlier(one: Option<Micros>, other: Option<Micros>) -> Option<Micros> {
    one.into_iter().chain(other).min()
}

/// When the server must have answered the line that came at `since`.
fn silent_server_deadline(since: Micros, context: &LoopContext) -> Micros {
    context.waiting_since(since) + SILENT_SERVER_TIMEOUT
}

#[cfg(test)]
mod tests;
