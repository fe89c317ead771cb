//! One request until its answer, and its attempts: the first two rules.

use super::tolerances::AuditTolerances;
use super::trace::secs;
use super::verdict::{Exemption, Reason};
use crate::edge::LinkId;
use shorewharf_units::Micros;

/// The result of a check of a connection.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Finding {
    /// A break, when it became one, and its figures.
    RuleViolation(Reason, Micros, String),
    /// An apparent violation that is exempted.
    Exempted(Exemption),
}

/// Why no answer can come any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Over {
    /// The client has ended its connection.
    ClientLeft,
    /// The balancer has ended it, itself or by ending its process.
    Cut,
    /// SIGKILL at the end of a planned restart.
    PlannedKill,
    /// Killed without warning.
    Killed,
    /// The run is over.
    End,
}

/// A request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    deadline: Micros,
    /// It stood before the run: not coming up again is a loss whatever else is excused.
    pub is_carried_over: bool,
    /// Attempts so far.
    attempts: u32,
    /// Attempts that are out, and since when.
    in_flight: Vec<(LinkId, Micros)>,
    /// Its final answer.
    pub answered_at: Option<Micros>,
}

impl Request {
    pub fn new(deadline: Micros, carried: bool) -> Self {
        Request { deadline, is_carried_over: carried, attempts: 0, in_flight: Vec::new(), answered_at: None }
    }

    /// A final answer, whatever it says.
    pub fn on_answer(&mut self, now: Micros, tolerances: &AuditTolerances) -> Option<Finding> {
        if let Some(first) = self.answered_at {
            let detail = format!("{} after its first answer", secs(now - first));
            return Some(Finding::RuleViolation(Reason::SecondAnswer, now, detail));
        }
        self.answered_at = Some(now);
        if now <= self.deadline + tolerances.answer_slack {
            return None;
        }
        let detail = format!("{} after the deadline", secs(now - self.deadline));
        Some(self.overdue(Reason::LateAnswer, now, detail, tolerances))
    }

    fn overdue(&self, reason: Reason, at: Micros, detail: String, tolerances: &AuditTolerances) -> Finding {
        if tolerances.overdue_breaks || self.is_carried_over {
            Finding::RuleViolation(reason, at, detail)
        } else {
            Finding::Exempted(Exemption::Overdue)
        }
    }

    /// No answer can come any more. The client's own patience counts up to its deadline: a client that leaves sooner
    /// is owed nothing, one that leaves then was not answered.
    pub fn on_over(&self, now: Micros, how: Over, tolerances: &AuditTolerances) -> Option<Finding> {
        if self.answered_at.is_some() {
            return None;
        }
        let due = self.deadline + tolerances.answer_slack;
        if now > due || (how == Over::ClientLeft && now >= self.deadline) {
            let detail = format!("its time ran out at {}", secs(self.deadline));
            return Some(self.overdue(Reason::NoAnswer, due.min(now), detail, tolerances));
        }
        let reason = match how {
            Over::ClientLeft => return Some(Finding::Exempted(Exemption::ClientLeft)),
            Over::Killed => return Some(Finding::Exempted(Exemption::Killed)),
            Over::End => return None,
            Over::Cut => Reason::EndedUnanswered,
            Over::PlannedKill => Reason::HeldUnanswered,
        };
        if self.attempts == 0 && !tolerances.unsent_breaks && !self.is_carried_over {
            return Some(Finding::Exempted(Exemption::ClosedUnsent));
        }
        let left = secs((self.deadline).saturating_sub(now));
        Some(Finding::RuleViolation(
            reason,
            now,
            format!("{} attempts, {left} before the deadline", self.attempts),
        ))
    }

    /// An attempt more.
    pub fn count_attempt(&mut self, now: Micros, tolerances: &AuditTolerances) -> Option<Finding> {
        self.attempts += 1;
        let detail = || format!("attempt {} of {} allowed", self.attempts, tolerances.max_attempts);
        (self.attempts > tolerances.max_attempts)
            .then(|| Finding::RuleViolation(Reason::TooManyAttempts, now, detail()))
    }

    /// It stood before anything was seen of it.
    pub fn mark_established(&mut self, now: Micros, link: LinkId) {
        self.answered_at = Some(now);
        self.in_flight.push((link, now));
    }

    /// The attempt on this link is out; true if an earlier one is, too.
    pub fn begin_attempt(&mut self, now: Micros, link: LinkId) -> bool {
        self.in_flight.push((link, now));
        self.in_flight.len() > 1
    }

    /// The attempt on this link has had its outcome, or was given up.
    pub fn end_attempt(&mut self, link: LinkId) {
        self.in_flight.retain(|(l, _)| *l != link);
    }

    /// Whether an attempt is out that went out before this one did, which was then.
    pub fn check_duplicate(&self, link: LinkId, sent: Micros) -> Option<Finding> {
        let (_, since) =
            self.in_flight.iter().take_while(|(l, _)| *l != link).find(|(_, since)| *since <= sent)?;
        let detail = format!("the earlier one had been out for {}", secs(sent - since));
        Some(Finding::RuleViolation(Reason::SecondCopy, sent, detail))
    }
}
