//! A client: its properties, its state, and the delay before it reconnects.

use rand::Rng;
use shorewharf_units::Micros;

use crate::day::{Backoff, Clients};
use crate::edge::ConnId;
use crate::population::Cell;

/// A line that a client receives on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientInput {
    /// `UP`.
    Up,
    /// `BUSY`, with the time after which to retry if above 0.
    Busy(Micros),
    /// `ERR` or another line.
    Err,
    /// `MOVE`.
    Move,
}

/// A client. It wants to be connected from `since` to `until`, regardless of failures in between.
#[derive(Clone, Copy, Debug)]
pub(super) struct Client {
    pub key: u64,
    pub group: u64,
    pub class: u32,
    pub tenant: u32,
    pub zone: u32,
    pub cell: Cell,
    /// The mean load of its connections, in usual loads.
    pub mean: f64,
    pub since: Micros,
    pub until: Micros,
    /// Whether it honours the retry-after time of a `BUSY` answer.
    pub honours_retry_after: bool,
    /// Whether it leaves for good when an attempt fails after a long wait.
    pub impatient: bool,
    /// The number of failed attempts since its last established connection.
    pub failures: u32,
    pub state: State,
}

/// The state of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It is not connected and will reconnect.
    Away,
    /// It is not connected and will reconnect, and wants no service meanwhile.
    Paused,
    /// It has left for good before the end of its lifetime.
    Left,
    /// It waits for the answer to its request.
    Waiting { conn: ConnId, sent: Micros },
    /// Its connection is established.
    Connected { conn: ConnId },
}

/// The reason of a client's wake-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WakeUp {
    /// Its lifetime ends.
    LifetimeEnd,
    /// It reconnects after a failed attempt, a broken connection or a migration.
    Reconnect,
    /// It reconnects after a pause.
    Resume,
    /// Its timeout for the answer to this attempt has expired.
    AnswerTimeout { conn: ConnId },
}

/// The reason why a client waits before it reconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AbsenceReason {
    /// Its connection broke.
    Broken,
    /// It was told to migrate.
    Moved,
    /// This number of consecutive attempts has failed; `wait` is the retry-after time of the last one if the
    /// client honours it.
    Failed { failures: u32, wait: Option<Micros> },
}

/// The shortest delay after a failed attempt, in microseconds.
const MIN_DELAY_US: f64 = 50_000.0;
/// The increase of the minimum delay with each further consecutive failure, in microseconds.
const DELAY_PER_FAILURE_US: f64 = 150_000.0;
/// The delay of the fixed backoff, as a multiple of the configured first delay.
const FIXED_BACKOFF_FACTOR: f64 = 4.0;

impl AbsenceReason {
    /// Draws the delay before the client reconnects, in microseconds.
    pub fn draw(self, clients: &Clients, rng: &mut impl Rng) -> Micros {
        let us = match self {
            AbsenceReason::Broken => clients.rejoin as f64 * rng.random::<f64>(),
            AbsenceReason::Moved => clients.move_gap as f64 * rng.random_range(0.5..1.5),
            AbsenceReason::Failed { failures, wait } => {
                let first = clients.backoff_first as f64;
                let backoff_delay = match clients.backoff {
                    Backoff::None => first,
                    Backoff::Fixed => FIXED_BACKOFF_FACTOR * first,
                    // The exponent is bounded: 2^20 times the first delay is longer than any day.
                    Backoff::Exp => {
                        first * f64::from(1 << (failures - 1).min(20)) * rng.random_range(1.0..3.0)
                    }
                };
                let base = match wait.filter(|w| *w > 0) {
                    Some(wait) => wait.min(clients.max_retry_after) as f64,
                    None => backoff_delay,
                };
                let failure_delay =
                    DELAY_PER_FAILURE_US * f64::from(failures - 1) * rng.random_range(0.75..1.25);
                base.max(MIN_DELAY_US).max(failure_delay)
            }
        };
        us as Micros
    }
}
