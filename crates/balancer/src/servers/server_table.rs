//! The server table: the servers of the endpoint list, and those that operators have disabled.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound::{Excluded, Unbounded};

use shorewharf_decisions::interface::{ServerEntry, ServerId, ServerState};
use shorewharf_lifecycle::Target;
use shorewharf_protocol::endpoint_list::Endpoint;
use shorewharf_protocol::name_index::NameIndex;
use shorewharf_units::Micros;
use tracing::{info, warn};

use crate::discovery::update::{EndpointUpdate, ListedServer};
use crate::discovery::wall_clock::WallClock;
use crate::servers::delays::{DelaySample, LoadFigure, LoadFigureClassifier, median_delay};
use crate::servers::disabled::{AdminChange, DisabledServers};

/// A server as the last list that contains it describes it.
#[derive(Debug)]
struct KnownServer {
    name: Box<str>,
    address: SocketAddr,
    /// The entry as listed, regardless of whether the server is disabled. Its start time is on the clock of this process.
    entry: ServerEntry,
    /// When the server's process started, as listed, in seconds of Unix time.
    listed_start: f64,
    /// The number of the last list that contains the server.
    last_list: u64,
    /// The last delay that was measured exceeds the limit for slow servers.
    is_slow: bool,
    load_figures: LoadFigureClassifier,
}

/// The number of changed servers that are logged per list; the rest is logged as a count.
const MAX_LOG_LINES_PER_LIST: usize = 64;

/// All known servers. A removed server stays in the table while connections to it are in use.
#[derive(Debug, Default)]
pub struct ServerTable {
    table: BTreeMap<ServerId, KnownServer>,
    /// Servers of the table that have been removed from the endpoint list.
    removed: BTreeSet<ServerId>,
    /// The number of lists that have been applied.
    lists_applied: u64,
    wall_clock: WallClock,
    /// Servers have been ignored because of the limit, and that was logged. Reset by the next snapshot within the limit.
    is_over_limit: bool,
    disabled: DisabledServers,
}

/// The states that servers had before a list was applied; `None` for new servers. Contains only servers whose state the list
/// changes.
type PreviousStates = BTreeMap<ServerId, Option<ServerState>>;

/// The changes that a list makes to the table.
#[derive(Debug, Default)]
struct UpdatedEntries {
    /// The entries that the driver receives.
    entries: Vec<ServerEntry>,
    previous_states: PreviousStates,
}

/// The reason why a server of a list was not added to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryRejection {
    /// A server with another name has the same id.
    NameClash,
    /// The table is full.
    OverLimit,
}

/// The message delay of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayReport {
    /// The server.
    pub server: ServerId,
    /// The median time from a client's line to the server's answer.
    pub delay: Micros,
}

/// A page of the server table, which is ordered by server id.
#[derive(Debug)]
pub struct EndpointPage {
    /// The listed servers of the page, in the format of the endpoint list.
    pub endpoints: Vec<Endpoint>,
    /// The id after which the next page begins; `None` if this is the last page.
    pub next_after: Option<ServerId>,
}

impl ServerTable {
    /// Applies an endpoint list from discovery and logs the changes. Returns the entries that the driver receives. Removed
    /// servers for which `in_use` is false are dropped from the table. An update that is not a snapshot adds servers only
    /// while the table has fewer than `max_servers`.
    pub fn apply_list(
        &mut self,
        update: EndpointUpdate,
        max_servers: usize,
        in_use: impl Fn(ServerId) -> bool,
    ) -> Vec<ServerEntry> {
        let updated = self.update_entries(update, max_servers);
        self.log_changes(&updated.previous_states);
        let (table, disabled) = (&mut self.table, &mut self.disabled);
        self.removed.retain(|id| {
            let is_in_use = in_use(*id);
            if !is_in_use {
                table.remove(id);
                disabled.forget(*id);
            }
            is_in_use
        });
        updated.entries
    }

    /// Applies the list that is known at the start of the process. The changes are not logged.
    pub fn load_initial_list(&mut self, update: EndpointUpdate, max_servers: usize) -> Vec<ServerEntry> {
        self.update_entries(update, max_servers).entries
    }

    fn update_entries(&mut self, update: EndpointUpdate, max_servers: usize) -> UpdatedEntries {
        self.lists_applied += 1;
        let mut updated = UpdatedEntries::default();
        let mut left_out = update.ignored;
        for listed in update.servers {
            let result = self.update_entry(listed, update.snapshot, max_servers, &mut updated);
            if result == Err(EntryRejection::OverLimit) {
                left_out += 1;
            }
        }
        if update.snapshot {
            self.remove_unlisted(&mut updated.previous_states);
        }
        self.log_limit_change(left_out, update.snapshot, max_servers);
        updated
    }

    /// Adds a server of a list to the table, or updates its entry.
    fn update_entry(
        &mut self,
        listed: ListedServer,
        is_snapshot: bool,
        max_servers: usize,
        updated: &mut UpdatedEntries,
    ) -> Result<(), EntryRejection> {
        let ListedServer { name, address, entry: listed } = listed;
        let (id, state) = (listed.server, listed.state);
        let entry = ServerEntry { started_at: self.local_start_time(id, listed.started_at), ..listed };
        // The size of a snapshot is already limited, and a snapshot replaces the servers in the table.
        let is_full = !is_snapshot && self.table.len() >= max_servers;
        match self.table.get_mut(&id) {
            Some(server) if server.name != name => {
                warn!(event = "bad-endpoint", server = %name, "clashes-with" = %server.name);
                return Err(EntryRejection::NameClash);
            }
            Some(server) => {
                if server.entry.state != state {
                    updated.previous_states.entry(id).or_insert(Some(server.entry.state));
                }
                server.address = address;
                server.entry = entry;
                server.listed_start = listed.started_at;
                server.last_list = self.lists_applied;
            }
            None if is_full => return Err(EntryRejection::OverLimit),
            None => {
                let server = KnownServer {
                    name,
                    address,
                    entry,
                    listed_start: listed.started_at,
                    last_list: self.lists_applied,
                    is_slow: false,
                    load_figures: LoadFigureClassifier::default(),
                };
                self.table.insert(id, server);
                updated.previous_states.entry(id).or_insert(None);
            }
        }
        match state {
            ServerState::Removed => self.removed.insert(id),
            _ => self.removed.remove(&id),
        };
        updated.entries.push(self.disabled.effective_entry(entry));
        Ok(())
    }

    /// Marks the servers that a snapshot does not name as removed.
    fn remove_unlisted(&mut self, previous_states: &mut PreviousStates) {
        for (id, server) in &mut self.table {
            if server.last_list != self.lists_applied && server.entry.state != ServerState::Removed {
                previous_states.entry(*id).or_insert(Some(server.entry.state));
                server.entry.state = ServerState::Removed;
                self.removed.insert(*id);
            }
        }
    }

    /// Converts the listed start time of a server's process to the clock of this process. A start time that is already in the
    /// table keeps its converted value, even if the wall clock has been stepped in between.
    fn local_start_time(&self, server: ServerId, listed: f64) -> f64 {
        match self.table.get(&server) {
            Some(known) if known.listed_start == listed => known.entry.started_at,
            _ => self.wall_clock.convert_start_time(listed),
        }
    }

    /// Sets the offset of the wall clock from the clock of this process. To be called before a list is applied.
    pub fn set_wall_clock(&mut self, wall_clock: WallClock) {
        self.wall_clock = wall_clock;
    }

    /// Logs once that servers are ignored because of the limit, and once that a snapshot is within the limit again.
    fn log_limit_change(&mut self, left_out: usize, is_snapshot: bool, max_servers: usize) {
        if left_out > 0 && !std::mem::replace(&mut self.is_over_limit, true) {
            warn!(event = "list-over-limit", servers = max_servers, "left-out" = left_out);
        } else if left_out == 0 && is_snapshot && std::mem::replace(&mut self.is_over_limit, false) {
            info!(event = "list-within-limit", servers = max_servers);
        }
    }

    /// Logs the servers whose state a list has changed, up to [`MAX_LOG_LINES_PER_LIST`].
    fn log_changes(&self, previous_states: &PreviousStates) {
        let mut changed = 0;
        for (id, previous) in previous_states {
            let Some(server) = self.table.get(id) else { continue };
            if Some(server.entry.state) == *previous {
                continue;
            }
            let event = match server.entry.state {
                ServerState::Ready => "server-ready",
                ServerState::Draining => "server-draining",
                ServerState::Removed => "server-removed",
            };
            changed += 1;
            if changed <= MAX_LOG_LINES_PER_LIST {
                info!(event, server = %server.name);
            }
        }
        if changed > MAX_LOG_LINES_PER_LIST {
            let left_out = changed - MAX_LOG_LINES_PER_LIST;
            info!(event = "servers-changed", "left-out" = left_out, servers = self.table.len());
        }
    }

    /// Whether a server is in the table, including removed servers that are still in use.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.table.contains_key(&server)
    }

    /// The listed servers in the format of the endpoint list. It does not show whether a server is disabled.
    pub fn endpoints(&self, names: &NameIndex) -> Vec<Endpoint> {
        self.endpoint_page(names, None, usize::MAX).endpoints
    }

    /// One page of [`ServerTable::endpoints`]: the next `size` servers of the table after the id `after`, without the removed
    /// ones.
    pub fn endpoint_page(&self, names: &NameIndex, after: Option<ServerId>, size: usize) -> EndpointPage {
        let page = self.table.range((after.map_or(Unbounded, Excluded), Unbounded)).take(size);
        let (mut endpoints, mut last, mut count) = (Vec::new(), None, 0);
        for (id, server) in page {
            (last, count) = (Some(*id), count + 1);
            if !self.removed.contains(id) {
                endpoints.push(self.endpoint_of(server, names));
            }
        }
        EndpointPage { endpoints, next_after: last.filter(|_| count == size) }
    }

    fn endpoint_of(&self, server: &KnownServer, names: &NameIndex) -> Endpoint {
        let entry = &server.entry;
        let zone = names.zones.iter().find(|(_, zone)| **zone == entry.zone);
        Endpoint {
            name: server.name.to_string(),
            address: server.address.to_string(),
            zone: zone.map(|(name, _)| name.clone()).unwrap_or_default(),
            kind: String::new(),
            group: entry.cell,
            status: if entry.state == ServerState::Ready { "Ready" } else { "Terminating" }.to_owned(),
            weight: entry.weight,
            since_ms: self.listed_start(server) * 1e3,
        }
    }

    /// When a server's process started, as listed. For a server that counts as restarted since it was enabled again, the time
    /// at which it was enabled.
    fn listed_start(&self, server: &KnownServer) -> f64 {
        let started_at = self.disabled.effective_entry(server.entry).started_at;
        if started_at == server.entry.started_at { server.listed_start } else { started_at }
    }

    /// The number of servers in the endpoint list.
    pub fn listed_count(&self) -> usize {
        self.table.len() - self.removed.len()
    }

    /// The number of the given servers that are in the endpoint list.
    pub fn listed_count_of(&self, servers: &[ServerId]) -> usize {
        let listed = |id: &&ServerId| self.table.contains_key(*id) && !self.removed.contains(*id);
        servers.iter().filter(listed).count()
    }

    /// A server as the target of an attempt, with the zone and cell of its current entry; 0 for an unknown server.
    pub fn target(&self, server: ServerId) -> Target {
        let entry = self.table.get(&server).map(|known| known.entry);
        Target {
            server,
            zone: entry.map_or(0, |entry| entry.zone),
            cell: entry.map_or(0, |entry| entry.cell),
        }
    }

    /// The address of a server, regardless of whether it accepts new clients.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.table.get(&server).map(|known| known.address)
    }

    /// The address of a server that accepts new clients; `None` for any other.
    pub fn ready_address(&self, server: ServerId) -> Option<SocketAddr> {
        let known = self.table.get(&server)?;
        let is_ready = self.disabled.effective_entry(known.entry).state == ServerState::Ready;
        is_ready.then_some(known.address)
    }

    /// The servers that operators have disabled.
    pub fn disabled(&self) -> &DisabledServers {
        &self.disabled
    }

    /// Whether the server in the table under this id has this name.
    pub fn has_name(&self, server: ServerId, name: &str) -> bool {
        self.table.get(&server).is_some_and(|known| &*known.name == name)
    }

    /// Applies a change that an operator makes to a server. Returns the entry that the driver receives; `None` if nothing
    /// changes or the server is not in the table.
    pub fn apply_admin_change(&mut self, change: AdminChange) -> Option<ServerEntry> {
        let server = change.server();
        if !self.disabled.apply(change) {
            return None;
        }
        self.table.get(&server).map(|known| self.disabled.effective_entry(known.entry))
    }

    /// The name of a server for the log; `?` if the server is unknown.
    pub fn name(&self, server: Option<ServerId>) -> &str {
        server.and_then(|id| self.table.get(&id)).map_or("?", |known| &known.name)
    }

    /// Classifies the value in a `LOAD` line of a server.
    pub fn classify_load(&mut self, now: Micros, server: ServerId, figure: f64) -> LoadFigure {
        self.table.get_mut(&server).map_or(LoadFigure::Load, |known| known.load_figures.classify(now, figure))
    }

    /// The message delays to report, computed from the samples of each server's connections. Reports the servers whose delay
    /// exceeds `slow_from`, and once more each server that is no longer slow.
    pub fn delay_reports(
        &mut self,
        now: Micros,
        slow_from: Micros,
        samples: &BTreeMap<ServerId, Vec<DelaySample>>,
    ) -> Vec<DelayReport> {
        let mut reports = Vec::new();
        for (server, samples) in samples {
            let Some(delay) = median_delay(now, slow_from, samples) else { continue };
            let Some(known) = self.table.get_mut(server) else { continue };
            // A delay that the server has reported itself takes precedence.
            if known.load_figures.has_recent_delay(now) {
                continue;
            }
            let is_slow = delay > slow_from;
            let was_slow = std::mem::replace(&mut known.is_slow, is_slow);
            if is_slow || was_slow {
                reports.push(DelayReport { server: *server, delay });
            }
        }
        reports
    }
}

#[cfg(test)]
mod tests;
