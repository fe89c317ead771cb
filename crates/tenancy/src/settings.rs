//! The limits of tenants and the settings of an instance, with checks of their ranges.

use shorewharf_units::Micros;
use thiserror::Error;

/// An invalid limit or setting.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum SettingError {
    /// The value is out of its range.
    #[error("{key} is {value}, but must be {allowed}")]
    OutOfRange {
        /// Name of the limit or setting.
        key: &'static str,
        /// The invalid value.
        value: f64,
        /// The allowed range, in words.
        allowed: &'static str,
    },
}

fn check(key: &'static str, value: f64, is_valid: bool, allowed: &'static str) -> Result<(), SettingError> {
    if is_valid { Ok(()) } else { Err(SettingError::OutOfRange { key, value, allowed }) }
}

/// Largest quota. Up to this size, sums of quotas stay exact.
const MAX_QUOTA: f64 = 1e9;
/// Upper bound of the longest wait: an hour, in microseconds.
const MAX_LONGEST_WAIT: f64 = 3.6e9;

/// The limits of a tenant over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimits {
    connections: f64,
    setups_per_second: f64,
    weight: f64,
    may_borrow: bool,
}

impl TenantLimits {
    /// Creates limits of connections and of set-ups a second, each over all instances together. The weight is
    /// 1, and the tenant may borrow.
    ///
    /// # Errors
    ///
    /// Returns an error if a limit is not from 0 to 1e9.
    pub fn new(connections: f64, setups_per_second: f64) -> Result<TenantLimits, SettingError> {
        for (key, value) in [("connections", connections), ("per_s", setups_per_second)] {
            check(key, value, (0.0..=MAX_QUOTA).contains(&value), "from 0 to 1e9")?;
        }
        Ok(TenantLimits { connections, setups_per_second, weight: 1.0, may_borrow: true })
    }

    /// Returns the same limits with another weight. The weight multiplies the quotas for the comparison with
    /// other tenants: at weight 2, the same usage counts as half the utilization.
    ///
    /// # Errors
    ///
    /// Returns an error if the weight is not from 0.001 to 1000.
    pub fn with_weight(self, weight: f64) -> Result<TenantLimits, SettingError> {
        check("weight", weight, (1e-3..=1e3).contains(&weight), "from 0.001 to 1000")?;
        Ok(TenantLimits { weight, ..self })
    }

    /// Returns the same limits for a tenant that may not borrow beyond its quotas.
    pub fn without_borrowing(self) -> TenantLimits {
        TenantLimits { may_borrow: false, ..self }
    }

    /// The quota of connections over all instances together.
    pub fn connections(&self) -> f64 {
        self.connections
    }

    /// The quota of set-ups a second over all instances together.
    pub fn setups_per_second(&self) -> f64 {
        self.setups_per_second
    }

    /// The tenant's weight.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Whether the tenant may borrow what other tenants leave unused.
    pub fn may_borrow(&self) -> bool {
        self.may_borrow
    }
}

/// The settings of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenancySettings {
    /// Number of instances that share the traffic. Some of them may be down.
    pub instance_count: f64,
    /// Fraction of the sum of all quotas beyond which nothing is lent.
    pub lending_ratio: f64,
    /// Whether a shortage of capacity also affects tenants within their quotas: those with the highest
    /// utilization are rejected then. If false, only tenants beyond their quotas are.
    pub rations_within_quota: bool,
    /// Longest retry-after that clients honour, in microseconds; 0 if clients get none.
    pub longest_wait: Micros,
    /// Number of connections that migrate a second, over all removed tenants together.
    pub migrations_per_second: f64,
}

impl TenancySettings {
    /// Creates the settings for a fleet of `instance_count` instances, with defaults for the rest.
    pub fn new(instance_count: f64) -> TenancySettings {
        TenancySettings {
            instance_count,
            lending_ratio: 0.4,
            rations_within_quota: false,
            longest_wait: 1_500_000,
            migrations_per_second: 20.0,
        }
    }

    /// Returns the settings if each is in its range.
    ///
    /// # Errors
    ///
    /// Returns an error with the first setting that is out of its range.
    pub fn checked(self) -> Result<TenancySettings, SettingError> {
        let instances = self.instance_count;
        check("instances", instances, (1.0..=MAX_QUOTA).contains(&instances), "from 1 to 1e9")?;
        check("lend", self.lending_ratio, (0.05..=1.0).contains(&self.lending_ratio), "from 0.05 to 1")?;
        let migrations = self.migrations_per_second;
        check("moves_per_s", migrations, (0.1..=MAX_QUOTA).contains(&migrations), "from 0.1 to 1e9")?;
        let wait = self.longest_wait as f64;
        check("longest_wait", wait, wait <= MAX_LONGEST_WAIT, "at most an hour in microseconds")?;
        Ok(self)
    }
}
