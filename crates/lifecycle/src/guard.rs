//! The guard: all requests of a process, and what was forbidden of them.

use rustc_hash::FxHashMap;
use shorewharf_decisions::interface::{Idempotency, Outcome, RequestId, ServerId};
use shorewharf_units::Micros;
use thiserror::Error;

use crate::cause::Cause;
use crate::request::{Answer, Request, RequestState, SendError, Target};
use crate::stats::{Rule, Stats};

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

    /// The decision module has been told of a request.
    pub fn queue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.queue();
        }
    }

    /// An attempt is to begin.
    pub fn begin_attempt(&mut self, id: RequestId, target: Target) -> Result<(), Violation> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Err(self.violation(id, Rule::AttemptAfterAnswer));
        };
        let begun = request.begin_attempt(target);
        let attempts = request.attempts();
        match begun {
            Ok(()) => {
                self.stats.attempt_began(attempts);
                Ok(())
            }
            Err(rule) => Err(self.violation(id, rule)),
        }
    }

    /// The first line of the attempt that is out is to be written. It may be where there is no fault; false where the
    /// window for repeats is over.
    pub fn send(&mut self, id: RequestId, now: Micros) -> Result<bool, Violation> {
        let sent = match self.requests.get_mut(&id) {
            Some(request) => request.send(now),
            None => Err(SendError::Forbidden(Rule::AttemptAfterAnswer)),
        };
        match sent {
            Ok(()) => Ok(true),
            Err(SendError::WindowOver) => {
                self.stats.withheld += 1;
                Ok(false)
            }
            Err(SendError::Forbidden(rule)) => Err(self.violation(id, rule)),
        }
    }

    /// The attempt that is out has ended without being taken.
    pub fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if matches!(request.state(), RequestState::Connecting | RequestState::Sent) {
            self.stats.attempt_ended(outcome);
        }
        request.end_attempt(outcome);
    }

    /// A server has taken a request.
    pub fn serve(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.serve();
        }
    }

    /// Whether a request may be refused now. An attempt that is out counts as one that may yet run.
    pub fn is_refusable(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(Request::is_refusable)
    }

    /// Whether any server may have run a request.
    pub fn may_have_run(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(Request::may_have_run)
    }

    /// How many attempts a request has had.
    pub fn attempts(&self, id: RequestId) -> u32 {
        self.requests.get(&id).map_or(0, Request::attempts)
    }

    /// The answer to a client that is not served, whatever the reason: a refusal where that is harmless.
    pub fn unserved_answer(&self, id: RequestId, after: Micros) -> Answer {
        if self.is_refusable(id) { Answer::Refused { after } } else { Answer::Failed }
    }

    /// A final answer is to be given. Where it is forbidden, the error comes with the harmless one in its place, which
    /// counts as given; none where the client has had its answer.
    pub fn answer(
        &mut self,
        id: RequestId,
        answer: Answer,
        cause: Cause,
    ) -> Result<(), (Violation, Option<Answer>)> {
        let Some(request) = self.requests.get_mut(&id) else { return Ok(()) };
        let Err(rule) = request.answer(answer) else {
            self.stats.answered(answer, cause);
            return Ok(());
        };
        let instead = (rule != Rule::SecondAnswer).then_some(Answer::Failed);
        if instead.is_some() {
            request.abandon();
            self.stats.answered(Answer::Failed, cause);
        }
        Err((self.violation(id, rule), instead))
    }

    /// The client of a request has gone: nothing is owed to it.
    pub fn abandon(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.abandon();
        }
    }

    /// A request's connection is closed and its number is free. One that still waited for its answer is lost.
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
        self.stats.violated(rule);
        let request = self.requests.get(&id);
        Violation {
            rule,
            request: id,
            attempt: request.map_or(0, Request::attempts),
            server: request.and_then(Request::server),
        }
    }
}
