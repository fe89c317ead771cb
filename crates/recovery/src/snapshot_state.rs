//! The learned state of an instance as a snapshot stores it: the records that the decision module exports, and those
//! of this package. The names of stored fields and variants are fixed by the version of the snapshot format; the
//! attributes in this module map them to the names used in the code.

use serde::{Deserialize, Serialize};
use shorewharf_decisions::interface::ServerId;
use shorewharf_decisions::persistence::StateRecord;

/// One record of learned state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SnapshotEntry {
    /// A record of the decision module.
    #[serde(rename = "module")]
    Balancer(StateRecord),
    /// Learned state about loads and setups at all servers.
    #[serde(rename = "loads")]
    LoadModel(LoadModel),
    /// Learned state about one server's capacity.
    #[serde(rename = "bears")]
    ServerCapacity(ServerCapacity),
}

/// Learned state about loads and setups at all servers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadModel {
    /// Mean load of an established connection, in the unit of listed weights; 0 while unknown.
    #[serde(rename = "mean")]
    pub mean_load: f64,
    /// Number of load reports that contributed to the mean.
    #[serde(rename = "loads")]
    pub load_samples: f64,
    /// Natural logarithm of the work of a usual setup, in the unit of listed weights times seconds.
    #[serde(rename = "work")]
    pub log_setup_work: f64,
    /// Number of setups that the work was learned from.
    #[serde(rename = "set_ups")]
    pub setup_samples: f64,
}

/// Learned state about one server's capacity.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerCapacity {
    /// The server's id.
    pub server: u64,
    /// Start time of the server's process in the endpoint list.
    #[serde(rename = "born")]
    pub started_at: f64,
    /// Load that this instance may put on the server, divided by its even share of the server's listed capacity.
    pub factor: f64,
    /// When the server last reported slow messages; none if it never has.
    #[serde(rename = "noted")]
    pub slow_reported_at: Option<f64>,
    /// The server is no migration target before this time; none if no attempt failed there.
    #[serde(rename = "barred")]
    pub excluded_until: Option<f64>,
}

/// Position up to which learned state has been exported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExportCursor {
    /// At this position in the decision module's records.
    Balancer(shorewharf_decisions::persistence::ExportCursor),
    /// In this package's records, after those of this server; at their beginning if none.
    Servers(Option<ServerId>),
    /// All state was exported.
    End,
}

impl Default for ExportCursor {
    fn default() -> Self {
        ExportCursor::Balancer(Default::default())
    }
}
