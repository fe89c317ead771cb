//! The signals that the level of service is decided by, and how they are put on one scale of severity.

use std::fmt;

/// No signal counts for more than this severity.
const MAX_SEVERITY: f64 = 4.0;
/// Retries alone never make the service severe.
const MAX_RETRY_SEVERITY: f64 = 2.9;
/// An old endpoint list makes nothing worse by itself.
const MAX_LIST_SEVERITY: f64 = 1.4;

/// A signal's values at severity 1, 2 and 3: where the strained, the short and the severe level begin.
type Thresholds = [f64; 3];

/// Three clients of a hundred without a connection are noticed by a helpdesk.
const CLIENTS_IN_BACKOFF: Thresholds = [0.03, 0.12, 0.35];
/// Messages are late from 0.85 of a server's capacity on.
const UTILIZATION: Thresholds = [0.85, 1.05, 1.6];
/// Missing servers say only that less is left for the next failure, unless hardly any is left.
const MISSING_CAPACITY: Thresholds = [0.15, 0.8, 0.95];
const RETRY_RATIO: Thresholds = [0.15, 0.6, 2.0];
const LIST_AGE: Thresholds = [2.0, 1e3, 1e6];
/// Set-ups have a latency objective of some 0.8 s.
const LOOP_LAG: Thresholds = [0.05, 0.2, 0.8];

/// The signals at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSignals {
    /// Requests answered a second, over the last seconds.
    pub requests_per_second: f64,
    /// Clients in backoff over all clients, those with an established connection included.
    pub backoff_ratio: f64,
    /// Retries for each first attempt.
    pub retry_ratio: f64,
    /// Demand over capacity, where there is an estimate.
    pub utilization: Option<f64>,
    /// Listed capacity in service over all that is known, from 0 to 1.
    pub capacity_in_service: f64,
    /// Time since discovery last answered, over the time for which it may be silent.
    pub list_age: f64,
    /// Seconds that the event loop runs behind.
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

/// The severity of a signal's value: linear between its thresholds and beyond.
fn severity_of(value: f64, [strained, short, severe]: Thresholds) -> f64 {
    if value <= strained {
        (value / strained).max(0.0)
    } else if value <= short {
        1.0 + (value - strained) / (short - strained)
    } else {
        (2.0 + (value - short) / (severe - short)).min(MAX_SEVERITY)
    }
}

/// How degraded the service is, and by which signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Severity {
    /// 0 where all is well; 1, 2 and 3 are the thresholds of the three levels below normal.
    pub value: f64,
    /// The signal with the worst value, as it is named in logs; `none` where all are well.
    pub cause: &'static str,
}

impl LoadSignals {
    /// The severity by the worst of the signals.
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
