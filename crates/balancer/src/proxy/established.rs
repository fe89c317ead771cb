//! Established connections: what is forwarded on them, and how they end.

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_units::Micros;
use tracing::{debug, warn};

use super::Proxy;
use crate::clients::session::{Session, SessionStage};
use crate::event_loop::context::LoopContext;
use crate::proxy::relay::{RelayDecision, Side, check_closes, forward_lines};
use crate::servers::delays::LoadFigure;
use crate::transport::connection::PeerClose;

/// Microseconds of work a second, the unit of loads in `LOAD` lines, in one unit of load of the decisions.
const LOAD_MICROS_PER_UNIT: f64 = 1e6;
/// Microseconds in a millisecond, the unit of delays in `LOAD` lines.
const MICROS_PER_MILLISECOND: f64 = 1e3;

impl Proxy {
    /// Goes on with a connection that was left unfinished.
    pub fn resume(&mut self, context: &mut LoopContext, id: RequestId) {
        match self.sessions.get(id).map(Session::stage) {
            Some(SessionStage::Closing) => self.continue_close(context, id),
            _ => self.relay(context, id),
        }
    }

    /// Takes the connections that were left unfinished, for [`Proxy::resume`].
    pub fn take_unfinished(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.unfinished)
    }

    /// Whether any connection has more to forward or to read.
    pub fn has_unfinished(&self) -> bool {
        !self.unfinished.is_empty()
    }

    /// Forwards what has come on an established connection, and the closes of its sides.
    pub fn relay(&mut self, context: &mut LoopContext, id: RequestId) {
        let (Some(session), Some(attempt)) = (self.sessions.get_mut(id), self.attempts.get_mut(id)) else {
            return;
        };
        let outcome = forward_lines(context, id, session, attempt);
        let server = attempt.server();
        if outcome.has_more {
            self.unfinished.push(id);
        }
        if session.begin_reporting_delay() {
            self.delay_reporters.push(id);
        }
        for figure in outcome.load_figures {
            self.on_load_figure(context, id, server, figure);
        }
        if let Some(side) = outcome.too_long {
            return self.on_line_too_long(context, id, side);
        }
        self.apply_closes(context, id);
    }

    /// One side has sent a line over the protocol's limit, which ends the connection. Only a server's own fault counts
    /// against it.
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

    /// Does what the closes of the two sides demand.
    fn apply_closes(&mut self, context: &mut LoopContext, id: RequestId) {
        let (Some(session), Some(attempt)) = (self.sessions.get_mut(id), self.attempts.get_mut(id)) else {
            return;
        };
        match check_closes(context.now, session, attempt) {
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

    /// A `LOAD` line has come on a connection: reports the load of the connection, or the delay of the server.
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
                let delay = (figure * MICROS_PER_MILLISECOND) as Micros;
                context.emit(NetworkEvent::MessageDelayReported(server, delay));
            }
            LoadFigure::Ambiguous => {}
        }
    }

    /// Closes both sides of an established connection, the client's in the same way as the server's was.
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

    /// The server leaves a line unanswered: the client is asked to migrate. The server counts as dropping its client,
    /// unless it has sent something to others meanwhile.
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
