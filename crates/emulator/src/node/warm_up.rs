//! A node's process that has just started: what it can do, and when it is pushed over.

use shorewharf_units::Micros;
use std::collections::VecDeque;

use crate::day::{Day, Kind};

/// Capacity rises in so many steps of equal length.
const STEPS: u64 = 10;
/// New connections that a cold node takes: it fills in its warm-up, faster by this share of full capacity than the
/// capacity that it has.
const EXTRA: f64 = 0.5;
/// Slack over the budget, for chance: so many standard deviations of a count ...
const SIGMAS: f64 = 3.0;
/// ... and so many more.
const MORE: f64 = 3.0;

/// The warming up of one process.
#[derive(Debug)]
pub(super) struct WarmUp {
    born: Option<Micros>,
    length: Micros,
    from: f64,
    /// New connections a second whose loads fill the warm node in its warm-up.
    fills: f64,
    /// New connections a second that all lanes can set up, warm.
    sets_up: f64,
    multiple: f64,
    window: Micros,
    /// Attempts of the last window.
    sent: VecDeque<Micros>,
}

impl WarmUp {
    /// `speed` is a core's, for a node of this kind.
    pub fn new(day: &Day, kind: &Kind, speed: f64) -> WarmUp {
        let capacity = f64::from(kind.cores) * speed;
        let shares: f64 = day.classes.iter().map(|c| c.share).sum();
        let work = day.classes.iter().map(|c| c.share * c.set_up as f64).sum::<f64>() / shares.max(1e-9);
        WarmUp {
            born: None,
            length: kind.cold,
            from: kind.cold_from,
            fills: day.streams.per_core * capacity / (kind.cold.max(1) as f64 / 1e6),
            sets_up: f64::from(kind.cores.div_ceil(2)) * speed * 1e6 / work.max(1.0),
            multiple: day.rules.fall_multiple,
            window: day.rules.fall_for,
            sent: VecDeque::new(),
        }
    }

    /// The process starts.
    pub fn start(&mut self, now: Micros) {
        self.born = Some(now);
        self.sent.clear();
    }

    fn age(&self, now: Micros) -> Option<Micros> {
        self.born.map(|born| now.saturating_sub(born)).filter(|age| *age < self.length)
    }

    /// Share of its full capacity.
    pub fn warmth(&self, now: Micros) -> f64 {
        let step = |age: Micros| (age * STEPS / self.length) as f64 / STEPS as f64;
        self.age(now).map_or(1.0, |age| self.from + (1.0 - self.from) * step(age))
    }

    /// New connections a second that it can take now; none when it is warm.
    pub fn takes(&self, now: Micros) -> Option<f64> {
        let age = self.age(now)?;
        let even = self.from + (1.0 - self.from) * age as f64 / self.length as f64;
        Some(((even + EXTRA) * self.fills).min(self.warmth(now) * self.sets_up))
    }

    /// An attempt reaches it. True if that pushes it over.
    pub fn reached(&mut self, now: Micros) -> bool {
        let Some(takes) = self.takes(now) else {
            self.sent.clear();
            return false;
        };
        self.sent.push_back(now);
        while self.sent.front().is_some_and(|at| at + self.window < now) {
            self.sent.pop_front();
        }
        self.sent.len() as f64 >= self.falls_at(takes)
    }

    /// So many attempts within a window push it over.
    fn falls_at(&self, takes: f64) -> f64 {
        let budget = self.multiple * takes * self.window as f64 / 1e6;
        budget + SIGMAS * budget.sqrt() + MORE
    }

    /// Attempts that it still takes at once; none when it is warm.
    pub fn before_fall(&self, now: Micros) -> Option<f64> {
        let recent = self.sent.iter().filter(|at| **at + self.window >= now).count();
        self.takes(now).map(|takes| (self.falls_at(takes) - 1.0 - recent as f64).max(0.0))
    }
}
