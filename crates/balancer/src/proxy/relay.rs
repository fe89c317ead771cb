//! Forwards complete lines between a client session and its established attempt, and decides what follows
//! when one side closes.

use shorewharf_decisions::interface::{Outcome, RequestId};
use shorewharf_units::Micros;

use crate::clients::session::{Session, SessionStage};
use crate::event_loop::context::LoopContext;
use crate::servers::attempt::Attempt;
use crate::transport::connection::{LineTooLong, PeerClose};
use crate::transport::line_budget::LineBudget;

/// Maximum number of forwarding rounds for one connection before other connections are served.
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
    /// The name of the side in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Side::Client => "client",
            Side::Server => "server",
        }
    }
}

/// The result of forwarding lines on a connection.
#[derive(Debug, Default, PartialEq)]
pub struct RelayOutcome {
    /// The numbers in the server's `LOAD` lines, in the order of the lines.
    pub load_figures: Vec<f64>,
    /// Whether there may be more to forward, after other connections have been served.
    pub has_more: bool,
    /// The side that has sent a line over the protocol's limit, if any.
    pub too_long: Option<Side>,
    /// Whether the client may have sent complete lines that have not been inspected.
    pub has_client_lines: bool,
    /// Whether the server may have sent complete lines that have not been inspected.
    pub has_server_lines: bool,
}

/// Forwards lines in both directions until nothing more can be read or written without blocking, or until the
/// maximum number of rounds, or of lines in one direction, is reached.
pub fn forward_lines(
    context: &LoopContext,
    id: RequestId,
    session: &mut Session,
    attempt: &mut Attempt,
) -> RelayOutcome {
    let mut outcome = RelayOutcome::default();
    let (mut client_budget, mut server_budget) = (LineBudget::new(), LineBudget::new());
    for round in 0.. {
        let mut has_progress = false;
        match session.read_lines(context.now, &context.buffers, &mut client_budget) {
            Ok(has_read) => has_progress |= has_read,
            Err(LineTooLong) => outcome.too_long = Some(Side::Client),
        }
        has_progress |= session.connection.forward_to(&mut attempt.connection, false);
        let unanswered_since = session.unanswered_since_mut();
        match attempt.read_lines(context, id, unanswered_since, &mut outcome.load_figures, &mut server_budget)
        {
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
    outcome.has_client_lines = client_budget.is_exhausted();
    outcome.has_server_lines = server_budget.is_exhausted();
    // Lines that can't be forwarded now wait until the other end accepts more, which poll reports.
    outcome.has_more |= outcome.has_client_lines && !session.connection.has_inspected_lines();
    outcome.has_more |= outcome.has_server_lines && !attempt.connection.has_inspected_lines();
    outcome
}

/// The next step for an established connection, depending on which sides have closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayDecision {
    /// Continue forwarding.
    Continue,
    /// The server has closed: close the client's side in the same way, and end the attempt with this outcome.
    CloseAsServer(PeerClose, Outcome),
    /// The client has reset its connection.
    ClientReset,
    /// The client is to migrate, and no line is partly forwarded to it.
    Migrate,
}

/// Passes a close of one side on to the other once the lines before the close have been forwarded, and
/// returns the next step.
pub fn check_closes(
    now: Micros,
    session: &mut Session,
    attempt: &mut Attempt,
    outcome: &RelayOutcome,
) -> RelayDecision {
    match (attempt.connection.peer_close, session.connection.peer_close) {
        (Some(PeerClose::Reset), _) => {
            RelayDecision::CloseAsServer(PeerClose::Reset, outcome_of_close(session, attempt))
        }
        (_, Some(PeerClose::Reset)) => RelayDecision::ClientReset,
        (Some(PeerClose::Fin), _) if attempt.connection.is_drained() && !outcome.has_server_lines => {
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
            if session.connection.is_drained() && !outcome.has_client_lines {
                attempt.connection.shutdown_write();
            }
            session.begin_half_open(now);
            RelayDecision::Continue
        }
        (None, None) => RelayDecision::Continue,
    }
}

/// Returns the outcome of an attempt that the server has closed. A close without a final message counts as a
/// reset, which can get the server quarantined, unless the client may have caused it: by closing its own
/// side, or by a line that the server could not parse.
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
