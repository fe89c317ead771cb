//! The servers and connections of one instance, with each connection's server, age and load. This module only records
//! observations; decisions are made by its users.

mod connection;
mod server_record;

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{Request, ServerEntry, ServerState, WeightKind};
use shorewharf_decisions::{Outcome, RequestId, ServerId, Settings};

pub(crate) use connection::{Connection, Placement};
pub(crate) use server_record::ServerRecord;

use crate::slow_start::SlowStart;

/// Weight of one load report in the mean load.
const MEAN_LOAD_WEIGHT: f64 = 0.02;
/// Time for which a server that was removed without draining counts as missing capacity, in seconds.
const MISSING_SECONDS: f64 = 300.0;
/// Lower bound of the warm-up time, in seconds, since the rate of migrations is divided by it.
const MIN_WARM_UP_SECONDS: f64 = 0.1;
/// Maximum number of servers recorded.
const MAX_SERVERS: usize = 4096;

/// An attempt or established connection that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub connection: Connection,
    pub server: ServerId,
    pub was_established: bool,
}

/// The changes that an endpoint list has made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ListChanges {
    /// Number of servers that are no longer ready.
    pub lost: u32,
    /// Number of servers whose process was started or restarted.
    pub started: u32,
}

/// The servers and connections of one instance.
#[derive(Debug)]
pub(crate) struct InstanceView {
    pub servers: BTreeMap<ServerId, ServerRecord>,
    pub connections: BTreeMap<RequestId, Connection>,
    /// Number of established connections.
    established: usize,
    /// Mean load of a connection, in the unit of listed weights; none before the first load report.
    mean_load: Option<f64>,
    slow_start: SlowStart,
    /// Whether listed weights describe the sizes of the servers; false if they are uniform.
    has_weights: bool,
}

impl InstanceView {
    pub fn new(settings: &Settings) -> Self {
        let mut view = InstanceView {
            servers: BTreeMap::new(),
            connections: BTreeMap::new(),
            established: 0,
            mean_load: None,
            slow_start: SlowStart::new(settings, MIN_WARM_UP_SECONDS),
            has_weights: false,
        };
        view.update_settings(settings);
        view
    }

    pub fn update_settings(&mut self, settings: &Settings) {
        self.slow_start = SlowStart::new(settings, MIN_WARM_UP_SECONDS);
        self.has_weights = settings.weight_kind != WeightKind::Uniform;
    }

    /// The mean load of a connection; 1 before the first load report, so that loads count connections.
    pub fn mean_load(&self) -> f64 {
        self.mean_load.unwrap_or(1.0)
    }

    /// Whether loads and weights are in the same unit, so that they can be compared.
    pub fn has_comparable_loads(&self) -> bool {
        self.has_weights && self.mean_load.is_some()
    }

    pub fn warm_up_time(&self) -> f64 {
        self.slow_start.warm_up_time
    }

    /// The share of its warm capacity that a server has reached in its slow start.
    pub fn warm_up_ratio(&self, server: &ServerRecord, now: f64) -> f64 {
        self.slow_start.warm_up_ratio(&server.entry, now)
    }

    /// A server's listed weight; 1 if weights are uniform or the listed weight is invalid.
    pub fn weight(&self, server: &ServerRecord) -> f64 {
        let weight = server.entry.weight;
        if self.has_weights && weight.is_finite() && weight > 0.0 { weight } else { 1.0 }
    }

    /// Applies an endpoint list; a list that is not complete contains only changed entries.
    pub fn on_endpoint_list(&mut self, now: f64, is_complete: bool, entries: &[ServerEntry]) -> ListChanges {
        let listed: BTreeMap<ServerId, ServerEntry> = entries.iter().map(|e| (e.server, *e)).collect();
        let lost = self.update_states(now, is_complete, &listed);
        let started = self.add_servers(now, &listed);
        self.servers.retain(|_, server| {
            let is_missing = || server.missing_since.is_some_and(|since| now < since + MISSING_SECONDS);
            server.entry.state != ServerState::Removed || is_missing()
        });
        ListChanges { lost, started }
    }

    /// Updates the states of known servers; returns the number of those that are no longer ready.
    fn update_states(
        &mut self,
        now: f64,
        is_complete: bool,
        listed: &BTreeMap<ServerId, ServerEntry>,
    ) -> u32 {
        let mut lost = 0;
        for (id, server) in &mut self.servers {
            let before = server.entry.state;
            let state = match listed.get(id) {
                Some(entry) => entry.state,
                None if is_complete => ServerState::Removed,
                None => before,
            };
            if state == ServerState::Removed && before != ServerState::Removed {
                let was_planned = before == ServerState::Draining;
                server.missing_since = (!was_planned).then_some(now);
            }
            lost += u32::from(before == ServerState::Ready && state != ServerState::Ready);
            server.entry.state = state;
        }
        lost
    }

    /// Adds or updates the servers of a list; returns the number of those that were started or restarted.
    fn add_servers(&mut self, now: f64, listed: &BTreeMap<ServerId, ServerEntry>) -> u32 {
        let mut started = 0;
        for (id, entry) in listed.iter().filter(|(_, entry)| entry.state != ServerState::Removed) {
            let has_space = self.servers.len() < MAX_SERVERS;
            match self.servers.get_mut(id) {
                Some(server)
                    if server.missing_since.is_none() && server.entry.started_at == entry.started_at =>
                {
                    server.entry = *entry;
                }
                // State learned about an earlier process of the server does not apply to this one.
                known => {
                    let is_recent = known.is_some() || now - entry.started_at < self.slow_start.warm_up_time;
                    started += u32::from(entry.started_at > 0.0 && is_recent);
                    if has_space || known.is_some() {
                        self.servers.insert(*id, ServerRecord::new(*entry));
                    }
                }
            }
        }
        started
    }

    /// Ratio of the listed capacity in service to that of all known servers, without draining servers.
    pub fn capacity_in_service(&self, now: f64) -> f64 {
        let (mut in_service, mut total) = (0.0, 0.0);
        let not_draining = |server: &&ServerRecord| server.entry.state != ServerState::Draining;
        for server in self.servers.values().filter(not_draining) {
            let weight = self.weight(server);
            total += weight;
            in_service += if server.is_in_service() { weight * self.warm_up_ratio(server, now) } else { 0.0 };
        }
        if total > 0.0 { in_service / total } else { 1.0 }
    }

    /// Records a request that was received.
    pub fn on_request(&mut self, now: f64, request: &Request) {
        self.connections.insert(request.id, Connection::new(request, Placement::Waiting, now));
    }

    /// Records a connection that was established before the start of this instance.
    pub fn on_restored(&mut self, now: f64, request: &Request, server: ServerId) {
        let mut connection = Connection::new(request, Placement::Established(server), now);
        connection.attempts = 1;
        self.connections.insert(request.id, connection);
        self.established += 1;
    }

    /// Number of established connections.
    pub fn established(&self) -> usize {
        self.established
    }

    /// Records an attempt that was sent; returns its connection.
    pub fn on_attempt(&mut self, id: RequestId, server: ServerId) -> Option<Connection> {
        let connection = self.connections.get_mut(&id)?;
        connection.placement = Placement::Connecting(server);
        connection.attempts += 1;
        Some(*connection)
    }

    /// Records that an attempt was established; returns the server and the connection's previous state.
    pub fn on_established(&mut self, now: f64, id: RequestId) -> Option<(ServerId, Connection)> {
        let connection = self.connections.get_mut(&id)?;
        let Placement::Connecting(server) = connection.placement else { return None };
        let waiting = *connection;
        connection.on_established(now, server);
        self.established += 1;
        if let Some(record) = self.servers.get_mut(&server) {
            record.on_established();
        }
        Some((server, waiting))
    }

    /// Records a load report of a connection.
    pub fn on_load(&mut self, now: f64, id: RequestId, load: f64) {
        if !(load.is_finite() && load > 0.0) {
            return;
        }
        let mean_load = self.mean_load.get_or_insert(load);
        *mean_load += MEAN_LOAD_WEIGHT * (load - *mean_load);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.on_load(now, load);
        }
    }

    /// Records that an attempt or an established connection has ended.
    pub fn on_attempt_ended(
        &mut self,
        now: f64,
        id: RequestId,
        outcome: Outcome,
        is_answered: bool,
    ) -> Option<EndedAttempt> {
        let connection = self.connections.get_mut(&id)?;
        let (server, was_established) = match connection.placement {
            Placement::Connecting(server) => (server, false),
            Placement::Established(server) => (server, true),
            Placement::Waiting => return None,
        };
        connection.placement = Placement::Waiting;
        let connection = *connection;
        self.established -= usize::from(was_established);
        if was_established || is_answered {
            self.connections.remove(&id);
        }
        if let Some(record) = self.servers.get_mut(&server).filter(|_| !was_established) {
            record.on_attempt_failed(now, outcome);
        }
        Some(EndedAttempt { connection, server, was_established })
    }

    /// The time before which a server is no migration target; none if no attempt failed there.
    pub fn excluded_until(&self, server: ServerId) -> Option<f64> {
        self.servers.get(&server).map(|record| record.excluded_until).filter(|until| until.is_finite())
    }

    /// Restores a server's exclusion from a snapshot.
    pub fn restore_exclusion(&mut self, now: f64, server: ServerId, excluded_until: Option<f64>) {
        let Some(until) = excluded_until.filter(|until| *until > now) else { return };
        if let Some(record) = self.servers.get_mut(&server) {
            record.exclude_until(now, until);
        }
    }

    /// Restores the mean load from a snapshot, unless a load was reported to this instance.
    pub fn restore_mean_load(&mut self, mean_load: f64) {
        if mean_load > 0.0 {
            self.mean_load.get_or_insert(mean_load);
        }
    }

    /// Records the result of a probe.
    pub fn on_probe_ended(&mut self, server: ServerId, outcome: Outcome) {
        if let Some(record) = self.servers.get_mut(&server) {
            record.is_unreachable = outcome != Outcome::Ok;
        }
    }

    /// Removes a waiting request that was answered or whose client has left.
    pub fn on_answered(&mut self, id: RequestId) {
        if self.connections.get(&id).is_some_and(|connection| connection.placement == Placement::Waiting) {
            self.connections.remove(&id);
        }
    }

    /// Records that a connection was asked to migrate.
    pub fn on_migration(&mut self, id: RequestId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_migrating = true;
        }
    }
}
