//! The operator's own file: what the platform's configuration does not cover. Every key has a default; a key
//! that is unknown or out of its range is rejected by name.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use serde::Deserialize;
use thiserror::Error;

/// More workers than cores don't help: each has a server table of its own.
const MAX_WORKERS: f64 = 64.0;

/// Why an operator's file can't be used; the text names the key at fault.
#[derive(Debug, Error)]
pub enum OperatorSettingsError {
    /// A key is unknown, or its value has the wrong type.
    #[error("{0}")]
    Form(#[from] serde_path_to_error::Error<toml::de::Error>),
    /// The file is not TOML.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// A value is out of its range.
    #[error("{key}: {value} is not {allowed}")]
    Range {
        /// The key.
        key: &'static str,
        /// Its value.
        value: f64,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// The whole file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Event loops, each on a thread and with an instance of the decisions of its own.
    pub workers: usize,
    /// Tenants' quotas.
    pub tenancy: Tenancy,
    /// Overload and recovery.
    pub recovery: Recovery,
    /// State that is kept over restarts.
    pub snapshot: Snapshot,
    /// Reports between balancers.
    pub gossip: Gossip,
    /// Budgets of the whole fleet.
    pub budgets: Budgets,
}

/// Budgets of the whole fleet, divided among its balancers through a store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Budgets {
    /// Members of the store, as `http://HOST:PORT`; without one there are no budgets.
    #[serde(rename = "store")]
    pub store_endpoints: Vec<String>,
    /// Prefix of all keys in the store.
    #[serde(rename = "prefix")]
    pub key_prefix: String,
    /// The file that names all balancers that there may be, one a line.
    #[serde(rename = "members")]
    pub members_file: Option<PathBuf>,
    /// Set-ups a second of the whole fleet.
    #[serde(rename = "set_ups")]
    pub setups_per_second: Option<f64>,
    /// Whether tenants' connection quotas hold for the whole fleet.
    #[serde(rename = "tenants")]
    pub has_tenant_budgets: bool,
    /// An allocation is in force for this long without a word from the store, in seconds.
    pub lease_s: f64,
    /// Clocks may drift apart by this much in a lease, in seconds.
    #[serde(rename = "margin_s")]
    pub clock_margin_s: f64,
    /// The store is polled this often, in seconds.
    #[serde(rename = "look_s")]
    pub poll_interval_s: f64,
    /// Connections beyond an allocation that has ended are migrated within this time, in seconds.
    #[serde(rename = "linger_s")]
    pub drain_time_s: f64,
    /// Share of each budget that is kept back for balancers without a word from the store.
    #[serde(rename = "reserve")]
    pub reserve_ratio: f64,
    /// Share of the rest that is divided evenly, whatever the demand.
    #[serde(rename = "floor")]
    pub floor_ratio: f64,
}

impl Default for Budgets {
    /// The allocations of a balancer that was killed go to the others within four seconds.
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

/// Reports between balancers of what they hold.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Gossip {
    /// The file that names all balancers of the fleet; without one nothing is reported.
    #[serde(rename = "peers")]
    pub peers_file: Option<PathBuf>,
    /// The file with the key that they share.
    #[serde(rename = "key")]
    pub key_file: Option<PathBuf>,
    /// Time between two reports, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: u64,
    /// Balancers that each report goes to.
    pub fanout: usize,
}

impl Default for Gossip {
    fn default() -> Self {
        Gossip { peers_file: None, key_file: None, interval_ms: 50, fanout: 3 }
    }
}

/// State that is kept over restarts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Snapshot {
    /// Where snapshots are kept; without one there are none.
    #[serde(rename = "folder")]
    pub directory: Option<PathBuf>,
    /// Time between two snapshots, in seconds.
    #[serde(rename = "every_s")]
    pub interval_s: f64,
    /// Snapshots that are kept.
    #[serde(rename = "keep")]
    pub generations: usize,
    /// Older snapshots are not restored, in seconds.
    #[serde(rename = "oldest_s")]
    pub max_age_s: f64,
}

impl Default for Snapshot {
    /// Servers warm up, and groups decay, within minutes.
    fn default() -> Self {
        Snapshot { directory: None, interval_s: 2.0, generations: 3, max_age_s: 600.0 }
    }
}

/// What is done under overload and when much of the fleet fails.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Recovery {
    /// Whether levels of reduced service take effect; they are reported in any case.
    pub levels: bool,
    /// Whether retries need a budget.
    #[serde(rename = "repeats")]
    pub retry_budget: bool,
    /// Whether established connections are migrated towards balance.
    pub rebalance: bool,
}

impl Recovery {
    /// Nothing is done; levels are reported.
    pub const OFF: Recovery = Recovery { levels: false, retry_budget: false, rebalance: false };
    /// Everything is done.
    pub const ALL: Recovery = Recovery { levels: true, retry_budget: true, rebalance: true };
}

impl Default for Recovery {
    /// Without rebalancing, which brings nothing where connections last for seconds.
    fn default() -> Self {
        Recovery { rebalance: false, ..Recovery::ALL }
    }
}

/// How tenants' quotas are enforced.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Tenancy {
    /// Whether the quotas of the settings are enforced at all.
    #[serde(rename = "on")]
    pub is_enabled: bool,
    /// Nothing is lent beyond this share of all quotas together.
    #[serde(rename = "lend")]
    pub lending_ratio: f64,
    /// Whether tenants within their quotas are ranked too when capacity is short.
    #[serde(rename = "ration")]
    pub rations_within_quota: bool,
    /// Connections of removed tenants that are migrated a second.
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
    allowed: &'static str,
) -> Result<(), OperatorSettingsError> {
    if range.contains(&value) { Ok(()) } else { Err(OperatorSettingsError::Range { key, value, allowed }) }
}

fn check_seconds(key: &'static str, seconds: f64) -> Result<(), OperatorSettingsError> {
    check_range(key, seconds, 0.001..=3600.0, "from 0.001 to 3600")
}

impl OperatorSettings {
    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// Fails where the text is not TOML, a key is unknown, or a value has the wrong type or is out of its
    /// range.
    pub fn parse(text: &str) -> Result<OperatorSettings, OperatorSettingsError> {
        let operator: OperatorSettings = serde_path_to_error::deserialize(toml::Deserializer::parse(text)?)?;
        operator.check_workers_and_tenancy()?;
        operator.check_needs_of_single_worker()?;
        operator.budgets.check()?;
        operator.gossip.check()?;
        operator.snapshot.check()?;
        Ok(operator)
    }

    fn check_workers_and_tenancy(&self) -> Result<(), OperatorSettingsError> {
        let Tenancy { lending_ratio, migrations_per_second, .. } = self.tenancy;
        check_range("workers", self.workers as f64, 1.0..=MAX_WORKERS, "from 1 to 64")?;
        check_range("tenancy.lend", lending_ratio, 0.05..=1.0, "from 0.05 to 1")?;
        check_range("tenancy.moves_per_s", migrations_per_second, 0.1..=1e9, "from 0.1 to 1e9")
    }

    fn check_needs_of_single_worker(&self) -> Result<(), OperatorSettingsError> {
        let workers = self.workers as f64;
        if self.gossip.peers_file.is_some() {
            check_range("workers", workers, 1.0..=1.0, "1, which [gossip] needs")?;
        }
        if !self.budgets.store_endpoints.is_empty() {
            check_range("workers", workers, 1.0..=1.0, "1, which [budgets] needs")?;
        }
        Ok(())
    }
}

impl Budgets {
    fn check(&self) -> Result<(), OperatorSettingsError> {
        let setups = self.setups_per_second.unwrap_or(0.0);
        check_range("budgets.set_ups", setups, 0.0..=1e9, "from 0 to 1e9")?;
        check_seconds("budgets.lease_s", self.lease_s)?;
        check_seconds("budgets.margin_s", self.clock_margin_s)?;
        check_seconds("budgets.look_s", self.poll_interval_s)?;
        check_seconds("budgets.linger_s", self.drain_time_s)
    }
}

impl Gossip {
    fn check(&self) -> Result<(), OperatorSettingsError> {
        check_range("gossip.every_ms", self.interval_ms as f64, 10.0..=1000.0, "from 10 to 1000")?;
        check_range("gossip.fanout", self.fanout as f64, 1.0..=32.0, "from 1 to 32")
    }
}

impl Snapshot {
    fn check(&self) -> Result<(), OperatorSettingsError> {
        check_range("snapshot.every_s", self.interval_s, 0.1..=3600.0, "from 0.1 to 3600")?;
        check_range("snapshot.keep", self.generations as f64, 1.0..=1000.0, "from 1 to 1000")?;
        check_range("snapshot.oldest_s", self.max_age_s, 0.0..=1e7, "from 0 to 1e7")
    }
}
