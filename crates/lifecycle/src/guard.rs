//! The guard: checks each attempt and each final answer of all requests of a process.

use rustc_hash::FxHashMap;
use shorewharf_decisions::interface::{Idempotency, Outcome, RequestId, ServerId};
use shorewharf_units::Micros;
use thiserror::Error;

use crate::answer::Answer;
use crate::cause::Cause;
use crate::request::{Request, RequestState, SendError, Target};
use crate::rule::Rule;
use crate::stats::Stats;

/// Something that was to be done and is forbidden.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{rule}: request {}, attempt {attempt}", request.0)]
pub struct Violation {
    /// The rule that it would have broken.
    pub rule: Rule,
    /// The request.
    pub request: RequestId,
    /// The attempt that was begun last, from 1; 0 for none.
    pub attempt: u32,
    /// The server of that attempt, or of the first one that may have run.
    pub server: Option<ServerId>,
}

/// A final answer that is forbidden.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{violation}")]
pub struct ForbiddenAnswer {
    /// The rule that it would have broken.
    pub violation: Violation,
    /// The harmless answer to be given instead; none where the client has had its answer.
    pub replacement: Option<Answer>,
}

/// All requests that have been read and whose connections have not ended.
#[derive(Debug, Default)]
pub struct RequestGuard {
    requests: FxHashMap<RequestId, Request>,
    stats: Stats,
}

impl RequestGuard {
    /// A request has been read; this is what repeating it may do.
    pub fn receive(&mut self, id: RequestId, idempotency: Idempotency) {
        self.requests.insert(id, Request::new(idempotency));
    }

    /// The decisions have been told of a request.
    pub fn queue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.queue();
        }
    }

    /// An attempt is to begin.
    ///
    /// # Errors
    ///
    /// Fails where a rule forbids it; nothing has begun then.
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

    /// The first line of the attempt that is out is to be written. False where the deduplication window is
    /// over: the line must not be written, and that is no fault.
    ///
    /// # Errors
    ///
    /// Fails where a rule forbids it.
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

    /// The attempt that is out has ended without being accepted.
    pub fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if matches!(request.state(), RequestState::Connecting | RequestState::Sent) {
            self.stats.record_attempt_end(outcome);
        }
        request.end_attempt(outcome);
    }

    /// A server has accepted a request.
    pub fn serve(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.serve();
        }
    }

    /// Whether a request may be rejected now. An attempt that is out counts as one that may yet run.
    pub fn is_rejectable(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(Request::is_rejectable)
    }

    /// Whether any server may have run a request.
    pub fn may_have_run(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(Request::may_have_run)
    }

    /// How many attempts a request has had.
    pub fn attempts(&self, id: RequestId) -> u32 {
        self.requests.get(&id).map_or(0, Request::attempts)
    }

    /// The answer to a client that is not served, whatever the reason: a rejection where that is harmless.
    pub fn answer_for_unserved(&self, id: RequestId, retry_after: Micros) -> Answer {
        if self.is_rejectable(id) { Answer::Rejected { retry_after } } else { Answer::Failed }
    }

    /// A final answer is to be given.
    ///
    /// # Errors
    ///
    /// Fails where the answer is forbidden, and says which one counts as given in its place.
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

    /// The client of a request has left: nothing is owed to it.
    pub fn abandon(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.abandon();
        }
    }

    /// A request's connection is closed and its id is free.
    ///
    /// # Errors
    ///
    /// Fails where the request still waited for its answer.
    pub fn close(&mut self, id: RequestId) -> Result<(), Violation> {
        let is_lost = self.requests.get(&id).is_some_and(Request::is_waiting);
        let closed = if is_lost { Err(self.violation(id, Rule::ClosedUnanswered)) } else { Ok(()) };
        self.requests.remove(&id);
        closed
    }

    /// Counts since the start.
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
