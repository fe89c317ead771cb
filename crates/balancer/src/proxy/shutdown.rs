//! What a graceful shutdown does to client sessions.

use shorewharf_decisions::interface::{Outcome, RequestId};
use shorewharf_driver::NetworkEvent;
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_units::Micros;

use super::{Proxy, RETRY_AFTER};
use crate::clients::session::{Session, SessionStage};
use crate::event_loop::context::LoopContext;
use crate::transport::readiness::Readiness;

/// The sessions at the beginning of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionCounts {
    /// Sessions that a server has accepted.
    pub established: usize,
    /// Sessions whose request waits for an answer.
    pub waiting: usize,
}

impl Proxy {
    /// Rejects new requests from now on.
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

    /// The number of client sessions.
    pub fn client_count(&self) -> usize {
        self.sessions.len()
    }

    /// Asks an even share of the established clients to migrate, with `batches_left` more batches to come.
    pub fn migrate_batch(&mut self, context: &mut LoopContext, batches_left: Micros) {
        let established = self.sessions.ids_where(|session| session.stage() == SessionStage::Established);
        let batch = established.len().div_ceil(batches_left as usize + 1);
        for id in established.into_iter().take(batch) {
            self.migrate(context, id);
        }
    }

    /// Answers the waiting requests, and closes the sessions that have sent none. A request that may have run can't be
    /// rejected: it waits for its server until its own deadline, or until `is_last_call`, and fails then.
    pub fn answer_waiting_clients(&mut self, context: &mut LoopContext, is_last_call: bool) {
        for id in self.sessions.ids_where(|session| session.stage() == SessionStage::AwaitingRequest) {
            self.close_without_request(context, id);
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

    /// Closes a session unless its first line has come by now.
    fn close_without_request(&mut self, context: &mut LoopContext, id: RequestId) {
        self.on_session_ready(context, id, Readiness::READ);
        if self.sessions.get(id).is_some_and(|session| session.stage() == SessionStage::AwaitingRequest) {
            self.answer(context, id, Answer::Closed, Cause::Shutdown);
        }
    }
}
