//! The records of exported state. Other versions of the program read and write them too, so their serialized
//! names and forms must stay as they are.

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
    /// A reservation for a client that has left and is expected to reconnect.
    #[serde(rename = "place")]
    Reservation(ReservationRecord),
    /// A connected client, which is expected to reconnect if its connection is lost.
    #[serde(rename = "stands")]
    Connection(ReservationRecord),
}

/// What is known about the instance as a whole.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct InstanceRecord {
    /// Decayed number of clients seen; it decays like the counts of the groups.
    #[serde(rename = "seen")]
    pub total_clients: f64,
    /// Decayed number of new clients.
    #[serde(rename = "rate")]
    pub arrivals: f64,
    /// Decayed time during which they arrived, in seconds.
    #[serde(rename = "span")]
    pub arrival_seconds: f64,
    /// Number of migrations that are allowed.
    #[serde(rename = "moves")]
    pub migration_credit: f64,
    /// Mean load of a connection; 0 while unknown.
    #[serde(rename = "mean")]
    pub mean_load: f64,
    /// Mean hinted load of each class; 0 for a class without hints.
    #[serde(rename = "class_load")]
    pub class_loads: Vec<f64>,
    /// Rate limit of set-ups, per second.
    #[serde(rename = "pace")]
    pub setups_per_second: f64,
}

/// What is known about a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerRecord {
    /// The server.
    pub server: u64,
    /// Start time of the server's process, as listed. The record does not apply to a later process.
    #[serde(rename = "born")]
    pub started_at: f64,
    /// Share of its weight that the server is assumed to have, at most 1.
    pub health: f64,
    /// No new requests are sent to the server before this time.
    #[serde(rename = "spent_until")]
    pub unavailable_until: f64,
    /// The server's quarantine, if it could not be reached.
    #[serde(rename = "locked")]
    pub quarantine: Option<QuarantineRecord>,
    /// Requests sent to the server while it was warming up.
    #[serde(rename = "entries")]
    pub warm_up_admissions: f64,
    /// Decayed number of connections that broke at the server.
    #[serde(rename = "drops")]
    pub recent_resets: f64,
}

/// The quarantine of a server; serialized as an array of its two values.
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

/// What is known about a group.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupRecord {
    /// The group.
    pub group: u64,
    /// Decayed number of its clients that were seen.
    #[serde(rename = "seen")]
    pub clients: f64,
    /// Server to which the last client was connected.
    #[serde(rename = "last")]
    pub last_server: Option<u64>,
}

/// Load that is reserved on a server for a client.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReservationRecord {
    /// The client's key.
    pub key: u64,
    /// The server.
    pub server: u64,
    /// The client's load.
    pub load: f64,
    /// When the reservation expires. Not used for a connected client, whose reservation begins with the
    /// export.
    #[serde(default, rename = "until")]
    pub expires_at: f64,
}
