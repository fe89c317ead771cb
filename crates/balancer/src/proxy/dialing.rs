//! Dials servers. A dial that fails for a local reason is retried, since the failure says nothing about the
//! server.

use std::net::SocketAddr;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_units::Micros;
use tracing::debug;

use super::Proxy;
use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::servers::attempt::{AttemptTarget, DialError};

/// The delays before successive retries of a dial, in microseconds. Their sum, 254 ms, is longer than a short lack
/// of ports, routes or descriptors.
const DIAL_RETRY_DELAYS: [Micros; 7] = [2_000, 4_000, 8_000, 16_000, 32_000, 64_000, 128_000];

/// An attempt whose dial has failed for a local reason and is to be retried.
#[derive(Clone, Copy, Debug)]
pub struct PendingDial {
    /// The server to dial.
    pub server: ServerId,
    /// The deadline of the attempt.
    pub deadline: Micros,
    /// The number of dials that have failed so far.
    pub failures: usize,
}

impl Proxy {
    /// Opens the connection of an attempt that the guard has permitted.
    pub(super) fn dial(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        dial: PendingDial,
        address: SocketAddr,
    ) {
        let target = AttemptTarget {
            server: dial.server,
            address,
            timeout: dial.deadline.saturating_sub(context.now),
            connect_timeout: self.settings.connect_timeout,
        };
        match self.attempts.begin(context, id, &target) {
            Ok(()) => self.advance_attempt(context, id),
            Err(DialError::Refused) => self.on_attempt_not_started(context, id, Outcome::ConnectFailed),
            Err(error) => {
                self.record_dial_error(id, dial.failures, error);
                self.schedule_dial_retry(context, id, dial);
            }
        }
    }

    fn record_dial_error(&mut self, id: RequestId, tries: usize, error: DialError) {
        debug!(event = "dial-failed", req = id.0, tries, ?error);
        if error == DialError::Shortage {
            self.set_descriptor_shortage(true);
        }
    }

    /// Schedules a retry of a dial, or ends the attempt if it has no retry or no time left.
    fn schedule_dial_retry(&mut self, context: &mut LoopContext, id: RequestId, mut dial: PendingDial) {
        let delay = DIAL_RETRY_DELAYS.get(dial.failures).copied();
        match delay.filter(|delay| context.now + delay < dial.deadline) {
            Some(delay) => {
                dial.failures += 1;
                self.pending_dials.insert(id, dial);
                context.schedule_after(delay, TimerEvent::RetryDial(id));
            }
            None => self.on_attempt_not_started(context, id, Outcome::NotSent),
        }
    }

    /// Dials again after the retry delay.
    pub fn retry_dial(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(dial) = self.pending_dials.remove(&id) else { return };
        let address = self.address_for(id, dial.server).filter(|_| self.ensure_capacity(context));
        match address {
            Some(address) => self.dial(context, id, dial, address),
            None => self.on_attempt_not_started(context, id, Outcome::NotSent),
        }
    }

    /// Reports an attempt that has ended without a connection.
    fn on_attempt_not_started(&mut self, context: &mut LoopContext, id: RequestId, outcome: Outcome) {
        self.guard.end_attempt(id, outcome);
        self.report_attempt_end(context, id, outcome);
    }
}
