//! Handles the deadlines of sessions and attempts, and periodically reports message delays.

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_lifecycle::Cause;
use shorewharf_units::Micros;
use tracing::{debug, error, warn};

use super::{Proxy, RETRY_AFTER};
use crate::clients::session::SessionStage;
use crate::event_loop::context::LoopContext;
use crate::servers::attempt::AttemptStage;
use crate::servers::delays::DelaySample;
use crate::transport::connection::PeerClose;

/// A server is slow if its messages take longer than the shortest message latency objective divided by this.
const SLOW_SERVER_DIVISOR: Micros = 3;

impl Proxy {
    /// Logs how many log lines were suppressed in the last second, if any were.
    pub fn flush_log_limiter(&mut self, now: Micros) {
        self.log_limiter.log_suppressed(now);
    }

    /// Handles the timer of a session.
    pub fn on_session_timer(&mut self, context: &mut LoopContext, id: RequestId) {
        if self.sessions.on_timer(context, id) {
            self.on_session_due(context, id);
            self.sessions.schedule_timer(context, id);
        }
    }

    /// Handles the timer of an attempt.
    pub fn on_attempt_timer(&mut self, context: &mut LoopContext, id: RequestId) {
        if let Some(outcome) = self.attempts.on_timer(context, id) {
            self.end_attempt(context, id, outcome);
        }
    }

    /// Handles a session deadline that has passed, depending on the session's stage.
    fn on_session_due(&mut self, context: &mut LoopContext, id: RequestId) {
        let now = context.now;
        let Some(session) = self.sessions.get_mut(id) else { return };
        match session.stage() {
            SessionStage::AwaitingRequest if session.is_past_deadline(now) => {
                self.on_first_line_overdue(context, id);
            }
            SessionStage::AwaitingAnswer
                if !session.is_past_deadline(now) && session.take_due_restore(now) =>
            {
                let timeout = session.deadline() - now;
                if let Some(server) = session.previous_server() {
                    self.begin_attempt(context, id, server, timeout);
                }
            }
            // Ensures that every request is answered before its client gives up, even if the driver has not
            // decided.
            SessionStage::AwaitingAnswer if session.is_overdue(now) => {
                error!(event = "overdue", req = id.0, client = %session.client_address());
                context.emit(NetworkEvent::ClientLeft(id));
                self.end_attempt(context, id, Outcome::TimedOut);
                self.answer_unserved(context, id, RETRY_AFTER, Cause::Overdue);
            }
            SessionStage::Established | SessionStage::Migrating => self.on_established_due(context, id),
            SessionStage::Closing if session.is_past_deadline(now) => {
                self.close_session(context, id, Cause::Idle);
            }
            _ => {}
        }
    }

    fn on_established_due(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(session) = self.sessions.get(id) else { return };
        if session.is_half_open_expired(context.now) {
            let has_client_closed = session.connection.peer_close.is_some();
            let outcome = if has_client_closed { Outcome::Cancelled } else { Outcome::Reset };
            self.close_both(context, id, PeerClose::Fin, outcome);
        } else if let Some(since) = session.server_silent_since(context) {
            let client = session.client_address();
            warn!(event = "server-unresponsive", server = self.server_name(id), client = %client);
            self.on_silent_server(context, id, since);
        }
    }

    /// Reports the message delays of servers to the driver: of each slow server once per period, and of a
    /// server that is no longer slow once more.
    pub fn report_delays(&mut self, context: &mut LoopContext) {
        let samples = self.take_delay_samples(context);
        let slow_from = self.settings.message_latency_objective / SLOW_SERVER_DIVISOR;
        for report in self.servers.delay_reports(context.now, slow_from, &samples) {
            let name = self.servers.name(Some(report.server));
            debug!(event = "delay-observed", server = name, us = report.delay);
            context.emit(NetworkEvent::MessageDelayReported(report.server, report.delay));
        }
    }

    /// Collects the message delays that established sessions have observed, by server. Sessions without a
    /// recent observation are removed from the list until they send a line again.
    fn take_delay_samples(&mut self, context: &LoopContext) -> BTreeMap<ServerId, Vec<DelaySample>> {
        let mut samples = BTreeMap::<ServerId, Vec<DelaySample>>::new();
        let (sessions, attempts) = (&mut self.sessions, &self.attempts);
        self.delay_reporters.retain(|id| {
            let Some((session, attempt)) = sessions.get_mut(*id).zip(attempts.get(*id)) else { return false };
            let sample = DelaySample {
                unanswered_since: session.unanswered_since().map(|since| context.waiting_since(since)),
                last_answer: attempt.last_answer(),
            };
            if session.stage() == SessionStage::Established && attempt.stage() == AttemptStage::Established {
                samples.entry(attempt.server()).or_default().push(sample);
            }
            let is_informative = sample.is_informative(context.now);
            session.set_reports_delay(is_informative);
            is_informative
        });
        samples
    }
}
