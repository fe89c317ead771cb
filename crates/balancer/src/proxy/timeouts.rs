//! What is due of sessions and attempts, and the steps of a planned end.

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_units::Micros;
use tracing::{debug, error, warn};

use super::{Proxy, RETRY_AFTER};
use crate::clients::session::{Session, SessionStage};
use crate::event_loop::context::LoopContext;
use crate::servers::attempts::AttemptStage;
use crate::servers::delays::DelaySample;
use crate::transport::connection::PeerClose;
use crate::transport::readiness::Readiness;

impl Proxy {
    /// Log lines were left out a moment ago.
    pub fn flush_log_limiter(&mut self, now: Micros) {
        self.log_limiter.due(now);
    }

    /// A session's timer has come: what is due of it, and what comes next.
    pub fn on_session_timer(&mut self, context: &mut LoopContext, id: RequestId) {
        if self.sessions.on_timer(context, id) {
            self.on_session_due(context, id);
            self.sessions.schedule_timer(context, id);
        }
    }

    fn on_session_due(&mut self, context: &mut LoopContext, id: RequestId) {
        let now = context.now;
        let Some(session) = self.sessions.get_mut(id) else { return };
        match session.stage() {
            SessionStage::AwaitingRequest if session.is_past_deadline(now) => {
                // A line that has come by now is a request that was taken.
                self.on_session_ready(context, id, Readiness::READ);
                if self.sessions.get(id).is_some_and(|session| {
                    session.stage() == SessionStage::AwaitingRequest && session.is_past_deadline(now)
                }) {
                    self.on_incomplete_request(context, id);
                }
            }
            SessionStage::AwaitingAnswer
                if !session.is_past_deadline(now) && session.take_due_restore(now) =>
            {
                let left = session.deadline() - now;
                if let Some(home) = session.previous_server() {
                    self.begin_attempt(context, id, home, left);
                }
            }
            // Guards the rule that every request is answered before its client gives up.
            SessionStage::AwaitingAnswer if session.is_overdue(now) => {
                error!(event = "overdue", req = id.0, client = %session.client_address());
                context.emit(NetworkEvent::ClientLeft(id));
                self.end_attempt(context, id, Outcome::TimedOut);
                self.answer_unserved(context, id, RETRY_AFTER, Cause::Overdue);
            }
            SessionStage::Established | SessionStage::Migrating => {
                if session.is_half_open_expired(now) {
                    let ended = session.connection.peer_close;
                    let outcome = if ended.is_some() { Outcome::Cancelled } else { Outcome::Reset };
                    self.close_both(context, id, PeerClose::Fin, outcome);
                } else if let Some(since) = session.server_silent_since(context) {
                    let from = session.client_address();
                    warn!(event = "silent", server = self.server_name(id), client = %from);
                    self.on_silent_server(context, id, since);
                }
            }
            SessionStage::Closing if session.is_past_deadline(now) => {
                self.close_session(context, id, Cause::Idle)
            }
            _ => {}
        }
    }

    /// Reports what messages take: for each server once a period while that is over a third of the
    /// shortest aim, and once more when it is back under.
    pub fn report_delays(&mut self, context: &mut LoopContext) {
        let mut seen = BTreeMap::<ServerId, Vec<DelaySample>>::new();
        let (sessions, attempts) = (&mut self.sessions, &self.attempts);
        self.delay_reporters.retain(|id| {
            let Some((session, attempt)) = sessions.get_mut(*id).zip(attempts.get(*id)) else { return false };
            let sight = DelaySample {
                unanswered_since: session.unanswered_since().map(|at| context.waiting_since(at)),
                last_answer: attempt.last_answer(),
            };
            if session.stage() == SessionStage::Established && attempt.stage() == AttemptStage::Established {
                seen.entry(attempt.server()).or_default().push(sight);
            }
            session.set_reports_delay(sight.is_informative(context.now))
        });
        for (server, delay) in
            self.servers.delay_reports(context.now, self.settings.message_latency_objective / 3, &seen)
        {
            debug!(event = "seen", server = self.servers.name(Some(server)), us = delay);
            context.emit(NetworkEvent::MessageDelayReported(server, delay));
        }
    }
}

/// The planned end.
impl Proxy {
    /// From now on nobody new is served; tells how many stand, and how many wait.
    pub fn begin_shutdown(&mut self) -> (usize, usize) {
        self.is_shutting_down = true;
        let stands = |session: &Session| {
            matches!(session.stage(), SessionStage::Established | SessionStage::Migrating)
        };
        (self.sessions.ids_where(stands).len(), self.sessions.ids_where(Session::is_waiting).len())
    }

    /// Clients that are still here.
    pub fn client_count(&self) -> usize {
        self.sessions.len()
    }

    /// Moves an even part of the standing sessions, with so many more parts to come.
    pub fn migrate_batch(&mut self, context: &mut LoopContext, parts_left: Micros) {
        let open = self.sessions.ids_where(|session| session.stage() == SessionStage::Established);
        let n = open.len().div_ceil(parts_left as usize + 1);
        open.into_iter().take(n).for_each(|id| self.migrate(context, id));
    }

    /// Answers who still waits, and ends those that have asked for nothing by now. A request that may have run can't be
    /// refused: it waits for its server until its own deadline, or until `is_last_call`, and fails then.
    pub fn answer_waiting_clients(&mut self, context: &mut LoopContext, is_last_call: bool) {
        for id in self.sessions.ids_where(|session| session.stage() == SessionStage::AwaitingRequest) {
            self.on_session_ready(context, id, Readiness::READ);
            if self.sessions.get(id).is_some_and(|session| session.stage() == SessionStage::AwaitingRequest) {
                self.answer(context, id, Answer::Closed, Cause::Shutdown);
            }
        }
        for id in self.sessions.ids_where(Session::is_waiting) {
            if !is_last_call && !self.guard.is_rejectable(id) {
                continue;
            }
            context.emit(NetworkEvent::ClientLeft(id));
            self.end_attempt(context, id, Outcome::Cancelled);
            self.answer_unserved(context, id, RETRY_AFTER, Cause::Shutdown);
        }
    }
}
