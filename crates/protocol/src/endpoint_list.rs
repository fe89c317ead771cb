//! The JSON format of the discovery service's endpoint list.

use serde::{Deserialize, Serialize};

/// A server in the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Endpoint {
    /// Name of the server, which is the same at all balancers.
    pub name: String,
    /// Address at which this balancer reaches the server.
    pub address: String,
    /// Name of the zone; empty if the list does not give one.
    #[serde(default)]
    pub zone: String,
    /// Type of the machine; empty if the list does not give one.
    #[serde(default, rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// The cell to which the server belongs.
    #[serde(default)]
    pub group: u32,
    /// State of the server: `Ready`, `Terminating` or `Gone`.
    pub status: String,
    /// Registered capacity; 1 if the list does not give one.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Time when the server's process started, in milliseconds of Unix time; 0 if it was long ago.
    #[serde(default)]
    pub since_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// The endpoint list, or a set of changes to it, as one JSON object.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(default)]
    pub index: u64,
    /// Whether the list is complete; otherwise it is a set of changes.
    #[serde(default)]
    pub snapshot: bool,
    /// The servers, or those that have changed.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

#[cfg(test)]
mod tests;
