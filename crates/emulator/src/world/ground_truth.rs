//! The true state of the nodes, which no real balancer sees.

/// The true state of a node at one moment, for reports and for hosts whose policies may see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroundTruth {
    /// Whether it runs, can be reached and answers.
    pub accepts_connections: bool,
    /// The load on it, in standard cores, set-ups included.
    pub load: f64,
    /// Its capacity, in standard cores.
    pub capacity: f64,
    /// The number of established connections.
    pub connections: u32,
    /// The number of set-ups in progress and waiting.
    pub set_ups: u32,
    /// The backlog of work, in seconds.
    pub backlog_s: f64,
    /// The load of the established connections: `load` without set-ups.
    pub established_load: f64,
    /// The load of a connection of mean load, in standard cores.
    pub mean_connection_load: f64,
    /// The groups of the established connections, in ascending order.
    pub groups: Vec<u64>,
    /// How many attempts it can accept at once before it is overloaded; `None` unless it is warming up.
    pub admissible_before_overload: Option<f64>,
}
