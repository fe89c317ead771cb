//! Tenants and the numeric ids by which connections refer to them.

use super::TenantLimits;
use crate::error::InvalidValue;
use crate::name::{ClassName, TenantName};
use serde::{Deserialize, Deserializer, Serialize};
use shorewharf_units::Micros;
use std::collections::BTreeSet;
use std::fmt;

/// The number by which connections, counters and usage refer to a tenant or a class.
///
/// An id is assigned once and never reused, not even for a tenant created again under the name of a removed one:
/// connections of the removed tenant may still be open, and they must not count as the new tenant's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NumericId(pub u32);

impl NumericId {
    /// The name of the record of this id: ten digits, so that names are ordered as ids are.
    pub fn key_name(self) -> String {
        format!("{:010}", self.0)
    }
}

impl fmt::Display for NumericId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "id {}", self.0)
    }
}

/// A tenant's share relative to other tenants when capacity is short; 1 to 1,000,000.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct Weight(u32);

impl Weight {
    /// The largest weight, at which sums over all tenants can't overflow.
    pub const MAX: u32 = 1_000_000;

    /// The weight of a tenant created without one.
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
    /// Served.
    #[default]
    Active,
    /// Established connections stay, new ones are rejected.
    Frozen,
    /// Established connections are migrated away at a limited rate, new ones are rejected.
    #[serde(rename = "leaving")]
    Draining,
}

/// Which side manages a tenant's record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// The administration API.
    #[default]
    Api,
    /// The configuration file: the next reading of it would undo changes by the API.
    File,
}

/// A tenant as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantRecord {
    /// Its name for display; the record's key has the canonical form.
    pub name: TenantName,
    /// Its numeric id.
    #[serde(rename = "place")]
    pub id: NumericId,
    /// Its share when capacity is short.
    pub weight: Weight,
    /// Its limits.
    pub limits: TenantLimits,
    /// The classes it may request; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub classes: Option<BTreeSet<ClassName>>,
    /// Whether it is served.
    pub state: TenantState,
    /// Which side manages it.
    pub origin: Origin,
    /// When it was created.
    pub created: Micros,
    /// When it was last changed.
    pub changed: Micros,
}

/// A tenant to create. The store assigns the id, the version and the times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewTenant {
    /// Its name.
    pub name: TenantName,
    /// Its share when capacity is short.
    #[serde(default)]
    pub weight: Weight,
    /// Its limits.
    #[serde(default)]
    pub limits: TenantLimits,
    /// The classes it may request; `None` for all.
    #[serde(default)]
    pub classes: Option<BTreeSet<ClassName>>,
    /// Whether it is served.
    #[serde(default)]
    pub state: TenantState,
    /// Which side manages it.
    #[serde(default)]
    pub origin: Origin,
}

impl NewTenant {
    /// A tenant of this name with the default weight and no limits.
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

/// Changes to a tenant; a field that is `None` stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantChange {
    /// Another spelling of the same name.
    pub name: Option<TenantName>,
    /// Its share when capacity is short.
    pub weight: Option<Weight>,
    /// Its limits, all of them.
    pub limits: Option<TenantLimits>,
    /// The classes it may request; `Some(None)`, in JSON `null`, for all.
    #[serde(deserialize_with = "present", skip_serializing_if = "Option::is_none")]
    pub classes: Option<Option<BTreeSet<ClassName>>>,
    /// Whether it is served.
    pub state: Option<TenantState>,
    /// Which side manages it.
    pub origin: Option<Origin>,
}

/// Tells a field that is `null` from one that is missing.
fn present<'de, T: Deserialize<'de>, D: Deserializer<'de>>(deserializer: D) -> Result<Option<T>, D::Error> {
    T::deserialize(deserializer).map(Some)
}

/// Which tenant an id was assigned to. Kept for ever: usage refers to ids, and connections of a removed tenant may
/// still be open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdAssignment {
    /// The id.
    #[serde(rename = "place")]
    pub id: NumericId,
    /// The tenant's name after its last change.
    pub name: TenantName,
    /// When the id was assigned.
    #[serde(rename = "given")]
    pub assigned: Micros,
    /// When the tenant was removed. Its connections are migrated away from then on, at a limited rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub removed: Option<Micros>,
}
