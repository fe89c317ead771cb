//! How the loop keeps up with its own work, and how much it takes on: less as soon as it does not, before those who
//! stand have to wait.
//!
//! A loop that is busy all the time is no trouble as long as its turns are short and nobody waits to be accepted. Where
//! turns stay long or the backlog stays filled, each new client costs those who are here. Then a part of the new ones
//! is told at once to come back later, which costs a tenth of serving them, and the part grows until the loop keeps up.

use shorewharf_units::Micros;
use tracing::{info, warn};

/// Clients accepted in one turn at most; connections that stand get theirs in between.
const ACCEPTS: usize = 64;
const ACCEPTS_LEAST: usize = 4;
/// A turn over this part of the shortest message aim is long: a line waits for two of them at worst.
const LONG_PART: u64 = 4;
const LONG_LEAST: Micros = 5_000;
const LONG_MOST: Micros = 25_000;
/// What is judged at once, and how many of these in a row make it an overload, or its end. A stall of the machine, or a
/// share of a core that is used up until the next tenth of a second, is neither.
const WINDOW: Micros = 500_000;
const WINDOWS: u32 = 2;
/// In an overload no more than this part of a window is spent waiting, and nearly all of it lags.
const BUSY: f64 = 0.95;
const LAGS: f64 = 0.9;
/// The part of new clients that is taken: the least, what is left of it after a window that lags, and what one that
/// does not gives back.
const ADMIT_LEAST: f64 = 0.05;
const ADMIT_LESS: f64 = 0.7;
const ADMIT_MORE: f64 = 0.1;

/// Sums over one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    began: Micros,
    busy: Micros,
    lags: Micros,
    longest: Micros,
}

/// An overload that lasts.
#[derive(Clone, Copy, Debug)]
struct Overload {
    since: Micros,
    refused: u64,
}

/// What the loop can take on.
#[derive(Debug)]
pub struct OverloadMonitor {
    long: Micros,
    accepts: usize,
    /// The last turn's end.
    ended: Micros,
    window: Window,
    /// Windows in a row that speak against the present state.
    against: u32,
    overload: Option<Overload>,
    admit: f64,
    credit: f64,
}

impl OverloadMonitor {
    /// No overload yet.
    pub fn new(now: Micros) -> Self {
        let window = Window { began: now, ..Window::default() };
        let (accepts, against, admit) = (ACCEPTS, 0, 1.0);
        OverloadMonitor {
            long: LONG_MOST,
            accepts,
            ended: now,
            window,
            against,
            overload: None,
            admit,
            credit: 0.0,
        }
    }

    /// Lines are wanted within this time.
    pub fn set_aim(&mut self, aim: Micros) {
        self.long = (aim / LONG_PART).clamp(LONG_LEAST, LONG_MOST);
    }

    /// Clients that the next turn accepts at most.
    pub fn accepts(&self) -> usize {
        self.accepts
    }

    /// Of log lines that clients cause, how many of `most` are written.
    pub fn log_lines(&self, most: u32) -> u32 {
        (f64::from(most) * self.admit) as u32
    }

    /// Whether one more client is taken; one that is not is counted.
    pub fn admits(&mut self) -> bool {
        let Some(overload) = &mut self.overload else { return true };
        // Evenly spread rather than drawn: no run of bad luck.
        self.credit += self.admit;
        let admits = self.credit >= 1.0;
        if admits {
            self.credit -= 1.0;
        } else {
            overload.refused += 1;
        }
        admits
    }

    /// A turn is over that began and ended then; whether clients still wait to be accepted.
    pub fn record_iteration(&mut self, began: Micros, ended: Micros, backlog: bool) {
        let took = ended.saturating_sub(began);
        let span = ended.saturating_sub(self.ended);
        self.accepts = match took {
            t if t > self.long => (self.accepts / 2).max(ACCEPTS_LEAST),
            t if t < self.long / 2 => (self.accepts + ACCEPTS / 8).min(ACCEPTS),
            _ => self.accepts,
        };
        self.ended = ended;
        self.window.busy += took;
        self.window.longest = self.window.longest.max(took);
        if took > self.long || backlog {
            self.window.lags += span;
        }
        if ended >= self.window.began + WINDOW {
            self.judge(ended);
        }
    }

    fn judge(&mut self, now: Micros) {
        let w = std::mem::replace(&mut self.window, Window { began: now, ..Window::default() });
        let span = (now - w.began) as f64;
        let lags = w.busy as f64 >= BUSY * span && w.lags as f64 >= LAGS * span;
        self.against = if lags != self.overload.is_some() { self.against + 1 } else { 0 };
        match &self.overload {
            None if self.against >= WINDOWS => {
                (self.overload, self.against) = (Some(Overload { since: now, refused: 0 }), 0);
                let (busy, ms) = (w.busy as f64 / span, w.longest / 1000);
                warn!(event = "overload", busy = format_args!("{busy:.2}"), "longest-turn-ms" = ms);
            }
            Some(overload) if self.against >= WINDOWS && self.admit >= 1.0 => {
                let ms = (now - overload.since) / 1000;
                info!(event = "overload-ended", refused = overload.refused, ms);
                (self.overload, self.against) = (None, 0);
            }
            _ => {}
        }
        if self.overload.is_some() {
            let admit = if lags { self.admit * ADMIT_LESS } else { self.admit + ADMIT_MORE };
            self.admit = admit.clamp(ADMIT_LEAST, 1.0);
        }
    }
}

#[cfg(test)]
mod tests;
