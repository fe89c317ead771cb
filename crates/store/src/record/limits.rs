//! Limits of a single tenant and of the whole service. `None` means unlimited.

use super::check_range;
use crate::error::InvalidValue;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

/// A rate in events per second, from 0 to 1,000,000; fractions are allowed.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct PerSecond(f64);

impl PerSecond {
    /// The maximum rate.
    pub const MAX: f64 = 1e6;

    /// Checks a rate.
    ///
    /// # Errors
    /// If the rate is not from 0 to [`PerSecond::MAX`].
    pub fn new(rate: f64) -> Result<PerSecond, InvalidValue> {
        check_range("rate", rate, PerSecond::MAX)?;
        Ok(PerSecond(rate))
    }

    /// The rate in events per second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for PerSecond {
    type Error = InvalidValue;
    fn try_from(rate: f64) -> Result<PerSecond, InvalidValue> {
        PerSecond::new(rate)
    }
}

impl From<PerSecond> for f64 {
    fn from(rate: PerSecond) -> f64 {
        rate.0
    }
}

/// Limits of one tenant, over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// The maximum number of established connections.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// The maximum rate of new connections.
    #[serde(rename = "set_ups", default, skip_serializing_if = "Option::is_none")]
    pub setups: Option<PerSecond>,
    /// The maximum rate of reconnects after a lost connection or a migration.
    #[serde(rename = "returns", default, skip_serializing_if = "Option::is_none")]
    pub reconnects: Option<PerSecond>,
}

/// Limits of the whole service, over all tenants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLimits {
    /// The maximum number of established connections of all tenants together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// The maximum rate of new connections of all tenants together.
    #[serde(rename = "set_ups", skip_serializing_if = "Option::is_none")]
    pub setups: Option<PerSecond>,
    /// The maximum rate of reconnects of all tenants together.
    #[serde(rename = "returns", skip_serializing_if = "Option::is_none")]
    pub reconnects: Option<PerSecond>,
    /// The maximum number of tenants.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenants: Option<u32>,
    /// The maximum rate at which a migration by an operator closes connections.
    #[serde(rename = "moves", skip_serializing_if = "Option::is_none")]
    pub migrations: Option<PerSecond>,
    /// The time at which the limits were last changed.
    pub changed: Micros,
}
