//! The steps of a planned end, in time since SIGTERM.

use shorewharf_units::Micros;

/// After SIGTERM the front still sends clients for 0.4 s; moved any sooner, they would come back here.
pub const LEAVE_AFTER: Micros = 450_000;
/// SIGKILL comes no sooner than this after the longest wait of a client, which counts as 3 s where it is longer.
const GRACE: Micros = 700_000;
const GRACE_WAIT: Micros = 3_000_000;
/// Before SIGKILL: the last requests are answered, which leaves their clients time to hear it.
const LAST_CALL: Micros = 600_000;
/// The least time for moving everybody.
const MOVES: Micros = 100_000;

/// Standing clients stay until near its end: in a rolling restart the balancer before this one may not be back yet,
/// and clients moved early would find nobody.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// The moves begin; they are spread, as all at once would be a reconnect storm.
    pub move_from: Micros,
    /// Everybody has been moved.
    pub move_until: Micros,
    /// Who still waits is answered, but for requests that may have run and must not be refused.
    pub answers: Micros,
    /// These are answered too, if their own deadlines have not come before.
    pub last_call: Micros,
    /// The program ends.
    pub last: Micros,
}

/// With another process in its place standing connections go on there; clients whose connections could not go by now are
/// moved, over the time there is.
const SUCCESSOR_FROM: Micros = 1_000_000;

impl ShutdownSchedule {
    /// The same where another process has taken this one's place: who is moved comes back to that one.
    pub fn with_successor(give_up: &[Micros]) -> Self {
        let usual = ShutdownSchedule::new(give_up);
        ShutdownSchedule { move_from: usual.move_from.min(SUCCESSOR_FROM), ..usual }
    }

    /// The steps where clients of each class wait so long.
    pub fn new(give_up: &[Micros]) -> Self {
        let kill = give_up.iter().copied().max().unwrap_or(0).min(GRACE_WAIT) + GRACE;
        // Clients have 0.5 s for their last words after the last move, and 0.3 s are left for a busy machine.
        let move_until = kill.saturating_sub(800_000);
        ShutdownSchedule {
            move_from: move_until.saturating_sub(900_000).max(LEAVE_AFTER),
            move_until: move_until.max(LEAVE_AFTER + MOVES),
            answers: move_until.saturating_sub(500_000),
            last_call: kill - LAST_CALL,
            last: kill - 300_000,
        }
    }
}

#[cfg(test)]
mod tests;
