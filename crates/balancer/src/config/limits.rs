//! Limits of the machine, and of values in the configuration.

use serde::Deserialize;

/// Durations are shorter than this, in seconds, so that sums of them stay far from the end of the clock.
pub(super) const MAX_SECONDS: f64 = 1e6;

/// The limits that this machine sets the program.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Share of a core.
    pub cores: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192.0, cores: 1.0 }
    }
}
