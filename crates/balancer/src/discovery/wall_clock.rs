//! Converts the start times of servers, which discovery gives in Unix time, to the clock of this process. That clock is set
//! from the wall clock only once, at the start.

use shorewharf_units::{Micros, seconds_from_micros};
use std::time::{SystemTime, UNIX_EPOCH};

/// The offset of the wall clock, in seconds, from which it counts as stepped. A smaller offset is due to drift or slewing.
const STEP_S: f64 = 1.0;

/// The offset of the wall clock from the clock of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WallClock {
    /// The clock of this process, in seconds.
    now: f64,
    /// The amount by which the wall clock has been stepped since the process started, in seconds; 0 if it has not been.
    step: f64,
}

impl WallClock {
    /// Reads the wall clock when the clock of this process is at `now`.
    pub fn read(now: Micros) -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallClock::at(seconds_from_micros(now), unix_time.as_secs_f64())
    }

    /// The wall clock is at `unix_time` when the clock of this process is at `now`, both in seconds.
    pub fn at(now: f64, unix_time: f64) -> Self {
        let offset = unix_time - now;
        WallClock { now, step: if offset.abs() < STEP_S { 0.0 } else { offset } }
    }

    /// Converts a start time that is listed for the first time to the clock of this process. If the wall clock has been
    /// stepped, it is not known whether the start time was recorded before or after the step. The later possible time is
    /// used, since a server that is assumed to be older than it is could be overloaded while it is warming up.
    pub fn convert_start_time(&self, listed: f64) -> f64 {
        if self.step == 0.0 || listed <= 0.0 {
            return listed;
        }
        let candidates = [listed, listed - self.step];
        let possible = candidates.into_iter().filter(|start| *start > 0.0 && *start <= self.now + STEP_S);
        possible
            .fold(None, |latest: Option<f64>, start| Some(latest.map_or(start, |l| l.max(start))))
            .unwrap_or(self.now)
    }
}
