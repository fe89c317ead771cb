//! ServerTable: the servers as the discovery listed them last.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound::{Excluded, Unbounded};

use shorewharf_decisions::interface::{ServerEntry, ServerId, ServerState};
use shorewharf_lifecycle::Target;
use shorewharf_protocol::endpoint_list::Endpoint;
use shorewharf_protocol::name_index::NameIndex;
use shorewharf_units::Micros;
use tracing::{info, warn};

use crate::discovery::update::{Entry, Incoming};
use crate::discovery::wall_clock::WallClock;

use crate::servers::delays::{DelaySample, LoadFigure, LoadFigureClassifier, median_delay};
use crate::servers::disabled::{AdminChange, DisabledServers};

/// A server as the discovery listed it last.
#[derive(Debug)]
struct KnownServer {
    name: Box<str>,
    address: SocketAddr,
    /// As listed, whoever was taken out by hand, but for its start, which is on the program's clock.
    entry: ServerEntry,
    /// When its process started, as listed.
    listed_start: f64,
    /// The last list that named it.
    list: u64,
    /// The last report was of slow messages.
    slow: bool,
    /// What its `LOAD` lines have told.
    figures: LoadFigureClassifier,
}

/// Log lines that one list may cause; what is over that is counted.
const MAX_LOG_LINES_PER_LIST: usize = 64;

/// The table of servers. An id belongs to one name; what is gone stays while something of it is in use.
#[derive(Debug, Default)]
pub struct ServerTable {
    table: BTreeMap<ServerId, KnownServer>,
    /// Those that are gone and still here.
    removed: BTreeSet<ServerId>,
    /// Lists that have been taken in.
    lists_applied: u64,
    wall_clock: WallClock,
    /// Servers are left out for want of room.
    is_over_limit: bool,
    disabled: DisabledServers,
}

/// The stages that servers have left for others in a list, each with the first; none for those that are new.
type PreviousStates = BTreeMap<ServerId, Option<ServerState>>;

impl ServerTable {
    /// Takes in a list from discovery: what the module is told of it. Those that are gone and not `in_use` are
    /// forgotten. No more than `most` are taken up by changes.
    pub fn apply_list(
        &mut self,
        list: Incoming,
        most: usize,
        in_use: impl Fn(ServerId) -> bool,
    ) -> Vec<ServerEntry> {
        let (entries, before) = self.update_entries(list, most);
        self.log_changes(&before);
        let (table, taken_out) = (&mut self.table, &mut self.disabled);
        self.removed.retain(|id| {
            let stays = in_use(*id);
            if !stays {
                table.remove(id);
                taken_out.forget(*id);
            }
            stays
        });
        entries
    }

    /// The same for the list that is known at the start, which is no news to anybody.
    pub fn load_initial_list(&mut self, list: Incoming, most: usize) -> Vec<ServerEntry> {
        self.update_entries(list, most).0
    }

    fn update_entries(&mut self, list: Incoming, most: usize) -> (Vec<ServerEntry>, PreviousStates) {
        self.lists_applied += 1;
        let (number, mut before, mut left_out) = (self.lists_applied, PreviousStates::new(), list.left_out);
        let mut entries = Vec::with_capacity(list.entries.len());
        for Entry { name, address, entry: listed } in list.entries {
            let (id, stage) = (listed.server, listed.state);
            let entry = ServerEntry { started_at: self.start_of(id, listed.started_at), ..listed };
            // A whole list has its own limit, and takes the place of those that are here.
            let is_full = !list.snapshot && self.table.len() >= most;
            match self.table.get_mut(&id) {
                Some(b) if b.name != name => {
                    warn!(event = "bad-endpoint", server = %name, "clashes-with" = %b.name);
                    continue;
                }
                Some(b) => {
                    if b.entry.state != stage {
                        before.entry(id).or_insert(Some(b.entry.state));
                    }
                    (b.address, b.entry, b.list) = (address, entry, number);
                    b.listed_start = listed.started_at;
                }
                None if is_full => {
                    left_out += 1;
                    continue;
                }
                None => {
                    let (slow, figures) = (false, LoadFigureClassifier::default());
                    let (listed_start, list) = (listed.started_at, number);
                    let server = KnownServer { name, address, entry, listed_start, list, slow, figures };
                    self.table.insert(id, server);
                    before.entry(id).or_insert(None);
                }
            }
            match stage {
                ServerState::Removed => self.removed.insert(id),
                _ => self.removed.remove(&id),
            };
            entries.push(self.disabled.effective_entry(entry));
        }
        if list.snapshot {
            for (id, b) in self
                .table
                .iter_mut()
                .filter(|(_, b)| b.list != number && b.entry.state != ServerState::Removed)
            {
                before.entry(*id).or_insert(Some(b.entry.state));
                b.entry.state = ServerState::Removed;
                self.removed.insert(*id);
            }
        }
        self.log_limit_change(left_out, list.snapshot, most);
        (entries, before)
    }

    /// When a server's process started, on the program's clock. The same start stays the same time in every list.
    fn start_of(&self, server: ServerId, listed: f64) -> f64 {
        match self.table.get(&server) {
            Some(known) if known.listed_start == listed => known.entry.started_at,
            _ => self.wall_clock.start_of(listed),
        }
    }

    /// The wall clock as the next list is taken in.
    pub fn set_wall_clock(&mut self, wall_clock: WallClock) {
        self.wall_clock = wall_clock;
    }

    /// Says once that servers are left out, and once that a whole list fits again.
    fn log_limit_change(&mut self, left_out: usize, whole: bool, most: usize) {
        if left_out > 0 && !std::mem::replace(&mut self.is_over_limit, true) {
            warn!(event = "list-over-limit", servers = most, "left-out" = left_out);
        } else if left_out == 0 && whole && std::mem::replace(&mut self.is_over_limit, false) {
            info!(event = "list-within-limit", servers = most);
        }
    }

    /// Logs what has changed in the end: a whole list names every server, most of them as before.
    fn log_changes(&self, before: &PreviousStates) {
        let mut more = 0;
        for (id, before) in before {
            let Some(b) = self.table.get(id).filter(|b| Some(b.entry.state) != *before) else { continue };
            let event = match b.entry.state {
                ServerState::Ready => "server-ready",
                ServerState::Draining => "server-draining",
                ServerState::Removed => "server-gone",
            };
            more += 1;
            if more <= MAX_LOG_LINES_PER_LIST {
                info!(event, server = %b.name);
            }
        }
        if more > MAX_LOG_LINES_PER_LIST {
            info!(
                event = "servers-changed",
                "left-out" = more - MAX_LOG_LINES_PER_LIST,
                servers = self.table.len()
            );
        }
    }

    /// Whether a server is listed. A client that stood on it before the start can have stood on no other.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.table.contains_key(&server)
    }

    /// The list in discovery's form, as it stands but for who is taken out: that is kept apart.
    pub fn endpoints(&self, names: &NameIndex) -> Vec<Endpoint> {
        self.endpoints_after(names, None, usize::MAX)
            .into_iter()
            .filter_map(|(_, endpoint)| endpoint)
            .collect()
    }

    /// The same for so many servers behind this one; none for a server that is in use and no longer listed.
    pub fn endpoints_after(
        &self,
        names: &NameIndex,
        behind: Option<ServerId>,
        most: usize,
    ) -> Vec<(ServerId, Option<Endpoint>)> {
        let zone = |at: u32| names.zones.iter().find(|(_, zone)| **zone == at).map(|(name, _)| name.clone());
        let endpoint = |b: &KnownServer| Endpoint {
            name: b.name.to_string(),
            address: b.address.to_string(),
            zone: zone(b.entry.zone).unwrap_or_default(),
            kind: String::new(),
            group: b.entry.cell,
            status: if b.entry.state == ServerState::Ready { "Ready" } else { "Terminating" }.to_owned(),
            weight: b.entry.weight,
            since_ms: self.listed_start(b) * 1e3,
        };
        let some = self.table.range((behind.map_or(Unbounded, Excluded), Unbounded)).take(most);
        some.map(|(id, b)| (*id, (!self.removed.contains(id)).then(|| endpoint(b)))).collect()
    }

    /// When a server's process started, by the wall clock; a server that was put back by hand starts anew.
    fn listed_start(&self, server: &KnownServer) -> f64 {
        let born = self.disabled.effective_entry(server.entry).started_at;
        if born == server.entry.started_at { server.listed_start } else { born }
    }

    /// Servers that the last list names.
    pub fn listed_count(&self) -> usize {
        self.table.len() - self.removed.len()
    }

    /// Of these servers, those that the last list names.
    pub fn listed_count_of(&self, servers: &[ServerId]) -> usize {
        let listed = |id: &&ServerId| self.table.contains_key(*id) && !self.removed.contains(*id);
        servers.iter().filter(listed).count()
    }

    /// A server as the target of an attempt, by its list entry of now.
    pub fn target(&self, server: ServerId) -> Target {
        let entry = self.table.get(&server).map(|b| b.entry);
        Target { server, zone: entry.map_or(0, |e| e.zone), cell: entry.map_or(0, |e| e.cell) }
    }

    /// Where a server is, whether it takes anything new or not.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.table.get(&server).map(|b| b.address)
    }

    /// Where a server is that takes something new; none for any other.
    pub fn ready_address(&self, server: ServerId) -> Option<SocketAddr> {
        let seen = |b: &&KnownServer| self.disabled.effective_entry(b.entry).state == ServerState::Ready;
        self.table.get(&server).filter(seen).map(|b| b.address)
    }

    /// Who is taken out by hand.
    pub fn disabled(&self) -> &DisabledServers {
        &self.disabled
    }

    /// Whether a server of this name is here, listed or still in use.
    pub fn has_name(&self, server: ServerId, name: &str) -> bool {
        self.table.get(&server).is_some_and(|b| &*b.name == name)
    }

    /// Takes in what was changed by hand; what the module is to be told, where the server is here and anything has
    /// changed.
    pub fn apply_admin_change(&mut self, change: AdminChange) -> Option<ServerEntry> {
        let server = change.server();
        if !self.disabled.apply(change) {
            return None;
        }
        self.table.get(&server).map(|b| self.disabled.effective_entry(b.entry))
    }

    /// A server's name, for the log.
    pub fn name(&self, server: Option<ServerId>) -> &str {
        server.and_then(|id| self.table.get(&id)).map_or("?", |b| &b.name)
    }

    /// What a figure in a `LOAD` line of this server's is.
    pub fn classify_load(&mut self, now: Micros, server: ServerId, figure: f64) -> LoadFigure {
        self.table.get_mut(&server).map_or(LoadFigure::Load, |b| b.figures.classify(now, figure))
    }

    /// What messages take, from what connections have `seen` of each server: those where that is over `least`, and
    /// once more each that is back under it.
    pub fn delay_reports(
        &mut self,
        now: Micros,
        least: Micros,
        seen: &BTreeMap<ServerId, Vec<DelaySample>>,
    ) -> Vec<(ServerId, Micros)> {
        let report = |(server, sights): (&ServerId, &Vec<DelaySample>)| {
            let delay = median_delay(now, least, sights)?;
            let b = self.table.get_mut(server)?;
            // What the server tells of itself goes before what its answers take.
            if b.figures.has_recent_delay(now) {
                return None;
            }
            let slow = delay > least;
            let was_slow = std::mem::replace(&mut b.slow, slow);
            (slow || was_slow).then_some((*server, delay))
        };
        seen.iter().filter_map(report).collect()
    }
}

#[cfg(test)]
mod tests;
