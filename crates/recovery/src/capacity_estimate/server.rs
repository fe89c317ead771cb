//! The learned capacity of one server, as a factor on its listed weight. The factor is corrected by delay reports and
//! by setup durations, and grows while the server is at its load limit and reports no delay.

use shorewharf_decisions::interface::ServerEntry;

use super::estimator_settings::{EstimatorSettings, TARGET_UTILIZATION};
use super::setup_model::{SetupCapacity, SetupModel};

/// Period of delay reports and of the factor's growth, in seconds.
pub(super) const REPORT_PERIOD: f64 = 1.0;
/// Two reports are consecutive if they are less than this apart, in seconds.
const CONSECUTIVE_WITHIN: f64 = 1.5 * REPORT_PERIOD;
/// A delay above this share of the latency objective is slow.
const SLOW_REPORT_RATIO: f64 = 1.0 / 3.0;
/// Utilization implied by a single slow report whose delay is within the objective, so that there is no backlog.
const UTILIZATION_WITHOUT_BACKLOG: f64 = 0.95;
/// Utilization implied by a single slow report whose delay exceeds the objective, so that there is a backlog.
const UTILIZATION_WITH_BACKLOG: f64 = 1.05;
/// Bounds of the utilization implied by two consecutive reports.
const MIN_REPORTED_UTILIZATION: f64 = 0.7;
const MAX_REPORTED_UTILIZATION: f64 = 2.0;
/// Bounds of the multiple by which two consecutive reports change the factor, since the second report may be late.
const MAX_DECREASE: f64 = 0.5;
const MAX_INCREASE: f64 = 1.3;
/// A server without delay reports counts as at its load limit above this share of the limit.
const AT_LIMIT_RATIO: f64 = 0.7;
/// Relative growth of the capacity factor in each report period at the load limit while the server is cold.
const COLD_GROWTH: f64 = 0.15;
/// Relative growth of the capacity factor in each report period at the load limit while a slow report is recent.
const GROWTH_AFTER_SLOW_REPORT: f64 = 0.03;
/// Relative growth of the capacity factor in each other report period at the load limit.
const GROWTH: f64 = 0.05;
/// Time for which a slow report counts as recent, in seconds.
const SLOW_REPORT_VALID_SECONDS: f64 = 8.0;
/// Lower bound of the capacity factor.
const MIN_FACTOR: f64 = 0.1;
/// Upper bound of the capacity factor.
const MAX_FACTOR: f64 = 2.0;
/// Weight of one setup's duration in the capacity factor.
const SETUP_WEIGHT: f64 = 0.07;
/// Utilization above which setup durations are taken into account: below it, their differences are random.
const SETUP_MIN_UTILIZATION: f64 = 0.5;
/// Setup durations are ignored while there are more recent attempts than this (decaying within about a second):
/// the setups of a burst wait for each other.
const BURST_ATTEMPTS: f64 = 3.0;

/// A report of the message delay at the server. Times are in seconds.
#[derive(Clone, Copy, Debug)]
struct DelayReport {
    delay: f64,
    /// When the report was received.
    at: f64,
}

/// The estimates that were last announced to the decision module.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnnouncedCapacity {
    /// Load that this instance may put on the server.
    pub load: f64,
    /// Setups per second that this instance may start on the server while it is cold.
    pub setup_rate: f64,
}

/// A completed setup.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    /// Duration of the setup.
    pub seconds: f64,
    /// This instance's load on the server when the setup was completed.
    pub local_load: f64,
}

/// The learned state of one server.
#[derive(Clone, Debug)]
pub(super) struct ServerModel {
    pub entry: ServerEntry,
    /// Load that this instance may put on the server, divided by its even share.
    pub factor: f64,
    last_delay: DelayReport,
    /// When the server last reported slow messages.
    pub slow_reported_at: f64,
    /// Number of attempts sent, decaying exponentially within about a second, as of `attempted_at`.
    recent_attempts: f64,
    attempted_at: f64,
    /// When a message delay or a completed setup was last observed.
    pub updated_at: f64,
    pub announced: AnnouncedCapacity,
}

impl ServerModel {
    pub fn new(entry: ServerEntry, now: f64) -> Self {
        ServerModel {
            entry,
            factor: 1.0,
            last_delay: DelayReport { delay: 0.0, at: f64::NEG_INFINITY },
            slow_reported_at: f64::NEG_INFINITY,
            recent_attempts: 0.0,
            attempted_at: now,
            updated_at: now,
            announced: AnnouncedCapacity::default(),
        }
    }

    /// Returns the load that this instance may put on the server now.
    pub fn load_limit(&self, now: f64, settings: &EstimatorSettings) -> f64 {
        settings.even_share(&self.entry, now) * self.factor
    }

    /// Whether a report of slow messages from the server is recent.
    pub fn is_recently_slow(&self, now: f64) -> bool {
        now < self.slow_reported_at + SLOW_REPORT_VALID_SECONDS
    }

    /// Number of recent attempts, decayed to `now` with a time constant of one second.
    fn decayed_attempts(&self, now: f64) -> f64 {
        self.recent_attempts * (self.attempted_at - now).exp()
    }

    /// Records an attempt that was sent to the server.
    pub fn on_attempt(&mut self, now: f64) {
        self.recent_attempts = self.decayed_attempts(now) + 1.0;
        self.attempted_at = now;
    }

    /// Records a message delay of `delay` seconds, reported while this instance's load on the server is `local_load`.
    ///
    /// Two consecutive reports during a backlog determine the utilization, since the backlog grows by the load in
    /// excess of the server's capacity. A single report only gives a bound.
    pub fn on_message_delay(&mut self, now: f64, delay: f64, local_load: f64, settings: &EstimatorSettings) {
        let objective = settings.message_latency_objective;
        let previous = std::mem::replace(&mut self.last_delay, DelayReport { delay, at: now });
        self.updated_at = now;
        let even_share = settings.even_share(&self.entry, now);
        // The factor if the present load, of which `local_load` is this instance's part, causes this utilization.
        let factor_at = |utilization: f64| local_load / utilization * TARGET_UTILIZATION / even_share;
        let is_consecutive = now - previous.at < CONSECUTIVE_WITHIN;
        let factor = if is_consecutive && previous.delay > objective {
            let elapsed = (now - previous.at).max(REPORT_PERIOD * 0.5);
            let utilization = 1.0 + (delay - previous.delay) / elapsed;
            let (min_factor, max_factor) = (self.factor * MAX_DECREASE, self.factor * MAX_INCREASE);
            if delay > objective {
                factor_at(utilization.clamp(MIN_REPORTED_UTILIZATION, MAX_REPORTED_UTILIZATION))
                    .clamp(min_factor, max_factor)
            } else {
                // The backlog ended at an unknown time before the second report, so that `utilization` is only an
                // upper bound.
                self.factor.max(factor_at(utilization.clamp(MIN_REPORTED_UTILIZATION, 1.0)).min(max_factor))
            }
        } else if delay > objective {
            self.factor.min(factor_at(UTILIZATION_WITH_BACKLOG))
        } else if delay > objective * SLOW_REPORT_RATIO {
            self.factor.min(factor_at(UTILIZATION_WITHOUT_BACKLOG))
        } else {
            self.factor
        };
        self.factor = factor.clamp(MIN_FACTOR, MAX_FACTOR);
        if delay > objective * SLOW_REPORT_RATIO {
            self.slow_reported_at = now;
        }
    }

    /// Whether a setup's duration can be compared with others: not during a burst of attempts.
    pub fn has_comparable_setups(&self, now: f64) -> bool {
        self.decayed_attempts(now) <= BURST_ATTEMPTS
    }

    /// Records a completed setup and adjusts the factor if its duration differs from the usual one.
    pub fn on_setup(&mut self, now: f64, setup: Setup, model: &mut SetupModel, settings: &EstimatorSettings) {
        let utilization = setup.local_load / self.load_limit(now, settings) * TARGET_UTILIZATION;
        let warm_up_ratio = settings.slow_start.warm_up_ratio(&self.entry, now);
        let capacity = SetupCapacity { weight: self.entry.weight, warm_up_ratio };
        let log_speedup = model.observe(setup.seconds, capacity, utilization);
        if let Some(log_speedup) = log_speedup.filter(|_| utilization > SETUP_MIN_UTILIZATION) {
            let factor = self.factor * (SETUP_WEIGHT * log_speedup).exp();
            self.factor = factor.clamp(MIN_FACTOR, MAX_FACTOR);
        }
    }

    /// Raises the factor if the server is at its load limit and has reported no delay. Without this growth no
    /// instance could send a server more than its even share, even if other instances send less.
    pub fn grow(&mut self, now: f64, local_load: f64, settings: &EstimatorSettings) {
        let has_reported = now <= self.last_delay.at + CONSECUTIVE_WITHIN;
        if has_reported || local_load <= AT_LIMIT_RATIO * self.load_limit(now, settings) {
            return;
        }
        let growth = if settings.slow_start.warm_up_ratio(&self.entry, now) < 1.0 {
            COLD_GROWTH
        } else if self.is_recently_slow(now) {
            GROWTH_AFTER_SLOW_REPORT
        } else {
            GROWTH
        };
        self.factor = (self.factor * (1.0 + growth)).min(MAX_FACTOR);
    }

    /// Restores the learned state of a snapshot.
    pub fn restore(&mut self, factor: f64, slow_reported_at: Option<f64>) {
        self.factor = factor.clamp(MIN_FACTOR, MAX_FACTOR);
        if let Some(at) = slow_reported_at {
            self.slow_reported_at = self.slow_reported_at.max(at);
        }
    }
}
