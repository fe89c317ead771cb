//! Sends clients their final answers. Every final answer passes through here and is checked by the request
//! guard, which tracks the requests that a server may have run.

use std::collections::BTreeMap;
use std::fmt::Display;

use shorewharf_decisions::interface::RequestId;
use shorewharf_lifecycle::{Answer, Cause, Violation};
use shorewharf_protocol::message::{Message, rejected};
use shorewharf_units::Micros;
use tracing::{debug, error, warn};

use crate::admin::counters::Reply;
use crate::clients::session::{CloseProgress, SessionStage};
use crate::event_loop::context::LoopContext;
use crate::proxy::Proxy;

/// Returns the message that tells a client its answer, or `None` if the connection is closed without a
/// message.
fn message_of(answer: Answer) -> Option<Message<'static>> {
    match answer {
        Answer::Rejected { retry_after } => Some(rejected(retry_after)),
        Answer::Failed => Some(Message::Failed),
        Answer::Served => Some(Message::Completed),
        Answer::Migrated => Some(Message::Migrate),
        Answer::Closed => None,
    }
}

/// Returns the line to send for an answer, or an empty string if the connection is closed without a message.
fn answer_line(answer: Answer) -> String {
    message_of(answer).map(|message| message.to_string()).unwrap_or_default()
}

/// Returns the reply as which an answer is counted for operators, if it is counted at all.
fn counted_reply(answer: Answer) -> Option<Reply> {
    match answer {
        Answer::Rejected { .. } => Some(Reply::Overload),
        Answer::Failed => Some(Reply::Error),
        Answer::Served => Some(Reply::Success),
        Answer::Migrated | Answer::Closed => None,
    }
}

impl Proxy {
    /// Sends a client its final answer and begins to close its connection. If the guard forbids the answer,
    /// its replacement is sent instead. Does nothing if the session is gone or already closing.
    pub fn answer(&mut self, context: &mut LoopContext, id: RequestId, answer: Answer, cause: Cause) {
        if self.sessions.get(id).is_none_or(|session| session.stage() == SessionStage::Closing) {
            return;
        }
        let answer = match self.guard.answer(id, answer, cause) {
            Ok(()) => answer,
            Err(forbidden) => {
                self.report_violation(&forbidden.violation, cause);
                let Some(replacement) = forbidden.replacement else { return };
                replacement
            }
        };
        if let Some(reply) = counted_reply(answer) {
            self.count_reply(id, reply);
        }
        self.log_answer(context, id, answer, cause);
        self.retain_id_after_run(id);
        if self.sessions.begin_close(context, id, answer_line(answer).as_bytes()) {
            self.continue_close(context, id);
        }
    }

    /// Answers a request that no server has accepted: rejects it with the retry delay `after` if a retry is
    /// safe, and fails it otherwise.
    pub fn answer_unserved(&mut self, context: &mut LoopContext, id: RequestId, after: Micros, cause: Cause) {
        let answer = self.guard.answer_for_unserved(id, after);
        self.answer(context, id, answer, cause);
    }

    fn log_answer(&mut self, context: &mut LoopContext, id: RequestId, answer: Answer, cause: Cause) {
        let (attempts, may_have_run) = (self.guard.attempts(id), self.guard.may_have_run(id));
        let line = answer_line(answer);
        let words = line.trim_end();
        debug!(event = "answered", req = id.0, words, %cause, attempts, may_have_run);
        let is_given_up = matches!(cause, Cause::Shutdown | Cause::Overdue) && answer == Answer::Failed;
        if is_given_up && self.log_limiter.acquire(context) {
            warn!(event = "request-unanswered", req = id.0, %cause, attempts, may_have_run);
        }
    }

    /// Logs a step that the guard has refused. Every such violation is a bug in this program.
    pub(super) fn report_violation(&self, violation: &Violation, cause: Cause) {
        let (rule, req, attempt) = (violation.rule, violation.request.0, violation.attempt);
        let server = self.servers.name(violation.server);
        error!(event = "rule-violation", %rule, req, attempt, server, %cause);
        debug_assert!(false, "{violation}, cause {cause}");
    }

    /// Closes a client's connection at once and drops its unsent output.
    pub(super) fn close_session(&mut self, context: &mut LoopContext, id: RequestId, cause: Cause) {
        self.retain_id_after_run(id);
        if let Err(violation) = self.guard.close(id) {
            self.report_violation(&violation, cause);
        }
        self.sessions.remove(context, id);
    }

    /// Has the id of a request stay taken after its end if the request may have run and must not run again.
    fn retain_id_after_run(&mut self, id: RequestId) {
        if self.guard.is_repeat_harmful(id)
            && let Some(session) = self.sessions.get_mut(id)
        {
            session.retain_id();
        }
    }

    /// Continues closing a client's connection as far as possible without blocking.
    pub(super) fn continue_close(&mut self, context: &mut LoopContext, id: RequestId) {
        match self.sessions.get_mut(id).map(|session| session.continue_close(&context.buffers)) {
            Some(CloseProgress::Done) => self.close_session(context, id, Cause::Server),
            Some(CloseProgress::MoreToRead) => self.unfinished.add(id),
            Some(CloseProgress::AwaitingPeer) | None => {}
        }
    }

    /// Logs the total numbers of attempts, of answers, of sessions without a complete request, and of violations
    /// of each kind.
    pub fn log_totals(&self) {
        let stats = self.guard.stats();
        tracing::info!(
            event = "requests",
            first_attempts = stats.first_attempts,
            retries = stats.retries,
            withheld = stats.window_expired,
            attempts_ended = format_counts(&stats.attempts_ended),
            answers = format_counts(&stats.answers),
            incomplete = format_counts(&self.incomplete_requests),
            violations = format_counts(&stats.violations),
        );
    }
}

/// Formats counts for a log line: `name:count`, separated by commas.
fn format_counts<T: Display>(counts: &BTreeMap<T, u64>) -> String {
    let words: Vec<String> = counts.iter().map(|(name, count)| format!("{name}:{count}")).collect();
    words.join(",")
}
