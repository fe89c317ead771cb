//! Tenants' limits and the settings of an instance, checked where they are made.

use shorewharf_units::Micros;
use thiserror::Error;

/// A limit or setting that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum SettingError {
    /// It is out of its range.
    #[error("{key}: {value} is not {allowed}")]
    OutOfRange {
        /// The setting's name.
        key: &'static str,
        /// What it was.
        value: f64,
        /// What is allowed.
        allowed: &'static str,
    },
}

fn check(key: &'static str, value: f64, is_valid: bool, allowed: &'static str) -> Result<(), SettingError> {
    if is_valid { Ok(()) } else { Err(SettingError::OutOfRange { key, value, allowed }) }
}

/// The largest quota: sums of quotas stay exact below it.
const MAX_QUOTA: f64 = 1e9;
/// The longest wait that may be set: an hour, in microseconds.
const MAX_LONGEST_WAIT: f64 = 3.6e9;

/// A tenant's quota of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimits {
    connections: f64,
    setups_per_second: f64,
    weight: f64,
    may_borrow: bool,
}

impl TenantLimits {
    /// Limits for all instances together: connections, and set-ups a second. The weight is 1, and the tenant may
    /// borrow.
    ///
    /// # Errors
    ///
    /// Returns an error if a limit is negative, above 1e9 or not a number.
    pub fn new(connections: f64, setups_per_second: f64) -> Result<TenantLimits, SettingError> {
        for (key, value) in [("connections", connections), ("per_s", setups_per_second)] {
            check(key, value, (0.0..=MAX_QUOTA).contains(&value), "from 0 to 1e9")?;
        }
        Ok(TenantLimits { connections, setups_per_second, weight: 1.0, may_borrow: true })
    }

    /// The same limits with another weight: a tenant of weight 2 counts as half as far beyond its quota.
    ///
    /// # Errors
    ///
    /// Returns an error if the weight is not from 0.001 to 1000.
    pub fn with_weight(self, weight: f64) -> Result<TenantLimits, SettingError> {
        check("weight", weight, (1e-3..=1e3).contains(&weight), "from 0.001 to 1000")?;
        Ok(TenantLimits { weight, ..self })
    }

    /// The same limits, without borrowing beyond the quota.
    pub fn without_borrowing(self) -> TenantLimits {
        TenantLimits { may_borrow: false, ..self }
    }

    /// Connections over all instances together.
    pub fn connections(&self) -> f64 {
        self.connections
    }

    /// Set-ups a second over all instances together.
    pub fn setups_per_second(&self) -> f64 {
        self.setups_per_second
    }

    /// The tenant's weight.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Whether the tenant may use what others leave unused.
    pub fn may_borrow(&self) -> bool {
        self.may_borrow
    }
}

/// What an instance knows of the fleet, and how it shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenancySettings {
    /// How many instances share the traffic. Fewer may be alive.
    pub instance_count: f64,
    /// Beyond this part of all quotas together nothing is lent.
    pub lending_ratio: f64,
    /// When capacity is short, tenants within their quotas are ranked as well, by weight and use; else only those
    /// beyond their quotas wait.
    pub rations_within_quota: bool,
    /// The longest Retry-After that clients honour, in microseconds; 0 where none is sent.
    pub longest_wait: Micros,
    /// Connections of removed tenants that migrate a second, of all such tenants together.
    pub migrations_per_second: f64,
}

impl TenancySettings {
    /// Settings of a fleet of `instance_count` instances, with defaults for the rest.
    pub fn new(instance_count: f64) -> TenancySettings {
        TenancySettings {
            instance_count,
            lending_ratio: 0.4,
            rations_within_quota: false,
            longest_wait: 1_500_000,
            migrations_per_second: 20.0,
        }
    }

    /// Checks that every setting can be used.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first setting that is out of its range.
    pub fn checked(self) -> Result<TenancySettings, SettingError> {
        let instances = self.instance_count;
        check("instances", instances, (1.0..=MAX_QUOTA).contains(&instances), "from 1 to 1e9")?;
        check("lend", self.lending_ratio, (0.05..=1.0).contains(&self.lending_ratio), "from 0.05 to 1")?;
        let migrations = self.migrations_per_second;
        check("moves_per_s", migrations, (0.1..=MAX_QUOTA).contains(&migrations), "from 0.1 to 1e9")?;
        let wait = self.longest_wait as f64;
        check("longest_wait", wait, wait <= MAX_LONGEST_WAIT, "an hour at most")?;
        Ok(self)
    }
}
