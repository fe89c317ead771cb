//! What the guard counts, for operators and tests.

use std::collections::BTreeMap;
use std::fmt;

use shorewharf_decisions::interface::Outcome;
use thiserror::Error;

use crate::cause::Cause;
use crate::request::Answer;

/// A rule that the guard keeps.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request that may have run was to be refused, which invites its client to send it again.
    #[error("refused-after-run")]
    RefusedAfterRun,
    /// A request that may have run was to be sent again where it must not be.
    #[error("repeated-after-run")]
    RepeatedAfterRun,
    /// Two attempts of one request were to be out at once.
    #[error("second-copy")]
    SecondCopy,
    /// An attempt was to begin or to be sent after the request's end.
    #[error("attempt-after-answer")]
    AttemptAfterAnswer,
    /// A request was to have two final answers.
    #[error("second-answer")]
    SecondAnswer,
    /// A request was to end without its final answer.
    #[error("closed-unanswered")]
    ClosedUnanswered,
}

/// What answers are counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerCount {
    /// The answer's kind.
    pub kind: &'static str,
    /// Why it was given.
    pub cause: Cause,
}

impl fmt::Display for AnswerCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.cause)
    }
}

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// First attempts begun.
    pub first_attempts: u64,
    /// Further attempts begun.
    pub retries: u64,
    /// Attempts whose connection came up after the window for repeats.
    pub withheld: u64,
    /// Attempts that were not taken, by how they ended.
    pub attempts_ended: BTreeMap<&'static str, u64>,
    /// Final answers by kind and cause.
    pub answers: BTreeMap<AnswerCount, u64>,
    /// What was forbidden, by rule.
    pub violations: BTreeMap<Rule, u64>,
}

impl Stats {
    pub(crate) fn attempt_began(&mut self, number: u32) {
        if number > 1 {
            self.retries += 1;
        } else {
            self.first_attempts += 1;
        }
    }

    pub(crate) fn attempt_ended(&mut self, outcome: Outcome) {
        *self.attempts_ended.entry(outcome_name(outcome)).or_default() += 1;
    }

    pub(crate) fn answered(&mut self, answer: Answer, cause: Cause) {
        let kind = answer_name(answer);
        *self.answers.entry(AnswerCount { kind, cause }).or_default() += 1;
    }

    pub(crate) fn violated(&mut self, rule: Rule) {
        *self.violations.entry(rule).or_default() += 1;
    }

    /// All that was forbidden.
    pub fn violations_total(&self) -> u64 {
        self.violations.values().sum()
    }

    /// The answers of one kind, for whatever cause.
    pub fn answers_of(&self, answer: Answer) -> u64 {
        let kind = answer_name(answer);
        self.answers.iter().filter(|(what, _)| what.kind == kind).map(|(_, count)| count).sum()
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "turned-away",
        Outcome::TimedOut => "timed-out",
        Outcome::ConnectFailed => "connect-failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not-sent",
    }
}

fn answer_name(answer: Answer) -> &'static str {
    match answer {
        Answer::Refused { .. } => "refused",
        Answer::Failed => "failed",
        Answer::Served => "served",
        Answer::Moved => "moved",
        Answer::Closed => "closed",
    }
}
