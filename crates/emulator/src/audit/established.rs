//! One standing connection, from the client's `UP` to its end: which ones are lost.

use super::nodes::ObservedNode;
use super::request::Finding;
use super::tolerances::AuditTolerances;
use super::trace::secs;
use super::verdict::{Exemption, Reason};
use crate::edge::{LinkId, NodeId};
use shorewharf_units::Micros;

/// A server that was silent so lately may still be taken for silent by a balancer that ends its connections.
const JUST_BACK: Micros = 7_000_000;

/// Lines on their way through the balancer, in one direction. What is kept is how many there are and since when the
/// first one has been first; a queue of times would cost more than the rest of the connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lines {
    count: u32,
    since: Micros,
}

impl Lines {
    pub fn enter(&mut self, now: Micros) {
        if self.count == 0 {
            self.since = now;
        }
        self.count += 1;
    }

    pub fn leave(&mut self, now: Micros) {
        self.count = self.count.saturating_sub(1);
        self.since = now;
    }

    /// Since when the first one has waited.
    pub fn waiting(&self) -> Option<Micros> {
        (self.count > 0).then_some(self.since)
    }
}

/// A connection that stands.
#[derive(Clone, Debug)]
pub(super) struct EstablishedConnection {
    pub link: LinkId,
    pub node: NodeId,
    /// The balancer has sent `MOVE`.
    pub moved: bool,
    /// The client has left.
    pub left: bool,
    /// The balancer has ended the client's side.
    pub cut: bool,
    /// The node has ended the link.
    pub node_ended: Option<Micros>,
    /// The balancer has ended the link.
    pub severed: Option<Micros>,
    /// The client has had nothing back since it sent a line then.
    pub quiet: Option<Micros>,
}

impl EstablishedConnection {
    pub fn new(link: LinkId, node: NodeId) -> Self {
        let (moved, left, cut) = (false, false, false);
        EstablishedConnection { link, node, moved, left, cut, node_ended: None, severed: None, quiet: None }
    }

    /// The balancer owes the client something: it has neither left nor been moved or cut off.
    pub fn held(&self) -> bool {
        !(self.moved || self.left || self.cut)
    }

    /// Lines still have somewhere to go.
    pub fn carries(&self) -> bool {
        self.held() && self.node_ended.is_none()
    }

    /// The balancer cuts the client off. `planned`: after SIGTERM.
    pub fn cut_off(
        &self,
        now: Micros,
        node: &ObservedNode,
        planned: bool,
        judging: &AuditTolerances,
    ) -> Option<Finding> {
        if !self.carries() {
            return None;
        }
        // One that has returned nothing for as long as a line may be held is as good as silent.
        let quiet = self.quiet.is_some_and(|since| now - since >= judging.held);
        if quiet || !node.sound_for(now, JUST_BACK) {
            return Some(Finding::Let(Exemption::ServerSilent));
        }
        let reason = if planned { Reason::CutOffAtRestart } else { Reason::CutOff };
        Some(Finding::RuleViolation(reason, now, String::from("its server answered")))
    }

    /// SIGKILL at the end of a planned restart.
    pub fn at_kill(&self, now: Micros) -> Option<Finding> {
        self.carries()
            .then(|| Finding::RuleViolation(Reason::HeldAtKill, now, String::from("neither ended nor moved")))
    }

    /// A second after the node ended the link.
    pub fn outlives(&self, now: Micros, judging: &AuditTolerances) -> Option<Finding> {
        let ended = self.node_ended.filter(|_| self.held())?;
        let detail = format!("its server had ended it {} before", secs(now - ended));
        (ended + judging.held <= now).then_some(Finding::RuleViolation(Reason::EndedKept, now, detail))
    }

    /// A second after the balancer ended the link.
    pub fn hangs(&self, now: Micros, judging: &AuditTolerances) -> Option<Finding> {
        let severed = self.severed.filter(|_| self.carries())?;
        let detail = format!("the balancer had ended its link {} before", secs(now - severed));
        (severed + judging.held <= now).then_some(Finding::RuleViolation(Reason::SeveredKept, now, detail))
    }

    /// Seven seconds after the first line that got nothing back.
    pub fn silent(&self, now: Micros, node: &ObservedNode, judging: &AuditTolerances) -> Option<Finding> {
        let since = self.quiet.filter(|_| self.carries() && self.severed.is_none())?;
        if since + judging.silent > now {
            return None;
        }
        if !node.runs() {
            return Some(Finding::Let(Exemption::ServerUnreachable));
        }
        let detail = format!("nothing came back for {}", secs(now - since));
        Some(Finding::RuleViolation(Reason::SilentKept, now, detail))
    }

    /// A second after a line came in that has not gone out.
    pub fn held_back(
        &self,
        now: Micros,
        waiting: Option<Micros>,
        judging: &AuditTolerances,
    ) -> Option<Finding> {
        let since = waiting.filter(|_| self.carries() && self.severed.is_none())?;
        let detail = format!("for {}", secs(now - since));
        (since + judging.held <= now).then_some(Finding::RuleViolation(Reason::LineHeld, now, detail))
    }
}
