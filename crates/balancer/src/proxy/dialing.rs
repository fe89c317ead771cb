//! Connections to servers that this machine could not begin: they are begun again, since that says nothing of the server.

use std::net::SocketAddr;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_units::Micros;
use tracing::debug;

use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::proxy::Proxy;
use crate::servers::attempts::DialError;

/// The pauses before a connection is begun again, which together outlast a moment without ports, routes or descriptors.
const DIAL_RETRY_DELAYS: [Micros; 7] = [2_000, 4_000, 8_000, 16_000, 32_000, 64_000, 128_000];

/// An attempt whose connection could not be begun yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingDial {
    /// The server that it goes to.
    pub server: ServerId,
    /// The attempt must be over by then.
    pub deadline: Micros,
    /// How often it was tried.
    pub failures: usize,
}

impl Proxy {
    /// Begins the connection of an attempt that the guard has let pass.
    pub(crate) fn dial(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        mut dial: PendingDial,
        address: SocketAddr,
    ) {
        let (to, patience) = ((dial.server, address), dial.deadline.saturating_sub(context.now));
        match self.attempts.begin(context, id, to, patience, self.settings.connect_timeout) {
            Ok(()) => return self.advance_attempt(context, id),
            Err(DialError::Refused) => {
                return self.on_attempt_not_started(context, id, Outcome::ConnectFailed);
            }
            Err(error) => self.record_dial_error(id, dial.failures, error),
        }
        let pause =
            DIAL_RETRY_DELAYS.get(dial.failures).copied().filter(|pause| context.now + pause < dial.deadline);
        dial.failures += 1;
        match pause {
            Some(pause) => {
                self.pending_dials.insert(id, dial);
                context.schedule_after(pause, TimerEvent::RetryDial(id));
            }
            None => self.on_attempt_not_started(context, id, Outcome::NotSent),
        }
    }

    fn record_dial_error(&mut self, id: RequestId, tries: usize, error: DialError) {
        debug!(event = "not-begun", req = id.0, tries, ?error);
        if error == DialError::Shortage {
            self.set_descriptor_shortage(true);
        }
    }

    /// The pause before a connection is begun again is over.
    pub fn retry_dial(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(dial) = self.pending_dials.remove(&id) else { return };
        let address = self.address_for(id, dial.server).filter(|_| self.ensure_capacity(context));
        match address {
            Some(address) => self.dial(context, id, dial, address),
            None => self.on_attempt_not_started(context, id, Outcome::NotSent),
        }
    }

    /// An attempt has failed before there was a connection to watch.
    fn on_attempt_not_started(&mut self, context: &mut LoopContext, id: RequestId, outcome: Outcome) {
        self.guard.end_attempt(id, outcome);
        self.report_attempt_end(context, id, outcome);
    }
}
