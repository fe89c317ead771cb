//! The warm-up of a node's process: its capacity after a start, and the admission that overloads it.

use shorewharf_units::Micros;
use std::collections::VecDeque;

use crate::day::{Day, Kind};

/// Capacity rises in so many steps of equal length.
const STEPS: u64 = 10;
/// A warming node admits connections at a rate that exceeds its present capacity by this share of full capacity.
const EXTRA_ADMISSION_RATIO: f64 = 0.5;
/// Slack over the budget, for chance: so many standard deviations of a count ...
const SIGMAS: f64 = 3.0;
/// ... and so many more.
const SLACK_ATTEMPTS: f64 = 3.0;

/// The warming up of one process.
#[derive(Debug)]
pub(super) struct WarmUp {
    started_at: Option<Micros>,
    length: Micros,
    initial_capacity_ratio: f64,
    /// New connections a second whose loads fill the warm node in its warm-up.
    fill_rate: f64,
    /// New connections a second that all lanes can set up, warm.
    setup_rate: f64,
    overload_multiple: f64,
    window: Micros,
    /// Attempts of the last window.
    recent_attempts: VecDeque<Micros>,
}

impl WarmUp {
    /// `speed` is a core's, for a node of this kind.
    pub fn new(day: &Day, kind: &Kind, speed: f64) -> WarmUp {
        let capacity = f64::from(kind.cores) * speed;
        let shares: f64 = day.classes.iter().map(|c| c.share).sum();
        let work = day.classes.iter().map(|c| c.share * c.set_up as f64).sum::<f64>() / shares.max(1e-9);
        WarmUp {
            started_at: None,
            length: kind.cold,
            initial_capacity_ratio: kind.cold_from,
            fill_rate: day.streams.per_core * capacity / (kind.cold.max(1) as f64 / 1e6),
            setup_rate: f64::from(kind.cores.div_ceil(2)) * speed * 1e6 / work.max(1.0),
            overload_multiple: day.rules.fall_multiple,
            window: day.rules.fall_for,
            recent_attempts: VecDeque::new(),
        }
    }

    /// The process starts.
    pub fn start(&mut self, now: Micros) {
        self.started_at = Some(now);
        self.recent_attempts.clear();
    }

    fn age(&self, now: Micros) -> Option<Micros> {
        self.started_at.map(|born| now.saturating_sub(born)).filter(|age| *age < self.length)
    }

    /// Share of its full capacity.
    pub fn warmth(&self, now: Micros) -> f64 {
        let step = |age: Micros| (age * STEPS / self.length) as f64 / STEPS as f64;
        self.age(now)
            .map_or(1.0, |age| self.initial_capacity_ratio + (1.0 - self.initial_capacity_ratio) * step(age))
    }

    /// New connections a second that it can admit now; none when it is warm.
    pub fn admission_rate(&self, now: Micros) -> Option<f64> {
        let age = self.age(now)?;
        let even = self.initial_capacity_ratio
            + (1.0 - self.initial_capacity_ratio) * age as f64 / self.length as f64;
        Some(((even + EXTRA_ADMISSION_RATIO) * self.fill_rate).min(self.warmth(now) * self.setup_rate))
    }

    /// Counts an attempt; returns whether it overloads the node.
    pub fn on_attempt(&mut self, now: Micros) -> bool {
        let Some(takes) = self.admission_rate(now) else {
            self.recent_attempts.clear();
            return false;
        };
        self.recent_attempts.push_back(now);
        while self.recent_attempts.front().is_some_and(|at| at + self.window < now) {
            self.recent_attempts.pop_front();
        }
        self.recent_attempts.len() as f64 >= self.overload_threshold(takes)
    }

    /// The number of attempts within a window that overloads the node.
    fn overload_threshold(&self, takes: f64) -> f64 {
        let budget = self.overload_multiple * takes * self.window as f64 / 1e6;
        budget + SIGMAS * budget.sqrt() + SLACK_ATTEMPTS
    }

    /// Attempts that it can still accept at once; none when it is warm.
    pub fn admissible_before_overload(&self, now: Micros) -> Option<f64> {
        let recent = self.recent_attempts.iter().filter(|at| **at + self.window >= now).count();
        self.admission_rate(now).map(|takes| (self.overload_threshold(takes) - 1.0 - recent as f64).max(0.0))
    }
}
