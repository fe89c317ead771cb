//! Measures whether the event loop keeps up with its work, and limits new clients before established
//! connections have to wait.
//!
//! A loop that is busy all the time is not overloaded as long as its iterations are short and no client waits
//! to be accepted. If iterations stay long or the accept backlog stays filled, each new client delays the
//! others. A share of the new clients is then rejected, which costs a tenth of serving them, and this share
//! grows until the loop keeps up.

use shorewharf_units::{MICROS_PER_MILLISECOND, Micros};
use tracing::{info, warn};

/// Maximum number of clients accepted in one iteration, so that established connections are served in
/// between.
const MAX_ACCEPTS: usize = 64;
/// Lower bound of the number of clients that an iteration may accept.
const MIN_ACCEPTS: usize = 4;
/// An iteration is long if it exceeds the message latency objective divided by this. A message waits for two
/// iterations at worst.
const LONG_ITERATION_DIVISOR: u64 = 4;
/// Bounds of the duration above which an iteration is long.
const MIN_LONG_ITERATION: Micros = 5_000;
const MAX_LONG_ITERATION: Micros = 25_000;
/// Duration of the windows over which lag is measured.
const WINDOW: Micros = 500_000;
/// Number of consecutive windows that begin or end an overload. Stalls of the machine are shorter than that.
const WINDOWS_TO_CHANGE: u32 = 2;
/// A window lags only if the loop is busy for at least this share of it.
const MIN_BUSY_RATIO: f64 = 0.95;
/// A window lags only if at least this share of it passes in long iterations or with clients waiting to be
/// accepted.
const MIN_LAG_RATIO: f64 = 0.9;
/// Lower bound of the share of new clients that is admitted.
const MIN_ADMIT_RATIO: f64 = 0.05;
/// Factor by which a window that lags multiplies the admitted share.
const ADMIT_DECREASE: f64 = 0.7;
/// Amount by which a window that does not lag raises the admitted share.
const ADMIT_INCREASE: f64 = 0.1;

/// Measurements of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started_at: Micros,
    busy: Micros,
    lagging: Micros,
    longest_iteration: Micros,
}

/// An overload that has not ended.
#[derive(Clone, Copy, Debug)]
struct Overload {
    since: Micros,
    rejected: u64,
}

/// Measures the load of one event loop and decides which new clients are admitted.
#[derive(Debug)]
pub struct OverloadMonitor {
    /// The duration above which an iteration is long.
    long_iteration: Micros,
    max_accepts: usize,
    /// When the last iteration ended.
    last_ended: Micros,
    window: Window,
    /// The number of consecutive windows that contradict the current state: they lag without an overload, or
    /// don't lag during one.
    contradicting_windows: u32,
    overload: Option<Overload>,
    /// The share of new clients that is admitted.
    admit_ratio: f64,
    /// Grows by `admit_ratio` for each new client. A client is admitted whenever this reaches 1, which is
    /// then deducted.
    admit_credit: f64,
}

impl OverloadMonitor {
    /// Creates a monitor of a loop that is not overloaded.
    pub fn new(now: Micros) -> Self {
        OverloadMonitor {
            long_iteration: MAX_LONG_ITERATION,
            max_accepts: MAX_ACCEPTS,
            last_ended: now,
            window: Window { started_at: now, ..Window::default() },
            contradicting_windows: 0,
            overload: None,
            admit_ratio: 1.0,
            admit_credit: 0.0,
        }
    }

    /// Sets the message latency objective, from which the duration of a long iteration follows.
    pub fn set_latency_objective(&mut self, objective: Micros) {
        let long_iteration = objective / LONG_ITERATION_DIVISOR;
        self.long_iteration = long_iteration.clamp(MIN_LONG_ITERATION, MAX_LONG_ITERATION);
    }

    /// The maximum number of clients that the next iteration may accept.
    pub fn max_accepts(&self) -> usize {
        self.max_accepts
    }

    /// The maximum number of log lines that clients may cause, given the `limit` that applies without an
    /// overload.
    pub fn max_log_lines(&self, limit: u32) -> u32 {
        (f64::from(limit) * self.admit_ratio) as u32
    }

    /// Returns whether one more client is admitted. A client that is not is counted as rejected.
    pub fn admit(&mut self) -> bool {
        let Some(overload) = &mut self.overload else { return true };
        // Rejections are spread evenly rather than drawn at random, so that no client is rejected often by
        // chance.
        self.admit_credit += self.admit_ratio;
        let is_admitted = self.admit_credit >= 1.0;
        if is_admitted {
            self.admit_credit -= 1.0;
        } else {
            overload.rejected += 1;
        }
        is_admitted
    }

    /// Records an iteration, and whether clients still wait to be accepted at its end.
    pub fn record_iteration(&mut self, started_at: Micros, ended_at: Micros, has_backlog: bool) {
        let duration = ended_at.saturating_sub(started_at);
        let since_last = ended_at.saturating_sub(self.last_ended);
        let is_long = duration > self.long_iteration;
        if is_long {
            self.max_accepts = (self.max_accepts / 2).max(MIN_ACCEPTS);
        } else if duration < self.long_iteration / 2 {
            self.max_accepts = (self.max_accepts + MAX_ACCEPTS / 8).min(MAX_ACCEPTS);
        }
        self.last_ended = ended_at;
        self.window.busy += duration;
        self.window.longest_iteration = self.window.longest_iteration.max(duration);
        if is_long || has_backlog {
            self.window.lagging += since_last;
        }
        if ended_at >= self.window.started_at + WINDOW {
            self.finish_window(ended_at);
        }
    }

    fn finish_window(&mut self, now: Micros) {
        let next = Window { started_at: now, ..Window::default() };
        let window = std::mem::replace(&mut self.window, next);
        let span = (now - window.started_at) as f64;
        let busy_ratio = window.busy as f64 / span;
        let is_busy = window.busy as f64 >= MIN_BUSY_RATIO * span;
        let is_lagging = is_busy && window.lagging as f64 >= MIN_LAG_RATIO * span;
        let is_contradicting = is_lagging != self.overload.is_some();
        self.contradicting_windows = if is_contradicting { self.contradicting_windows + 1 } else { 0 };
        if self.contradicting_windows >= WINDOWS_TO_CHANGE {
            self.change_state(now, busy_ratio, window.longest_iteration);
        }
        if self.overload.is_some() {
            let ratio = if is_lagging {
                self.admit_ratio * ADMIT_DECREASE
            } else {
                self.admit_ratio + ADMIT_INCREASE
            };
            self.admit_ratio = ratio.clamp(MIN_ADMIT_RATIO, 1.0);
        }
    }

    /// Begins an overload, or ends it once all clients are admitted again.
    fn change_state(&mut self, now: Micros, busy_ratio: f64, longest_iteration: Micros) {
        let Some(overload) = &self.overload else {
            self.overload = Some(Overload { since: now, rejected: 0 });
            self.contradicting_windows = 0;
            let busy = format_args!("{busy_ratio:.2}");
            let longest_ms = longest_iteration / MICROS_PER_MILLISECOND;
            warn!(event = "overload", busy, "longest-turn-ms" = longest_ms);
            return;
        };
        if self.admit_ratio >= 1.0 {
            let ms = (now - overload.since) / MICROS_PER_MILLISECOND;
            info!(event = "overload-ended", refused = overload.rejected, ms);
            self.overload = None;
            self.contradicting_windows = 0;
        }
    }
}

#[cfg(test)]
mod tests;
