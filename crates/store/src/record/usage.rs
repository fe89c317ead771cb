//! Usage of tenants by minute, hour and day. Each minute of an instance is recorded once.
//!
//! A report about a minute is added to the records of that minute, its hour and its day in one transaction. The record
//! of the day has a bit for each minute that it includes. By that bit a repeated report is recognised and not added
//! again, even long after the record of the minute has expired.

use crate::error::InvalidValue;
use serde::{Deserialize, Serialize};
use shorewharf_units::MICROS_PER_SECOND;
use std::collections::BTreeMap;
use std::fmt;

/// The number of microseconds in a minute.
pub const MICROS_PER_MINUTE: u64 = 60_000_000;

/// The maximum length of the cause of a rejection, in bytes.
const MAX_CAUSE_BYTES: usize = 64;

/// The usage of one tenant in an interval of time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Usage {
    /// The time for which connections were open, summed over all connections, in microseconds.
    #[serde(rename = "c", skip_serializing_if = "is_zero")]
    pub connection_micros: u64,
    /// The number of connections that were established.
    #[serde(rename = "s", skip_serializing_if = "is_zero")]
    pub setups: u64,
    /// The number of rejections by cause. A cause is 1 to 64 visible ASCII characters.
    #[serde(rename = "r", skip_serializing_if = "BTreeMap::is_empty")]
    pub rejections: BTreeMap<String, u64>,
    /// The number of connections that were asked to migrate.
    #[serde(rename = "m", skip_serializing_if = "is_zero")]
    pub migrations: u64,
    /// The number of lines that were relayed, in both directions together.
    #[serde(rename = "l", skip_serializing_if = "is_zero")]
    pub lines: u64,
    /// The number of bytes that were relayed, in both directions together.
    #[serde(rename = "b", skip_serializing_if = "is_zero")]
    pub bytes: u64,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl Usage {
    /// Adds the counts of `other` with saturation.
    pub fn add(&mut self, other: &Usage) {
        self.connection_micros = self.connection_micros.saturating_add(other.connection_micros);
        self.setups = self.setups.saturating_add(other.setups);
        self.migrations = self.migrations.saturating_add(other.migrations);
        self.lines = self.lines.saturating_add(other.lines);
        self.bytes = self.bytes.saturating_add(other.bytes);
        for (cause, count) in &other.rejections {
            let sum = self.rejections.entry(cause.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
    }

    /// [`Usage::connection_micros`] in whole seconds, rounded down.
    pub fn connection_seconds(&self) -> u64 {
        self.connection_micros / MICROS_PER_SECOND
    }
}

/// The name of an instance that reports usage: 1 to 64 characters, each an ASCII letter, a digit, `-`, `_`, `.`, `@` or
/// `:`.
///
/// It must be different at each start of the process, for example a host name with the start time. Otherwise an
/// instance that restarts within a minute would report that minute twice with different counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct InstanceName(String);

impl InstanceName {
    /// Checks a name.
    ///
    /// # Errors
    /// If the name does not have the form given above.
    pub fn new(text: &str) -> Result<InstanceName, InvalidValue> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.@:".contains(&byte);
        if !(1..=64).contains(&text.len()) || !text.bytes().all(is_allowed) {
            let cause = format!("{text:?} is not 1 to 64 characters of A-Z, a-z, 0-9 and '-_.@:'");
            return Err(InvalidValue::new("instance", cause));
        }
        Ok(InstanceName(text.into()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for InstanceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for InstanceName {
    type Error = InvalidValue;
    fn try_from(text: String) -> Result<InstanceName, InvalidValue> {
        InstanceName::new(&text)
    }
}

impl From<InstanceName> for String {
    fn from(name: InstanceName) -> String {
        name.0
    }
}

/// The usage that an instance counted in one minute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    pub(crate) instance: InstanceName,
    /// The minute, counted from the start of 1970.
    pub(crate) minute: u64,
    /// The usage by the numeric id of the tenant.
    pub(crate) usage_by_id: BTreeMap<u32, Usage>,
}

impl UsageReport {
    /// The last minute that can be recorded, about the end of the year 9999.
    pub const MAX_MINUTE: u64 = 4_223_376_000;

    /// A report about `minute`, counted from the start of 1970, with the usage by the numeric id of the tenant.
    ///
    /// # Errors
    /// If the minute is after [`UsageReport::MAX_MINUTE`], or a rejection's cause is not 1 to 64 visible ASCII
    /// characters.
    pub fn new(
        instance: InstanceName,
        minute: u64,
        usage_by_id: BTreeMap<u32, Usage>,
    ) -> Result<UsageReport, InvalidValue> {
        if minute > UsageReport::MAX_MINUTE {
            return Err(InvalidValue::new("minute", "is after the year 9999"));
        }
        let mut causes = usage_by_id.values().flat_map(|usage| usage.rejections.keys());
        if let Some(cause) = causes.find(|cause| !is_valid_cause(cause)) {
            let cause = format!("{cause:?} is not 1 to 64 visible ASCII characters");
            return Err(InvalidValue::new("rejections", cause));
        }
        Ok(UsageReport { instance, minute, usage_by_id })
    }
}

fn is_valid_cause(cause: &str) -> bool {
    (1..=MAX_CAUSE_BYTES).contains(&cause.len()) && cause.bytes().all(|byte| byte.is_ascii_graphic())
}

/// The usage in one hour that one instance reported, for a chunk of numeric ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HourlyUsage {
    /// The minutes of the hour that are included, one bit for each.
    #[serde(rename = "minutes")]
    pub included_minutes: u64,
    /// The usage by the numeric id of the tenant.
    #[serde(rename = "places")]
    pub usage_by_id: BTreeMap<u32, Usage>,
}

/// The usage in one day that one instance reported, for a chunk of numeric ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DailyUsage {
    /// For each hour, the minutes that are included, one bit for each.
    #[serde(rename = "minutes")]
    pub included_minutes: [u64; 24],
    /// The usage by the numeric id of the tenant.
    #[serde(rename = "places")]
    pub usage_by_id: BTreeMap<u32, Usage>,
}
