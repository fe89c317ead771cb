//! What the auditor makes of established connections: lines, closes, and processes that end.

use super::Auditor;
use crate::audit::Direction;
use crate::audit::request::Over;
use crate::audit::table::Check;
use crate::audit::trace::What;
use crate::audit::verdict::{Case, Exemption, Reason};
use crate::edge::{BalancerId, ConnId, End};
use shorewharf_units::Micros;

impl Auditor {
    pub(super) fn on_client_line(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.table.conn(id) else { return };
        let Some(standing) = conn.established.as_mut().filter(|s| s.is_carrying()) else { return };
        standing.silent_since = standing.silent_since.or(Some(now));
        if self.tolerances.lines {
            conn.to_node.enter(now);
        }
        self.schedule_progress_checks(now, id);
    }

    pub(super) fn on_line_delivered(&mut self, now: Micros, id: ConnId, way: Direction) {
        let Some(conn) = self.table.conn(id) else { return };
        match way {
            Direction::ToNode => conn.to_node.leave(now),
            Direction::ToClient => {
                conn.to_client.leave(now);
                if let Some(standing) = &mut conn.established {
                    standing.silent_since = None;
                }
            }
        }
        self.schedule_progress_checks(now, id);
    }

    pub(super) fn on_client_closed(&mut self, now: Micros, id: ConnId, end: End) {
        self.check_unanswered(now, id, Over::ClientLeft);
        let Some(conn) = self.table.conn(id) else { return };
        conn.trace.note(now, What::ClientEnded(end));
        conn.client_closed = conn.client_closed.or(Some(now));
        if let Some(standing) = &mut conn.established {
            standing.client_closed = true;
        }
        self.table.schedule_forget(now, id);
    }

    pub(super) fn on_balancer_closed_client(&mut self, now: Micros, by: BalancerId, id: ConnId, end: End) {
        if self.table.conn(id).is_none_or(|c| c.by != by) {
            return;
        }
        if let Some(conn) = self.table.conn(id) {
            conn.trace.note(now, What::ClientCut(end));
        }
        self.client_cut_off(now, id);
        self.table.schedule_forget(now, id);
    }

    /// The balancer ends a client's connection, itself or with its process.
    pub(super) fn client_cut_off(&mut self, now: Micros, id: ConnId) {
        let Some(by) = self.table.conn(id).map(|c| c.by) else { return };
        let planned = *self.terminating_mut(by);
        let Some(conn) = self.table.conn(id) else { return };
        let waits = conn.is_awaiting_answer() && !conn.is_misbehaving;
        let finding = match &mut conn.established {
            Some(standing) => {
                let finding = standing.check_cut_off(
                    now,
                    self.nodes.node_mut(standing.node),
                    planned,
                    &self.tolerances,
                );
                standing.client_cut_off = true;
                finding
            }
            None if waits => conn.request.on_over(now, Over::Cut, &self.tolerances),
            None => None,
        };
        conn.client_cut_off = conn.client_cut_off.or(Some(now));
        conn.deferred_finding = finding.map(Box::new).or(conn.deferred_finding.take());
        match self.tolerances.process_exit_time {
            0 => self.confirm_deferred_finding(id),
            while_in_doubt => self.table.schedule(now + while_in_doubt, id, Check::DeferredFinding),
        }
    }

    pub(super) fn on_killed(&mut self, now: Micros, by: BalancerId) {
        let planned = std::mem::take(self.terminating_mut(by));
        for id in self.table.ids(Some(by)) {
            self.confirm_deferred_finding(id);
            self.check_unanswered(now, id, if planned { Over::PlannedKill } else { Over::Killed });
            let held =
                self.table.conn(id).and_then(|c| c.established.as_ref()).and_then(|s| s.check_at_kill(now));
            match held {
                Some(finding) if planned => self.record_finding(id, finding),
                Some(_) => self.verdict.exempt(Exemption::Killed),
                None => {}
            }
            self.close_without_judgement(now, id);
        }
    }

    pub(super) fn on_exited(&mut self, now: Micros, by: BalancerId) {
        let planned = *self.terminating_mut(by);
        if !planned {
            let case = Case { reason: Reason::Exited, at: now, by, conn: None, node: None };
            self.verdict.record(case, String::from("without SIGTERM"), Vec::new);
        }
        for id in self.table.ids(Some(by)) {
            if planned {
                self.client_cut_off(now, id);
                self.confirm_deferred_finding(id);
            }
            self.close_without_judgement(now, id);
        }
    }
}
