//! What the guard counts, for operators and tests.

use std::collections::BTreeMap;
use std::fmt;

use shorewharf_decisions::interface::Outcome;

use crate::answer::Answer;
use crate::cause::Cause;
use crate::rule::Rule;

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
    /// Retries begun.
    pub retries: u64,
    /// Retries that were not sent, as their connection was established after the deduplication window.
    pub window_expired: u64,
    /// Attempts that no server accepted, by how they ended.
    pub attempts_ended: BTreeMap<&'static str, u64>,
    /// Final answers by kind and cause.
    pub answers: BTreeMap<AnswerCount, u64>,
    /// What was forbidden, by the rule that it breaks.
    pub violations: BTreeMap<Rule, u64>,
}

impl Stats {
    pub(crate) fn record_attempt(&mut self, number: u32) {
        if number > 1 {
            self.retries += 1;
        } else {
            self.first_attempts += 1;
        }
    }

    pub(crate) fn record_attempt_end(&mut self, outcome: Outcome) {
        *self.attempts_ended.entry(outcome_name(outcome)).or_default() += 1;
    }

    pub(crate) fn record_answer(&mut self, answer: Answer, cause: Cause) {
        let kind = answer_name(answer);
        *self.answers.entry(AnswerCount { kind, cause }).or_default() += 1;
    }

    pub(crate) fn record_violation(&mut self, rule: Rule) {
        *self.violations.entry(rule).or_default() += 1;
    }

    /// Everything that was forbidden.
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
        Answer::Rejected { .. } => "refused",
        Answer::Failed => "failed",
        Answer::Served => "served",
        Answer::Migrated => "moved",
        Answer::Closed => "closed",
    }
}
