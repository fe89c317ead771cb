//! A list as it is taken in: what the tables and the decisions need of it, and no text but names.

use std::net::SocketAddr;

use shorewharf_decisions::interface::{ServerEntry, ServerId, ServerState};
use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};
use shorewharf_protocol::name_index::NameIndex;
use tracing::warn;

/// Log lines that the faults of one list may cause.
const LINES: usize = 8;

/// A server's id: the same function of its name at every balancer, whatever its address there.
pub fn server_id(name: &str) -> ServerId {
    // FNV-1a, 64 bits: fixed for good, unlike the standard library's hasher.
    let hash = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    ServerId(hash)
}

/// When a server's process started, on the module's clock: that one was set by Unix time at the start, so only
/// the unit changes, and the same start is the same number in every list. What is no time is long ago.
fn born(since_ms: f64) -> f64 {
    if since_ms.is_finite() && since_ms > 0.0 { since_ms / 1e3 } else { 0.0 }
}

/// A server of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name.
    pub name: Box<str>,
    /// Where it is.
    pub address: SocketAddr,
    /// What the module is told of it.
    pub entry: ServerEntry,
}

impl Entry {
    /// Reads it; none where its address is none.
    fn read(e: &Endpoint, names: &NameIndex) -> Option<Self> {
        let stage = match e.status.as_str() {
            "Ready" => ServerState::Ready,
            "Gone" => ServerState::Removed,
            // What isn't known to be ready gets nothing new.
            _ => ServerState::Draining,
        };
        let address = e.address.parse().ok()?;
        let zone = names.zones.get(&e.zone).copied().unwrap_or(u32::MAX);
        let (server, cell, born) = (server_id(&e.name), e.group, born(e.since_ms));
        let entry = ServerEntry { server, zone, cell, state: stage, weight: e.weight, started_at: born };
        Some(Entry { name: e.name.as_str().into(), address, entry })
    }
}

/// A list, or the part of it that has come. It holds no more than so many servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Incoming {
    /// Its version.
    pub index: u64,
    /// It is whole rather than changes.
    pub snapshot: bool,
    /// Its servers.
    pub entries: Vec<Entry>,
    /// Servers that were left out for want of room.
    pub left_out: usize,
    faults: usize,
}

impl Incoming {
    /// Takes in one more server, unless there are `most` already.
    pub fn add(&mut self, e: &Endpoint, names: &NameIndex, most: usize) {
        match Entry::read(e, names) {
            Some(_) if self.entries.len() >= most => self.left_out += 1,
            Some(entry) => self.entries.push(entry),
            None => {
                self.faults += 1;
                if self.faults <= LINES {
                    warn!(event = "bad-endpoint", server = e.name, address = e.address);
                }
            }
        }
    }

    /// The list has come to its end.
    pub fn end(&mut self, index: u64, snapshot: bool) -> Incoming {
        if self.faults > LINES {
            warn!(event = "bad-endpoints", "left-out" = self.faults - LINES);
        }
        Incoming { index, snapshot, ..std::mem::take(self) }
    }

    /// A list that is at hand whole.
    pub fn of(listing: &EndpointList, names: &NameIndex, most: usize) -> Incoming {
        let mut incoming = Incoming::default();
        listing.endpoints.iter().for_each(|e| incoming.add(e, names, most));
        incoming.end(listing.index, listing.snapshot)
    }
}

#[cfg(test)]
mod tests;
