//! Retries and final answers: whether a request may be sent again, held for a moment, or has to be answered.

use crate::interface::*;
use crate::policy::HOLD;
use crate::state::{Balancer, Client, Server};

/// Who may wait for a moment is looked at again so soon, in aims.
const LOOK: f64 = 0.1;
/// Clients that wait for each server that bears more and has its hands full: so many are set up in an aim.
const SOON: usize = 4;

impl Balancer {
    pub(crate) fn may_send(&self, c: &Client, s: &Server, now: f64) -> bool {
        let Some((first, sent, _)) = c.ran else { return true };
        match c.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed(scope, window) => {
                let Some(f) = self.servers.get(&first) else { return false };
                // It counts once its last byte has come, which a dial may hold up.
                let dial = self.set.connect_timeout.min(c.request.deadline - now);
                now + dial < sent + window - self.set.tick
                    && match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => f.entry.zone == s.entry.zone,
                        DeduplicationScope::Cell => f.entry.cell == s.entry.cell,
                    }
            }
        }
    }

    /// Whether a server bears this client and only has its hands full of set-ups, or opens to one more as
    /// it warms up: room comes within moments. Without that nobody is kept waiting: no room is told at once.
    pub(crate) fn soon(&self, now: f64, c: &Client) -> bool {
        let opens = |s: &&Server| self.in_service(s, now) && now >= s.slow_until && self.bears_load(s, c);
        c.attempts == 0 && self.held().len() <= SOON * self.servers.values().filter(opens).count()
    }

    pub(crate) fn hold(&mut self, now: f64, c: &Client, out: &mut Vec<Action>) {
        let aim = self.set.classes.get(c.request.class).map_or(0.0, |k| k.latency_objective);
        let wait = (aim * LOOK).max(self.set.tick);
        if now + wait > c.arrived + aim || now + wait > c.request.deadline - 4.0 * self.set.tick {
            return self.answer(c.request.id, out);
        }
        if let Some(c) = self.clients.get_mut(&c.request.id) {
            c.tried.clear();
        }
        if !std::mem::replace(&mut self.looks, true) {
            out.push(Action::SetTimer { after: wait, token: HOLD });
        }
    }

    /// The final answer to a client that is not served: a refusal where that is known to be harmless.
    pub(crate) fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(c) = self.clients.get(&id).filter(|c| !c.answered) else { return };
        let harmless = c.out.is_none()
            && (c.ran.is_none()
                || matches!(
                    c.idempotency,
                    Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All, _)
                ));
        let wait = if self.set.sends_retry_after { self.set.max_retry_after * 0.5 } else { 0.0 };
        if harmless {
            let retry_after = wait * (0.5 + self.draw());
            out.push(Action::Reject { request: id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.finish(id);
    }

    pub(crate) fn give_up(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(c) = self.clients.get(&id) else { return };
        if c.on.is_none() && !c.answered && now >= c.request.deadline - 2.0 * self.set.tick {
            if c.out.is_some() && self.set.may_cancel {
                out.push(Action::CancelAttempt { request: id, attempt: c.attempts - 1 });
            }
            self.answer(id, out);
        }
    }
}
