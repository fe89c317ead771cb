//! What passes between a client session and its attempt once they stand: whole lines, both ways, and ends.

use shorewharf_decisions::interface::{Outcome, RequestId};
use shorewharf_units::Micros;

use crate::clients::session::{Session, SessionStage};
use crate::event_loop::context::LoopContext;
use crate::servers::attempts::Attempt;
use crate::transport::connection::PeerClose;

/// Rounds of carrying lines for one connection before the others get their turn.
const MAX_ROUNDS: usize = 8;

/// What a relay has come upon.
#[derive(Debug, Default, PartialEq)]
pub struct RelayOutcome {
    /// Figures of `LOAD` lines, in their order.
    pub load_figures: Vec<f64>,
    /// There is more to carry once others have had their turn.
    pub has_more: bool,
    /// Who said a line over the limit: `client` or `server`.
    pub too_long: Option<&'static str>,
}

/// Passes lines on, both ways, as far as they go now.
pub fn relay(
    context: &LoopContext,
    id: RequestId,
    session: &mut Session,
    attempt: &mut Attempt,
) -> RelayOutcome {
    let mut relayed = RelayOutcome::default();
    for round in 0.. {
        let (mut went, looked) = session.read_lines(context.now, &context.buffers);
        if looked.is_err() {
            relayed.too_long = Some("client");
        }
        went |= session.connection.forward_to(&mut attempt.connection, false);
        let (came, looked) =
            attempt.read_lines(context, id, session.unanswered_since_mut(), &mut relayed.load_figures);
        if looked.is_err() {
            relayed.too_long = Some("server");
        }
        went |= came;
        let moving = session.stage() == SessionStage::Migrating;
        went |= attempt.connection.forward_to(&mut session.connection, moving);
        if !went || relayed.too_long.is_some() {
            break;
        }
        if round >= MAX_ROUNDS {
            relayed.has_more = true;
            break;
        }
    }
    relayed
}

/// What is to become of a standing connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayDecision {
    /// It stands.
    Continue,
    /// Its server has ended it: the client's side ends the same way, and this is how it counts.
    CloseAsServer(PeerClose, Outcome),
    /// The client has broken it off.
    ClientReset,
    /// The client can be told to move.
    Migrate,
}

/// Passes on the end of either side, as far as the lines before it have gone.
pub fn ends(now: Micros, session: &mut Session, attempt: &mut Attempt) -> RelayDecision {
    // A server that ends without a word because its client has left is no server that drops clients:
    // read as a reset it would be locked, and its other clients would be spread over the rest.
    // Servers close on what they can't read: an end in good order with a client's line unanswered says as
    // much of the line as of the server.
    let read_badly =
        attempt.connection.peer_close == Some(PeerClose::Fin) && session.unanswered_since().is_some();
    let outcome = match attempt.outcome() {
        Outcome::Reset if session.connection.peer_close.is_some() || read_badly => Outcome::Cancelled,
        other => other,
    };
    match (attempt.connection.peer_close, session.connection.peer_close) {
        (Some(PeerClose::Reset), _) => return RelayDecision::CloseAsServer(PeerClose::Reset, outcome),
        (_, Some(PeerClose::Reset)) => return RelayDecision::ClientReset,
        (Some(PeerClose::Fin), _) if attempt.connection.is_drained() => {
            return RelayDecision::CloseAsServer(PeerClose::Fin, outcome);
        }
        (Some(PeerClose::Fin), _) => session.begin_half_open(now),
        (None, _)
            if session.stage() == SessionStage::Migrating && session.connection.is_at_line_boundary() =>
        {
            return RelayDecision::Migrate;
        }
        (None, Some(PeerClose::Fin)) => {
            if session.connection.is_drained() {
                attempt.connection.shutdown_write();
            }
            session.begin_half_open(now);
        }
        (None, None) => {}
    }
    RelayDecision::Continue
}
