//! Tenants, and the numeric ids by which connections refer to them.

use super::TenantLimits;
use crate::error::InvalidValue;
use crate::name::{ClassName, TenantName};
use serde::{Deserialize, Deserializer, Serialize};
use shorewharf_units::Micros;
use std::collections::BTreeSet;
use std::fmt;

/// The number by which connections, counters and usage records refer to a tenant or a class.
///
/// An id is assigned once and never reused, not even for a tenant created again under the name of a removed one:
/// connections of the removed tenant may still be open, and they must not count as the new tenant's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NumericId(pub u32);

impl NumericId {
    /// The name of the record of this id's assignment: ten digits, so that names sort in the order of the ids.
    pub fn key_name(self) -> String {
        format!("{:010}", self.0)
    }
}

impl fmt::Display for NumericId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "id {}", self.0)
    }
}

/// A tenant's share of scarce capacity relative to other tenants; 1 to 1,000,000.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct Weight(u32);

impl Weight {
    /// The maximum weight, chosen so that sums over all tenants can't overflow.
    pub const MAX: u32 = 1_000_000;

    /// The weight of a tenant that is created without one.
    pub const DEFAULT: Weight = Weight(100);

    /// Checks a weight.
    ///
    /// # Errors
    /// If the weight is not from 1 to [`Weight::MAX`].
    pub fn new(weight: u32) -> Result<Weight, InvalidValue> {
        if !(1..=Weight::MAX).contains(&weight) {
            let cause = format!("{weight} is not between 1 and {}", Weight::MAX);
            return Err(InvalidValue::new("weight", cause));
        }
        Ok(Weight(weight))
    }

    /// The weight as a number.
    pub fn get(self) -> u32 {
        self.0
    }
}

impl Default for Weight {
    fn default() -> Weight {
        Weight::DEFAULT
    }
}

impl TryFrom<u32> for Weight {
    type Error = InvalidValue;
    fn try_from(weight: u32) -> Result<Weight, InvalidValue> {
        Weight::new(weight)
    }
}

impl From<Weight> for u32 {
    fn from(weight: Weight) -> u32 {
        weight.0
    }
}

/// Whether a tenant is served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TenantState {
    /// The tenant is served.
    #[default]
    Active,
    /// Established connections are kept; new ones are rejected.
    Frozen,
    /// Established connections are migrated away at a limited rate; new ones are rejected.
    #[serde(rename = "leaving")]
    Draining,
}

/// What manages a tenant's record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// The administration API.
    #[default]
    Api,
    /// The configuration file. Changes through the API would be undone when the file is next read.
    File,
}

/// The stored record of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantRecord {
    /// The tenant's name as displayed; the record's key has the canonical form.
    pub name: TenantName,
    /// The tenant's numeric id.
    #[serde(rename = "place")]
    pub id: NumericId,
    /// The tenant's share of scarce capacity.
    pub weight: Weight,
    /// The tenant's limits.
    pub limits: TenantLimits,
    /// The classes that the tenant may request; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub classes: Option<BTreeSet<ClassName>>,
    /// Whether the tenant is served.
    pub state: TenantState,
    /// What manages the record.
    pub origin: Origin,
    /// The time at which the tenant was created.
    pub created: Micros,
    /// The time at which the record was last changed.
    pub changed: Micros,
}

/// A tenant to create. The store assigns the id, the version and the times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewTenant {
    /// The tenant's name.
    pub name: TenantName,
    /// The tenant's share of scarce capacity.
    #[serde(default)]
    pub weight: Weight,
    /// The tenant's limits.
    #[serde(default)]
    pub limits: TenantLimits,
    /// The classes that the tenant may request; `None` for all.
    #[serde(default)]
    pub classes: Option<BTreeSet<ClassName>>,
    /// Whether the tenant is served.
    #[serde(default)]
    pub state: TenantState,
    /// What manages the record.
    #[serde(default)]
    pub origin: Origin,
}

impl NewTenant {
    /// An active tenant of this name with the default weight, all classes and no limits.
    pub fn named(name: TenantName) -> NewTenant {
        NewTenant {
            name,
            weight: Weight::default(),
            limits: TenantLimits::default(),
            classes: None,
            state: TenantState::Active,
            origin: Origin::Api,
        }
    }
}

/// Changes to a tenant. A field that is `None` is not changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantChange {
    /// Another spelling of the tenant's name, with the same canonical form.
    pub name: Option<TenantName>,
    /// The tenant's share of scarce capacity.
    pub weight: Option<Weight>,
    /// The new limits, which replace all present ones.
    pub limits: Option<TenantLimits>,
    /// The classes that the tenant may request; `Some(None)`, which is `null` in JSON, for all.
    #[serde(deserialize_with = "deserialize_present", skip_serializing_if = "Option::is_none")]
    pub classes: Option<Option<BTreeSet<ClassName>>>,
    /// Whether the tenant is served.
    pub state: Option<TenantState>,
    /// What manages the record.
    pub origin: Option<Origin>,
}

/// Deserializes a field that is present, so that `null` is `Some(None)` while a missing field is `None`.
fn deserialize_present<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    T::deserialize(deserializer).map(Some)
}

/// The tenant that an id was assigned to. The record is never removed: usage records refer to ids, and connections of a
/// removed tenant may still be open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdAssignment {
    /// The assigned id.
    #[serde(rename = "place")]
    pub id: NumericId,
    /// The tenant's name as last displayed.
    pub name: TenantName,
    /// The time at which the id was assigned.
    #[serde(rename = "given")]
    pub assigned: Micros,
    /// The time at which the tenant was removed. From then on its connections are migrated away at a limited rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub removed: Option<Micros>,
}
