//! What the code that embeds a balancer exchanges with it in addition to events and actions. The embedding
//! code reads loads and connections, which it reports to other instances, and passes on decisions on retries
//! and migrations that are made outside the balancer.

use std::collections::BTreeMap;

use crate::interface::{Request, RequestId, ServerId};
use crate::requests::TrackedRequest;
use crate::reservations::Reservation;
use crate::servers::Server;
use crate::state::Balancer;

/// Attempts and connections of one group that this instance has at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holding {
    /// The server.
    pub server: ServerId,
    /// The group's id; 0 if the clients belong to no group.
    pub group: u64,
    /// Total load of these attempts and connections in work per second, in the unit of the list weights.
    pub load: f64,
    /// Number of attempts and connections.
    pub connections: u32,
}

impl Balancer {
    /// The load that this instance has assigned to a server, in work per second in the unit of the list
    /// weights: the loads of its attempts, connections and reservations, plus the overheads of connections
    /// and groups. 0 for an unknown server.
    pub fn assigned_load(&self, server: ServerId) -> f64 {
        self.servers.get(server).map_or(0.0, |server| self.loads.load_on(server))
    }

    /// Number of requests that wait for a server.
    pub fn waiting_requests(&self) -> usize {
        self.requests.waiting().len()
    }

    /// The attempts and connections of this instance by server and group, to be reported to other instances.
    pub fn holdings(&self) -> Vec<Holding> {
        let mut holdings = BTreeMap::<(ServerId, u64), Holding>::new();
        for tracked in self.requests.iter() {
            let Some(server) = tracked.server() else { continue };
            let group = tracked.group.unwrap_or(0);
            let empty = Holding { server, group, load: 0.0, connections: 0 };
            let holding = holdings.entry((server, group)).or_insert(empty);
            holding.load += tracked.load;
            holding.connections += 1;
        }
        holdings.into_values().collect()
    }

    /// Allows or forbids further attempts after a failed one. They are allowed initially.
    pub fn allow_retries(&mut self, are_allowed: bool) {
        self.are_retries_allowed = are_allowed;
    }

    /// Returns the request of an established connection, and its load if that was reported; `None` if there
    /// is no such connection or it is being migrated.
    pub fn established(&self, id: RequestId) -> Option<(Request, Option<f64>)> {
        let tracked = self.requests.get(id).filter(|tracked| tracked.is_established())?;
        Some((tracked.request, tracked.is_load_reported.then_some(tracked.load)))
    }

    /// Servers to which no new requests are sent at present: those that are not ready, quarantined or unavailable.
    pub fn unavailable_servers(&self, now: f64) -> Vec<ServerId> {
        let is_unavailable =
            |server: &&Server| !server.is_in_service(&self.settings, now) || now < server.unavailable_until;
        self.servers.iter().filter(is_unavailable).map(|server| server.entry.server).collect()
    }

    /// Records that an established connection is being migrated by a decision made outside the balancer. Its
    /// server keeps no reservation for the client. `target` keeps one until `expires_at`, and gets the client
    /// when it reconnects if `target` accepts clients then.
    pub fn on_migrated(&mut self, id: RequestId, target: Option<ServerId>, expires_at: f64) {
        let is_connected = |tracked: &&mut TrackedRequest| tracked.connected_server.is_some();
        let Some(tracked) = self.requests.get_mut(id).filter(is_connected) else { return };
        tracked.is_answered = true;
        let (key, load) = (tracked.request.key, tracked.load);
        let Some(server) = target.filter(|_| key != 0) else { return };
        self.remove_reservation(key);
        self.insert_reservation(key, Reservation { server, load, expires_at });
    }
}
