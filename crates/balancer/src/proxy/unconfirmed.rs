//! Requests that wait until the other processes of this balancer know their ids. Until then another process may have claimed the
//! same id at the same moment, and both requests would reach a server.

use shorewharf_decisions::interface::{RequestId, ServerId};
use shorewharf_driver::ReceivedRequest;
use shorewharf_units::{MICROS_PER_MILLISECOND, Micros};
use tracing::warn;

use super::Proxy;
use crate::clients::session::Session;
use crate::event_loop::context::{LoopContext, TimerEvent};

/// The longest wait for another process, which may have stalled.
const MAX_WAIT: Micros = 500_000;
/// The longest wait is no more than this fraction of the time that the client waits for its answer.
const TIMEOUT_DIVISOR: Micros = 4;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct UnconfirmedRequest {
    request: ReceivedRequest,
    open_id: u64,
    previous_server: Option<ServerId>,
    /// The number of the claim of its id.
    claim: u64,
    since: Micros,
    /// When the request is placed even if the claim is not confirmed.
    wait_until: Micros,
}

impl UnconfirmedRequest {
    /// Creates the state of a request that was received at `now`.
    pub fn new(
        now: Micros,
        claim: u64,
        open_id: u64,
        request: ReceivedRequest,
        previous_server: Option<ServerId>,
    ) -> Self {
        let wait = (request.deadline.saturating_sub(now) / TIMEOUT_DIVISOR).min(MAX_WAIT);
        UnconfirmedRequest { request, open_id, previous_server, claim, since: now, wait_until: now + wait }
    }
}

impl Proxy {
    /// Places a request as soon as its id is confirmed; without other processes that is at once.
    pub(super) fn place_once_confirmed(&mut self, context: &mut LoopContext, waiting: UnconfirmedRequest) {
        if self.sessions.is_confirmed(waiting.claim) {
            return self.place_unless_duplicate(context, waiting);
        }
        context.schedule_after(waiting.wait_until - context.now, TimerEvent::UnconfirmedId);
        self.unconfirmed.push_back(waiting);
    }

    /// Places the first request that waits and whose id is confirmed, or that has waited long enough. Returns false if there is
    /// none.
    pub fn place_confirmed(&mut self, context: &mut LoopContext) -> bool {
        let is_ready = |waiting: &UnconfirmedRequest| {
            self.sessions.is_confirmed(waiting.claim) || context.now >= waiting.wait_until
        };
        let Some(position) = self.unconfirmed.iter().position(is_ready) else { return false };
        let Some(waiting) = self.unconfirmed.remove(position) else { return false };
        if !self.sessions.is_confirmed(waiting.claim) && context.now >= waiting.since + MAX_WAIT {
            warn!(event = "open-ids-unconfirmed", ms = MAX_WAIT / MICROS_PER_MILLISECOND);
            self.sessions.give_up_confirmation();
        }
        self.place_unless_duplicate(context, waiting);
        true
    }

    fn place_unless_duplicate(&mut self, context: &mut LoopContext, waiting: UnconfirmedRequest) {
        let id = waiting.request.id;
        if !self.is_same_request(id, waiting.open_id) {
            // The client has left, or has its answer already.
            return;
        }
        if self.sessions.is_predecessors_id(waiting.open_id) {
            return self.reject_duplicate(context, id, waiting.open_id);
        }
        self.place_request(context, waiting.request, waiting.previous_server);
    }

    fn is_same_request(&self, id: RequestId, open_id: u64) -> bool {
        self.sessions
            .get(id)
            .is_some_and(|session| Session::is_waiting(session) && session.open_id() == Some(open_id))
    }
}
