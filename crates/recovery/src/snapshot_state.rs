//! The learned state of an instance in the form in which a snapshot stores it: what the decision module exports, and
//! what this package adds. Names of stored fields and variants are fixed by the snapshot's version; they are mapped to
//! the names used in the code here and nowhere else.

use serde::{Deserialize, Serialize};
use shorewharf_decisions::interface::ServerId;
use shorewharf_decisions::persistence::StateRecord;

/// One record of learned state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SnapshotEntry {
    /// State of the decision module.
    #[serde(rename = "module")]
    Balancer(StateRecord),
    /// What is known of loads and set-ups as a whole.
    #[serde(rename = "loads")]
    LoadModel(LoadModel),
    /// What is known of one server's capacity.
    #[serde(rename = "bears")]
    ServerCapacity(ServerCapacity),
}

/// What is known of loads and set-ups, over all servers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadModel {
    /// Mean load of an established connection, in the unit of list weights; 0 while unknown.
    #[serde(rename = "mean")]
    pub mean_load: f64,
    /// Number of load reports that the mean is taken over.
    #[serde(rename = "loads")]
    pub load_samples: f64,
    /// Natural logarithm of the work of a usual set-up.
    #[serde(rename = "work")]
    pub log_setup_work: f64,
    /// Number of set-ups that the work was learned from.
    #[serde(rename = "set_ups")]
    pub setup_samples: f64,
}

/// What is known of one server's capacity.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerCapacity {
    /// The server's id.
    pub server: u64,
    /// When its process started, as listed.
    #[serde(rename = "born")]
    pub started_at: f64,
    /// Load that this instance may put on the server, over its even share of the listed size.
    pub factor: f64,
    /// When the server last reported slow messages; none if it never did.
    #[serde(rename = "noted")]
    pub slow_reported_at: Option<f64>,
    /// The server is no migration target before this time; none if no attempt failed there.
    #[serde(rename = "barred")]
    pub excluded_until: Option<f64>,
}

/// How far an export has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExportCursor {
    /// In the decision module's state.
    Balancer(shorewharf_decisions::persistence::ExportCursor),
    /// Behind this server.
    Servers(Option<ServerId>),
    /// Everything was exported.
    End,
}

impl Default for ExportCursor {
    fn default() -> Self {
        ExportCursor::Balancer(Default::default())
    }
}
