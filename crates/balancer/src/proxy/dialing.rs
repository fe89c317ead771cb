//! Connections to servers that this machine could not begin: they are begun again, since that says nothing of the server.

use std::net::SocketAddr;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_units::Micros;
use tracing::debug;

use crate::event_loop::iteration::{LoopContext, TimerEvent};
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
    pub until: Micros,
    /// How often it was tried.
    pub tries: usize,
}

impl Proxy {
    /// Begins the connection of an attempt that the guard has let pass.
    pub(crate) fn dial(
        &mut self,
        turn: &mut LoopContext,
        id: RequestId,
        mut dial: PendingDial,
        address: SocketAddr,
    ) {
        let (to, patience) = ((dial.server, address), dial.until.saturating_sub(turn.now));
        match self.attempts.begin(turn, id, to, patience, self.terms.connect_timeout) {
            Ok(()) => return self.advance_attempt(turn, id),
            Err(DialError::Refused) => return self.attempt_not_begun(turn, id, Outcome::ConnectFailed),
            Err(error) => self.note_hindrance(id, dial.tries, error),
        }
        let pause = DIAL_RETRY_DELAYS.get(dial.tries).copied().filter(|pause| turn.now + pause < dial.until);
        dial.tries += 1;
        match pause {
            Some(pause) => {
                self.pending_dials.insert(id, dial);
                turn.after(pause, TimerEvent::Dial(id));
            }
            None => self.attempt_not_begun(turn, id, Outcome::NotSent),
        }
    }

    fn note_hindrance(&mut self, id: RequestId, tries: usize, error: DialError) {
        debug!(event = "not-begun", req = id.0, tries, ?error);
        if error == DialError::Shortage {
            self.note_short(true);
        }
    }

    /// The pause before a connection is begun again is over.
    pub fn dial_again(&mut self, turn: &mut LoopContext, id: RequestId) {
        let Some(dial) = self.pending_dials.remove(&id) else { return };
        let address = self.address_for(id, dial.server).filter(|_| self.make_room(turn));
        match address {
            Some(address) => self.dial(turn, id, dial, address),
            None => self.attempt_not_begun(turn, id, Outcome::NotSent),
        }
    }

    /// An attempt has failed before there was a connection to watch.
    fn attempt_not_begun(&mut self, turn: &mut LoopContext, id: RequestId, outcome: Outcome) {
        self.guard.end_attempt(id, outcome);
        self.attempt_ended(turn, id, outcome);
    }
}
