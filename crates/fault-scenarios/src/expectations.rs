//! What must hold in a scenario.

use serde::Deserialize;

use crate::error::{ScenarioError, check_range};

/// The shortest window of a mean: loads are sampled once a second.
const MIN_WINDOW_S: f64 = 1.0;

/// What must hold. In every scenario, no process may end by itself.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Expectations {
    /// No rule of the platform is broken, and no connection lost. What an injected fault explains is excused.
    pub rules: bool,
    /// The least share of the day's requests, weighted by priority, that is served.
    #[serde(rename = "served")]
    pub min_served: Option<f64>,
    /// The same within parts of the day.
    pub served_within: Vec<ServedBound>,
    /// The largest load over capacity of a node that accepts clients, over `window_s`.
    #[serde(rename = "load_most")]
    pub max_load: Option<f64>,
    /// The largest multiple of the mean load that a node has, over `window_s`.
    #[serde(rename = "over_mean_most")]
    pub max_over_mean: Option<f64>,
    /// The least part of the mean load that a node has, over `idle_s`.
    #[serde(rename = "under_mean_least")]
    pub min_under_mean: Option<f64>,
    /// The largest multiple of an even share of all setups that a node gets in a fifth of a second; a share is at least one.
    #[serde(rename = "set_ups_most")]
    pub max_setup_burst: Option<f64>,
    /// The rate of the whole fleet's setups, in every fifth of a second, every second, every five and every twenty.
    #[serde(rename = "set_ups_within")]
    pub setup_rate: Option<RateBound>,
    /// The most connections of tenants over the whole fleet, at any time.
    #[serde(rename = "holds_most")]
    pub max_connections: Vec<ConnectionBound>,
    /// When the day has settled: bounds of loads hold only then.
    #[serde(rename = "settled_s")]
    pub settled: Vec<Interval>,
    /// The window over which loads are averaged, in seconds.
    pub window_s: f64,
    /// A node may be idle for less than this, in seconds.
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
    /// Its begin.
    pub from_s: f64,
    /// Its end.
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
    /// Events a second.
    #[serde(rename = "per_s")]
    pub per_second: f64,
    /// Events besides, which were saved up or on their way.
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
    /// The most connections.
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
    /// The least share.
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
            let cause = "is missing: when has the load to be even?";
            return Err(ScenarioError::invalid("promises.settled_s", cause));
        }
        if self.window_s < MIN_WINDOW_S || self.idle_s < MIN_WINDOW_S {
            let cause = "and idle_s must be 1 s at least: loads are looked at once a second";
            return Err(ScenarioError::invalid("promises.window_s", cause));
        }
        Ok(())
    }
}

fn check_interval(key: String, from_s: f64, to_s: f64) -> Result<(), ScenarioError> {
    if from_s >= to_s {
        return Err(ScenarioError::invalid(key, "ends before it begins"));
    }
    Ok(())
}
