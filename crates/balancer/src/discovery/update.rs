//! Converts an endpoint list to the entries of the server table.

use std::net::SocketAddr;

use shorewharf_decisions::interface::{ServerEntry, ServerId, ServerState};
use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};
use shorewharf_protocol::name_index::NameIndex;
use tracing::warn;

/// The number of invalid endpoints that are logged per list; the rest is logged as a count.
const MAX_LOGGED_ENDPOINTS: usize = 8;
/// The index of every zone that is not in the settings.
const UNKNOWN_ZONE: u32 = u32::MAX;

/// The id of a server, which is a fixed function of its name, so that all balancers agree on it.
pub fn server_id(name: &str) -> ServerId {
    // The 64-bit FNV-1a hash. Ids are stored and shared between processes, and the standard library's hasher may change.
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash = name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    ServerId(hash)
}

/// When a server's process was started, in seconds of Unix time. 0 stands for long ago, and is used for an invalid time too.
/// The clock of the decisions starts at Unix time, so only the unit is converted.
fn started_at(since_ms: f64) -> f64 {
    if since_ms.is_finite() && since_ms > 0.0 { since_ms / 1e3 } else { 0.0 }
}

/// A server of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The server's name.
    pub name: Box<str>,
    /// The server's address.
    pub address: SocketAddr,
    /// The entry for the decisions.
    pub entry: ServerEntry,
}

impl ListedServer {
    /// Converts an endpoint; returns `None` if its address is invalid.
    fn from_endpoint(endpoint: &Endpoint, names: &NameIndex) -> Option<Self> {
        let state = match endpoint.status.as_str() {
            "Ready" => ServerState::Ready,
            "Gone" => ServerState::Removed,
            // A server with an unknown status gets no new connections.
            _ => ServerState::Draining,
        };
        let entry = ServerEntry {
            server: server_id(&endpoint.name),
            zone: names.zones.get(&endpoint.zone).copied().unwrap_or(UNKNOWN_ZONE),
            cell: endpoint.group,
            state,
            weight: endpoint.weight,
            started_at: started_at(endpoint.since_ms),
        };
        Some(ListedServer {
            name: endpoint.name.as_str().into(),
            address: endpoint.address.parse().ok()?,
            entry,
        })
    }
}

/// A complete endpoint list, or a set of changes to it, with a limited number of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// The version of the list.
    pub index: u64,
    /// Whether the list is complete. Otherwise it contains only changes.
    pub snapshot: bool,
    /// The servers of the list.
    pub servers: Vec<ListedServer>,
    /// The number of servers that were ignored because of the limit.
    pub ignored: usize,
    /// The number of endpoints with an invalid address.
    invalid: usize,
}

impl EndpointUpdate {
    /// Adds an endpoint, unless the update already has `max_servers` servers. An endpoint with an invalid address is logged.
    pub fn add(&mut self, endpoint: &Endpoint, names: &NameIndex, max_servers: usize) {
        match ListedServer::from_endpoint(endpoint, names) {
            Some(_) if self.servers.len() >= max_servers => self.ignored += 1,
            Some(server) => self.servers.push(server),
            None => {
                self.invalid += 1;
                if self.invalid <= MAX_LOGGED_ENDPOINTS {
                    warn!(event = "bad-endpoint", server = endpoint.name, address = endpoint.address);
                }
            }
        }
    }

    /// Returns the update once its list has been received completely, and resets `self` for the next list.
    pub fn finish(&mut self, index: u64, snapshot: bool) -> EndpointUpdate {
        if self.invalid > MAX_LOGGED_ENDPOINTS {
            warn!(event = "bad-endpoints", "left-out" = self.invalid - MAX_LOGGED_ENDPOINTS);
        }
        EndpointUpdate { index, snapshot, ..std::mem::take(self) }
    }

    /// Converts a list that has already been parsed as a whole.
    pub fn from_list(list: &EndpointList, names: &NameIndex, max_servers: usize) -> EndpointUpdate {
        let mut update = EndpointUpdate::default();
        for endpoint in &list.endpoints {
            update.add(endpoint, names, max_servers);
        }
        update.finish(list.index, list.snapshot)
    }
}

#[cfg(test)]
mod tests;
