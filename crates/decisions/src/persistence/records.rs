//! The records of exported state. Their names and forms are read and written by other versions of the program
//! too.

use serde::{Deserialize, Serialize};

/// A record of exported state. Times are seconds on the caller's clock.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StateRecord {
    /// The instance as a whole.
    #[serde(rename = "flow")]
    Instance(InstanceRecord),
    /// A server.
    Server(ServerRecord),
    /// A group of clients.
    Group(GroupRecord),
    /// A client that has left is expected back.
    #[serde(rename = "place")]
    Reservation(ReservationRecord),
    /// A client is connected; it is expected back if its connection is lost.
    #[serde(rename = "stands")]
    Connection(ReservationRecord),
}

/// What is known of the instance as a whole.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct InstanceRecord {
    /// Clients seen, decayed as the groups' counts are.
    #[serde(rename = "seen")]
    pub total_clients: f64,
    /// New clients, decayed.
    #[serde(rename = "rate")]
    pub arrivals: f64,
    /// Seconds in which they arrived, decayed.
    #[serde(rename = "span")]
    pub arrival_seconds: f64,
    /// Migrations that are allowed.
    #[serde(rename = "moves")]
    pub migration_credit: f64,
    /// Mean load of a connection; 0 while it is not known.
    #[serde(rename = "mean")]
    pub mean_load: f64,
    /// Mean hinted load by class; 0 where there was no hint.
    #[serde(rename = "class_load")]
    pub class_loads: Vec<f64>,
    /// The rate limit of set-ups.
    #[serde(rename = "pace")]
    pub setups_per_second: f64,
}

/// What is known of a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerRecord {
    /// The server.
    pub server: u64,
    /// When its process had started, as listed: the record does not hold for a later process.
    #[serde(rename = "born")]
    pub started_at: f64,
    /// Share of its weight that it is believed to have.
    pub health: f64,
    /// It gets nothing new before this time.
    #[serde(rename = "spent_until")]
    pub unavailable_until: f64,
    /// Its quarantine, if it could not be reached.
    #[serde(rename = "locked")]
    pub quarantine: Option<QuarantineRecord>,
    /// Requests sent to it while it was warming up.
    #[serde(rename = "entries")]
    pub warm_up_admissions: f64,
    /// Connections that broke there, decayed.
    #[serde(rename = "drops")]
    pub recent_resets: f64,
}

/// A server's quarantine; written as an array of its two values.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct QuarantineRecord {
    /// When the next trial is due.
    pub trial_at: f64,
    /// Pause before the next trial, in seconds.
    pub backoff: f64,
}

impl From<(f64, f64)> for QuarantineRecord {
    fn from((trial_at, backoff): (f64, f64)) -> Self {
        QuarantineRecord { trial_at, backoff }
    }
}

impl From<QuarantineRecord> for (f64, f64) {
    fn from(record: QuarantineRecord) -> Self {
        (record.trial_at, record.backoff)
    }
}

/// What is known of a group.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupRecord {
    /// The group.
    pub group: u64,
    /// Its clients that were seen, decayed.
    #[serde(rename = "seen")]
    pub clients: f64,
    /// Where the last one was connected.
    #[serde(rename = "last")]
    pub last_server: Option<u64>,
}

/// Load that a server keeps for a client.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReservationRecord {
    /// The client's key.
    pub key: u64,
    /// The server.
    pub server: u64,
    /// The client's load.
    pub load: f64,
    /// When the reservation ends. Not used for a connected client, whose reservation begins with the export.
    #[serde(default, rename = "until")]
    pub expires_at: f64,
}
