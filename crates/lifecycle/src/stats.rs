//! Statistics of the guard, for operators and tests.

use std::collections::BTreeMap;
use std::fmt;

use shorewharf_decisions::interface::Outcome;

use crate::answer::Answer;
use crate::cause::Cause;
use crate::rule::Rule;

/// The key under which final answers are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerKey {
    /// Name of the answer's kind.
    pub kind: &'static str,
    /// The cause of the answer.
    pub cause: Cause,
}

impl fmt::Display for AnswerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.cause)
    }
}

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of first attempts that were begun.
    pub first_attempts: u64,
    /// Number of retries that were begun.
    pub retries: u64,
    /// Number of retries that were not sent because they could have arrived after the deduplication window.
    pub window_expired: u64,
    /// Number of attempts that no server accepted, by the name of their outcome.
    pub attempts_ended: BTreeMap<&'static str, u64>,
    /// Number of final answers, by kind and cause.
    pub answers: BTreeMap<AnswerKey, u64>,
    /// Number of steps that the guard prevented, by the rule that they would have broken.
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
        *self.answers.entry(AnswerKey { kind, cause }).or_default() += 1;
    }

    pub(crate) fn record_violation(&mut self, rule: Rule) {
        *self.violations.entry(rule).or_default() += 1;
    }

    /// Number of steps that the guard prevented.
    pub fn violations_total(&self) -> u64 {
        self.violations.values().sum()
    }

    /// Number of final answers of the same kind as `answer`, for all causes.
    pub fn answers_of(&self, answer: Answer) -> u64 {
        let kind = answer_name(answer);
        self.answers.iter().filter(|(key, _)| key.kind == kind).map(|(_, count)| count).sum()
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
