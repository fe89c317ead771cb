//! Log lines that clients cause by what they do wrong, bounded: a flood of bad clients must not fill the log or
//! cost the time that usual clients need.

use shorewharf_units::Micros;
use tracing::warn;

use crate::event_loop::context::{LoopContext, TimerEvent};

/// Log lines a second that clients may cause.
const MOST: u32 = 50;
const SECOND: Micros = 1_000_000;

/// The lines of the second that began then, and how many were left out of it.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    began: Micros,
    written: u32,
    left_out: u32,
}

impl LogRateLimiter {
    /// Whether what a client has done wrong may be logged now; else it is counted.
    pub fn may(&mut self, context: &mut LoopContext) -> bool {
        self.due(context.now);
        let may = self.written < context.overload.log_lines(MOST);
        if !may && self.left_out == 0 {
            context.timers.schedule(self.began + SECOND, TimerEvent::LogRateLimiter);
        }
        *if may { &mut self.written } else { &mut self.left_out } += 1;
        may
    }

    /// Once a second, says how many lines were left out; tells how many that was.
    pub fn due(&mut self, now: Micros) -> u32 {
        if now < self.began + SECOND {
            return 0;
        }
        let left_out = self.left_out;
        *self = LogRateLimiter { began: now, ..LogRateLimiter::default() };
        if left_out > 0 {
            warn!(event = "client-errors-suppressed", "left-out" = left_out);
        }
        left_out
    }
}

#[cfg(test)]
mod tests;
