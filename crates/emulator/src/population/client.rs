//! One client: what it is, how far it has come, and how long it stays away after a bad try.

use rand::Rng;
use shorewharf_units::Micros;

use crate::day::{Backoff, Clients};
use crate::edge::ConnId;
use crate::population::Cell;

/// What a client hears on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientInput {
    /// `UP`.
    Up,
    /// `BUSY`, with a time to come back if above 0.
    Busy(Micros),
    /// `ERR` or another line.
    Err,
    /// `MOVE`.
    Move,
}

/// A client. It wants its connection from `since` to `until`, whatever happens in between.
#[derive(Clone, Copy, Debug)]
pub(super) struct Client {
    pub key: u64,
    pub group: u64,
    pub class: u32,
    pub tenant: u32,
    pub zone: u32,
    pub cell: Cell,
    /// Mean load of its connections, in usual loads.
    pub mean: f64,
    pub since: Micros,
    pub until: Micros,
    /// It heeds a time to come back.
    pub honours: bool,
    /// It leaves for good after a failed try that it waited long for.
    pub impatient: bool,
    /// Tries that failed since its connection stood last.
    pub failures: u32,
    pub state: State,
}

/// How far a client has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It will come again.
    Away,
    /// As above, and it asks for nothing meanwhile.
    Paused,
    /// It has left for good, before its time.
    Gone,
    /// It waits for an answer.
    Waiting { conn: ConnId, sent: Micros },
    /// Its connection stands.
    Standing { conn: ConnId },
}

/// What a wake-up is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WakeUp {
    /// It has had all that it wanted.
    HasHadAll,
    /// It comes again after a bad try, a break or a move.
    ComesAgain,
    /// It comes again after a pause.
    Resumes,
    /// Its patience with this try is over.
    GivesUp { conn: ConnId },
}

/// Why a client stays away for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AbsenceReason {
    /// Its connection broke.
    Broken,
    /// It was moved.
    Moved,
    /// So many tries in a row have failed, and the last named this wait, which it heeds.
    Failed { failures: u32, wait: Option<Micros> },
}

/// No wait after a failed try is shorter.
const LEAST: f64 = 50_000.0;
/// Where tries fail in a row, each further one adds so much.
const MORE_EACH: f64 = 150_000.0;
/// A fixed wait is so many times the stated one.
const FIXED: f64 = 4.0;

impl AbsenceReason {
    /// Draws how long it stays away.
    pub fn draw(self, clients: &Clients, rng: &mut impl Rng) -> Micros {
        let us = match self {
            AbsenceReason::Broken => clients.rejoin as f64 * rng.random::<f64>(),
            AbsenceReason::Moved => clients.move_gap as f64 * rng.random_range(0.5..1.5),
            AbsenceReason::Failed { failures, wait } => {
                let first = clients.backoff_first as f64;
                let own = match clients.backoff {
                    Backoff::None => first,
                    Backoff::Fixed => FIXED * first,
                    // 2^20 first waits are longer than any day.
                    Backoff::Exp => {
                        first * f64::from(1 << (failures - 1).min(20)) * rng.random_range(1.0..3.0)
                    }
                };
                let base = match wait.filter(|w| *w > 0) {
                    Some(wait) => wait.min(clients.max_retry_after) as f64,
                    None => own,
                };
                let many = MORE_EACH * f64::from(failures - 1) * rng.random_range(0.75..1.25);
                base.max(LEAST).max(many)
            }
        };
        us as Micros
    }
}
