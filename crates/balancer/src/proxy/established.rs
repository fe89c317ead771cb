//! Standing connections: what passes on them, and how they end.

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_units::Micros;
use tracing::{debug, warn};

use crate::clients::session::{Session, SessionStage};
use crate::event_loop::iteration::{LoopContext, TimerEvent};
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
    pub fn asks_to_move(&mut self, turn: &mut LoopContext, id: RequestId) {
        let server = self.attempts.server(id);
        if !server.is_some_and(|server| self.servers.taken_out().is_out(server)) {
            return self.move_away(turn, id);
        }
        if self.leaves.is_empty() {
            self.leaves_in = MIGRATION_BATCHES;
            turn.after(MIGRATION_BATCH_INTERVAL, TimerEvent::Leaves);
        }
        self.leaves.push_back(id);
    }

    /// The next part leaves.
    pub fn leave_some(&mut self, turn: &mut LoopContext) {
        let some = self.leaves.len().div_ceil(self.leaves_in.max(1));
        self.leaves_in = self.leaves_in.saturating_sub(1);
        for id in self.leaves.drain(..some).collect::<Vec<_>>() {
            self.move_away(turn, id);
        }
        if !self.leaves.is_empty() {
            turn.after(MIGRATION_BATCH_INTERVAL, TimerEvent::Leaves);
        }
    }

    /// Asks a connected client to come again.
    pub fn move_away(&mut self, turn: &mut LoopContext, id: RequestId) {
        if self.sessions.get_mut(id).is_some_and(Session::moves) {
            debug!(event = "moves", req = id.0, server = self.server_name(id));
            self.relay(turn, id);
        }
    }

    /// Goes on with a connection that had more to carry or to read.
    pub fn goes_on(&mut self, turn: &mut LoopContext, id: RequestId) {
        match self.sessions.get(id).map(Session::stage) {
            Some(SessionStage::Closing) => self.session_ends(turn, id),
            _ => self.relay(turn, id),
        }
    }

    /// Takes out those that had more to carry or to read, for [`Proxy::goes_on`].
    pub fn take_again(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.again)
    }

    /// Whether descriptors have run out, as far as was noted.
    pub fn is_short(&self) -> bool {
        self.budget.is_short()
    }

    /// Whether any connection has more to carry.
    pub fn is_busy(&self) -> bool {
        !self.again.is_empty()
    }

    /// Passes on what has come on a standing connection, and its ends.
    pub fn relay(&mut self, turn: &mut LoopContext, id: RequestId) {
        let (Some(s), Some(f)) = (self.sessions.get_mut(id), self.attempts.get_mut(id)) else { return };
        let relayed = relay(turn, id, s, f);
        let (from, server) = (s.from(), f.server());
        if relayed.more {
            self.again.push(id);
        }
        if s.is_sighted() {
            self.sighted.push(id);
        }
        relayed.told.into_iter().for_each(|figure| self.figure_told(turn, id, server, figure));
        if let Some(peer) = relayed.too_long {
            if self.complaints.may(turn) {
                let server = self.servers.name(Some(server));
                warn!(event = "line-too-long", peer, client = %from, server);
            }
            // Only a server's own fault counts against it.
            let outcome = if peer == "server" { Outcome::Reset } else { Outcome::Cancelled };
            return self.end_both(turn, id, PeerClose::Reset, outcome);
        }
        let (Some(s), Some(f)) = (self.sessions.get_mut(id), self.attempts.get_mut(id)) else { return };
        match ends(turn.now, s, f) {
            RelayDecision::Stands => self.sessions.arm(turn, id),
            RelayDecision::ServerEnded(end, outcome) => self.end_both(turn, id, end, outcome),
            RelayDecision::ClientBroke => {
                f.link.break_off();
                self.close_session(turn, id, Cause::Server);
                self.end_attempt(turn, id, Outcome::Cancelled);
            }
            RelayDecision::Moves => {
                self.end_attempt(turn, id, Outcome::Cancelled);
                self.answer(turn, id, Answer::Moved, Cause::Move);
            }
        }
    }

    /// A `LOAD` line has come on a connection.
    fn figure_told(&mut self, turn: &mut LoopContext, id: RequestId, server: ServerId, figure: f64) {
        let tells = self.terms.tells_delay;
        let kind = if tells { self.servers.read_figure(turn.now, server, figure) } else { LoadFigure::Load };
        debug!(event = "told", req = id.0, server = self.servers.name(Some(server)), ?kind, figure);
        match kind {
            LoadFigure::Load => turn.emit(NetworkEvent::LoadReported(id, figure / 1e6)),
            LoadFigure::Delay => {
                turn.emit(NetworkEvent::MessageDelayReported(server, (figure * 1e3) as Micros))
            }
            LoadFigure::Unclear => {}
        }
    }

    /// Ends a standing connection on both sides, the client's as the server's ended.
    pub(crate) fn end_both(
        &mut self,
        turn: &mut LoopContext,
        id: RequestId,
        end: PeerClose,
        outcome: Outcome,
    ) {
        self.end_attempt(turn, id, outcome);
        match end {
            PeerClose::Fin => self.answer(turn, id, Answer::Closed, Cause::Server),
            PeerClose::Reset => {
                self.sessions.get_mut(id).into_iter().for_each(|s| s.link.break_off());
                self.close_session(turn, id, Cause::Server);
            }
        }
    }

    /// The server answers nothing: its client is moved, and the module hears of a drop. One that has answered
    /// others meanwhile is not blamed: the connection fell silent, not the server.
    pub(crate) fn silent(&mut self, turn: &mut LoopContext, id: RequestId, since: Micros) {
        let lives = self.attempts.server_lives(id, since);
        self.end_attempt(turn, id, if lives { Outcome::Cancelled } else { Outcome::Reset });
        if self.sessions.get(id).is_some_and(|s| s.link.between_lines()) {
            self.answer(turn, id, Answer::Moved, Cause::Silent);
        } else {
            self.end_both(turn, id, PeerClose::Reset, Outcome::Reset);
        }
    }
}
