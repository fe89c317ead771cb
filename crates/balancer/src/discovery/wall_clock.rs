//! Converts the start times of servers, which discovery gives by the wall clock, to the program's clock, which the wall clock
//! only sets once.

use shorewharf_units::{Micros, seconds_from_micros};
use std::time::{SystemTime, UNIX_EPOCH};

/// A wall clock that is off by less than this many seconds drifts or is slewed; beyond it has been stepped.
const STEP_S: f64 = 1.0;

/// The wall clock in relation to the program's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WallClock {
    /// The program's clock, in seconds.
    now: f64,
    /// How far the wall clock has been stepped since the program started, in seconds.
    stepped: f64,
}

impl WallClock {
    /// Reads the wall clock at this time of the program's.
    pub fn read(now: Micros) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallClock::at(seconds_from_micros(now), unix.as_secs_f64())
    }

    /// The wall clock shows `unix` at this time of the program's, both in seconds.
    pub fn at(now: f64, unix: f64) -> Self {
        let off = unix - now;
        WallClock { now, stepped: if off.abs() < STEP_S { 0.0 } else { off } }
    }

    /// A start that is listed for the first time, on the program's clock. Where the wall clock has been stepped it is not
    /// known whether the start was noted before that or after: the later of the two that can be is taken, as a server
    /// taken for older than it is could be pushed over while it is cold.
    pub fn start_of(&self, listed: f64) -> f64 {
        if self.stepped == 0.0 || listed <= 0.0 {
            return listed;
        }
        let both = [listed, listed - self.stepped];
        let possible = both.into_iter().filter(|start| *start > 0.0 && *start <= self.now + STEP_S);
        possible
            .fold(None, |latest: Option<f64>, start| Some(latest.map_or(start, |l| l.max(start))))
            .unwrap_or(self.now)
    }
}
