//! Checks a request and its attempts until the final answer, for [`super::Rule::NoRequestDropped`] and
//! [`super::Rule::NoDuplicatedEffect`].

use super::tolerances::AuditTolerances;
use super::trace::format_seconds;
use super::verdict::{Exemption, Reason};
use crate::edge::LinkId;
use shorewharf_units::Micros;

/// The result of a check of a connection.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Finding {
    /// A violation: its reason, when it occurred, and its figures.
    RuleViolation(Reason, Micros, String),
    /// An apparent violation that is exempted.
    Exempted(Exemption),
}

/// Why a request ends without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// The client has closed its connection.
    ClientLeft,
    /// The balancer has closed the client's connection, or its process has exited.
    ClosedByBalancer,
    /// The balancer was killed at the end of a planned restart.
    PlannedKill,
    /// The balancer was killed without warning.
    Killed,
    /// The run has ended.
    RunEnded,
}

/// A request and its attempts.
#[derive(Clone, Debug)]
pub(super) struct Request {
    deadline: Micros,
    /// The request is for a connection from before the run. If it is not established again, that is a loss even where
    /// an unanswered request is exempted.
    pub is_carried_over: bool,
    /// Number of attempts so far.
    attempts: u32,
    /// Attempts in flight, and when each was sent.
    in_flight: Vec<(LinkId, Micros)>,
    /// When the final answer was sent.
    pub answered_at: Option<Micros>,
}

impl Request {
    pub fn new(deadline: Micros, is_carried_over: bool) -> Self {
        Request { deadline, is_carried_over, attempts: 0, in_flight: Vec::new(), answered_at: None }
    }

    /// Checks a final answer, of whatever kind: it must be the only one and in time.
    pub fn on_answer(&mut self, now: Micros, tolerances: &AuditTolerances) -> Option<Finding> {
        if let Some(first) = self.answered_at {
            let detail = format!("{} after its first answer", format_seconds(now - first));
            return Some(Finding::RuleViolation(Reason::SecondAnswer, now, detail));
        }
        self.answered_at = Some(now);
        if now <= self.deadline + tolerances.answer_slack {
            return None;
        }
        let detail = format!("{} after the deadline", format_seconds(now - self.deadline));
        Some(self.overdue(Reason::LateAnswer, now, detail, tolerances))
    }

    /// A finding for a request without an answer in time: a violation, unless such requests are exempted in this run.
    fn overdue(&self, reason: Reason, at: Micros, detail: String, tolerances: &AuditTolerances) -> Finding {
        if tolerances.overdue_is_violation || self.is_carried_over {
            Finding::RuleViolation(reason, at, detail)
        } else {
            Finding::Exempted(Exemption::Overdue)
        }
    }

    /// Checks a request that can get no answer any more. A client that leaves before its deadline is owed nothing; one
    /// that leaves at its deadline or later was not answered.
    pub fn check_unanswered(
        &self,
        now: Micros,
        end: RequestEnd,
        tolerances: &AuditTolerances,
    ) -> Option<Finding> {
        if self.answered_at.is_some() {
            return None;
        }
        let due = self.deadline + tolerances.answer_slack;
        if now > due || (end == RequestEnd::ClientLeft && now >= self.deadline) {
            let detail = format!("its deadline passed at {}", format_seconds(self.deadline));
            return Some(self.overdue(Reason::NoAnswer, due.min(now), detail, tolerances));
        }
        let reason = match end {
            RequestEnd::ClientLeft => return Some(Finding::Exempted(Exemption::ClientLeft)),
            RequestEnd::Killed => return Some(Finding::Exempted(Exemption::Killed)),
            RequestEnd::RunEnded => return None,
            RequestEnd::ClosedByBalancer => Reason::EndedUnanswered,
            RequestEnd::PlannedKill => Reason::HeldUnanswered,
        };
        if self.attempts == 0 && !tolerances.unsent_is_violation && !self.is_carried_over {
            return Some(Finding::Exempted(Exemption::ClosedUnsent));
        }
        let left = format_seconds((self.deadline).saturating_sub(now));
        Some(Finding::RuleViolation(
            reason,
            now,
            format!("{} attempts, {left} before the deadline", self.attempts),
        ))
    }

    /// Counts an attempt, and checks the number of attempts.
    pub fn count_attempt(&mut self, now: Micros, tolerances: &AuditTolerances) -> Option<Finding> {
        self.attempts += 1;
        let detail = || format!("attempt {} of {} allowed", self.attempts, tolerances.max_attempts);
        (self.attempts > tolerances.max_attempts)
            .then(|| Finding::RuleViolation(Reason::TooManyAttempts, now, detail()))
    }

    /// Marks a request as answered whose connection was established before the first observation.
    pub fn mark_established(&mut self, now: Micros, link: LinkId) {
        self.answered_at = Some(now);
        self.in_flight.push((link, now));
    }

    /// Adds an attempt in flight on this link; returns whether another one is in flight too.
    pub fn begin_attempt(&mut self, now: Micros, link: LinkId) -> bool {
        self.in_flight.push((link, now));
        self.in_flight.len() > 1
    }

    /// Removes an attempt that has its outcome or was cancelled.
    pub fn end_attempt(&mut self, link: LinkId) {
        self.in_flight.retain(|(l, _)| *l != link);
    }

    /// Checks whether an attempt is still in flight that was sent before the one on `link`, which was sent at `sent`.
    pub fn check_duplicate(&self, link: LinkId, sent: Micros) -> Option<Finding> {
        let (_, since) =
            self.in_flight.iter().take_while(|(l, _)| *l != link).find(|(_, since)| *since <= sent)?;
        let detail = format!("the earlier one had been in flight for {}", format_seconds(sent - since));
        Some(Finding::RuleViolation(Reason::SecondCopy, sent, detail))
    }
}
