//! The guard, which checks each attempt and each final answer of all requests of a process.

use rustc_hash::FxHashMap;
use shorewharf_decisions::interface::{Idempotency, Outcome, RequestId, ServerId};
use shorewharf_units::Micros;
use thiserror::Error;

use crate::answer::Answer;
use crate::cause::Cause;
use crate::request::{Request, RequestState, SendError, Target};
use crate::rule::Rule;
use crate::stats::Stats;

/// A step that a rule forbids.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("request {}, attempt {attempt}: forbidden by the rule {rule}", request.0)]
pub struct Violation {
    /// The rule that the step would have broken.
    pub rule: Rule,
    /// The request concerned.
    pub request: RequestId,
    /// Number of the request's latest attempt, from 1; 0 if there was none.
    pub attempt: u32,
    /// The server of the pending attempt or of the established connection. Without either, the server of the
    /// first attempt that may have run.
    pub server: Option<ServerId>,
}

/// A final answer that is forbidden.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{violation}")]
pub struct ForbiddenAnswer {
    /// The violation that the answer would have been.
    pub violation: Violation,
    /// The answer to give instead; `None` if the client already has its final answer.
    pub replacement: Option<Answer>,
}

/// Checks the attempts and final answers of all requests, from the moment they are read until their
/// connections are closed.
#[derive(Debug, Default)]
pub struct RequestGuard {
    requests: FxHashMap<RequestId, Request>,
    stats: Stats,
}

impl RequestGuard {
    /// Records that a request was read, and whether it may be repeated.
    pub fn receive(&mut self, id: RequestId, idempotency: Idempotency) {
        self.requests.insert(id, Request::new(idempotency));
    }

    /// Records that a request was passed to the decisions.
    pub fn queue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.queue();
        }
    }

    /// Begins an attempt: its connection to the server is being made.
    ///
    /// # Errors
    ///
    /// Returns a violation if a rule forbids the attempt. The attempt has not begun then.
    pub fn begin_attempt(&mut self, id: RequestId, target: Target) -> Result<(), Violation> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Err(self.violation(id, Rule::AttemptAfterAnswer));
        };
        let begun = request.begin_attempt(target);
        let attempts = request.attempts();
        match begun {
            Ok(()) => {
                self.stats.record_attempt(attempts);
                Ok(())
            }
            Err(rule) => Err(self.violation(id, rule)),
        }
    }

    /// Checks that the first line of the pending attempt may be written now, and records that it is. Returns
    /// false if the deduplication window may be over when the line arrives. Then the line must not be
    /// written, but this is no violation.
    ///
    /// # Errors
    ///
    /// Returns a violation if a rule forbids writing the line.
    pub fn send(&mut self, id: RequestId, now: Micros) -> Result<bool, Violation> {
        let sent = match self.requests.get_mut(&id) {
            Some(request) => request.send(now),
            None => Err(SendError::Forbidden(Rule::AttemptAfterAnswer)),
        };
        match sent {
            Ok(()) => Ok(true),
            Err(SendError::WindowOver) => {
                self.stats.window_expired += 1;
                Ok(false)
            }
            Err(SendError::Forbidden(rule)) => Err(self.violation(id, rule)),
        }
    }

    /// Records that the pending attempt ended without being accepted by its server.
    pub fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if matches!(request.state(), RequestState::Connecting | RequestState::Sent) {
            self.stats.record_attempt_end(outcome);
        }
        request.end_attempt(outcome);
    }

    /// Records that a server accepted the request.
    pub fn serve(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.serve();
        }
    }

    /// Whether a request may be rejected now. A pending attempt that was sent counts as one that may have
    /// run.
    pub fn is_rejectable(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(Request::is_rejectable)
    }

    /// Whether a server may have run the request.
    pub fn may_have_run(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(Request::may_have_run)
    }

    /// Whether a server may have run a request, and a repeat of it is not harmless.
    pub fn is_repeat_harmful(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(Request::is_repeat_harmful)
    }

    /// Number of attempts of a request that were begun.
    pub fn attempts(&self, id: RequestId) -> u32 {
        self.requests.get(&id).map_or(0, Request::attempts)
    }

    /// Returns the answer for a client that is not served, for any reason: a rejection if a retry is
    /// harmless, else a failure.
    pub fn answer_for_unserved(&self, id: RequestId, retry_after: Micros) -> Answer {
        if self.is_rejectable(id) { Answer::Rejected { retry_after } } else { Answer::Failed }
    }

    /// Records that a request gets its final answer. Any answer is allowed for a request that the guard does not know.
    ///
    /// # Errors
    ///
    /// Returns an error if a rule forbids the answer. If the error has a replacement, that one is recorded as
    /// given.
    pub fn answer(&mut self, id: RequestId, answer: Answer, cause: Cause) -> Result<(), ForbiddenAnswer> {
        let Some(request) = self.requests.get_mut(&id) else { return Ok(()) };
        let Err(rule) = request.answer(answer) else {
            self.stats.record_answer(answer, cause);
            return Ok(());
        };
        let replacement = (rule != Rule::SecondAnswer).then_some(Answer::Failed);
        if replacement.is_some() {
            request.abandon();
            self.stats.record_answer(Answer::Failed, cause);
        }
        Err(ForbiddenAnswer { violation: self.violation(id, rule), replacement })
    }

    /// Records that the client of a request has left and needs no answer.
    pub fn abandon(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.abandon();
        }
    }

    /// Removes a request whose connection is closed. Its id may be used again.
    ///
    /// # Errors
    ///
    /// Returns a violation if the request still waited for its final answer. It is removed all the same.
    pub fn close(&mut self, id: RequestId) -> Result<(), Violation> {
        let is_lost = self.requests.get(&id).is_some_and(Request::is_waiting);
        let closed = if is_lost { Err(self.violation(id, Rule::ClosedUnanswered)) } else { Ok(()) };
        self.requests.remove(&id);
        closed
    }

    /// Statistics since the start of the process.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    fn violation(&mut self, id: RequestId, rule: Rule) -> Violation {
        self.stats.record_violation(rule);
        let request = self.requests.get(&id);
        Violation {
            rule,
            request: id,
            attempt: request.map_or(0, Request::attempts),
            server: request.and_then(Request::server),
        }
    }
}
