//! What passes between a client session and its attempt once they stand: whole lines, both ways, and ends.

use shorewharf_decisions::interface::{Outcome, RequestId};
use shorewharf_units::Micros;

use crate::clients::session::{Session, Stage};
use crate::event_loop::iteration::Turn;
use crate::servers::attempts::Attempt;
use crate::transport::connection::End;

/// Rounds of carrying lines for one connection before the others get their turn.
const ROUNDS: usize = 8;

/// What a relay has come upon.
#[derive(Debug, Default, PartialEq)]
pub struct Relayed {
    /// Figures of `LOAD` lines, in their order.
    pub told: Vec<f64>,
    /// There is more to carry once others have had their turn.
    pub more: bool,
    /// Who said a line over the limit: `client` or `server`.
    pub too_long: Option<&'static str>,
}

/// Passes lines on, both ways, as far as they go now.
pub fn relay(turn: &Turn, id: RequestId, s: &mut Session, f: &mut Attempt) -> Relayed {
    let mut relayed = Relayed::default();
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
        let moving = s.stage() == Stage::Moving;
        went |= f.link.carry(&mut s.link, moving);
        if !went || relayed.too_long.is_some() {
            break;
        }
        if round >= ROUNDS {
            relayed.more = true;
            break;
        }
    }
    relayed
}

/// What is to become of a standing connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// It stands.
    Stands,
    /// Its server has ended it: the client's side ends the same way, and this is how it counts.
    ServerEnded(End, Outcome),
    /// The client has broken it off.
    ClientBroke,
    /// The client can be told to move.
    Moves,
}

/// Passes on the end of either side, as far as the lines before it have gone.
pub fn ends(now: Micros, s: &mut Session, f: &mut Attempt) -> Fate {
    // A server that ends without a word because its client has left is no server that drops clients:
    // read as a reset it would be locked, and its other clients would be spread over the rest.
    // Servers close on what they can't read: an end in good order with a client's line unanswered says as
    // much of the line as of the server.
    let read_badly = f.link.ended == Some(End::Fin) && s.asked_since().is_some();
    let outcome = match f.outcome() {
        Outcome::Reset if s.link.ended.is_some() || read_badly => Outcome::Cancelled,
        other => other,
    };
    match (f.link.ended, s.link.ended) {
        (Some(End::Reset), _) => return Fate::ServerEnded(End::Reset, outcome),
        (_, Some(End::Reset)) => return Fate::ClientBroke,
        (Some(End::Fin), _) if f.link.quiet() => return Fate::ServerEnded(End::Fin, outcome),
        (Some(End::Fin), _) => s.half_opens(now),
        (None, _) if s.stage() == Stage::Moving && s.link.between_lines() => return Fate::Moves,
        (None, Some(End::Fin)) => {
            if s.link.quiet() {
                f.link.shut();
            }
            s.half_opens(now);
        }
        (None, None) => {}
    }
    Fate::Stands
}
