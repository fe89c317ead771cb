//! Decides the level of service of one instance: when each of the four levels is entered and left.
//!
//! Operators see every change of level, so that the level must not flap. All signals are converted to one scale of
//! severity. A level is entered at once, but left only after its cause has been absent for some time; a load that
//! fluctuates around a threshold changes the level at most once in [`MIN_SECONDS_BETWEEN_CHANGES`].

mod level;
mod signals;
mod sliding_window;

use std::collections::BTreeMap;
use std::fmt;

pub use level::{Level, LevelPolicy, RetryPolicy, ShedPolicy};
pub use signals::{LoadSignals, Severity};
pub use sliding_window::{SlidingWindow, WindowCounts, lower_bound_ratio};

/// Minimum time between two changes of level, except for early changes (see [`EARLY_CHANGE_MARGIN`]), and the time
/// for which a level's cause has to be absent before the level is left. In seconds.
pub const MIN_SECONDS_BETWEEN_CHANGES: f64 = 30.0;
/// Before [`MIN_SECONDS_BETWEEN_CHANGES`] have passed, a worse level is entered only if the severity exceeds that
/// level's threshold by this much.
pub const EARLY_CHANGE_MARGIN: f64 = 1.0;
/// A level's cause is absent once the severity is below the level's threshold by more than this.
pub const HYSTERESIS: f64 = 0.35;
/// An intermediate level is skipped on the way back if its cause has been absent for this share of
/// [`MIN_SECONDS_BETWEEN_CHANGES`].
pub const SKIP_RATIO: f64 = 0.5;
/// If a level is entered again within this time after it was left, in seconds, the next exit takes twice as long.
const RELAPSE_SECONDS: f64 = 2.0 * MIN_SECONDS_BETWEEN_CHANGES;
/// Largest delay before a level is left, relative to the usual delay.
const MAX_EXIT_DELAY_FACTOR: f64 = 4.0;
/// An endpoint list of at least this age is stale; for the unit see [`LoadSignals::list_age`].
const STALE_LIST_AGE: f64 = 1.0;
/// Number of recent changes kept for reports.
const MAX_RECENT_CHANGES: usize = 256;

/// A change of level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelChange {
    /// Time of the change, in seconds.
    pub at: f64,
    /// The level before the change.
    pub from: Level,
    /// The level after the change.
    pub to: Level,
    /// Log name of the signal with the highest severity at the change; `none` if no signal has any.
    pub cause: &'static str,
    /// The severity at the change.
    pub severity: f64,
    /// All signals at the change.
    pub signals: LoadSignals,
}

impl fmt::Display for LevelChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (to, from) = (self.to.name(), self.from.name());
        write!(f, "level={to} from={from} cause={} strain={:.2} {}", self.cause, self.severity, self.signals)
    }
}

/// Statistics of the level of service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LevelStats {
    /// The current level.
    pub level: Level,
    /// The severity at the last update.
    pub severity: f64,
    /// Number of changes, by new level and cause, such as `short away`.
    pub changes: BTreeMap<String, u64>,
    /// The most recent changes, oldest first; 256 at most.
    pub recent_changes: Vec<LevelChange>,
    /// Seconds spent at each level, in the order of [`Level::ALL`].
    pub seconds_at_level: [f64; 4],
}

/// Decides the level of service of one instance.
#[derive(Debug, Default)]
pub struct LevelController {
    level: Level,
    severity: f64,
    /// When each level's cause was last present, in the order of [`Level::ALL`].
    cause_present_at: [f64; 4],
    changed_at: Option<f64>,
    /// When each level was last left, in the order of [`Level::ALL`].
    exited_at: [f64; 4],
    /// Time for which a cause has to be absent, relative to the usual time; doubles with each relapse.
    exit_delay_factor: f64,
    updated_at: Option<f64>,
    stats: LevelStats,
}

impl LevelController {
    /// Creates a controller at [`Level::Normal`].
    pub fn new() -> Self {
        LevelController {
            cause_present_at: [f64::NEG_INFINITY; 4],
            exited_at: [f64::NEG_INFINITY; 4],
            exit_delay_factor: 1.0,
            ..LevelController::default()
        }
    }

    /// The current level.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Takes the current signals into account and returns the resulting change of level, if any. May be called at any
    /// rate.
    pub fn update(&mut self, now: f64, signals: &LoadSignals) -> Option<LevelChange> {
        let severity = signals.severity();
        if let Some(updated_at) = self.updated_at.replace(now) {
            self.stats.seconds_at_level[self.level as usize] += (now - updated_at).max(0.0);
        }
        self.severity = severity.value;
        self.record_causes(now, signals);
        let next = self.worse_level(now).or_else(|| self.better_level(now))?;
        Some(self.change(now, next, severity.cause, signals))
    }

    /// Records the levels whose causes are present.
    fn record_causes(&mut self, now: f64, signals: &LoadSignals) {
        let is_list_stale = signals.list_age >= STALE_LIST_AGE;
        for (level, present_at) in self.cause_present_at.iter_mut().enumerate().skip(1) {
            // A stale list does not prove that servers are back, so that recent causes still count as present.
            let remains_present = is_list_stale && now - *present_at < MIN_SECONDS_BETWEEN_CHANGES;
            if self.severity >= level as f64 - HYSTERESIS || remains_present {
                *present_at = now;
            }
        }
    }

    /// Whether the last change was long enough ago for a regular change.
    fn may_change(&self, now: f64) -> bool {
        self.changed_at.is_none_or(|changed_at| now >= changed_at + MIN_SECONDS_BETWEEN_CHANGES)
    }

    /// Returns the worse level that the severity requires, if any.
    fn worse_level(&mut self, now: f64) -> Option<Level> {
        let early_level = Level::for_severity(self.severity - EARLY_CHANGE_MARGIN);
        let next = match self.stats.recent_changes.last() {
            _ if self.may_change(now) => Level::for_severity(self.severity),
            // After an improvement, only a level worse than the one that was left may be entered early.
            Some(last) if last.to < last.from && early_level <= last.from => return None,
            _ => early_level,
        };
        if next <= self.level {
            return None;
        }
        if now < self.exited_at[next as usize] + RELAPSE_SECONDS {
            self.exit_delay_factor = (self.exit_delay_factor * 2.0).min(MAX_EXIT_DELAY_FACTOR);
        }
        Some(next)
    }

    /// Returns the better level that may be entered now, if any.
    fn better_level(&mut self, now: f64) -> Option<Level> {
        let cause_gone_for = now - self.cause_present_at[self.level as usize];
        let exit_delay = MIN_SECONDS_BETWEEN_CHANGES * self.exit_delay_factor;
        if self.level == Level::Normal || !self.may_change(now) || cause_gone_for < exit_delay {
            return None;
        }
        let skip_after = MIN_SECONDS_BETWEEN_CHANGES * SKIP_RATIO;
        let has_recent_cause = |level: &Level| now - self.cause_present_at[*level as usize] < skip_after;
        let levels_between = Level::ALL[1..self.level as usize].iter().rev().copied();
        let next = levels_between.into_iter().find(has_recent_cause).unwrap_or(Level::Normal);
        if next == Level::Normal {
            self.exit_delay_factor = (self.exit_delay_factor / 2.0).max(1.0);
        }
        self.exited_at[next as usize + 1..=self.level as usize].fill(now);
        Some(next)
    }

    /// Changes the level and records the change.
    fn change(&mut self, now: f64, to: Level, cause: &'static str, signals: &LoadSignals) -> LevelChange {
        let (from, severity, signals) = (self.level, self.severity, *signals);
        let change = LevelChange { at: now, from, to, cause, severity, signals };
        self.level = to;
        self.changed_at = Some(now);
        *self.stats.changes.entry(format!("{} {cause}", to.name())).or_default() += 1;
        if self.stats.recent_changes.len() == MAX_RECENT_CHANGES {
            self.stats.recent_changes.remove(0);
        }
        self.stats.recent_changes.push(change);
        change
    }

    /// Returns the statistics since the start.
    pub fn stats(&self) -> LevelStats {
        LevelStats { level: self.level, severity: self.severity, ..self.stats.clone() }
    }
}
