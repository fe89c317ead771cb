//! The parts of the auditor for lines, closed connections and processes that exit.

use super::Auditor;
use crate::audit::Direction;
use crate::audit::request::RequestEnd;
use crate::audit::table::Check;
use crate::audit::trace::TraceEvent;
use crate::audit::verdict::{Case, Exemption, Reason};
use crate::edge::{BalancerId, ConnId, End};
use shorewharf_units::Micros;

impl Auditor {
    pub(super) fn on_client_line(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.table.conn(id) else { return };
        let Some(established) = conn.established.as_mut().filter(|s| s.is_carrying()) else { return };
        established.silent_since = established.silent_since.or(Some(now));
        if self.tolerances.observes_lines {
            conn.to_node.on_sent(now);
        }
        self.schedule_progress_checks(now, id);
    }

    pub(super) fn on_line_delivered(&mut self, now: Micros, id: ConnId, direction: Direction) {
        let Some(conn) = self.table.conn(id) else { return };
        match direction {
            Direction::ToNode => conn.to_node.on_delivered(now),
            Direction::ToClient => {
                conn.to_client.on_delivered(now);
                if let Some(established) = &mut conn.established {
                    established.silent_since = None;
                }
            }
        }
        self.schedule_progress_checks(now, id);
    }

    pub(super) fn on_client_closed(&mut self, now: Micros, id: ConnId, end: End) {
        self.check_unanswered(now, id, RequestEnd::ClientLeft);
        let Some(conn) = self.table.conn(id) else { return };
        conn.trace.push(now, TraceEvent::ClosedByClient(end));
        conn.client_closed = conn.client_closed.or(Some(now));
        if let Some(established) = &mut conn.established {
            established.client_closed = true;
        }
        self.table.schedule_forget(now, id);
    }

    pub(super) fn on_balancer_closed_client(
        &mut self,
        now: Micros,
        balancer: BalancerId,
        id: ConnId,
        end: End,
    ) {
        if self.table.conn(id).is_none_or(|c| c.balancer != balancer) {
            return;
        }
        if let Some(conn) = self.table.conn(id) {
            conn.trace.push(now, TraceEvent::ClientClosedByBalancer(end));
        }
        self.on_disconnected(now, id);
        self.table.schedule_forget(now, id);
    }

    /// A client's connection was closed by its balancer, or by the system when the balancer's process exited.
    pub(super) fn on_disconnected(&mut self, now: Micros, id: ConnId) {
        let Some(balancer) = self.table.conn(id).map(|c| c.balancer) else { return };
        let is_planned = *self.terminating_mut(balancer);
        let Some(conn) = self.table.conn(id) else { return };
        let is_waiting = conn.is_awaiting_answer() && !conn.is_misbehaving;
        let finding = match &mut conn.established {
            Some(established) => {
                let finding = established.check_disconnect(
                    now,
                    self.nodes.node_mut(established.node),
                    is_planned,
                    &self.tolerances,
                );
                established.closed_to_client = true;
                finding
            }
            None if is_waiting => {
                conn.request.check_unanswered(now, RequestEnd::ClosedByBalancer, &self.tolerances)
            }
            None => None,
        };
        conn.closed_by_balancer = conn.closed_by_balancer.or(Some(now));
        conn.deferred_finding = finding.map(Box::new).or(conn.deferred_finding.take());
        match self.tolerances.process_exit_time {
            0 => self.confirm_deferred_finding(id),
            exit_time => self.table.schedule(now + exit_time, id, Check::DeferredFinding),
        }
    }

    pub(super) fn on_killed(&mut self, now: Micros, balancer: BalancerId) {
        let is_planned = std::mem::take(self.terminating_mut(balancer));
        for id in self.table.ids(Some(balancer)) {
            self.confirm_deferred_finding(id);
            self.check_unanswered(
                now,
                id,
                if is_planned { RequestEnd::PlannedKill } else { RequestEnd::Killed },
            );
            let finding =
                self.table.conn(id).and_then(|c| c.established.as_ref()).and_then(|s| s.check_at_kill(now));
            match finding {
                Some(finding) if is_planned => self.record_finding(id, finding),
                Some(_) => self.verdict.exempt(Exemption::Killed),
                None => {}
            }
            self.close_without_check(now, id);
        }
    }

    pub(super) fn on_exited(&mut self, now: Micros, balancer: BalancerId) {
        let is_planned = *self.terminating_mut(balancer);
        if !is_planned {
            let case = Case { reason: Reason::Exited, at: now, balancer, conn: None, node: None };
            self.verdict.record(case, String::from("without a SIGTERM"), Vec::new);
        }
        for id in self.table.ids(Some(balancer)) {
            if is_planned {
                self.on_disconnected(now, id);
                self.confirm_deferred_finding(id);
            }
            self.close_without_check(now, id);
        }
    }
}
