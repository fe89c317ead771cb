//! What the log is told while clients wait for room: when it begins and why, how it goes, and how it ended.

use crate::estimate::Fleet;
use shorewharf_decisions::interface::ServerState;

/// Clients wait in so many looks (a second apart) running before it is told, and in none of so many before it is over:
/// a single client that waits for a moment is no news.
const BEGINS: u32 = 2;
const ENDS: u32 = 5;
/// It is told again after so many looks while it lasts.
const AGAIN: u32 = 10;

/// Follows one shortage after the other.
#[derive(Debug, Default)]
pub struct Shortage {
    on: bool,
    looks: u32,
    other: u32,
    refused: u64,
    most: usize,
}

impl Shortage {
    /// A client was refused.
    pub fn refused(&mut self) {
        self.refused += 1;
    }

    /// A look at who waits; a line for the log, if there is news.
    pub fn look(&mut self, waiting: usize, fleet: &Fleet) -> Option<String> {
        self.most = self.most.max(waiting);
        self.looks += 1;
        self.other = if (waiting > 0) == self.on { 0 } else { self.other + 1 };
        if !self.on && self.other >= BEGINS {
            (self.on, self.looks, self.other) = (true, 0, 0);
            return Some(format!("room-short {}", self.figures(waiting, fleet)));
        }
        if self.on && self.other >= ENDS {
            let lasted = self.looks - self.other;
            let line = format!("room-again after_s={lasted} {}", self.figures(waiting, fleet));
            *self = Shortage::default();
            return Some(line);
        }
        if self.on && self.looks.is_multiple_of(AGAIN) {
            return Some(format!("room-still-short for_s={} {}", self.looks, self.figures(waiting, fleet)));
        }
        if !self.on && waiting == 0 {
            (self.refused, self.most) = (0, 0);
        }
        None
    }

    fn figures(&self, waiting: usize, fleet: &Fleet) -> String {
        let ready = || fleet.servers.values().filter(|s| s.stage == ServerState::Ready);
        let (bears, carries) = ready().fold((0.0, 0.0), |t, s| (t.0 + s.bears, t.1 + s.carries));
        let listed: f64 = ready().map(|s| s.weight).sum();
        let cold = ready().filter(|s| s.ramp < 1.0).count();
        format!(
            "waiting={waiting} most={} refused={} servers={} cold={cold} listed={listed:.1} bears={bears:.1} \
             carries={carries:.1}",
            self.most,
            self.refused,
            ready().count(),
        )
    }
}

#[cfg(test)]
mod tests;
