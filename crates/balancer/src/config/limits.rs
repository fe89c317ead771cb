//! Resource limits of the process, and limits of values in the configuration.

use serde::Deserialize;

/// The exclusive upper limit of durations, in seconds, which keeps sums of them far from an overflow of the clock.
pub(super) const MAX_DURATION_S: f64 = 1e6;

/// The resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// The maximum number of open file descriptors.
    pub sockets: usize,
    /// The memory limit in MB.
    pub memory_mb: f64,
    /// The CPU limit in cores.
    pub cores: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192.0, cores: 1.0 }
    }
}
