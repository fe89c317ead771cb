//! The expectations of a scenario.

use serde::Deserialize;

use crate::error::{ScenarioError, check_range};

/// The shortest window over which loads are averaged, since they are sampled once a second.
const MIN_WINDOW_S: f64 = 1.0;

/// What must hold in a scenario. Independently of these, no process may exit unexpectedly in any scenario.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Expectations {
    /// Whether no rule of the platform may be broken and no connection lost, except for violations that an injected fault
    /// explains.
    pub rules: bool,
    /// The minimum share of the day's requests, weighted by priority, that is served.
    #[serde(rename = "served")]
    pub min_served: Option<f64>,
    /// Minimum shares of requests that are served within parts of the day.
    pub served_within: Vec<ServedBound>,
    /// The maximum ratio of load to capacity of a node that accepts clients, averaged over `window_s`.
    #[serde(rename = "load_most")]
    pub max_load: Option<f64>,
    /// The maximum ratio of a node's load to the mean load, averaged over `window_s`.
    #[serde(rename = "over_mean_most")]
    pub max_over_mean: Option<f64>,
    /// The minimum ratio of a node's load to the mean load, averaged over `idle_s`.
    #[serde(rename = "under_mean_least")]
    pub min_under_mean: Option<f64>,
    /// The maximum ratio of a node's setups in a slot (0.2 s) to an even share of all setups; a share is at least one.
    #[serde(rename = "set_ups_most")]
    pub max_setup_burst: Option<f64>,
    /// The maximum rate of the whole fleet's setups, in every slot (0.2 s) and every window of 1, 5 and 20 s.
    #[serde(rename = "set_ups_within")]
    pub setup_rate: Option<RateBound>,
    /// Maximum numbers of connections of tenants over the whole fleet, at any time.
    #[serde(rename = "holds_most")]
    pub max_connections: Vec<ConnectionBound>,
    /// The parts of the day in which loads have settled; bounds of loads hold only there.
    #[serde(rename = "settled_s")]
    pub settled: Vec<Interval>,
    /// The window over which loads are averaged, in seconds.
    pub window_s: f64,
    /// The window over which loads are averaged for `under_mean_least`, in seconds: a node may be idle for less than this.
    pub idle_s: f64,
}

impl Default for Expectations {
    fn default() -> Self {
        Expectations {
            rules: true,
            min_served: None,
            served_within: Vec::new(),
            max_load: None,
            max_over_mean: None,
            min_under_mean: None,
            max_setup_burst: None,
            setup_rate: None,
            max_connections: Vec::new(),
            settled: Vec::new(),
            window_s: 2.0,
            idle_s: 5.0,
        }
    }
}

/// A part of the day, in seconds; written as `[FROM, TO]`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(from = "(f64, f64)")]
pub struct Interval {
    /// Its begin, in seconds of the day.
    pub from_s: f64,
    /// Its end, in seconds of the day.
    pub to_s: f64,
}

impl From<(f64, f64)> for Interval {
    fn from((from_s, to_s): (f64, f64)) -> Interval {
        Interval { from_s, to_s }
    }
}

/// A bound of a rate over the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RateBound {
    /// The maximum number of events per second.
    #[serde(rename = "per_s")]
    pub per_second: f64,
    /// The number of events allowed in addition in each window: saved-up allowances and events already under way.
    #[serde(rename = "over")]
    pub burst: f64,
    /// The second of the day from which the bound holds.
    #[serde(default)]
    pub from_s: f64,
}

/// A bound of a tenant's connections.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConnectionBound {
    /// The tenant's name.
    pub tenant: String,
    /// The maximum number of connections.
    #[serde(rename = "most")]
    pub max: f64,
    /// The second of the day from which the bound holds.
    #[serde(default)]
    pub from_s: f64,
}

/// A bound of the served share within a part of the day.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServedBound {
    /// The begin of the part, in seconds.
    pub from_s: f64,
    /// Its end, in seconds.
    pub to_s: f64,
    /// The minimum share that is served.
    #[serde(rename = "least")]
    pub min: f64,
}

impl Expectations {
    pub(crate) fn check(&self) -> Result<(), ScenarioError> {
        for (key, share) in [("served", self.min_served), ("under_mean_least", self.min_under_mean)] {
            if let Some(share) = share {
                check_range(format!("promises.{key}"), share, 1.0)?;
            }
        }
        for (i, bound) in self.served_within.iter().enumerate() {
            let key = format!("promises.served_within[{i}]");
            check_range(format!("{key}.least"), bound.min, 1.0)?;
            check_interval(key, bound.from_s, bound.to_s)?;
        }
        for (i, settled) in self.settled.iter().enumerate() {
            check_interval(format!("promises.settled_s[{i}]"), settled.from_s, settled.to_s)?;
        }
        let bounds_load =
            [self.max_load, self.max_over_mean, self.min_under_mean].iter().any(Option::is_some);
        if bounds_load && self.settled.is_empty() {
            let cause = "is missing, but the bounds of loads hold only in these parts of the day";
            return Err(ScenarioError::invalid("promises.settled_s", cause));
        }
        if self.window_s < MIN_WINDOW_S || self.idle_s < MIN_WINDOW_S {
            let cause = "and idle_s must be at least 1 s, since loads are sampled once a second";
            return Err(ScenarioError::invalid("promises.window_s", cause));
        }
        Ok(())
    }
}

fn check_interval(key: String, from_s: f64, to_s: f64) -> Result<(), ScenarioError> {
    if from_s >= to_s {
        return Err(ScenarioError::invalid(key, "must end after it begins"));
    }
    Ok(())
}
