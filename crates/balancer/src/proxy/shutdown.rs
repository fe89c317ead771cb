//! Ends client sessions during a graceful shutdown.

use shorewharf_decisions::interface::Outcome;
use shorewharf_driver::NetworkEvent;
use shorewharf_lifecycle::Cause;
use shorewharf_units::Micros;

use super::{Proxy, RETRY_AFTER};
use crate::clients::session::{Session, SessionStage};
use crate::event_loop::context::LoopContext;
use crate::shutdown::MIN_DRAIN_TIME;

/// The retry delay while another process accepts clients in place of this one.
const RETRY_AFTER_WITH_SUCCESSOR: Micros = 10_000;

/// The numbers of sessions at the beginning of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionCounts {
    /// Sessions that a server has accepted.
    pub established: usize,
    /// Sessions whose request waits for an answer.
    pub waiting: usize,
}

/// Which waiting requests a step of a shutdown answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerScope {
    /// Those that may be rejected. The others wait for their servers until their own deadlines.
    Rejectable,
    /// All of them.
    All,
}

impl Proxy {
    /// Begins to reject new requests. Returns the numbers of sessions that are to be ended.
    pub fn begin_shutdown(&mut self) -> SessionCounts {
        self.is_shutting_down = true;
        let is_established = |session: &Session| {
            matches!(session.stage(), SessionStage::Established | SessionStage::Migrating)
        };
        SessionCounts {
            established: self.sessions.ids_where(is_established).len(),
            waiting: self.sessions.ids_where(Session::is_waiting).len(),
        }
    }

    /// The retry delay for clients that this process rejects in a shutdown.
    pub(super) fn shutdown_retry_after(&self) -> Micros {
        if self.has_successor { RETRY_AFTER_WITH_SUCCESSOR } else { MIN_DRAIN_TIME }
    }

    /// The number of client sessions.
    pub fn client_count(&self) -> usize {
        self.sessions.len()
    }

    /// Asks an even share of the established clients to migrate, given that `later_batches` more batches
    /// follow.
    pub fn migrate_batch(&mut self, context: &mut LoopContext, later_batches: usize) {
        let established = self.sessions.ids_where(|session| session.stage() == SessionStage::Established);
        let batch = established.len().div_ceil(later_batches + 1);
        for id in established.into_iter().take(batch) {
            self.migrate(context, id);
        }
    }

    /// Rejects the clients that have not sent a complete request.
    pub fn reject_incomplete_requests(&mut self, context: &mut LoopContext) {
        for id in self.sessions.ids_where(|session| session.stage() == SessionStage::AwaitingRequest) {
            self.reject_incomplete_request(context, id);
        }
    }

    /// Answers the waiting requests in `scope`. A request that may have run can't be rejected: it fails.
    pub fn answer_waiting_clients(&mut self, context: &mut LoopContext, scope: AnswerScope) {
        for id in self.sessions.ids_where(Session::is_waiting) {
            if scope == AnswerScope::Rejectable && !self.guard.is_rejectable(id) {
                continue;
            }
            context.emit(NetworkEvent::ClientLeft(id));
            self.end_attempt(context, id, Outcome::Cancelled);
            self.answer_unserved(context, id, RETRY_AFTER, Cause::Shutdown);
        }
    }
}
