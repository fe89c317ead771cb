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
pub struct Listing {
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
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_again_and_gaps_have_defaults() {
        let text = r#"{"endpoints":[{"name":"s-1","address":"127.0.0.1:1","status":"Ready","new":1}]}"#;
        let listing: Listing = serde_json::from_str(text).expect("good");
        let e = &listing.endpoints[0];
        assert_eq!((listing.index, listing.snapshot, e.weight, e.since_ms), (0, false, 1.0, 0.0));
        let again: Listing =
            serde_json::from_str(&serde_json::to_string(&listing).expect("written")).expect("read");
        assert_eq!(again, listing);
        assert!(serde_json::from_str::<Listing>(r#"{"endpoints":[{"name":"s-1"}]}"#).is_err());
    }
}
