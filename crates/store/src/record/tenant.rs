//! Tenants, their limits, and the places that connections refer to.

use super::Micros;
use crate::error::Invalid;
use crate::name::{ClassName, Name};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// A tenant's place: the number by which connections, counters and usage refer to it.
///
/// A place is given once. It is never given again, not even to a tenant made anew under the name of one that was
/// removed: streams of the removed tenant may still stand, and they must not count as the new one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Place(pub u32);

impl Place {
    /// The place as the name of a key: ten digits, so that names are ordered as places are.
    pub fn key(self) -> String {
        format!("{:010}", self.0)
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "place {}", self.0)
    }
}

/// A tenant's part where there is not enough for all, beside the other tenants' weights; 1 to 1,000,000.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct Weight(u32);

impl Weight {
    /// The largest weight; sums over all tenants stay far from overflow.
    pub const LARGEST: u32 = 1_000_000;

    /// Checks a weight.
    pub fn new(weight: u32) -> Result<Weight, Invalid> {
        match (1..=Weight::LARGEST).contains(&weight) {
            true => Ok(Weight(weight)),
            false => {
                Err(Invalid::new("weight", format!("{weight} is not between 1 and {}", Weight::LARGEST)))
            }
        }
    }

    /// The weight.
    pub fn get(self) -> u32 {
        self.0
    }
}

impl Default for Weight {
    fn default() -> Weight {
        Weight(100)
    }
}

impl TryFrom<u32> for Weight {
    type Error = Invalid;
    fn try_from(weight: u32) -> Result<Weight, Invalid> {
        Weight::new(weight)
    }
}

impl From<Weight> for u32 {
    fn from(weight: Weight) -> u32 {
        weight.0
    }
}

/// A rate in events a second, parts allowed; 0 to 1,000,000.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct PerSecond(f64);

impl PerSecond {
    /// The highest rate.
    pub const HIGHEST: f64 = 1e6;

    /// Checks a rate.
    pub fn new(rate: f64) -> Result<PerSecond, Invalid> {
        super::at_least_zero("rate", rate, PerSecond::HIGHEST)?;
        Ok(PerSecond(rate))
    }

    /// The rate in events a second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for PerSecond {
    type Error = Invalid;
    fn try_from(rate: f64) -> Result<PerSecond, Invalid> {
        PerSecond::new(rate)
    }
}

impl From<PerSecond> for f64 {
    fn from(rate: PerSecond) -> f64 {
        rate.0
    }
}

/// What a tenant may have over the whole fleet; what is missing is not limited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Standing connections.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// New connections a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub set_ups: Option<PerSecond>,
    /// Connections a second that come again after a break or a move.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub returns: Option<PerSecond>,
}

/// Whether a tenant is served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TenantState {
    /// Served.
    #[default]
    Active,
    /// What stands goes on, nothing new is taken.
    Frozen,
    /// What stands is moved away at a rate, nothing new is taken.
    Leaving,
}

/// Where a tenant's record is looked after.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// The administration API.
    #[default]
    Api,
    /// The configuration file; what the API changed would be undone with the next reading of it.
    File,
}

/// A tenant as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantRecord {
    /// Its name as displayed; the key is the name's unique form.
    pub name: Name,
    /// Its place.
    pub place: Place,
    /// Its part where there is not enough.
    pub weight: Weight,
    /// Its limits.
    pub limits: Limits,
    /// The classes that it may ask for; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub classes: Option<BTreeSet<ClassName>>,
    /// Whether it is served.
    pub state: TenantState,
    /// Who looks after it.
    pub origin: Origin,
    /// When it was made.
    pub created: Micros,
    /// When it was last changed.
    pub changed: Micros,
}

/// What a tenant is made of; the place, the version and the times are the store's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewTenant {
    /// Its name.
    pub name: Name,
    /// Its part where there is not enough.
    #[serde(default)]
    pub weight: Weight,
    /// Its limits.
    #[serde(default)]
    pub limits: Limits,
    /// The classes that it may ask for; `None` for all.
    #[serde(default)]
    pub classes: Option<BTreeSet<ClassName>>,
    /// Whether it is served.
    #[serde(default)]
    pub state: TenantState,
    /// Who looks after it.
    #[serde(default)]
    pub origin: Origin,
}

impl NewTenant {
    /// A tenant of that name, without limits.
    pub fn named(name: Name) -> NewTenant {
        NewTenant {
            name,
            weight: Weight::default(),
            limits: Limits::default(),
            classes: None,
            state: TenantState::Active,
            origin: Origin::Api,
        }
    }
}

/// What of a tenant changes; what is `None` stays.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantChange {
    /// Another spelling of the same name.
    pub name: Option<Name>,
    /// Its part where there is not enough.
    pub weight: Option<Weight>,
    /// Its limits, all of them.
    pub limits: Option<Limits>,
    /// The classes that it may ask for; `Some(None)`, in JSON `null`, for all.
    #[serde(deserialize_with = "given", skip_serializing_if = "Option::is_none")]
    pub classes: Option<Option<BTreeSet<ClassName>>>,
    /// Whether it is served.
    pub state: Option<TenantState>,
    /// Who looks after it.
    pub origin: Option<Origin>,
}

/// Tells a `null` that is given from nothing given.
fn given<'de, T: Deserialize<'de>, D: Deserializer<'de>>(from: D) -> Result<Option<T>, D::Error> {
    T::deserialize(from).map(Some)
}

/// Whom a place was given to. Kept for ever: usage names places, and a removed tenant's streams may still stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceRecord {
    /// The place.
    pub place: Place,
    /// The tenant's name when it was last changed.
    pub name: Name,
    /// When the place was given.
    pub given: Micros,
    /// When the tenant was removed. What stands of it since then is moved at a rate and then refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub removed: Option<Micros>,
}
