//! One standing connection, from the client's `UP` to its end: which ones are lost.

use super::nodes::ObservedNode;
use super::request::Finding;
use super::tolerances::AuditTolerances;
use super::trace::secs;
use super::verdict::{Exemption, Reason};
use crate::edge::{LinkId, NodeId};
use shorewharf_units::Micros;

/// A server that was silent so lately may still be taken for silent by a balancer that ends its connections.
const RECENT_RECOVERY: Micros = 7_000_000;

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
    pub migrated: bool,
    /// The client has left.
    pub client_closed: bool,
    /// The balancer has ended the client's side.
    pub client_cut_off: bool,
    /// The node has ended the link.
    pub closed_by_node: Option<Micros>,
    /// The balancer has ended the link.
    pub closed_by_balancer: Option<Micros>,
    /// The client has had nothing back since it sent a line then.
    pub silent_since: Option<Micros>,
}

impl EstablishedConnection {
    pub fn new(link: LinkId, node: NodeId) -> Self {
        let (moved, left, cut) = (false, false, false);
        EstablishedConnection {
            link,
            node,
            migrated: moved,
            client_closed: left,
            client_cut_off: cut,
            closed_by_node: None,
            closed_by_balancer: None,
            silent_since: None,
        }
    }

    /// The balancer owes the client something: it has neither left nor been moved or cut off.
    pub fn is_owed_service(&self) -> bool {
        !(self.migrated || self.client_closed || self.client_cut_off)
    }

    /// Lines still have somewhere to go.
    pub fn is_carrying(&self) -> bool {
        self.is_owed_service() && self.closed_by_node.is_none()
    }

    /// The balancer cuts the client off. `planned`: after SIGTERM.
    pub fn check_cut_off(
        &self,
        now: Micros,
        node: &ObservedNode,
        planned: bool,
        tolerances: &AuditTolerances,
    ) -> Option<Finding> {
        if !self.is_carrying() {
            return None;
        }
        // One that has returned nothing for as long as a line may be held is as good as silent.
        let quiet = self.silent_since.is_some_and(|since| now - since >= tolerances.max_line_hold);
        if quiet || !node.is_responsive_for(now, RECENT_RECOVERY) {
            return Some(Finding::Exempted(Exemption::ServerSilent));
        }
        let reason = if planned { Reason::CutOffAtRestart } else { Reason::CutOff };
        Some(Finding::RuleViolation(reason, now, String::from("its server answered")))
    }

    /// SIGKILL at the end of a planned restart.
    pub fn check_at_kill(&self, now: Micros) -> Option<Finding> {
        self.is_carrying()
            .then(|| Finding::RuleViolation(Reason::HeldAtKill, now, String::from("neither ended nor moved")))
    }

    /// A second after the node ended the link.
    pub fn check_outlives_server(&self, now: Micros, tolerances: &AuditTolerances) -> Option<Finding> {
        let ended = self.closed_by_node.filter(|_| self.is_owed_service())?;
        let detail = format!("its server had ended it {} before", secs(now - ended));
        (ended + tolerances.max_line_hold <= now).then_some(Finding::RuleViolation(
            Reason::EndedKept,
            now,
            detail,
        ))
    }

    /// A second after the balancer ended the link.
    pub fn check_outlives_link(&self, now: Micros, tolerances: &AuditTolerances) -> Option<Finding> {
        let severed = self.closed_by_balancer.filter(|_| self.is_carrying())?;
        let detail = format!("the balancer had ended its link {} before", secs(now - severed));
        (severed + tolerances.max_line_hold <= now).then_some(Finding::RuleViolation(
            Reason::SeveredKept,
            now,
            detail,
        ))
    }

    /// Seven seconds after the first line that got nothing back.
    pub fn check_silent(
        &self,
        now: Micros,
        node: &ObservedNode,
        tolerances: &AuditTolerances,
    ) -> Option<Finding> {
        let since = self.silent_since.filter(|_| self.is_carrying() && self.closed_by_balancer.is_none())?;
        if since + tolerances.max_silence > now {
            return None;
        }
        if !node.is_reachable() {
            return Some(Finding::Exempted(Exemption::ServerUnreachable));
        }
        let detail = format!("nothing came back for {}", secs(now - since));
        Some(Finding::RuleViolation(Reason::SilentKept, now, detail))
    }

    /// A second after a line came in that has not gone out.
    pub fn check_line_held(
        &self,
        now: Micros,
        waiting: Option<Micros>,
        tolerances: &AuditTolerances,
    ) -> Option<Finding> {
        let since = waiting.filter(|_| self.is_carrying() && self.closed_by_balancer.is_none())?;
        let detail = format!("for {}", secs(now - since));
        (since + tolerances.max_line_hold <= now).then_some(Finding::RuleViolation(
            Reason::LineHeld,
            now,
            detail,
        ))
    }
}
