//! Limits of the whole service.

use super::{Micros, PerSecond};
use serde::{Deserialize, Serialize};

/// What the whole service may hold and take; what is missing is not limited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLimits {
    /// Standing connections of all tenants together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// New connections a second of all tenants together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub set_ups: Option<PerSecond>,
    /// Connections a second that come again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub returns: Option<PerSecond>,
    /// Tenants.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenants: Option<u32>,
    /// Connections a second that an operator's move may send away.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub moves: Option<PerSecond>,
    /// When they were last changed.
    pub changed: Micros,
}
