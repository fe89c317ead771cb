//! One request: its state, and what it allows next.

use shorewharf_decisions::interface::{DeduplicationScope, Idempotency, Outcome, ServerId};
use shorewharf_units::Micros;
use thiserror::Error;

use crate::answer::Answer;
use crate::rule::Rule;

/// The longest time between reading the clock and writing. A repeat that could reach its server after the
/// deduplication window of its class is not written.
const MAX_WRITE_DELAY: Micros = 150_000;

/// The server of an attempt. Zone and cell are those of the time when it began: the list may change them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server.
    pub server: ServerId,
    /// The server's zone.
    pub zone: u32,
    /// The server's cell.
    pub cell: u32,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Its first line has been read.
    Received,
    /// The decisions know of it; no attempt is out.
    Queued,
    /// An attempt's connection is being made: its server knows nothing of the request.
    Connecting,
    /// An attempt's first line is being written or has been: its server may run it.
    Sent,
    /// A server has accepted it, and lines are relayed.
    Serving,
    /// Its client has been told to migrate.
    Migrated,
    /// It has had its final answer, or its client has left.
    Answered,
}

/// Why a first line must not be written.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SendError {
    /// The deduplication window may be over when the line arrives. Time passes while a connection is made, so
    /// this is no fault: the attempt counts as never sent.
    #[error("the window for repeats is over")]
    WindowOver,
    /// A rule forbids it.
    #[error("forbidden: {0}")]
    Forbidden(Rule),
}

/// The first attempt that may have run.
#[derive(Clone, Copy, Debug)]
struct PossibleRun {
    target: Target,
    sent_at: Micros,
    attempt: u32,
}

/// One request, from its first line to its end.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    idempotency: Idempotency,
    state: RequestState,
    /// Attempts begun.
    attempts: u32,
    target: Option<Target>,
    possible_run: Option<PossibleRun>,
}

impl Request {
    /// A request that has been read. What repeating it may do is fixed now: a new configuration does not
    /// change it.
    pub fn new(idempotency: Idempotency) -> Self {
        Request { idempotency, state: RequestState::Received, attempts: 0, target: None, possible_run: None }
    }

    pub fn state(&self) -> RequestState {
        self.state
    }

    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The server of the attempt that is out, or of the first one that may have run.
    pub fn server(&self) -> Option<ServerId> {
        self.target.or(self.possible_run.map(|run| run.target)).map(|target| target.server)
    }

    /// Whether a server may have run it, or may yet.
    pub fn may_have_run(&self) -> bool {
        self.possible_run.is_some()
    }

    /// Whether it still waits for its final answer.
    pub fn is_waiting(&self) -> bool {
        match self.state {
            RequestState::Received | RequestState::Queued | RequestState::Connecting | RequestState::Sent => {
                true
            }
            RequestState::Serving | RequestState::Migrated | RequestState::Answered => false,
        }
    }

    /// Whether a client that retries it can do no harm.
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

    /// An attempt begins: its connection is made.
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

    /// The first line is about to be written.
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

    /// The attempt that is out has ended without being accepted.
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

    /// A server has accepted it.
    pub fn serve(&mut self) {
        if self.state == RequestState::Sent {
            self.state = RequestState::Serving;
        }
    }

    /// The final answer is given.
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

    /// The client has left: nothing is owed to it.
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
