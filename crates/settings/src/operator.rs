//! The operator's own file (TOML), with settings that the platform's configuration does not contain. Every
//! key has a default. If a key is unknown or its value is out of range, the file is rejected with an error
//! that names the key.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use serde::Deserialize;
use thiserror::Error;

/// Maximum number of workers. More workers than cores don't help, as each has a server table of its own.
const MAX_WORKERS: f64 = 64.0;

/// The reason why an operator's file can't be used. The message names the invalid key.
#[derive(Debug, Error)]
pub enum OperatorSettingsError {
    /// A key is unknown, or its value has the wrong type.
    #[error("{0}")]
    Schema(#[from] serde_path_to_error::Error<toml::de::Error>),
    /// The file is not TOML.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// A value is out of range.
    #[error("{key}: {value} is out of range; expected {expected}")]
    Range {
        /// The key.
        key: &'static str,
        /// Its value.
        value: f64,
        /// The values that are valid.
        expected: &'static str,
    },
}

/// The settings in the operator's file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Number of event loops, each with its own thread and its own instance of the decisions.
    pub workers: usize,
    /// Enforcement of tenants' quotas.
    pub tenancy: Tenancy,
    /// Measures against overload and for recovery.
    pub recovery: Recovery,
    /// Snapshots of the state, from which a restarted process is restored.
    pub snapshot: Snapshot,
    /// Gossip between balancers.
    pub gossip: Gossip,
    /// Budgets of the whole fleet.
    pub budgets: Budgets,
}

/// Budgets of the whole fleet, which are divided among its balancers through a store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Budgets {
    /// Endpoints of the store, as `http://HOST:PORT`. If there are none, there are no budgets.
    #[serde(rename = "store")]
    pub store_endpoints: Vec<String>,
    /// Prefix of all keys in the store.
    #[serde(rename = "prefix")]
    pub key_prefix: String,
    /// Path of the file that names all balancers that the fleet may have, one per line.
    #[serde(rename = "members")]
    pub members_file: Option<PathBuf>,
    /// Budget of set-ups per second for the whole fleet; `None` for no such budget.
    #[serde(rename = "set_ups")]
    pub setups_per_second: Option<f64>,
    /// Whether each tenant's connection quota is a budget of the whole fleet.
    #[serde(rename = "tenants")]
    pub has_tenant_budgets: bool,
    /// How long an allocation remains valid without contact with the store, in seconds.
    pub lease_s: f64,
    /// Maximum drift between the clocks of two balancers during a lease, in seconds.
    #[serde(rename = "margin_s")]
    pub clock_margin_s: f64,
    /// Interval at which the store is polled, in seconds.
    #[serde(rename = "look_s")]
    pub poll_interval_s: f64,
    /// Time within which the connections beyond an allocation migrate after it has ended, in seconds.
    #[serde(rename = "linger_s")]
    pub drain_time_s: f64,
    /// Fraction of each budget that is kept back for balancers without contact with the store.
    #[serde(rename = "reserve")]
    pub reserve_ratio: f64,
    /// Fraction of the rest that is divided evenly among the balancers, whatever their demand.
    #[serde(rename = "floor")]
    pub floor_ratio: f64,
}

impl Default for Budgets {
    /// With these defaults, the allocations of a killed balancer go to the others within four seconds.
    fn default() -> Self {
        Budgets {
            store_endpoints: Vec::new(),
            key_prefix: "shorewharf".to_owned(),
            members_file: None,
            setups_per_second: None,
            has_tenant_budgets: false,
            lease_s: 3.0,
            clock_margin_s: 0.2,
            poll_interval_s: 0.25,
            drain_time_s: 3.0,
            reserve_ratio: 0.05,
            floor_ratio: 0.05,
        }
    }
}

/// Gossip between balancers about the connections that each of them holds.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Gossip {
    /// Path of the file that names all balancers of the fleet. If `None`, there is no gossip.
    #[serde(rename = "peers")]
    pub peers_file: Option<PathBuf>,
    /// Path of the file with the key that all balancers of the fleet share.
    #[serde(rename = "key")]
    pub key_file: Option<PathBuf>,
    /// Interval between two announcements, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: u64,
    /// Number of balancers to which each announcement is sent.
    pub fanout: usize,
}

impl Default for Gossip {
    fn default() -> Self {
        Gossip { peers_file: None, key_file: None, interval_ms: 50, fanout: 3 }
    }
}

/// Snapshots of the state, from which a restarted process is restored.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Snapshot {
    /// Directory of the snapshots. If `None`, none are written or restored.
    #[serde(rename = "folder")]
    pub directory: Option<PathBuf>,
    /// Interval between two snapshots, in seconds.
    #[serde(rename = "every_s")]
    pub interval_s: f64,
    /// Number of snapshots that are kept.
    #[serde(rename = "keep")]
    pub generations: usize,
    /// Maximum age of a snapshot that is restored, in seconds.
    #[serde(rename = "oldest_s")]
    pub max_age_s: f64,
}

impl Default for Snapshot {
    /// The maximum age is ten minutes, because servers warm up, and groups decay, within minutes.
    fn default() -> Self {
        Snapshot { directory: None, interval_s: 2.0, generations: 3, max_age_s: 600.0 }
    }
}

/// Measures that are taken under overload and when a large part of the fleet fails.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Recovery {
    /// Whether the levels of service take effect. They are reported in any case.
    pub levels: bool,
    /// Whether retries are limited by a retry budget.
    #[serde(rename = "repeats")]
    pub retry_budget: bool,
    /// Whether established connections migrate to balance the load.
    pub rebalance: bool,
}

impl Recovery {
    /// No measure is taken. Levels of service are still reported.
    pub const OFF: Recovery = Recovery { levels: false, retry_budget: false, rebalance: false };
    /// All measures are taken.
    pub const ALL: Recovery = Recovery { levels: true, retry_budget: true, rebalance: true };
}

impl Default for Recovery {
    /// All measures except rebalancing, which does not help if connections last only seconds.
    fn default() -> Self {
        Recovery { rebalance: false, ..Recovery::ALL }
    }
}

/// Enforcement of tenants' quotas.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Tenancy {
    /// Whether the quotas in the settings are enforced.
    #[serde(rename = "on")]
    pub is_enabled: bool,
    /// Fraction of the sum of all quotas beyond which nothing is lent.
    #[serde(rename = "lend")]
    pub lending_ratio: f64,
    /// Whether a shortage of capacity also affects tenants within their quotas, of which those with the
    /// highest utilization are rejected first.
    #[serde(rename = "ration")]
    pub rations_within_quota: bool,
    /// Number of connections of removed tenants that migrate per second.
    #[serde(rename = "moves_per_s")]
    pub migrations_per_second: f64,
}

impl Default for Tenancy {
    fn default() -> Self {
        Tenancy {
            is_enabled: false,
            lending_ratio: 0.4,
            rations_within_quota: false,
            migrations_per_second: 20.0,
        }
    }
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            workers: 1,
            tenancy: Tenancy::default(),
            recovery: Recovery::default(),
            snapshot: Snapshot::default(),
            gossip: Gossip::default(),
            budgets: Budgets::default(),
        }
    }
}

fn check_range(
    key: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
    expected: &'static str,
) -> Result<(), OperatorSettingsError> {
    if range.contains(&value) { Ok(()) } else { Err(OperatorSettingsError::Range { key, value, expected }) }
}

fn check_seconds(key: &'static str, seconds: f64) -> Result<(), OperatorSettingsError> {
    check_range(key, seconds, 0.001..=3600.0, "a number from 0.001 to 3600")
}

impl OperatorSettings {
    /// Parses the text of an operator's file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not TOML, a key is unknown, or a value has the wrong type or is out of range.
    pub fn parse(text: &str) -> Result<OperatorSettings, OperatorSettingsError> {
        let operator: OperatorSettings = serde_path_to_error::deserialize(toml::Deserializer::parse(text)?)?;
        operator.check_workers_and_tenancy()?;
        operator.check_single_worker()?;
        operator.budgets.check()?;
        operator.gossip.check()?;
        operator.snapshot.check()?;
        Ok(operator)
    }

    fn check_workers_and_tenancy(&self) -> Result<(), OperatorSettingsError> {
        let Tenancy { lending_ratio, migrations_per_second, .. } = self.tenancy;
        check_range("workers", self.workers as f64, 1.0..=MAX_WORKERS, "a whole number from 1 to 64")?;
        check_range("tenancy.lend", lending_ratio, 0.05..=1.0, "a number from 0.05 to 1")?;
        check_range("tenancy.moves_per_s", migrations_per_second, 0.1..=1e9, "a number from 0.1 to 1e9")
    }

    fn check_single_worker(&self) -> Result<(), OperatorSettingsError> {
        let workers = self.workers as f64;
        if self.gossip.peers_file.is_some() {
            check_range("workers", workers, 1.0..=1.0, "1, because gossip.peers is set")?;
        }
        if !self.budgets.store_endpoints.is_empty() {
            check_range("workers", workers, 1.0..=1.0, "1, because budgets.store is set")?;
        }
        Ok(())
    }
}

impl Budgets {
    fn check(&self) -> Result<(), OperatorSettingsError> {
        let setups = self.setups_per_second.unwrap_or(0.0);
        check_range("budgets.set_ups", setups, 0.0..=1e9, "a number from 0 to 1e9")?;
        check_seconds("budgets.lease_s", self.lease_s)?;
        check_seconds("budgets.margin_s", self.clock_margin_s)?;
        check_seconds("budgets.look_s", self.poll_interval_s)?;
        check_seconds("budgets.linger_s", self.drain_time_s)
    }
}

impl Gossip {
    fn check(&self) -> Result<(), OperatorSettingsError> {
        check_range(
            "gossip.every_ms",
            self.interval_ms as f64,
            10.0..=1000.0,
            "a whole number from 10 to 1000",
        )?;
        check_range("gossip.fanout", self.fanout as f64, 1.0..=32.0, "a whole number from 1 to 32")
    }
}

impl Snapshot {
    fn check(&self) -> Result<(), OperatorSettingsError> {
        check_range("snapshot.every_s", self.interval_s, 0.1..=3600.0, "a number from 0.1 to 3600")?;
        check_range("snapshot.keep", self.generations as f64, 1.0..=1000.0, "a whole number from 1 to 1000")?;
        check_range("snapshot.oldest_s", self.max_age_s, 0.0..=1e7, "a number from 0 to 1e7")
    }
}
