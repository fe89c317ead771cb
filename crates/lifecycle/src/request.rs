//! The state of one request, and which steps it allows next.

use shorewharf_decisions::interface::{DeduplicationScope, Idempotency, Outcome, ServerId};
use shorewharf_units::Micros;
use thiserror::Error;

use crate::answer::Answer;
use crate::rule::Rule;

/// Longest time between reading the clock and writing a line. A retry that could reach its server after the
/// deduplication window of its class is not written.
const MAX_WRITE_DELAY: Micros = 150_000;

/// The server of an attempt. Zone and cell are those at the time when the attempt began, since the endpoint
/// list may change them later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server's id.
    pub server: ServerId,
    /// The server's zone.
    pub zone: u32,
    /// The server's cell.
    pub cell: u32,
}

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// The request's first line was read.
    Received,
    /// The decisions have it, and no attempt is pending.
    Queued,
    /// The connection of an attempt is being made. The server has not received the request yet.
    Connecting,
    /// The first line of an attempt is being or was written. The server may run the request.
    Sent,
    /// A server has accepted the request, and lines are relayed.
    Serving,
    /// The client was told to migrate.
    Migrated,
    /// The client got its final answer or has left.
    Answered,
}

/// Why the first line of an attempt must not be written.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SendError {
    /// The deduplication window may be over when the line arrives. This is no violation, since time passes
    /// while a connection is made. The attempt counts as not sent.
    #[error("the deduplication window may be over before the retry arrives")]
    WindowOver,
    /// A rule forbids writing it.
    #[error("forbidden by the rule {0}")]
    Forbidden(Rule),
}

/// The first attempt that may have run.
#[derive(Clone, Copy, Debug)]
struct PossibleRun {
    target: Target,
    sent_at: Micros,
    attempt: u32,
}

/// A request, from its first line until its connection is closed.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    idempotency: Idempotency,
    state: RequestState,
    /// Number of attempts that were begun.
    attempts: u32,
    /// The server of the pending attempt. It is kept when that server accepts the request.
    target: Option<Target>,
    possible_run: Option<PossibleRun>,
}

impl Request {
    /// Creates a request that was just read. Its idempotency is fixed from now on, even if the configuration
    /// of its class changes.
    pub fn new(idempotency: Idempotency) -> Self {
        Request { idempotency, state: RequestState::Received, attempts: 0, target: None, possible_run: None }
    }

    pub fn state(&self) -> RequestState {
        self.state
    }

    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The server of the pending attempt or of the established connection. Without either, the server of the
    /// first attempt that may have run.
    pub fn server(&self) -> Option<ServerId> {
        self.target.or(self.possible_run.map(|run| run.target)).map(|target| target.server)
    }

    /// Whether a server may have run the request or may still run it.
    pub fn may_have_run(&self) -> bool {
        self.possible_run.is_some()
    }

    /// Whether a server may have run the request, or may still run it, and a repeat of it is not harmless.
    pub fn is_repeat_harmful(&self) -> bool {
        self.may_have_run() && self.idempotency != Idempotency::Idempotent
    }

    /// Whether the client still waits for a server's acceptance or a final answer.
    pub fn is_waiting(&self) -> bool {
        match self.state {
            RequestState::Received | RequestState::Queued | RequestState::Connecting | RequestState::Sent => {
                true
            }
            RequestState::Serving | RequestState::Migrated | RequestState::Answered => false,
        }
    }

    /// Whether it is harmless if the client retries the request.
    pub fn is_rejectable(&self) -> bool {
        !self.may_have_run()
            || matches!(
                self.idempotency,
                Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All, _)
            )
    }

    pub fn queue(&mut self) {
        if self.state == RequestState::Received {
            self.state = RequestState::Queued;
        }
    }

    /// Begins an attempt: its connection to the server is being made.
    pub fn begin_attempt(&mut self, target: Target) -> Result<(), Rule> {
        match self.state {
            RequestState::Received | RequestState::Queued => {}
            RequestState::Connecting | RequestState::Sent => return Err(Rule::ConcurrentAttempt),
            RequestState::Serving | RequestState::Migrated | RequestState::Answered => {
                return Err(Rule::AttemptAfterAnswer);
            }
        }
        self.check_repeat(target)?;
        self.state = RequestState::Connecting;
        self.target = Some(target);
        self.attempts += 1;
        Ok(())
    }

    /// Checks that the first line of the pending attempt may be written, and records that it is.
    pub fn send(&mut self, now: Micros) -> Result<(), SendError> {
        let (RequestState::Connecting, Some(target)) = (self.state, self.target) else {
            return Err(SendError::Forbidden(Rule::AttemptAfterAnswer));
        };
        self.check_repeat(target).map_err(SendError::Forbidden)?;
        if self.is_window_over(now) {
            return Err(SendError::WindowOver);
        }
        self.state = RequestState::Sent;
        let run = PossibleRun { target, sent_at: now, attempt: self.attempts };
        self.possible_run.get_or_insert(run);
        Ok(())
    }

    /// Records that the pending attempt ended without being accepted by its server.
    pub fn end_attempt(&mut self, outcome: Outcome) {
        if !matches!(self.state, RequestState::Connecting | RequestState::Sent) {
            return;
        }
        let is_first = self.possible_run.is_some_and(|run| run.attempt == self.attempts);
        if is_first && outcome.never_ran() {
            self.possible_run = None;
        }
        self.state = RequestState::Queued;
        self.target = None;
    }

    /// Records that the server of the pending attempt accepted the request.
    pub fn serve(&mut self) {
        if self.state == RequestState::Sent {
            self.state = RequestState::Serving;
        }
    }

    /// Records the final answer, if the rules allow it.
    pub fn answer(&mut self, answer: Answer) -> Result<(), Rule> {
        self.check_answer(answer)?;
        self.state = if answer == Answer::Migrated { RequestState::Migrated } else { RequestState::Answered };
        Ok(())
    }

    fn check_answer(&self, answer: Answer) -> Result<(), Rule> {
        if matches!(self.state, RequestState::Migrated | RequestState::Answered) {
            return Err(Rule::SecondAnswer);
        }
        let is_waiting = self.is_waiting();
        match answer {
            Answer::Rejected { .. } if !is_waiting || !self.is_rejectable() => Err(Rule::RejectedAfterRun),
            Answer::Closed | Answer::Migrated if is_waiting => Err(Rule::ClosedUnanswered),
            _ => Ok(()),
        }
    }

    /// Records that the client has left and needs no answer.
    pub fn abandon(&mut self) {
        self.state = RequestState::Answered;
    }

    fn check_repeat(&self, target: Target) -> Result<(), Rule> {
        let Some(run) = self.possible_run else { return Ok(()) };
        let is_allowed = match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed(DeduplicationScope::All, _) => true,
            Idempotency::Keyed(DeduplicationScope::Zone, _) => run.target.zone == target.zone,
            Idempotency::Keyed(DeduplicationScope::Cell, _) => run.target.cell == target.cell,
        };
        if is_allowed { Ok(()) } else { Err(Rule::RepeatedAfterRun) }
    }

    fn is_window_over(&self, now: Micros) -> bool {
        let (Some(run), Idempotency::Keyed(_, window)) = (self.possible_run, self.idempotency) else {
            return false;
        };
        let window = (window * 1e6) as Micros;
        now + MAX_WRITE_DELAY >= run.sent_at + window
    }
}
