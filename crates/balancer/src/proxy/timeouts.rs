//! What is due of sessions and attempts, and the steps of a planned end.

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_units::Micros;
use tracing::{debug, error, warn};

use super::{Proxy, RETRY_AFTER};
use crate::clients::session::{Session, SessionStage};
use crate::event_loop::iteration::LoopContext;
use crate::event_loop::poll::Readiness;
use crate::servers::attempts::AttemptStage;
use crate::servers::delays::DelaySample;
use crate::transport::connection::PeerClose;

impl Proxy {
    /// Log lines were left out a moment ago.
    pub fn complaints_due(&mut self, now: Micros) {
        self.complaints.due(now);
    }

    /// A session's timer has come: what is due of it, and what comes next.
    pub fn on_session_timer(&mut self, turn: &mut LoopContext, id: RequestId) {
        if self.sessions.alarmed(turn, id) {
            self.on_session_due(turn, id);
            self.sessions.arm(turn, id);
        }
    }

    fn on_session_due(&mut self, turn: &mut LoopContext, id: RequestId) {
        let now = turn.now;
        let Some(s) = self.sessions.get_mut(id) else { return };
        match s.stage() {
            SessionStage::Opening if s.is_late(now) => {
                // A line that has come by now is a request that was taken.
                self.on_session_ready(turn, id, Readiness::READ);
                if self.sessions.get(id).is_some_and(|s| s.stage() == SessionStage::Opening && s.is_late(now))
                {
                    self.half_line(turn, id);
                }
            }
            SessionStage::Waiting if !s.is_late(now) && s.carries_again(now) => {
                let left = s.until() - now;
                if let Some(home) = s.home() {
                    self.begin_attempt(turn, id, home, left);
                }
            }
            // Guards the rule that every request is answered before its client gives up.
            SessionStage::Waiting if s.is_overdue(now) => {
                error!(event = "overdue", req = id.0, client = %s.from());
                turn.emit(NetworkEvent::ClientLeft(id));
                self.end_attempt(turn, id, Outcome::TimedOut);
                self.answer_unserved(turn, id, RETRY_AFTER, Cause::Overdue);
            }
            SessionStage::Open | SessionStage::Moving => {
                if s.half_open_due(now) {
                    let ended = s.link.ended;
                    let outcome = if ended.is_some() { Outcome::Cancelled } else { Outcome::Reset };
                    self.end_both(turn, id, PeerClose::Fin, outcome);
                } else if let Some(since) = s.silent_since(turn) {
                    let from = s.from();
                    warn!(event = "silent", server = self.server_name(id), client = %from);
                    self.silent(turn, id, since);
                }
            }
            SessionStage::Closing if s.is_late(now) => self.close_session(turn, id, Cause::Idle),
            _ => {}
        }
    }

    /// Reports what messages take: for each server once a period while that is over a third of the
    /// shortest aim, and once more when it is back under.
    pub fn report_delays(&mut self, turn: &mut LoopContext) {
        let mut seen = BTreeMap::<ServerId, Vec<DelaySample>>::new();
        let (sessions, attempts) = (&mut self.sessions, &self.attempts);
        self.sighted.retain(|id| {
            let Some((s, f)) = sessions.get_mut(*id).zip(attempts.get(*id)) else { return false };
            let sight =
                DelaySample { asked: s.asked_since().map(|at| turn.took_since(at)), answered: f.answered() };
            if s.stage() == SessionStage::Open && f.stage() == AttemptStage::Up {
                seen.entry(f.server()).or_default().push(sight);
            }
            s.stays_sighted(sight.says_something(turn.now))
        });
        for (server, delay) in self.servers.delays(turn.now, self.terms.message_aim / 3, &seen) {
            debug!(event = "seen", server = self.servers.name(Some(server)), us = delay);
            turn.emit(NetworkEvent::MessageDelayReported(server, delay));
        }
    }
}

/// The planned end.
impl Proxy {
    /// From now on nobody new is served; tells how many stand, and how many wait.
    pub fn close(&mut self) -> (usize, usize) {
        self.closing = true;
        let stands = |s: &Session| matches!(s.stage(), SessionStage::Open | SessionStage::Moving);
        (self.sessions.those(stands).len(), self.sessions.those(Session::waits).len())
    }

    /// Clients that are still here.
    pub fn clients(&self) -> usize {
        self.sessions.len()
    }

    /// Moves an even part of the standing sessions, with so many more parts to come.
    pub fn move_some(&mut self, turn: &mut LoopContext, parts_left: Micros) {
        let open = self.sessions.those(|s| s.stage() == SessionStage::Open);
        let n = open.len().div_ceil(parts_left as usize + 1);
        open.into_iter().take(n).for_each(|id| self.move_away(turn, id));
    }

    /// Answers who still waits, and ends those that have asked for nothing by now. A request that may have run can't be
    /// refused: it waits for its server until its own deadline, or until `is_last_call`, and fails then.
    pub fn answer_waiting(&mut self, turn: &mut LoopContext, is_last_call: bool) {
        for id in self.sessions.those(|s| s.stage() == SessionStage::Opening) {
            self.on_session_ready(turn, id, Readiness::READ);
            if self.sessions.get(id).is_some_and(|s| s.stage() == SessionStage::Opening) {
                self.answer(turn, id, Answer::Closed, Cause::Shutdown);
            }
        }
        for id in self.sessions.those(Session::waits) {
            if !is_last_call && !self.guard.is_refusable(id) {
                continue;
            }
            turn.emit(NetworkEvent::ClientLeft(id));
            self.end_attempt(turn, id, Outcome::Cancelled);
            self.answer_unserved(turn, id, RETRY_AFTER, Cause::Shutdown);
        }
    }
}
