//! An attempt to have a server accept a client's request. An accepted attempt becomes the established connection.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_protocol::message::{Message, parse_message};
use shorewharf_protocol::open_request::with_timeout;
use shorewharf_units::Micros;
use thiserror::Error;

use crate::event_loop::context::{LoopContext, TimerHandle};
use crate::servers::delays::AnsweredLine;
use crate::servers::server_activity::ServerActivity;
use crate::transport::buffer_pool::BufferPool;
use crate::transport::connection::{Connection, LineTooLong, PeerClose, is_local_failure, is_shortage};
use crate::transport::line_budget::LineBudget;

/// The number of bytes of an unexpected answer that are kept for the log.
const MAX_LOGGED_ANSWER_BYTES: usize = 80;

/// The stage of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// The TCP connection to the server is not established yet.
    Connecting,
    /// The first line of the request is being sent, or has been sent and the server's answer is awaited.
    Sent,
    /// The server has accepted the client.
    Established,
}

/// The kind of the server's last message, which determines the outcome when the server closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FinalReply {
    Completed,
    Migrate,
    Other,
}

/// A server's answer to the first line of a request.
#[derive(Debug, PartialEq)]
pub enum ServerAnswer {
    /// The server has accepted the client.
    Accepted,
    /// The answer, or the close of the connection, ends the attempt with this outcome.
    Ended(Outcome),
    /// A message that the protocol does not allow here. Contains its first `MAX_LOGGED_ANSWER_BYTES` bytes.
    Unexpected(String),
    /// A line that exceeds the protocol's length limit.
    LineTooLong,
}

/// The reason why no connection to a server could be started.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DialError {
    /// The process or the system has no file descriptor, or no memory for one, left.
    #[error("no file descriptor is left for a connection to the server")]
    Shortage,
    /// The poller did not accept the connection's descriptor.
    #[error("the connection could not be registered with the poller")]
    NotRegistered,
    /// The failure is local, such as a missing route or port, and says nothing about the server.
    #[error("connecting failed because of a local error")]
    LocalFailure,
    /// The connect call failed immediately with an error that is attributed to the server.
    #[error("the server refused the connection")]
    Refused,
}

impl From<&io::Error> for DialError {
    fn from(error: &io::Error) -> Self {
        if is_shortage(error) {
            DialError::Shortage
        } else if is_local_failure(error) {
            DialError::LocalFailure
        } else {
            DialError::Refused
        }
    }
}

/// The server of an attempt, and the attempt's timeouts.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// The server.
    pub server: ServerId,
    /// The server's address.
    pub address: SocketAddr,
    /// The time from now within which the server must answer the first line.
    pub timeout: Micros,
    /// The time from now within which the connection must be established. If it is not, that counts as a failure of the
    /// server.
    pub connect_timeout: Micros,
}

/// An attempt at a server. Once the server has accepted the client it is the established connection.
#[derive(Debug)]
pub struct Attempt {
    /// The connection to the server.
    pub connection: Connection,
    server: ServerId,
    pub(super) activity: Rc<ServerActivity>,
    stage: AttemptStage,
    /// The time by which the connection must be established, or else the server counts as failed. `Micros::MAX` if a
    /// slow connect is not attributed to the server.
    connect_deadline: Micros,
    /// The time by which the server must have answered the first line.
    deadline: Micros,
    last_reply: FinalReply,
    pub(super) timer: TimerHandle,
    last_answer: Option<AnsweredLine>,
    /// The last byte of the first line has been written, and [`Attempt::take_dispatched`] has returned true.
    is_dispatched: bool,
}

impl Attempt {
    /// Creates an attempt whose connection is being established.
    pub(super) fn connecting(
        connection: Connection,
        target: &AttemptTarget,
        activity: Rc<ServerActivity>,
        now: Micros,
    ) -> Self {
        // A slow connect is not attributed to the server if the client's timeout is shorter than the connect timeout.
        let is_server_accountable = target.connect_timeout <= target.timeout;
        let connect_deadline = if is_server_accountable { now + target.connect_timeout } else { Micros::MAX };
        Attempt {
            connection,
            server: target.server,
            activity,
            stage: AttemptStage::Connecting,
            connect_deadline,
            deadline: now.saturating_add(target.timeout),
            last_reply: FinalReply::Other,
            timer: TimerHandle::default(),
            last_answer: None,
            is_dispatched: false,
        }
    }

    /// Creates an established attempt from a connection that another process of this balancer has transferred.
    pub(super) fn adopted(
        connection: Connection,
        server: ServerId,
        activity: Rc<ServerActivity>,
        now: Micros,
    ) -> Self {
        Attempt {
            connection,
            server,
            activity,
            stage: AttemptStage::Established,
            connect_deadline: now,
            deadline: now,
            last_reply: FinalReply::Other,
            timer: TimerHandle::default(),
            last_answer: None,
            is_dispatched: true,
        }
    }

    /// The server of this attempt.
    pub fn server(&self) -> ServerId {
        self.server
    }

    /// The current stage.
    pub fn stage(&self) -> AttemptStage {
        self.stage
    }

    /// The server's last answer to a line from the client; `None` before the first answer.
    pub fn last_answer(&self) -> Option<AnsweredLine> {
        self.last_answer
    }

    /// Sends the first line over a connection that has been established. The line's timeout field is set to the time that is
    /// left until the deadline.
    pub fn send_request(&mut self, now: Micros, pool: &BufferPool, line: &[u8]) {
        self.stage = AttemptStage::Sent;
        self.connection.send(pool, &with_timeout(line, self.deadline.saturating_sub(now)));
    }

    /// Whether the last byte of the first line has been written. Returns true only once.
    pub fn take_dispatched(&mut self) -> bool {
        if self.is_dispatched || self.stage != AttemptStage::Sent {
            return false;
        }
        self.is_dispatched = self.connection.flush();
        self.is_dispatched
    }

    /// Reads the server's answer to the first line. Returns `None` while the answer is incomplete.
    pub fn read_answer(&mut self, pool: &BufferPool) -> Option<ServerAnswer> {
        let is_sent = self.connection.flush();
        self.connection.read_available(pool);
        let is_closed = self.connection.peer_close.is_some();
        match self.connection.inspect_line() {
            Ok(Some(line)) => Some(answer_from_message(parse_message(line))),
            Err(LineTooLong) => Some(ServerAnswer::LineTooLong),
            Ok(None) if !is_closed => None,
            // The server closed the connection before the last byte of the line was written, so the request has not run.
            Ok(None) if !is_sent => Some(ServerAnswer::Ended(Outcome::ConnectFailed)),
            Ok(None) => Some(ServerAnswer::Ended(Outcome::Reset)),
        }
    }

    /// Whether the connection can be transferred to another process of this balancer.
    pub fn is_transferable(&self) -> bool {
        self.stage == AttemptStage::Established
            && self.last_reply == FinalReply::Other
            && self.connection.is_transferable()
    }

    /// Marks the attempt as established, after the server has accepted the client.
    pub fn establish(&mut self, now: Micros, id: RequestId) {
        self.stage = AttemptStage::Established;
        self.activity.record(now, id);
    }

    /// The next deadline of the attempt; `None` once it is established. A connect deadline before `earliest_timeout` is
    /// postponed to that time.
    pub(super) fn next_deadline(&self, earliest_timeout: Micros) -> Option<Micros> {
        match self.stage {
            AttemptStage::Connecting => Some(self.connect_deadline.max(earliest_timeout).min(self.deadline)),
            AttemptStage::Sent => Some(self.deadline),
            AttemptStage::Established => None,
        }
    }

    /// The outcome if a deadline has passed; `None` otherwise. A request whose first line was not sent has not run; any other
    /// may have run.
    pub(super) fn timeout_outcome(&self, now: Micros, earliest_timeout: Micros) -> Option<Outcome> {
        match self.stage {
            AttemptStage::Connecting if now >= self.connect_deadline.max(earliest_timeout) => {
                Some(Outcome::ConnectFailed)
            }
            AttemptStage::Connecting if now >= self.deadline => Some(Outcome::NotSent),
            AttemptStage::Sent if now >= self.deadline => Some(Outcome::TimedOut),
            _ => None,
        }
    }

    /// Reads lines from the server of an established connection, as far as the budget goes, which are to be forwarded to the
    /// client. The values of
    /// `LOAD` lines are appended to `load_figures`. Any other line except `BYE` and `MOVE` counts as the answer to the line
    /// that the client sent at `unanswered_since`, which is reset. Returns whether anything was read.
    ///
    /// # Errors
    ///
    /// Returns an error if a line exceeds the protocol's length limit.
    pub fn read_lines(
        &mut self,
        context: &LoopContext,
        id: RequestId,
        unanswered_since: &mut Option<Micros>,
        load_figures: &mut Vec<f64>,
        budget: &mut LineBudget,
    ) -> Result<bool, LineTooLong> {
        let has_read = self.connection.read_available(&context.buffers);
        let inspected = self.inspect_lines(context, id, unanswered_since, load_figures, budget);
        if self.connection.peer_close == Some(PeerClose::Fin) && !budget.is_exhausted() {
            self.connection.inspect_rest();
        }
        inspected.map(|()| has_read)
    }

    fn inspect_lines(
        &mut self,
        context: &LoopContext,
        id: RequestId,
        unanswered_since: &mut Option<Micros>,
        load_figures: &mut Vec<f64>,
        budget: &mut LineBudget,
    ) -> Result<(), LineTooLong> {
        let now = context.now;
        while !budget.is_exhausted()
            && let Some(line) = self.connection.inspect_line()?
        {
            budget.take();
            self.activity.record(now, id);
            self.last_reply = FinalReply::Other;
            match parse_message(line) {
                Message::Completed => self.last_reply = FinalReply::Completed,
                Message::Migrate => self.last_reply = FinalReply::Migrate,
                Message::LoadReport(figure) => load_figures.extend(figure),
                _ => {
                    if let Some(sent_at) = unanswered_since.take() {
                        let delay = now - context.waiting_since(sent_at);
                        self.last_answer = Some(AnsweredLine { at: now, delay });
                    }
                }
            }
        }
        Ok(())
    }

    /// The outcome if the server closes the connection now, which depends on its last message.
    pub fn outcome(&self) -> Outcome {
        match self.last_reply {
            FinalReply::Completed => Outcome::Ok,
            FinalReply::Migrate => Outcome::Cancelled,
            FinalReply::Other => Outcome::Reset,
        }
    }
}

/// Interprets a message as the answer to the first line of a request.
fn answer_from_message(message: Message) -> ServerAnswer {
    match message {
        Message::Accepted(_) => ServerAnswer::Accepted,
        Message::Rejected(_) => ServerAnswer::Ended(Outcome::Rejected),
        Message::Migrate => ServerAnswer::Ended(Outcome::Cancelled),
        Message::Completed => ServerAnswer::Ended(Outcome::Ok),
        Message::Failed => ServerAnswer::Ended(Outcome::Error),
        other => {
            let line = other.to_string();
            let line = line.trim_end().as_bytes();
            let beginning = &line[..line.len().min(MAX_LOGGED_ANSWER_BYTES)];
            ServerAnswer::Unexpected(String::from_utf8_lossy(beginning).into_owned())
        }
    }
}
