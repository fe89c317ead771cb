//! Limits of a tenant and of the whole service. A missing limit means unlimited.

use super::check_range;
use crate::error::InvalidValue;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

/// A rate in events a second, fractions allowed; 0 to 1,000,000.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct PerSecond(f64);

impl PerSecond {
    /// The highest rate.
    pub const MAX: f64 = 1e6;

    /// Checks a rate.
    ///
    /// # Errors
    /// If the rate is not from 0 to [`PerSecond::MAX`].
    pub fn new(rate: f64) -> Result<PerSecond, InvalidValue> {
        check_range("rate", rate, PerSecond::MAX)?;
        Ok(PerSecond(rate))
    }

    /// The rate in events a second.
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

/// Limits of one tenant over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// Established connections.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// New connections a second.
    #[serde(rename = "set_ups", default, skip_serializing_if = "Option::is_none")]
    pub setups: Option<PerSecond>,
    /// Reconnections a second, after a break or a migration.
    #[serde(rename = "returns", default, skip_serializing_if = "Option::is_none")]
    pub reconnects: Option<PerSecond>,
}

/// Limits of the whole service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLimits {
    /// Established connections of all tenants together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// New connections a second of all tenants together.
    #[serde(rename = "set_ups", skip_serializing_if = "Option::is_none")]
    pub setups: Option<PerSecond>,
    /// Reconnections a second of all tenants together.
    #[serde(rename = "returns", skip_serializing_if = "Option::is_none")]
    pub reconnects: Option<PerSecond>,
    /// Tenants.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenants: Option<u32>,
    /// Connections a second that an operator's migration may close.
    #[serde(rename = "moves", skip_serializing_if = "Option::is_none")]
    pub migrations: Option<PerSecond>,
    /// When they were last changed.
    pub changed: Micros,
}
