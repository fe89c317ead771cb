//! The signals that determine the level of service, and their conversion to one scale of severity.

use std::fmt;

/// Upper bound of any signal's severity.
const MAX_SEVERITY: f64 = 4.0;
/// Upper bound for retries, which alone must not lead to the severe level.
const MAX_RETRY_SEVERITY: f64 = 2.9;
/// Upper bound for a stale endpoint list, which by itself degrades nothing.
const MAX_LIST_SEVERITY: f64 = 1.4;

/// A signal's values at severity 1, 2 and 3: the thresholds of the levels strained, short and severe.
type Thresholds = [f64; 3];

/// When 3 % of the clients have no connection, a helpdesk notices.
const CLIENTS_IN_BACKOFF: Thresholds = [0.03, 0.12, 0.35];
/// From 85 % of a server's capacity, messages exceed their latency objective.
const UTILIZATION: Thresholds = [0.85, 1.05, 1.6];
/// Missing servers only mean less reserve for the next failure, unless hardly any server is left.
const MISSING_CAPACITY: Thresholds = [0.15, 0.8, 0.95];
const RETRY_RATIO: Thresholds = [0.15, 0.6, 2.0];
const LIST_AGE: Thresholds = [2.0, 1e3, 1e6];
/// In seconds. The latency objective of a setup is about 0.8 s.
const LOOP_LAG: Thresholds = [0.05, 0.2, 0.8];

/// The values of all signals at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSignals {
    /// Requests served, rejected or failed per second, over the last five seconds.
    pub requests_per_second: f64,
    /// Ratio of clients in backoff to all clients, including those with an established connection.
    pub backoff_ratio: f64,
    /// Ratio of retries to first attempts over the last five seconds.
    pub retry_ratio: f64,
    /// Ratio of demand to capacity of the fleet, if there is an estimate.
    pub utilization: Option<f64>,
    /// Ratio of the listed capacity in service to that of all known servers, from 0 to 1.
    pub capacity_in_service: f64,
    /// Time since discovery began to fail, as a multiple of the poll interval; 0 while discovery works.
    pub list_age: f64,
    /// Delay of the event loop, in seconds.
    pub loop_lag: f64,
}

impl Default for LoadSignals {
    fn default() -> Self {
        LoadSignals {
            requests_per_second: 0.0,
            backoff_ratio: 0.0,
            retry_ratio: 0.0,
            utilization: None,
            capacity_in_service: 1.0,
            list_age: 0.0,
            loop_lag: 0.0,
        }
    }
}

/// The severity of a signal's value: linear between the thresholds, and beyond them up to [`MAX_SEVERITY`].
fn severity_of(value: f64, [strained, short, severe]: Thresholds) -> f64 {
    if value <= strained {
        (value / strained).max(0.0)
    } else if value <= short {
        1.0 + (value - strained) / (short - strained)
    } else {
        (2.0 + (value - short) / (severe - short)).min(MAX_SEVERITY)
    }
}

/// How degraded the service is, and the signal that shows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Severity {
    /// 0 without degradation; 1, 2 and 3 are the thresholds of the levels strained, short and severe.
    pub value: f64,
    /// Log name of the signal with the highest severity; `none` if every signal's severity is 0.
    pub cause: &'static str,
}

impl LoadSignals {
    /// Returns the highest severity of all signals.
    pub fn severity(&self) -> Severity {
        let severities = [
            ("away", severity_of(self.backoff_ratio, CLIENTS_IN_BACKOFF)),
            ("room", self.utilization.map_or(0.0, |utilization| severity_of(utilization, UTILIZATION))),
            ("servers", severity_of(1.0 - self.capacity_in_service, MISSING_CAPACITY)),
            ("repeats", severity_of(self.retry_ratio, RETRY_RATIO).min(MAX_RETRY_SEVERITY)),
            ("list", severity_of(self.list_age, LIST_AGE).min(MAX_LIST_SEVERITY)),
            ("late", severity_of(self.loop_lag, LOOP_LAG)),
        ];
        let none = Severity { value: 0.0, cause: "none" };
        severities.into_iter().fold(
            none,
            |worst, (cause, value)| {
                if value > worst.value { Severity { value, cause } } else { worst }
            },
        )
    }
}

impl fmt::Display for LoadSignals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (requests, backoff, retries) = (self.requests_per_second, self.backoff_ratio, self.retry_ratio);
        write!(f, "asked={requests:.1} away={backoff:.3} repeats={retries:.3} ")?;
        if let Some(utilization) = self.utilization {
            write!(f, "pressure={utilization:.2} ")?;
        }
        let (in_service, list_age, lag) = (self.capacity_in_service, self.list_age, self.loop_lag);
        write!(f, "in_service={in_service:.2} list_age={list_age:.1} late={lag:.3}")
    }
}
