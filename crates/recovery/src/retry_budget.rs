//! The budget for retries of failed attempts.
//!
//! A retry makes the fleet do the same work twice. If failures at several servers have a common cause, such as a fully
//! loaded fleet or an unavailable store, retries fail as well. An attempt is therefore retried only if its failure is
//! not correlated with failures at other servers, and retries are limited to a share of first attempts. Correlated
//! failures suspend the budget; after a pause, a single trial finds out whether servers answer again, as in a circuit
//! breaker.

use std::collections::BTreeMap;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use shorewharf_decisions::{Outcome, ServerId};

use crate::random::random_unit;

/// Maximum number of retries per request: two are enough to get past two servers whose failure is not known yet.
const MAX_RETRIES_PER_REQUEST: u32 = 2;
/// Retries that each first attempt adds to the budget: in the long run, at most a fifth of all attempts are retries.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.25;
/// Retries in a full budget, and in a new one: the failure of one server affects several requests at once.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Time for which a server's last outcome is taken into account.
const OUTCOME_VALID_SECONDS: f64 = 3.0;
/// Failures are correlated if at least this many servers fail ...
const MIN_FAILING_SERVERS: usize = 2;
/// ... and they are at least this share of the servers with a recent outcome.
const MIN_FAILING_RATIO: f64 = 0.34;
/// Duration of the first suspension, before jitter; each failed trial doubles it.
const SUSPENDED_SECONDS: f64 = 2.0;
/// The longest suspension, before jitter.
const MAX_SUSPENDED_SECONDS: f64 = 8.0;

/// Answer to a request for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPermit {
    /// The retry may be sent.
    Granted,
    /// The retry may be sent, as the single trial after correlated failures.
    Trial,
    /// Denied: failures are correlated, so that another server would probably fail as well.
    Correlated,
    /// Denied: the instance's budget is exhausted.
    Exhausted,
    /// Denied: the request has reached its own limit of retries.
    RequestLimit,
    /// Denied: the level of service forbids the retry.
    LevelForbids,
}

impl RetryPermit {
    /// Whether the retry may be sent.
    pub fn is_granted(self) -> bool {
        matches!(self, RetryPermit::Granted | RetryPermit::Trial)
    }

    /// The permit's name in reports.
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

/// Whether an attempt's outcome means that the server could not serve it.
pub fn is_server_failure(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent)
}

/// Statistics of the retry budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryStats {
    /// Retries left in the budget.
    pub available: f64,
    /// Whether the budget is suspended because of correlated failures.
    pub is_suspended: bool,
    /// Number of first attempts sent.
    pub first_attempts: u64,
    /// Number of retries sent.
    pub retries: u64,
    /// Number of suspensions.
    pub suspensions: u64,
    /// Number of answers to requests for a retry, by name of the permit.
    pub permits: BTreeMap<&'static str, u64>,
}

/// The state of the budget. Like a circuit breaker it is closed (`Active`), open (`Suspended`) or half open
/// (`TrialRunning`). Times and durations are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Active,
    /// No retries until `until`; `duration` is the duration of the suspension before jitter.
    Suspended {
        until: f64,
        duration: f64,
    },
    /// One trial is in progress after a suspension of `duration`.
    TrialRunning {
        since: f64,
        duration: f64,
    },
}

/// The last outcome of an attempt at a server.
#[derive(Clone, Copy, Debug)]
struct RecentOutcome {
    at: f64,
    is_failure: bool,
}

/// The retry budget of one instance.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries left.
    available: f64,
    state: State,
    recent_outcomes: BTreeMap<ServerId, RecentOutcome>,
    rng: Pcg64Mcg,
    log_lines: Vec<String>,
    stats: RetryStats,
}

impl RetryBudget {
    /// Creates a full budget. `seed` determines the jitter of suspensions, so that the instances don't all send their
    /// trial at the same time.
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

    /// Records a first attempt that was sent.
    pub fn on_first_attempt(&mut self) {
        self.stats.first_attempts += 1;
        self.available = (self.available + RETRIES_PER_FIRST_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// Records a retry that was sent.
    pub fn on_retry(&mut self, now: f64) {
        self.stats.retries += 1;
        self.available = (self.available - 1.0).max(0.0);
        if let State::Suspended { until, duration } = self.state
            && now >= until
        {
            self.state = State::TrialRunning { since: now, duration };
        }
    }

    /// Records that an attempt at a server has ended or was established.
    pub fn on_outcome(&mut self, now: f64, server: ServerId, outcome: Outcome) {
        // A refused connection concerns this server only, and the attempt costs the fleet nothing.
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
            // Any correlated failure, not only that of the trial itself, shows that servers don't answer yet.
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

    /// Decides whether a request that has had `attempts` attempts may be retried, and counts the answer.
    pub fn request_permit(&mut self, now: f64, attempts: u32) -> RetryPermit {
        if let State::TrialRunning { since, duration } = self.state
            && now >= since + duration
        {
            // The trial has had no result in time: another one may be sent.
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

    /// Whether no request may be retried now.
    pub fn blocks_retries(&self, now: f64) -> bool {
        match self.state {
            State::Active => self.available < 1.0,
            State::Suspended { until, .. } => now < until || self.available < 1.0,
            State::TrialRunning { since, duration } => now < since + duration,
        }
    }

    /// Counts a permit, including one that was decided outside the budget, and returns it.
    pub fn record_permit(&mut self, permit: RetryPermit) -> RetryPermit {
        *self.stats.permits.entry(permit.name()).or_default() += 1;
        permit
    }

    /// Removes and returns the log lines written since the last call.
    pub fn drain_log_lines(&mut self) -> impl Iterator<Item = String> {
        self.log_lines.drain(..)
    }

    /// Returns the statistics since the start.
    pub fn stats(&self) -> RetryStats {
        let is_suspended = self.state != State::Active;
        RetryStats { available: self.available, is_suspended, ..self.stats.clone() }
    }
}
