//! Usage: what tenants used, by minute, hour and day, counted once.
//!
//! An instance reports each minute once. The report of a minute adds to the minute, its hour and its day in one
//! transaction, and the day's record says which minutes are in it. So a report that comes again, after whatever
//! went wrong, is seen and counts nothing, also long after the minute's own record has been tidied away.

use crate::error::Invalid;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A minute in microseconds.
pub const MINUTE: u64 = 60_000_000;

/// What one tenant used in some time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Usage {
    /// Sum over its connections of the time that they stood, in microseconds.
    #[serde(rename = "c", skip_serializing_if = "zero")]
    pub connection_micros: u64,
    /// Connections that were set up.
    #[serde(rename = "s", skip_serializing_if = "zero")]
    pub set_ups: u64,
    /// Refusals by cause; a cause is 1 to 64 visible ASCII characters.
    #[serde(rename = "r", skip_serializing_if = "BTreeMap::is_empty")]
    pub refusals: BTreeMap<String, u64>,
    /// Connections that were asked to move.
    #[serde(rename = "m", skip_serializing_if = "zero")]
    pub moves: u64,
    /// Lines passed, both ways.
    #[serde(rename = "l", skip_serializing_if = "zero")]
    pub lines: u64,
    /// Bytes passed, both ways.
    #[serde(rename = "b", skip_serializing_if = "zero")]
    pub bytes: u64,
}

fn zero(n: &u64) -> bool {
    *n == 0
}

impl Usage {
    /// Adds another's figures; what is over 2⁶⁴ stays there.
    pub fn add(&mut self, other: &Usage) {
        self.connection_micros = self.connection_micros.saturating_add(other.connection_micros);
        self.set_ups = self.set_ups.saturating_add(other.set_ups);
        self.moves = self.moves.saturating_add(other.moves);
        self.lines = self.lines.saturating_add(other.lines);
        self.bytes = self.bytes.saturating_add(other.bytes);
        for (cause, n) in &other.refusals {
            let sum = self.refusals.entry(cause.clone()).or_default();
            *sum = sum.saturating_add(*n);
        }
    }

    /// Whole seconds that its connections stood.
    pub fn connection_seconds(&self) -> u64 {
        self.connection_micros / 1_000_000
    }
}

/// Who reports: 1 to 64 of ASCII letters, digits, `-`, `_`, `.`, `@`, `:`.
///
/// It must be new at each start of the process (a name and the time of the start, say): an instance that starts
/// again within a minute would else report that minute twice, with two different figures.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct InstanceName(String);

impl InstanceName {
    /// Checks a name.
    pub fn new(text: &str) -> Result<InstanceName, Invalid> {
        let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.@:".contains(&b);
        match (1..=64).contains(&text.len()) && text.bytes().all(fits) {
            true => Ok(InstanceName(text.into())),
            false => {
                Err(Invalid::new("instance", format!("{text:?} is not 1 to 64 of A-Z, a-z, 0-9, '-_.@:'")))
            }
        }
    }

    /// The name.
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
    type Error = Invalid;
    fn try_from(text: String) -> Result<InstanceName, Invalid> {
        InstanceName::new(&text)
    }
}

impl From<InstanceName> for String {
    fn from(name: InstanceName) -> String {
        name.0
    }
}

/// What an instance counted in one minute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    pub(crate) instance: InstanceName,
    pub(crate) minute: u64,
    pub(crate) places: BTreeMap<u32, Usage>,
}

impl UsageReport {
    /// The last minute that can be counted, some time in the year 9999.
    pub const LAST_MINUTE: u64 = 4_223_376_000;

    /// The figures of `minute` (whole minutes since 1970) by place. Refuses causes that no refusal may have.
    pub fn new(
        instance: InstanceName,
        minute: u64,
        places: BTreeMap<u32, Usage>,
    ) -> Result<UsageReport, Invalid> {
        if minute > UsageReport::LAST_MINUTE {
            return Err(Invalid::new("minute", "is after the year 9999"));
        }
        let odd = |cause: &&String| {
            cause.is_empty() || cause.len() > 64 || !cause.bytes().all(|b| b.is_ascii_graphic())
        };
        if let Some(cause) = places.values().flat_map(|u| u.refusals.keys()).find(odd) {
            return Err(Invalid::new(
                "refusals",
                format!("{cause:?} is not 1 to 64 visible ASCII characters"),
            ));
        }
        Ok(UsageReport { instance, minute, places })
    }
}

/// One instance's hour, for some places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hour {
    /// Which of its minutes are in, a bit for each.
    pub minutes: u64,
    /// Figures by place.
    pub places: BTreeMap<u32, Usage>,
}

/// One instance's day, for some places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Which minutes of each hour are in, a bit for each.
    pub minutes: [u64; 24],
    /// Figures by place.
    pub places: BTreeMap<u32, Usage>,
}
