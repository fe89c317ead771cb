//! The true state of the nodes, which no real balancer sees.

/// The true state of a node at one moment, for reports and for hosts whose policies may see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroundTruth {
    /// It runs and takes connections.
    pub takes: bool,
    /// Load asked of it, in standard cores.
    pub load: f64,
    /// What it can do, in standard cores.
    pub capacity: f64,
    /// Standing connections.
    pub connections: u32,
    /// Set-ups in work and waiting.
    pub set_ups: u32,
    /// Work piled up, in seconds.
    pub pile_s: f64,
    /// The part of the load that stands: set-ups left out.
    pub stands: f64,
    /// Load of a usual connection, in standard cores.
    pub usual: f64,
    /// Groups of the connections that stand, in order of their ids.
    pub groups: Vec<u64>,
    /// Attempts that it still takes at once before it is pushed over, while it is cold.
    pub before_fall: Option<f64>,
}
