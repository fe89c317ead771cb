//! Limits the log lines that clients cause by violating the protocol: a flood of violations must neither fill
//! the log nor take the time that other clients need.

use shorewharf_units::{MICROS_PER_SECOND, Micros};
use tracing::warn;

use crate::event_loop::context::{LoopContext, TimerEvent};

/// Maximum number of log lines that clients may cause per second.
const MAX_LINES_PER_SECOND: u32 = 50;

/// Counts the log lines that were written and suppressed in the current second.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    /// When the current second began.
    started_at: Micros,
    written: u32,
    suppressed: u32,
}

impl LogRateLimiter {
    /// Returns whether a line may be written now. A line that may not is counted as suppressed.
    pub fn acquire(&mut self, context: &mut LoopContext) -> bool {
        self.log_suppressed(context.now);
        if self.written < context.overload.max_log_lines(MAX_LINES_PER_SECOND) {
            self.written += 1;
            return true;
        }
        if self.suppressed == 0 {
            context.timers.schedule(self.started_at + MICROS_PER_SECOND, TimerEvent::LogRateLimiter);
        }
        self.suppressed += 1;
        false
    }

    /// At the end of a second, logs how many lines were suppressed in it and begins the next one. Returns
    /// that number, or 0 if the second has not ended.
    pub fn log_suppressed(&mut self, now: Micros) -> u32 {
        if now < self.started_at + MICROS_PER_SECOND {
            return 0;
        }
        let suppressed = self.suppressed;
        *self = LogRateLimiter { started_at: now, ..LogRateLimiter::default() };
        if suppressed > 0 {
            warn!(event = "client-errors-suppressed", "left-out" = suppressed);
        }
        suppressed
    }
}

#[cfg(test)]
mod tests;
