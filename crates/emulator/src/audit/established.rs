//! An established connection, from the client's `UP` to its end: checks of [`super::Rule::NoConnectionLost`].

use super::nodes::ObservedNode;
use super::request::Finding;
use super::tolerances::AuditTolerances;
use super::trace::format_seconds;
use super::verdict::{Exemption, Reason};
use crate::edge::{LinkId, NodeId};
use shorewharf_units::Micros;

/// A server that has answered again for less than this may still count as silent at a balancer, which then closes its
/// connections.
const RECENT_RECOVERY: Micros = 7_000_000;

/// Lines in transit through the balancer, in one direction. Only their number is kept, and the time from which the
/// oldest one has been the oldest: a queue of times would take more memory than the rest of the connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinesInTransit {
    count: u32,
    since: Micros,
}

impl LinesInTransit {
    pub fn on_sent(&mut self, now: Micros) {
        if self.count == 0 {
            self.since = now;
        }
        self.count += 1;
    }

    pub fn on_delivered(&mut self, now: Micros) {
        self.count = self.count.saturating_sub(1);
        self.since = now;
    }

    /// The time from which the oldest line has been the oldest; none if no line is in transit.
    pub fn waiting_since(&self) -> Option<Micros> {
        (self.count > 0).then_some(self.since)
    }
}

/// An established connection.
#[derive(Clone, Debug)]
pub(super) struct EstablishedConnection {
    pub link: LinkId,
    pub node: NodeId,
    /// The balancer has sent `MOVE`.
    pub migrated: bool,
    /// The client has closed its connection.
    pub client_closed: bool,
    /// The balancer has closed the client's connection.
    pub closed_to_client: bool,
    /// When the node closed the link.
    pub closed_by_node: Option<Micros>,
    /// When the balancer closed the link.
    pub closed_by_balancer: Option<Micros>,
    /// When the client sent the first line after which nothing has come back.
    pub silent_since: Option<Micros>,
}

impl EstablishedConnection {
    pub fn new(link: LinkId, node: NodeId) -> Self {
        EstablishedConnection {
            link,
            node,
            migrated: false,
            client_closed: false,
            closed_to_client: false,
            closed_by_node: None,
            closed_by_balancer: None,
            silent_since: None,
        }
    }

    /// Whether the balancer still has to serve the client: it has neither left nor been moved or disconnected.
    pub fn is_owed_service(&self) -> bool {
        !(self.migrated || self.client_closed || self.closed_to_client)
    }

    /// Whether lines can still be relayed: the client is owed service, and the node has not closed the link.
    pub fn is_carrying(&self) -> bool {
        self.is_owed_service() && self.closed_by_node.is_none()
    }

    /// Checks a connection that the balancer closes to the client. `planned` says that the balancer has had SIGTERM.
    pub fn check_disconnect(
        &self,
        now: Micros,
        node: &ObservedNode,
        planned: bool,
        tolerances: &AuditTolerances,
    ) -> Option<Finding> {
        if !self.is_carrying() {
            return None;
        }
        // A server that has returned nothing for as long as a line may be held counts as silent.
        let is_quiet = self.silent_since.is_some_and(|since| now - since >= tolerances.max_line_hold);
        if is_quiet || !node.is_responsive_for(now, RECENT_RECOVERY) {
            return Some(Finding::Exempted(Exemption::ServerSilent));
        }
        let reason = if planned { Reason::CutOffAtRestart } else { Reason::CutOff };
        Some(Finding::RuleViolation(reason, now, String::from("its server answered")))
    }

    /// Checks a connection at the SIGKILL that ends a planned restart.
    pub fn check_at_kill(&self, now: Micros) -> Option<Finding> {
        self.is_carrying().then(|| {
            Finding::RuleViolation(Reason::HeldAtKill, now, String::from("neither disconnected nor moved"))
        })
    }

    /// Checks, [`AuditTolerances::max_line_hold`] after the node closed the link, that the client was disconnected too.
    pub fn check_outlives_server(&self, now: Micros, tolerances: &AuditTolerances) -> Option<Finding> {
        let closed = self.closed_by_node.filter(|_| self.is_owed_service())?;
        let detail = format!("its server had closed it {} before", format_seconds(now - closed));
        (closed + tolerances.max_line_hold <= now).then_some(Finding::RuleViolation(
            Reason::EndedKept,
            now,
            detail,
        ))
    }

    /// Checks, [`AuditTolerances::max_line_hold`] after the balancer closed the link, that the client was disconnected.
    pub fn check_outlives_link(&self, now: Micros, tolerances: &AuditTolerances) -> Option<Finding> {
        let closed = self.closed_by_balancer.filter(|_| self.is_carrying())?;
        let detail = format!("the balancer had closed its link {} before", format_seconds(now - closed));
        (closed + tolerances.max_line_hold <= now).then_some(Finding::RuleViolation(
            Reason::SeveredKept,
            now,
            detail,
        ))
    }

    /// Checks, [`AuditTolerances::max_silence`] after the first line without a reply, whether the connection is kept
    /// although nothing comes back.
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
        let detail = format!("nothing came back for {}", format_seconds(now - since));
        Some(Finding::RuleViolation(Reason::SilentKept, now, detail))
    }

    /// Checks whether the oldest line in one direction has been held for too long; see
    /// [`LinesInTransit::waiting_since`].
    pub fn check_line_held(
        &self,
        now: Micros,
        waiting_since: Option<Micros>,
        tolerances: &AuditTolerances,
    ) -> Option<Finding> {
        let since = waiting_since.filter(|_| self.is_carrying() && self.closed_by_balancer.is_none())?;
        let detail = format!("for {}", format_seconds(now - since));
        (since + tolerances.max_line_hold <= now).then_some(Finding::RuleViolation(
            Reason::LineHeld,
            now,
            detail,
        ))
    }
}
