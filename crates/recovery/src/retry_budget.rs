//! The budget for retries of failed attempts.
//!
//! A retry is work that the fleet does twice, and a failure with the same cause everywhere (a fleet that is full, a
//! store that is gone) makes every retry fail as well. So an attempt is retried only where the failure is not
//! correlated with those of other servers, and within a share of first attempts. Once failures are correlated the
//! budget is suspended, and a single trial finds out whether servers answer again.

use std::collections::BTreeMap;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use shorewharf_decisions::{Outcome, ServerId};

use crate::random::random_unit;

/// Retries of one request at most: two find a sound server past two that died unnoticed.
const MAX_RETRIES_PER_REQUEST: u32 = 2;
/// Retries that each first attempt adds to the budget: in the long run a fifth of all attempts at most.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.25;
/// Retries saved up at most, and at the start, since one server's end strands a few requests at once.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// An outcome counts for so long.
const OUTCOME_VALID_SECONDS: f64 = 3.0;
/// Failures are correlated from this many failing servers on ...
const MIN_FAILING_SERVERS: usize = 2;
/// ... if they are this share of the servers with a recent outcome.
const MIN_FAILING_RATIO: f64 = 0.34;
/// The budget is suspended for so long; each trial that fails doubles it.
const SUSPENDED_SECONDS: f64 = 2.0;
/// The longest suspension.
const MAX_SUSPENDED_SECONDS: f64 = 8.0;

/// Whether a retry may be made, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPermit {
    /// It may be made.
    Granted,
    /// It may be made, as the one trial after correlated failures.
    Trial,
    /// Failures are correlated: another server would do no better.
    Correlated,
    /// The instance's budget is exhausted.
    Exhausted,
    /// This request has used up its own retries.
    RequestLimit,
    /// The level of service forbids it.
    LevelForbids,
}

impl RetryPermit {
    /// Whether the retry may be made.
    pub fn is_granted(self) -> bool {
        matches!(self, RetryPermit::Granted | RetryPermit::Trial)
    }

    /// Its name in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            RetryPermit::Granted => "granted",
            RetryPermit::Trial => "trial",
            RetryPermit::Correlated => "correlated",
            RetryPermit::Exhausted => "spent",
            RetryPermit::RequestLimit => "of-request",
            RetryPermit::LevelForbids => "level",
        }
    }
}

/// Whether an attempt's outcome means that its server could not serve it.
pub fn is_server_failure(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent)
}

/// Statistics of the budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryStats {
    /// Retries that the budget has left.
    pub available: f64,
    /// The budget is suspended since failures are correlated.
    pub is_suspended: bool,
    /// First attempts.
    pub first_attempts: u64,
    /// Retries made.
    pub retries: u64,
    /// Number of suspensions.
    pub suspensions: u64,
    /// Permits that were asked for, by answer.
    pub permits: BTreeMap<&'static str, u64>,
}

/// The state of the budget, as a circuit breaker has it. Times and durations are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Active,
    /// No retries until a time, after a suspension of this length.
    Suspended {
        until: f64,
        duration: f64,
    },
    /// One trial is under way.
    TrialRunning {
        since: f64,
        duration: f64,
    },
}

/// The last outcome at a server.
#[derive(Clone, Copy, Debug)]
struct RecentOutcome {
    at: f64,
    is_failure: bool,
}

/// The retry budget of one instance.
#[derive(Debug)]
pub struct RetryBudget {
    available: f64,
    state: State,
    recent_outcomes: BTreeMap<ServerId, RecentOutcome>,
    rng: Pcg64Mcg,
    log_lines: Vec<String>,
    stats: RetryStats,
}

impl RetryBudget {
    /// Creates a full budget. `seed` decides the jitter of suspensions, so that instances don't all try again at once.
    pub fn new(seed: u64) -> Self {
        RetryBudget {
            available: MAX_SAVED_RETRIES,
            state: State::Active,
            recent_outcomes: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            log_lines: Vec::new(),
            stats: RetryStats::default(),
        }
    }

    /// A first attempt was sent.
    pub fn on_first_attempt(&mut self) {
        self.stats.first_attempts += 1;
        self.available = (self.available + RETRIES_PER_FIRST_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// A retry was sent.
    pub fn on_retry(&mut self, now: f64) {
        self.stats.retries += 1;
        self.available = (self.available - 1.0).max(0.0);
        if let State::Suspended { until, duration } = self.state
            && now >= until
        {
            self.state = State::TrialRunning { since: now, duration };
        }
    }

    /// An attempt at a server has ended or was established.
    pub fn on_outcome(&mut self, now: f64, server: ServerId, outcome: Outcome) {
        // A refused connection concerns this server alone, and trying costs the fleet nothing.
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::ConnectFailed) {
            return;
        }
        let is_failure = is_server_failure(outcome);
        self.recent_outcomes.retain(|_, recent| now < recent.at + OUTCOME_VALID_SECONDS);
        self.recent_outcomes.insert(server, RecentOutcome { at: now, is_failure });
        let failing = self.recent_outcomes.values().filter(|recent| recent.is_failure).count();
        let servers = self.recent_outcomes.len();
        let is_correlated =
            failing >= MIN_FAILING_SERVERS && failing as f64 >= MIN_FAILING_RATIO * servers as f64;
        match (self.state, is_failure) {
            (State::Active, true) if is_correlated => {
                self.log_lines.push(format!("repeats=closed failing={failing} of={servers}"));
                self.suspend(now, SUSPENDED_SECONDS);
            }
            // Any correlated failure answers what the trial was to find out.
            (State::TrialRunning { duration, .. }, true) if is_correlated => {
                self.suspend(now, (duration * 2.0).min(MAX_SUSPENDED_SECONDS));
            }
            (State::Suspended { until, .. }, false) if !is_correlated && now >= until => self.resume(),
            (State::TrialRunning { .. }, false) if !is_correlated => self.resume(),
            _ => {}
        }
    }

    fn suspend(&mut self, now: f64, duration: f64) {
        let jitter = 0.75 + 0.5 * random_unit(&mut self.rng);
        self.stats.suspensions += 1;
        self.state = State::Suspended { until: now + duration * jitter, duration };
    }

    fn resume(&mut self) {
        self.state = State::Active;
        self.log_lines.push(format!("repeats=open left={:.1}", self.available));
    }

    /// Asks whether a request that has had `attempts` attempts may have another one.
    pub fn request_permit(&mut self, now: f64, attempts: u32) -> RetryPermit {
        if let State::TrialRunning { since, duration } = self.state
            && now >= since + duration
        {
            // The trial has shown nothing of any server: another one may go out.
            self.state = State::Suspended { until: now, duration };
        }
        let permit = match self.state {
            _ if attempts > MAX_RETRIES_PER_REQUEST => RetryPermit::RequestLimit,
            State::Suspended { until, .. } if now < until => RetryPermit::Correlated,
            State::TrialRunning { .. } => RetryPermit::Correlated,
            _ if self.available < 1.0 => RetryPermit::Exhausted,
            State::Suspended { .. } => RetryPermit::Trial,
            State::Active => RetryPermit::Granted,
        };
        self.record_permit(permit)
    }

    /// Whether no retry may be sent now, for any request.
    pub fn blocks_retries(&self, now: f64) -> bool {
        match self.state {
            State::Active => self.available < 1.0,
            State::Suspended { until, .. } => now < until || self.available < 1.0,
            State::TrialRunning { since, duration } => now < since + duration,
        }
    }

    /// Counts a permit, also one that was decided elsewhere, and returns it.
    pub fn record_permit(&mut self, permit: RetryPermit) -> RetryPermit {
        *self.stats.permits.entry(permit.name()).or_default() += 1;
        permit
    }

    /// Removes and returns the lines for the log since the last call.
    pub fn drain_log_lines(&mut self) -> impl Iterator<Item = String> {
        self.log_lines.drain(..)
    }

    /// Statistics since the start.
    pub fn stats(&self) -> RetryStats {
        let is_suspended = self.state != State::Active;
        RetryStats { available: self.available, is_suspended, ..self.stats.clone() }
    }
}
