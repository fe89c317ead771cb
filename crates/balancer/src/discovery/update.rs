//! An endpoint list as the server table and the decisions take it in.

use std::net::SocketAddr;

use shorewharf_decisions::interface::{ServerEntry, ServerId, ServerState};
use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};
use shorewharf_protocol::name_index::NameIndex;
use tracing::warn;

/// The most log lines about invalid endpoints of one list.
const MAX_LOGGED_ENDPOINTS: usize = 8;
/// A zone that the settings do not name.
const UNKNOWN_ZONE: u32 = u32::MAX;

/// A server's id: the same function of its name at every balancer, whatever its address there.
pub fn server_id(name: &str) -> ServerId {
    // FNV-1a with 64 bits, since ids are stored and shared: the standard library's hasher may change.
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash = name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    ServerId(hash)
}

/// When a server's process was started, in seconds of Unix time; 0 for long ago, which an invalid time counts as. The clock
/// of the decisions was set by Unix time, so only the unit changes.
fn started_at(since_ms: f64) -> f64 {
    if since_ms.is_finite() && since_ms > 0.0 { since_ms / 1e3 } else { 0.0 }
}

/// A server as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Its name.
    pub name: Box<str>,
    /// Its address.
    pub address: SocketAddr,
    /// What the decisions are told of it.
    pub entry: ServerEntry,
}

impl ListedServer {
    /// Converts an endpoint; none if its address is invalid.
    fn from_endpoint(endpoint: &Endpoint, names: &NameIndex) -> Option<Self> {
        let state = match endpoint.status.as_str() {
            "Ready" => ServerState::Ready,
            "Gone" => ServerState::Removed,
            // A status that is not known to be ready gets no new connections.
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

/// An endpoint list, or changes to it, with a bounded number of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// Version of the list.
    pub index: u64,
    /// The list is complete rather than a set of changes.
    pub snapshot: bool,
    /// The servers.
    pub servers: Vec<ListedServer>,
    /// How many servers were ignored because there were too many.
    pub ignored: usize,
    /// How many endpoints were invalid.
    invalid: usize,
}

impl EndpointUpdate {
    /// Adds an endpoint, unless there are `max_servers` already.
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

    /// Takes the update, now that its list is complete.
    pub fn finish(&mut self, index: u64, snapshot: bool) -> EndpointUpdate {
        if self.invalid > MAX_LOGGED_ENDPOINTS {
            warn!(event = "bad-endpoints", "left-out" = self.invalid - MAX_LOGGED_ENDPOINTS);
        }
        EndpointUpdate { index, snapshot, ..std::mem::take(self) }
    }

    /// Converts a list that is in memory.
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
