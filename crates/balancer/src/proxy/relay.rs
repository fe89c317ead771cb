//! What passes between a client session and its attempt once they stand: whole lines, both ways, and ends.

use shorewharf_decisions::interface::{Outcome, RequestId};
use shorewharf_units::Micros;

use crate::clients::session::{Session, SessionStage};
use crate::event_loop::iteration::LoopContext;
use crate::servers::attempts::Attempt;
use crate::transport::connection::PeerClose;

/// Rounds of carrying lines for one connection before the others get their turn.
const MAX_ROUNDS: usize = 8;

/// What a relay has come upon.
#[derive(Debug, Default, PartialEq)]
pub struct RelayOutcome {
    /// Figures of `LOAD` lines, in their order.
    pub told: Vec<f64>,
    /// There is more to carry once others have had their turn.
    pub more: bool,
    /// Who said a line over the limit: `client` or `server`.
    pub too_long: Option<&'static str>,
}

/// Passes lines on, both ways, as far as they go now.
pub fn relay(turn: &LoopContext, id: RequestId, s: &mut Session, f: &mut Attempt) -> RelayOutcome {
    let mut relayed = RelayOutcome::default();
    for round in 0.. {
        let (mut went, looked) = s.take_in(turn.now, &turn.pool);
        if looked.is_err() {
            relayed.too_long = Some("client");
        }
        went |= s.link.carry(&mut f.link, false);
        let (came, looked) = f.take_in(turn, id, s.asked(), &mut relayed.told);
        if looked.is_err() {
            relayed.too_long = Some("server");
        }
        went |= came;
        let moving = s.stage() == SessionStage::Moving;
        went |= f.link.carry(&mut s.link, moving);
        if !went || relayed.too_long.is_some() {
            break;
        }
        if round >= MAX_ROUNDS {
            relayed.more = true;
            break;
        }
    }
    relayed
}

/// What is to become of a standing connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayDecision {
    /// It stands.
    Stands,
    /// Its server has ended it: the client's side ends the same way, and this is how it counts.
    ServerEnded(PeerClose, Outcome),
    /// The client has broken it off.
    ClientBroke,
    /// The client can be told to move.
    Moves,
}

/// Passes on the end of either side, as far as the lines before it have gone.
pub fn ends(now: Micros, s: &mut Session, f: &mut Attempt) -> RelayDecision {
    // A server that ends without a word because its client has left is no server that drops clients:
    // read as a reset it would be locked, and its other clients would be spread over the rest.
    // Servers close on what they can't read: an end in good order with a client's line unanswered says as
    // much of the line as of the server.
    let read_badly = f.link.ended == Some(PeerClose::Fin) && s.asked_since().is_some();
    let outcome = match f.outcome() {
        Outcome::Reset if s.link.ended.is_some() || read_badly => Outcome::Cancelled,
        other => other,
    };
    match (f.link.ended, s.link.ended) {
        (Some(PeerClose::Reset), _) => return RelayDecision::ServerEnded(PeerClose::Reset, outcome),
        (_, Some(PeerClose::Reset)) => return RelayDecision::ClientBroke,
        (Some(PeerClose::Fin), _) if f.link.quiet() => {
            return RelayDecision::ServerEnded(PeerClose::Fin, outcome);
        }
        (Some(PeerClose::Fin), _) => s.half_opens(now),
        (None, _) if s.stage() == SessionStage::Moving && s.link.between_lines() => {
            return RelayDecision::Moves;
        }
        (None, Some(PeerClose::Fin)) => {
            if s.link.quiet() {
                f.link.shut();
            }
            s.half_opens(now);
        }
        (None, None) => {}
    }
    RelayDecision::Stands
}
