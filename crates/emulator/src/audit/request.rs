//! One request until its answer, and its attempts: the first two rules.

use super::tolerances::AuditTolerances;
use super::trace::secs;
use super::verdict::{Exemption, Reason};
use crate::edge::LinkId;
use shorewharf_units::Micros;

/// What a look at a connection comes to.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Finding {
    /// A break, when it became one, and its figures.
    RuleViolation(Reason, Micros, String),
    /// What looks like one and is let pass.
    Let(Exemption),
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
    pub carried: bool,
    /// Attempts so far.
    tries: u32,
    /// Attempts that are out, and since when.
    out: Vec<(LinkId, Micros)>,
    /// Its final answer.
    pub answered: Option<Micros>,
}

impl Request {
    pub fn new(deadline: Micros, carried: bool) -> Self {
        Request { deadline, carried, tries: 0, out: Vec::new(), answered: None }
    }

    /// A final answer, whatever it says.
    pub fn answer(&mut self, now: Micros, judging: &AuditTolerances) -> Option<Finding> {
        if let Some(first) = self.answered {
            let detail = format!("{} after its first answer", secs(now - first));
            return Some(Finding::RuleViolation(Reason::SecondAnswer, now, detail));
        }
        self.answered = Some(now);
        if now <= self.deadline + judging.answer_slack {
            return None;
        }
        let detail = format!("{} after the deadline", secs(now - self.deadline));
        Some(self.overdue(Reason::LateAnswer, now, detail, judging))
    }

    fn overdue(&self, reason: Reason, at: Micros, detail: String, judging: &AuditTolerances) -> Finding {
        match judging.overdue_breaks || self.carried {
            true => Finding::RuleViolation(reason, at, detail),
            false => Finding::Let(Exemption::Overdue),
        }
    }

    /// No answer can come any more. The client's own patience counts up to its deadline: a client that leaves sooner
    /// is owed nothing, one that leaves then was not answered.
    pub fn over(&self, now: Micros, how: Over, judging: &AuditTolerances) -> Option<Finding> {
        if self.answered.is_some() {
            return None;
        }
        let due = self.deadline + judging.answer_slack;
        if now > due || (how == Over::ClientLeft && now >= self.deadline) {
            let detail = format!("its time ran out at {}", secs(self.deadline));
            return Some(self.overdue(Reason::NoAnswer, due.min(now), detail, judging));
        }
        let reason = match how {
            Over::ClientLeft => return Some(Finding::Let(Exemption::ClientLeft)),
            Over::Killed => return Some(Finding::Let(Exemption::Killed)),
            Over::End => return None,
            Over::Cut => Reason::EndedUnanswered,
            Over::PlannedKill => Reason::HeldUnanswered,
        };
        if self.tries == 0 && !judging.unsent_breaks && !self.carried {
            return Some(Finding::Let(Exemption::ClosedUnsent));
        }
        let left = secs((self.deadline).saturating_sub(now));
        Some(Finding::RuleViolation(
            reason,
            now,
            format!("{} attempts, {left} before the deadline", self.tries),
        ))
    }

    /// An attempt more.
    pub fn tried(&mut self, now: Micros, judging: &AuditTolerances) -> Option<Finding> {
        self.tries += 1;
        let detail = || format!("attempt {} of {} allowed", self.tries, judging.max_attempts);
        (self.tries > judging.max_attempts)
            .then(|| Finding::RuleViolation(Reason::TooManyAttempts, now, detail()))
    }

    /// It stood before anything was seen of it.
    pub fn stands(&mut self, now: Micros, link: LinkId) {
        self.answered = Some(now);
        self.out.push((link, now));
    }

    /// The attempt on this link is out; true if an earlier one is, too.
    pub fn goes_out(&mut self, now: Micros, link: LinkId) -> bool {
        self.out.push((link, now));
        self.out.len() > 1
    }

    /// The attempt on this link has had its outcome, or was given up.
    pub fn comes_in(&mut self, link: LinkId) {
        self.out.retain(|(l, _)| *l != link);
    }

    /// Whether an attempt is out that went out before this one did, which was then.
    pub fn second_copy(&self, link: LinkId, sent: Micros) -> Option<Finding> {
        let (_, since) = self.out.iter().take_while(|(l, _)| *l != link).find(|(_, since)| *since <= sent)?;
        let detail = format!("the earlier one had been out for {}", secs(sent - since));
        Some(Finding::RuleViolation(Reason::SecondCopy, sent, detail))
    }
}
