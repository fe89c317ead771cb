//! What was learned of one server's capacity: a factor over its listed size, corrected by reports of slow messages, by
//! the time of set-ups, and by silence at the bound.

use shorewharf_decisions::interface::ServerEntry;

use super::estimator_settings::{EstimatorSettings, TARGET_UTILIZATION};
use super::setup_model::{SetupCapacity, SetupModel};

/// Period of delay reports, and of growth, in seconds.
pub(super) const REPORT_PERIOD: f64 = 1.0;
/// Two reports that lie no further apart are consecutive, in seconds.
const CONSECUTIVE_WITHIN: f64 = 1.5 * REPORT_PERIOD;
/// A delay over this part of the latency objective is reported as slow.
const SLOW_REPORT_RATIO: f64 = 1.0 / 3.0;
/// Utilization implied by a single slow report: without a backlog (its delay is under the objective) and with one.
const UTILIZATION_WITHOUT_BACKLOG: f64 = 0.95;
const UTILIZATION_WITH_BACKLOG: f64 = 1.05;
/// Bounds of the utilization implied by two consecutive reports.
const MIN_REPORTED_UTILIZATION: f64 = 0.7;
const MAX_REPORTED_UTILIZATION: f64 = 2.0;
/// Two consecutive reports change the factor by this much at most, since the second may have come late.
const MAX_DECREASE: f64 = 0.5;
const MAX_INCREASE: f64 = 1.3;
/// A silent server that is filled to this part of its bound is at the bound.
const AT_LIMIT_RATIO: f64 = 0.7;
/// Growth of the factor a period at the bound: while the server is cold, after a recent slow report, and else.
const COLD_GROWTH: f64 = 0.15;
const GROWTH_AFTER_SLOW_REPORT: f64 = 0.03;
const GROWTH: f64 = 0.05;
/// A slow report is recent for so long, in seconds.
const SLOW_REPORT_VALID_SECONDS: f64 = 8.0;
/// Bounds of the factor.
const MIN_FACTOR: f64 = 0.1;
const MAX_FACTOR: f64 = 2.0;
/// Weight of one set-up's time in the factor.
const SETUP_WEIGHT: f64 = 0.07;
/// Utilization from which set-up times count: below it they differ by chance only.
const SETUP_MIN_UTILIZATION: f64 = 0.5;
/// Attempts within about a second that are a burst: set-ups of a burst wait for each other.
const BURST_ATTEMPTS: f64 = 3.0;

/// A report of how long messages take, in seconds.
#[derive(Clone, Copy, Debug)]
struct DelayReport {
    delay: f64,
    at: f64,
}

/// The capacity that was last announced to the decision module.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnnouncedCapacity {
    pub load: f64,
    pub setup_rate: f64,
}

/// A completed set-up.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    /// How long it took.
    pub seconds: f64,
    /// This instance's load on the server.
    pub local_load: f64,
}

/// What was learned of one server.
#[derive(Clone, Debug)]
pub(super) struct ServerModel {
    pub entry: ServerEntry,
    /// Load that this instance may put on the server, over its even share.
    pub factor: f64,
    last_delay: DelayReport,
    /// When messages were last slow.
    pub slow_reported_at: f64,
    /// Attempts sent lately, decaying within about a second, as of `attempted_at`.
    recent_attempts: f64,
    attempted_at: f64,
    /// When the server's state was last observed.
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

    /// Load that this instance may put on the server now.
    pub fn load_limit(&self, now: f64, settings: &EstimatorSettings) -> f64 {
        settings.even_share(&self.entry, now) * self.factor
    }

    /// Whether the server reported slow messages a short while ago.
    pub fn is_recently_slow(&self, now: f64) -> bool {
        now < self.slow_reported_at + SLOW_REPORT_VALID_SECONDS
    }

    fn decayed_attempts(&self, now: f64) -> f64 {
        self.recent_attempts * (self.attempted_at - now).exp()
    }

    /// An attempt was sent to the server.
    pub fn on_attempt(&mut self, now: f64) {
        self.recent_attempts = self.decayed_attempts(now) + 1.0;
        self.attempted_at = now;
    }

    /// Messages at the server take `delay` seconds while this instance's load there is `local_load`.
    ///
    /// Two reports a second apart while work is backed up determine the load, since a backlog grows by the load
    /// beyond the server's capacity; a single one only bounds it.
    pub fn on_message_delay(&mut self, now: f64, delay: f64, local_load: f64, settings: &EstimatorSettings) {
        let objective = settings.message_latency_objective;
        let previous = std::mem::replace(&mut self.last_delay, DelayReport { delay, at: now });
        self.updated_at = now;
        let even_share = settings.even_share(&self.entry, now);
        // The factor at which this instance's load now makes the server this full.
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
                // The backlog was gone before the second report, so this is an upper bound of the load.
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

    /// Whether the time of a set-up can be compared now.
    pub fn has_comparable_setups(&self, now: f64) -> bool {
        self.decayed_attempts(now) <= BURST_ATTEMPTS
    }

    /// A set-up was completed.
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

    /// Raises the factor of a server that is silent at its bound. Without growth each instance's share of the traffic
    /// would have to be the even one.
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

    /// Restores a factor that an earlier instance had learned.
    pub fn restore(&mut self, factor: f64, slow_reported_at: Option<f64>) {
        self.factor = factor.clamp(MIN_FACTOR, MAX_FACTOR);
        if let Some(at) = slow_reported_at {
            self.slow_reported_at = self.slow_reported_at.max(at);
        }
    }
}
