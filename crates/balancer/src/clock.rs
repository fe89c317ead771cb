//! The clock of the program.

use shorewharf_units::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The program's clock: whole microseconds, moved on by the monotonic clock alone. It is set by Unix time
/// once, at the start, so that the times in the server list are on it too.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    base: Micros,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), base: unix.as_micros() as Micros }
    }

    /// The time in microseconds since the Unix epoch.
    pub fn read(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }
}
