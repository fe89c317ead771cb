//! The clock that all workers of the process share.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use shorewharf_units::Micros;

/// The clock of the process, in whole microseconds. It is set to Unix time once, at the start, so that it can
/// be compared with the start times in endpoint lists. It advances with the monotonic clock, so that steps of
/// the wall clock do not affect it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// Unix time at `started_at`, in microseconds.
    unix_start: Micros,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn new() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_start: unix_start.as_micros() as Micros }
    }

    /// Returns the time, in microseconds since the Unix epoch.
    pub fn read(&self) -> Micros {
        self.unix_start + self.started_at.elapsed().as_micros() as Micros
    }
}
