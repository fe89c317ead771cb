//! Keys of usage records: `GRANULARITY/CHUNK/INTERVAL/INSTANCE`, so that the records of a chunk sort by interval.

use crate::key::{Collection, Key};
use crate::record::MICROS_PER_MINUTE;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

/// The number of ids in a chunk. With 64 ids the record of a chunk has a few kilobytes.
pub(super) const IDS_PER_CHUNK: u32 = 64;

/// The length of the intervals over which usage is summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Granularity {
    /// Usage by minute, which is kept for two days.
    Minute,
    /// Usage by hour, which is kept for 93 days.
    Hour,
    /// Usage by day (UTC), which is kept forever.
    Day,
}

impl Granularity {
    /// The length of an interval in minutes.
    pub const fn minutes(self) -> u64 {
        match self {
            Granularity::Minute => 1,
            Granularity::Hour => 60,
            Granularity::Day => 24 * 60,
        }
    }

    /// The letter that stands for the granularity in keys.
    pub(super) const fn key_letter(self) -> char {
        match self {
            Granularity::Minute => 'm',
            Granularity::Hour => 'h',
            Granularity::Day => 'd',
        }
    }

    /// The length of an interval in microseconds.
    pub const fn micros(self) -> Micros {
        self.minutes() * MICROS_PER_MINUTE
    }
}

/// The key of the usage that an instance reported. `interval` is counted from the start of 1970 in units of the
/// granularity.
pub(super) fn usage_key(granularity: Granularity, chunk: u32, interval: u64, instance: &str) -> Key {
    let prefix = key_prefix(granularity, chunk);
    Key::new(Collection::Usage, format!("{prefix}{interval:010}/{instance}"))
}

/// The prefix of the names of all usage records of a granularity and a chunk.
pub(super) fn key_prefix(granularity: Granularity, chunk: u32) -> String {
    format!("{}/{chunk:08}/", granularity.key_letter())
}

/// Parses the interval in the name of a usage record.
pub(super) fn parse_interval(name: &str) -> Option<u64> {
    name.split('/').nth(2)?.parse().ok()
}
