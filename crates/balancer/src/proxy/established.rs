//! Standing connections: what passes on them, and how they end.

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_units::Micros;
use tracing::{debug, warn};

use crate::clients::session::{Session, SessionStage};
use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::proxy::Proxy;
use crate::proxy::relay::{RelayDecision, ends, relay};
use crate::servers::delays::LoadFigure;
use crate::transport::connection::PeerClose;

/// Clients of a server that is taken out are moved in so many parts, so far apart: all of them before the second is over
/// after which the server must get nothing.
const MIGRATION_BATCHES: usize = 8;
const MIGRATION_BATCH_INTERVAL: Micros = 100_000;

impl Proxy {
    /// Asks a connected client to come again: at once, or where its server was taken out by hand, and so does not end
    /// it soon, together with others that leave there, in even parts. All at once they would be a wave.
    pub fn request_migration(&mut self, context: &mut LoopContext, id: RequestId) {
        let server = self.attempts.server(id);
        if !server.is_some_and(|server| self.servers.disabled().is_disabled(server)) {
            return self.migrate(context, id);
        }
        if self.pending_migrations.is_empty() {
            self.migration_batches_left = MIGRATION_BATCHES;
            context.schedule_after(MIGRATION_BATCH_INTERVAL, TimerEvent::MigrationBatch);
        }
        self.pending_migrations.push_back(id);
    }

    /// The next part leaves.
    pub fn run_migration_batch(&mut self, context: &mut LoopContext) {
        let some = self.pending_migrations.len().div_ceil(self.migration_batches_left.max(1));
        self.migration_batches_left = self.migration_batches_left.saturating_sub(1);
        for id in self.pending_migrations.drain(..some).collect::<Vec<_>>() {
            self.migrate(context, id);
        }
        if !self.pending_migrations.is_empty() {
            context.schedule_after(MIGRATION_BATCH_INTERVAL, TimerEvent::MigrationBatch);
        }
    }

    /// Asks a connected client to come again.
    pub fn migrate(&mut self, context: &mut LoopContext, id: RequestId) {
        if self.sessions.get_mut(id).is_some_and(Session::begin_migration) {
            debug!(event = "moves", req = id.0, server = self.server_name(id));
            self.relay(context, id);
        }
    }

    /// Goes on with a connection that had more to carry or to read.
    pub fn resume(&mut self, context: &mut LoopContext, id: RequestId) {
        match self.sessions.get(id).map(Session::stage) {
            Some(SessionStage::Closing) => self.continue_close(context, id),
            _ => self.relay(context, id),
        }
    }

    /// Takes out those that had more to carry or to read, for [`Proxy::goes_on`].
    pub fn take_unfinished(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.unfinished)
    }

    /// Whether descriptors have run out, as far as was noted.
    pub fn has_descriptor_shortage(&self) -> bool {
        self.budget.is_short()
    }

    /// Whether any connection has more to carry.
    pub fn has_unfinished(&self) -> bool {
        !self.unfinished.is_empty()
    }

    /// Passes on what has come on a standing connection, and its ends.
    pub fn relay(&mut self, context: &mut LoopContext, id: RequestId) {
        let (Some(session), Some(attempt)) = (self.sessions.get_mut(id), self.attempts.get_mut(id)) else {
            return;
        };
        let relayed = relay(context, id, session, attempt);
        let (from, server) = (session.client_address(), attempt.server());
        if relayed.has_more {
            self.unfinished.push(id);
        }
        if session.begin_reporting_delay() {
            self.delay_reporters.push(id);
        }
        relayed.load_figures.into_iter().for_each(|figure| self.on_load_figure(context, id, server, figure));
        if let Some(peer) = relayed.too_long {
            if self.log_limiter.may(context) {
                let server = self.servers.name(Some(server));
                warn!(event = "line-too-long", peer, client = %from, server);
            }
            // Only a server's own fault counts against it.
            let outcome = if peer == "server" { Outcome::Reset } else { Outcome::Cancelled };
            return self.close_both(context, id, PeerClose::Reset, outcome);
        }
        let (Some(session), Some(attempt)) = (self.sessions.get_mut(id), self.attempts.get_mut(id)) else {
            return;
        };
        match ends(context.now, session, attempt) {
            RelayDecision::Continue => self.sessions.schedule_timer(context, id),
            RelayDecision::CloseAsServer(end, outcome) => self.close_both(context, id, end, outcome),
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

    /// A `LOAD` line has come on a connection.
    fn on_load_figure(&mut self, context: &mut LoopContext, id: RequestId, server: ServerId, figure: f64) {
        let tells = self.settings.servers_report_delay;
        let kind =
            if tells { self.servers.classify_load(context.now, server, figure) } else { LoadFigure::Load };
        debug!(event = "told", req = id.0, server = self.servers.name(Some(server)), ?kind, figure);
        match kind {
            LoadFigure::Load => context.emit(NetworkEvent::LoadReported(id, figure / 1e6)),
            LoadFigure::Delay => {
                context.emit(NetworkEvent::MessageDelayReported(server, (figure * 1e3) as Micros))
            }
            LoadFigure::Ambiguous => {}
        }
    }

    /// Ends a standing connection on both sides, the client's as the server's ended.
    pub(crate) fn close_both(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        end: PeerClose,
        outcome: Outcome,
    ) {
        self.end_attempt(context, id, outcome);
        match end {
            PeerClose::Fin => self.answer(context, id, Answer::Closed, Cause::Server),
            PeerClose::Reset => {
                self.sessions.get_mut(id).into_iter().for_each(|session| session.connection.reset_on_close());
                self.close_session(context, id, Cause::Server);
            }
        }
    }

    /// The server answers nothing: its client is moved, and the module hears of a drop. One that has answered
    /// others meanwhile is not blamed: the connection fell silent, not the server.
    pub(crate) fn on_silent_server(&mut self, context: &mut LoopContext, id: RequestId, since: Micros) {
        let lives = self.attempts.is_server_alive(id, since);
        self.end_attempt(context, id, if lives { Outcome::Cancelled } else { Outcome::Reset });
        if self.sessions.get(id).is_some_and(|session| session.connection.is_at_line_boundary()) {
            self.answer(context, id, Answer::Migrated, Cause::Unresponsive);
        } else {
            self.close_both(context, id, PeerClose::Reset, Outcome::Reset);
        }
    }
}
