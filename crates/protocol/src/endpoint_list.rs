//! The endpoint list of the discovery service, as JSON.

use serde::{Deserialize, Serialize};

/// A server of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Endpoint {
    /// Its name, the same at every balancer.
    pub name: String,
    /// The address at which this balancer reaches it.
    pub address: String,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Kind of its machine.
    #[serde(default, rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub group: u32,
    /// `Ready`, `Terminating` or `Gone`.
    pub status: String,
    /// Its registered capacity.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// When its process was started, in milliseconds of Unix time; 0 for long ago.
    #[serde(default)]
    pub since_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// The list, or a set of changes to it: one JSON object.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(default)]
    pub index: u64,
    /// The list is complete rather than a set of changes.
    #[serde(default)]
    pub snapshot: bool,
    /// The servers.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

#[cfg(test)]
mod tests;
