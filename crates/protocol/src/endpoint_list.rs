//! The list of servers in the form that discovery gives it, as JSON.

use serde::{Deserialize, Serialize};

/// One server as discovery writes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Endpoint {
    /// The same at every balancer.
    pub name: String,
    /// Where this balancer reaches it.
    pub address: String,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The kind of machine it is.
    #[serde(default, rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub group: u32,
    /// `Ready`, `Terminating` or `Gone`.
    pub status: String,
    /// Its registered size.
    #[serde(default = "one")]
    pub weight: f64,
    /// When its process last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub since_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// A list as discovery writes it: one JSON object.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointList {
    /// Its version.
    #[serde(default)]
    pub index: u64,
    /// It is the whole list rather than changes.
    #[serde(default)]
    pub snapshot: bool,
    /// The servers.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

#[cfg(test)]
mod tests;
