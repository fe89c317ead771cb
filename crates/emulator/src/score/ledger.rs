//! A number that changes over time, and its sum over time.

use shorewharf_units::Micros;

/// A level with its integral in units times seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Level {
    number: f64,
    at: Micros,
    area: f64,
    taken: f64,
}

impl Level {
    /// Counts the level up to now.
    pub fn run_to(&mut self, now: Micros) {
        if now > self.at {
            self.area += self.number * (now - self.at) as f64 / 1e6;
            self.at = now;
        }
    }

    /// Changes it.
    pub fn add(&mut self, now: Micros, by: f64) {
        self.run_to(now);
        self.number += by;
    }

    /// Sets it.
    pub fn set(&mut self, now: Micros, to: f64) {
        self.run_to(now);
        self.number = to;
    }

    /// The integral up to now since the last take.
    pub fn take(&mut self, now: Micros) -> f64 {
        self.run_to(now);
        let new = self.area - self.taken;
        self.taken = self.area;
        new
    }

    /// The whole integral so far.
    pub fn area(&self) -> f64 {
        self.area
    }
}
