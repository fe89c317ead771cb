//! Forwarding between a client session and its established attempt: complete lines both ways, and the closes.

use shorewharf_decisions::interface::{Outcome, RequestId};
use shorewharf_units::Micros;

use crate::clients::session::{Session, SessionStage};
use crate::event_loop::context::LoopContext;
use crate::servers::attempt::Attempt;
use crate::transport::connection::{LineTooLong, PeerClose};

/// Rounds of forwarding for one connection before other connections are served.
const MAX_ROUNDS: usize = 8;

/// One of the two ends of an established connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The client's end.
    Client,
    /// The server's end.
    Server,
}

impl Side {
    /// Its name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Side::Client => "client",
            Side::Server => "server",
        }
    }
}

/// What came of forwarding.
#[derive(Debug, Default, PartialEq)]
pub struct RelayOutcome {
    /// The figures of the server's `LOAD` lines, in their order.
    pub load_figures: Vec<f64>,
    /// There is more to forward, once other connections have been served.
    pub has_more: bool,
    /// Who sent a line over the protocol's limit.
    pub too_long: Option<Side>,
}

/// Forwards lines both ways, as many as can be read and written now.
pub fn forward_lines(
    context: &LoopContext,
    id: RequestId,
    session: &mut Session,
    attempt: &mut Attempt,
) -> RelayOutcome {
    let mut outcome = RelayOutcome::default();
    for round in 0.. {
        let mut has_progress = false;
        match session.read_lines(context.now, &context.buffers) {
            Ok(has_read) => has_progress |= has_read,
            Err(LineTooLong) => outcome.too_long = Some(Side::Client),
        }
        has_progress |= session.connection.forward_to(&mut attempt.connection, false);
        let unanswered_since = session.unanswered_since_mut();
        match attempt.read_lines(context, id, unanswered_since, &mut outcome.load_figures) {
            Ok(has_read) => has_progress |= has_read,
            Err(LineTooLong) => outcome.too_long = Some(Side::Server),
        }
        let is_migrating = session.stage() == SessionStage::Migrating;
        has_progress |= attempt.connection.forward_to(&mut session.connection, is_migrating);
        if !has_progress || outcome.too_long.is_some() {
            break;
        }
        if round >= MAX_ROUNDS {
            outcome.has_more = true;
            break;
        }
    }
    outcome
}

/// What is to be done with an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayDecision {
    /// Go on forwarding.
    Continue,
    /// The server has closed: close the client's side in the same way, and count the attempt as this outcome.
    CloseAsServer(PeerClose, Outcome),
    /// The client has reset its connection.
    ClientReset,
    /// The client can be asked to migrate now.
    Migrate,
}

/// Passes the close of one side on to the other, once the lines before it have been forwarded.
pub fn check_closes(now: Micros, session: &mut Session, attempt: &mut Attempt) -> RelayDecision {
    match (attempt.connection.peer_close, session.connection.peer_close) {
        (Some(PeerClose::Reset), _) => {
            RelayDecision::CloseAsServer(PeerClose::Reset, outcome_of_close(session, attempt))
        }
        (_, Some(PeerClose::Reset)) => RelayDecision::ClientReset,
        (Some(PeerClose::Fin), _) if attempt.connection.is_drained() => {
            RelayDecision::CloseAsServer(PeerClose::Fin, outcome_of_close(session, attempt))
        }
        (Some(PeerClose::Fin), _) => {
            session.begin_half_open(now);
            RelayDecision::Continue
        }
        (None, _)
            if session.stage() == SessionStage::Migrating && session.connection.is_at_line_boundary() =>
        {
            RelayDecision::Migrate
        }
        (None, Some(PeerClose::Fin)) => {
            if session.connection.is_drained() {
                attempt.connection.shutdown_write();
            }
            session.begin_half_open(now);
            RelayDecision::Continue
        }
        (None, None) => RelayDecision::Continue,
    }
}

/// How the close by a server counts. A close without a final message is a drop, which gets a server ejected, unless the
/// client may have caused it: by having closed itself, or by a line that the server could not read.
fn outcome_of_close(session: &Session, attempt: &Attempt) -> Outcome {
    let may_be_unreadable_line =
        attempt.connection.peer_close == Some(PeerClose::Fin) && session.unanswered_since().is_some();
    match attempt.outcome() {
        Outcome::Reset if session.connection.peer_close.is_some() || may_be_unreadable_line => {
            Outcome::Cancelled
        }
        outcome => outcome,
    }
}
