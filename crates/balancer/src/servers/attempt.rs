//! One attempt to have a server accept a client, and the established connection that it becomes.

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

/// How much of an unexpected answer is kept for the log.
const MAX_LOGGED_ANSWER_BYTES: usize = 80;

/// The stage of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// Its connection is not up yet.
    Connecting,
    /// The first line is being sent, or the server's answer is awaited.
    Sent,
    /// The server has accepted the client.
    Established,
}

/// The last message of a server, which tells how its close is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FinalReply {
    Completed,
    Migrate,
    Other,
}

/// What a server answers to a first line.
#[derive(Debug, PartialEq)]
pub enum ServerAnswer {
    /// It has accepted the client.
    Accepted,
    /// The attempt has ended.
    Ended(Outcome),
    /// Something that the protocol has no meaning for; the beginning of it.
    Unexpected(String),
    /// A line over the protocol's limit.
    LineTooLong,
}

/// Why an attempt could not begin.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DialError {
    /// Descriptors have run out.
    #[error("out of descriptors")]
    Shortage,
    /// Poll takes no more connections.
    #[error("the connection could not be registered with poll")]
    NotRegistered,
    /// This machine could not begin a connection, which says nothing about the server.
    #[error("connecting failed on this machine")]
    LocalFailure,
    /// Connecting failed at once.
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

/// Where an attempt goes, and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The time until the server must have answered.
    pub timeout: Micros,
    /// A connect that takes longer counts against the server.
    pub connect_timeout: Micros,
}

/// An attempt at a server, and the established connection that it becomes.
#[derive(Debug)]
pub struct Attempt {
    /// The connection to the server.
    pub connection: Connection,
    server: ServerId,
    pub(super) activity: Rc<ServerActivity>,
    stage: AttemptStage,
    /// A connection that is not up by then counts against the server.
    connected_by: Micros,
    /// When the server must have answered.
    deadline: Micros,
    last_reply: FinalReply,
    pub(super) timer: TimerHandle,
    last_answer: Option<AnsweredLine>,
    /// The last byte of the first line has been written, and that was counted.
    is_dispatched: bool,
}

impl Attempt {
    /// Creates an attempt that connects.
    pub(super) fn connecting(
        connection: Connection,
        target: &AttemptTarget,
        activity: Rc<ServerActivity>,
        now: Micros,
    ) -> Self {
        // The server is not blamed when the client leaves less time than a connect may take.
        let may_blame_server = target.connect_timeout <= target.timeout;
        let connected_by = if may_blame_server { now + target.connect_timeout } else { Micros::MAX };
        Attempt {
            connection,
            server: target.server,
            activity,
            stage: AttemptStage::Connecting,
            connected_by,
            deadline: now.saturating_add(target.timeout),
            last_reply: FinalReply::Other,
            timer: TimerHandle::default(),
            last_answer: None,
            is_dispatched: false,
        }
    }

    /// Creates an established attempt, from another process of this balancer.
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
            connected_by: now,
            deadline: now,
            last_reply: FinalReply::Other,
            timer: TimerHandle::default(),
            last_answer: None,
            is_dispatched: true,
        }
    }

    /// The server that it goes to.
    pub fn server(&self) -> ServerId {
        self.server
    }

    /// The stage that it is in.
    pub fn stage(&self) -> AttemptStage {
        self.stage
    }

    /// The server's last answer to a line of the client.
    pub fn last_answer(&self) -> Option<AnsweredLine> {
        self.last_answer
    }

    /// Sends the first line on a connection that has come up, with the time that is left as its timeout.
    pub fn send_request(&mut self, now: Micros, pool: &BufferPool, line: &[u8]) {
        self.stage = AttemptStage::Sent;
        self.connection.send(pool, &with_timeout(line, self.deadline.saturating_sub(now)));
    }

    /// Whether the last byte of the first line has been written; true once.
    pub fn take_dispatched(&mut self) -> bool {
        if self.is_dispatched || self.stage != AttemptStage::Sent {
            return false;
        }
        self.is_dispatched = self.connection.flush();
        self.is_dispatched
    }

    /// Reads the server's answer; `None` while it is incomplete.
    pub fn read_answer(&mut self, pool: &BufferPool) -> Option<ServerAnswer> {
        let is_sent = self.connection.flush();
        self.connection.read_available(pool);
        let is_closed = self.connection.peer_close.is_some();
        match self.connection.inspect_line() {
            Ok(Some(line)) => Some(answer_of(parse_message(line))),
            Err(LineTooLong) => Some(ServerAnswer::LineTooLong),
            Ok(None) if !is_closed => None,
            // Closed before the last byte of the line was written: the request has never run.
            Ok(None) if !is_sent => Some(ServerAnswer::Ended(Outcome::ConnectFailed)),
            Ok(None) => Some(ServerAnswer::Ended(Outcome::Reset)),
        }
    }

    /// Whether another process can go on with it.
    pub fn is_transferable(&self) -> bool {
        self.stage == AttemptStage::Established
            && self.last_reply == FinalReply::Other
            && self.connection.is_transferable()
    }

    /// The server has accepted the client.
    pub fn establish(&mut self, now: Micros, id: RequestId) {
        self.stage = AttemptStage::Established;
        self.activity.record(now, id);
    }

    /// Its next deadline; none once it is established.
    pub(super) fn next_deadline(&self, earliest_timeout: Micros) -> Option<Micros> {
        match self.stage {
            AttemptStage::Connecting => Some(self.connected_by.max(earliest_timeout).min(self.deadline)),
            AttemptStage::Sent => Some(self.deadline),
            AttemptStage::Established => None,
        }
    }

    /// How it ends if a deadline has passed. A request whose first line was not sent has never run; any other may have.
    pub(super) fn timeout_outcome(&self, now: Micros, earliest_timeout: Micros) -> Option<Outcome> {
        match self.stage {
            AttemptStage::Connecting if now >= self.connected_by.max(earliest_timeout) => {
                Some(Outcome::ConnectFailed)
            }
            AttemptStage::Connecting if now >= self.deadline => Some(Outcome::NotSent),
            AttemptStage::Sent if now >= self.deadline => Some(Outcome::TimedOut),
            _ => None,
        }
    }

    /// Reads lines of an established connection, to be forwarded. The figures of `LOAD` lines are added to `load_figures`;
    /// any other line answers what the client has sent at `unanswered_since`. Returns whether anything was read.
    ///
    /// # Errors
    ///
    /// If a line is over the protocol's limit.
    pub fn read_lines(
        &mut self,
        context: &LoopContext,
        id: RequestId,
        unanswered_since: &mut Option<Micros>,
        load_figures: &mut Vec<f64>,
    ) -> Result<bool, LineTooLong> {
        let has_read = self.connection.read_available(&context.buffers);
        let inspected = self.inspect_lines(context, id, unanswered_since, load_figures);
        if self.connection.peer_close == Some(PeerClose::Fin) {
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
    ) -> Result<(), LineTooLong> {
        let now = context.now;
        while let Some(line) = self.connection.inspect_line()? {
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

    /// How a close by the server counts, by its last message.
    pub fn outcome(&self) -> Outcome {
        match self.last_reply {
            FinalReply::Completed => Outcome::Ok,
            FinalReply::Migrate => Outcome::Cancelled,
            FinalReply::Other => Outcome::Reset,
        }
    }
}

/// The meaning of a message as the answer to a first line.
fn answer_of(message: Message) -> ServerAnswer {
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
