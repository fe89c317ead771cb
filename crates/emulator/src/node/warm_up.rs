//! The warm-up of a node's process: its capacity after a start, and the admission that overloads it.

use shorewharf_units::Micros;
use std::collections::VecDeque;

use crate::day::{Day, Kind};

/// The number of steps of equal length in which the capacity rises.
const CAPACITY_STEPS: u64 = 10;
/// A warming node admits connections at a rate that exceeds its present capacity by this share of full
/// capacity.
const EXTRA_ADMISSION_RATIO: f64 = 0.5;
/// The part of the overload threshold's slack for random variation that grows with the expected count, in
/// standard deviations of that count.
const SLACK_SIGMAS: f64 = 3.0;
/// The fixed part of the overload threshold's slack, in attempts.
const SLACK_ATTEMPTS: f64 = 3.0;

/// The warm-up state of a node's process.
#[derive(Debug)]
pub(super) struct WarmUp {
    started_at: Option<Micros>,
    length: Micros,
    initial_capacity_ratio: f64,
    /// New connections per second whose loads use the full capacity within the length of the warm-up.
    fill_rate: f64,
    /// New connections per second that all lanes can set up at full capacity.
    setup_rate: f64,
    overload_multiple: f64,
    window: Micros,
    /// The times of the attempts within the last window.
    recent_attempts: VecDeque<Micros>,
}

impl WarmUp {
    /// Creates the state of a warm node of this kind; `speed` is the speed of one of its cores.
    pub fn new(day: &Day, kind: &Kind, speed: f64) -> WarmUp {
        let capacity = f64::from(kind.cores) * speed;
        let total_share: f64 = day.classes.iter().map(|c| c.share).sum();
        let work = day.classes.iter().map(|c| c.share * c.set_up as f64).sum::<f64>() / total_share.max(1e-9);
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

    /// Begins the warm-up at the start of the process.
    pub fn start(&mut self, now: Micros) {
        self.started_at = Some(now);
        self.recent_attempts.clear();
    }

    fn age(&self, now: Micros) -> Option<Micros> {
        self.started_at.map(|started_at| now.saturating_sub(started_at)).filter(|age| *age < self.length)
    }

    /// The present capacity as a ratio of the full capacity.
    pub fn capacity_ratio(&self, now: Micros) -> f64 {
        let step = |age: Micros| (age * CAPACITY_STEPS / self.length) as f64 / CAPACITY_STEPS as f64;
        self.age(now)
            .map_or(1.0, |age| self.initial_capacity_ratio + (1.0 - self.initial_capacity_ratio) * step(age))
    }

    /// The new connections per second that the node can admit now; none if it is warm.
    pub fn admission_rate(&self, now: Micros) -> Option<f64> {
        let age = self.age(now)?;
        let linear_ratio = self.initial_capacity_ratio
            + (1.0 - self.initial_capacity_ratio) * age as f64 / self.length as f64;
        Some(
            ((linear_ratio + EXTRA_ADMISSION_RATIO) * self.fill_rate)
                .min(self.capacity_ratio(now) * self.setup_rate),
        )
    }

    /// Counts an attempt; returns whether it overloads the node.
    pub fn on_attempt(&mut self, now: Micros) -> bool {
        let Some(admission_rate) = self.admission_rate(now) else {
            self.recent_attempts.clear();
            return false;
        };
        self.recent_attempts.push_back(now);
        while self.recent_attempts.front().is_some_and(|at| at + self.window < now) {
            self.recent_attempts.pop_front();
        }
        self.recent_attempts.len() as f64 >= self.overload_threshold(admission_rate)
    }

    /// The number of attempts within a window that overloads the node.
    fn overload_threshold(&self, admission_rate: f64) -> f64 {
        let budget = self.overload_multiple * admission_rate * self.window as f64 / 1e6;
        budget + SLACK_SIGMAS * budget.sqrt() + SLACK_ATTEMPTS
    }

    /// The number of attempts that the node can still accept at once without being overloaded; none if it is
    /// warm.
    pub fn admissible_before_overload(&self, now: Micros) -> Option<f64> {
        let recent = self.recent_attempts.iter().filter(|at| **at + self.window >= now).count();
        self.admission_rate(now)
            .map(|admission_rate| (self.overload_threshold(admission_rate) - 1.0 - recent as f64).max(0.0))
    }
}
