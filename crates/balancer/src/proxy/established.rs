//! Relays established connections and ends them.

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_units::{MICROS_PER_MILLISECOND, Micros};
use tracing::{debug, warn};

use super::Proxy;
use crate::clients::session::{Session, SessionStage};
use crate::event_loop::context::LoopContext;
use crate::proxy::relay::{RelayDecision, RelayOutcome, Side, check_closes, forward_lines};
use crate::servers::delays::LoadFigure;
use crate::transport::connection::PeerClose;

/// One unit of load of the decisions in the unit of `LOAD` lines, which is microseconds of work per second.
const LOAD_MICROS_PER_UNIT: f64 = 1e6;
/// Converts the delays in `LOAD` lines, which are in milliseconds, to microseconds.
const LOAD_MICROS_PER_MILLISECOND: f64 = 1e3;

impl Proxy {
    /// Continues relaying or closing a connection that was interrupted to serve other connections.
    pub fn resume(&mut self, context: &mut LoopContext, id: RequestId) {
        match self.sessions.get(id).map(Session::stage) {
            Some(SessionStage::Closing) => self.continue_close(context, id),
            _ => self.relay(context, id),
        }
    }

    /// Takes the list of connections with unfinished work, to be passed to [`Proxy::resume`].
    pub fn take_unfinished(&mut self) -> Vec<RequestId> {
        self.unfinished.take()
    }

    /// Whether any connection has more to forward or to read.
    pub fn has_unfinished(&self) -> bool {
        !self.unfinished.is_empty()
    }

    /// Forwards the lines received on an established connection, and passes on closes.
    pub fn relay(&mut self, context: &mut LoopContext, id: RequestId) {
        let (Some(session), Some(attempt)) = (self.sessions.get_mut(id), self.attempts.get_mut(id)) else {
            return;
        };
        let outcome = forward_lines(context, id, session, attempt);
        let server = attempt.server();
        if outcome.has_more {
            self.unfinished.add(id);
        }
        let saturated_for = session.record_turn(context.now, outcome.has_more);
        if session.begin_reporting_delay() {
            self.delay_reporters.push(id);
        }
        if let Some(duration) = saturated_for {
            self.log_saturation(context, id, &outcome, duration);
        }
        for figure in &outcome.load_figures {
            self.on_load_figure(context, id, server, *figure);
        }
        if let Some(side) = outcome.too_long {
            return self.on_line_too_long(context, id, side);
        }
        self.apply_closes(context, id, &outcome);
    }

    /// Logs a connection at full speed. Other connections are served beside it, so nothing else is done about it.
    fn log_saturation(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        outcome: &RelayOutcome,
        duration: Micros,
    ) {
        let Some(session) = self.sessions.get(id) else { return };
        let (client, open_id) = (session.client_address(), session.open_id().unwrap_or(0));
        if self.log_limiter.acquire(context) {
            let (server, ms) = (self.server_name(id), duration / MICROS_PER_MILLISECOND);
            let (client_lines, server_lines) = (outcome.has_client_lines, outcome.has_server_lines);
            warn!(event = "connection-saturated", client = %client, id = %format_args!("{open_id:x}"), server, client_lines, server_lines, ms);
        }
    }

    /// Ends a connection on which one side has sent a line over the protocol's limit. It counts against the
    /// server only if the server sent that line.
    fn on_line_too_long(&mut self, context: &mut LoopContext, id: RequestId, side: Side) {
        let Some(client) = self.sessions.get(id).map(Session::client_address) else { return };
        if self.log_limiter.acquire(context) {
            let server = self.server_name(id);
            warn!(event = "line-too-long", peer = side.as_str(), client = %client, server);
        }
        let outcome = match side {
            Side::Server => Outcome::Reset,
            Side::Client => Outcome::Cancelled,
        };
        self.close_both(context, id, PeerClose::Reset, outcome);
    }

    /// Ends the connection, or sets the deadline for its end, as required by the closes of its two sides.
    fn apply_closes(&mut self, context: &mut LoopContext, id: RequestId, outcome: &RelayOutcome) {
        let (Some(session), Some(attempt)) = (self.sessions.get_mut(id), self.attempts.get_mut(id)) else {
            return;
        };
        match check_closes(context.now, session, attempt, outcome) {
            RelayDecision::Continue => self.sessions.schedule_timer(context, id),
            RelayDecision::CloseAsServer(close, outcome) => self.close_both(context, id, close, outcome),
            RelayDecision::ClientReset => {
                attempt.connection.reset_on_close();
                self.close_session(context, id, Cause::Server);
                self.end_attempt(context, id, Outcome::Cancelled);
            }
            RelayDecision::Migrate => {
                self.end_attempt(context, id, Outcome::Cancelled);
                self.answer(context, id, Answer::Migrated, Cause::Migration);
            }
        }
    }

    /// Reports the number in a `LOAD` line to the driver: as the load of the connection or as the message
    /// delay of the server. A number that could be either is only logged.
    fn on_load_figure(&mut self, context: &mut LoopContext, id: RequestId, server: ServerId, figure: f64) {
        let kind = if self.settings.servers_report_delay {
            self.servers.classify_load(context.now, server, figure)
        } else {
            LoadFigure::Load
        };
        debug!(event = "load-reported", req = id.0, server = self.servers.name(Some(server)), ?kind, figure);
        match kind {
            LoadFigure::Load => context.emit(NetworkEvent::LoadReported(id, figure / LOAD_MICROS_PER_UNIT)),
            LoadFigure::Delay => {
                let delay = (figure * LOAD_MICROS_PER_MILLISECOND) as Micros;
                context.emit(NetworkEvent::MessageDelayReported(server, delay));
            }
            LoadFigure::Ambiguous => {}
        }
    }

    /// Closes both sides of an established connection; `close` tells how the client's side is closed.
    pub(super) fn close_both(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        close: PeerClose,
        outcome: Outcome,
    ) {
        self.end_attempt(context, id, outcome);
        match close {
            PeerClose::Fin => self.answer(context, id, Answer::Closed, Cause::Server),
            PeerClose::Reset => {
                if let Some(session) = self.sessions.get_mut(id) {
                    session.connection.reset_on_close();
                }
                self.close_session(context, id, Cause::Server);
            }
        }
    }

    /// Handles a server that has left a line unanswered for too long: asks the client to migrate, or resets
    /// its connection if a line is only partly forwarded. The attempt counts as reset by the server unless
    /// the server has sent something to other clients in the meantime.
    pub(super) fn on_silent_server(&mut self, context: &mut LoopContext, id: RequestId, since: Micros) {
        let is_alive = self.attempts.is_server_alive(id, since);
        self.end_attempt(context, id, if is_alive { Outcome::Cancelled } else { Outcome::Reset });
        if self.sessions.get(id).is_some_and(|session| session.connection.is_at_line_boundary()) {
            self.answer(context, id, Answer::Migrated, Cause::Unresponsive);
        } else {
            self.close_both(context, id, PeerClose::Reset, Outcome::Reset);
        }
    }
}

#[cfg(test)]
mod tests;
