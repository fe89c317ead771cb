//! What operators act on, at the primary worker: their connections, the counters of all workers, and the folder in
//! which disabled servers are kept for other processes.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use mio::net::TcpListener;
use shorewharf_decisions::interface::ServerId;
use tracing::warn;

use crate::admin::counters::WorkerCounters;
use crate::admin::server::AdminServer;
use crate::admin::shared_folder::SharedFolder;
use crate::servers::disabled::{AdminChange, DisabledServer};

/// What the primary worker is given at its start.
#[derive(Debug)]
pub struct AdminListener {
    /// Where operators connect.
    pub listener: TcpListener,
    /// The counters of each worker.
    pub counters: Vec<WorkerCounters>,
    /// Where disabled servers are kept; `None` if there is no place for it.
    pub folder: Option<SharedFolder>,
}

impl From<AdminListener> for AdminHandler {
    fn from(listener: AdminListener) -> Self {
        let AdminListener { listener, counters, folder } = listener;
        AdminHandler {
            server: AdminServer::new(listener),
            counters,
            folder,
            unsaved: BTreeSet::new(),
            is_folder_failing: false,
        }
    }
}

/// The operators' side of the primary worker.
#[derive(Debug)]
pub struct AdminHandler {
    /// The connections of operators.
    pub server: AdminServer,
    /// The counters of each worker.
    pub counters: Vec<WorkerCounters>,
    /// Where disabled servers are kept; `None` if there is no place for it.
    pub folder: Option<SharedFolder>,
    /// Disabled servers that could not be saved: that they are missing in the folder doesn't enable them.
    unsaved: BTreeSet<ServerId>,
    /// The folder could not be read or written, and that was logged.
    is_folder_failing: bool,
}

impl AdminHandler {
    /// Saves that a server is disabled, for other processes of this balancer.
    pub fn save_disabled(&mut self, server: ServerId, name: &str) {
        let saved = self.folder.as_ref().map_or(Ok(()), |folder| folder.store(server, name));
        match saved {
            Ok(()) => self.unsaved.remove(&server),
            Err(_) => self.unsaved.insert(server),
        };
        self.log_folder_result(saved);
    }

    /// Saves that a server is enabled, for other processes of this balancer.
    pub fn save_enabled(&mut self, server: ServerId) {
        let saved = self.folder.as_ref().map_or(Ok(()), |folder| folder.remove(server));
        self.unsaved.remove(&server);
        self.log_folder_result(saved);
    }

    /// Reads what other processes have changed since `known` was disabled; `now` is in seconds.
    pub fn read_changes(&mut self, known: &BTreeMap<ServerId, DisabledServer>, now: f64) -> Vec<AdminChange> {
        let Some(folder) = &mut self.folder else { return Vec::new() };
        let saved = match folder.read(known) {
            Ok(saved) => saved,
            Err(e) => {
                self.log_folder_result(Err(e));
                return Vec::new();
            }
        };
        self.is_folder_failing &= !self.unsaved.is_empty();
        let enabled = known
            .keys()
            .filter(|server| !saved.contains_key(server) && !self.unsaved.contains(server))
            .map(|server| AdminChange::Enabled(*server, now));
        let mut changes: Vec<_> = enabled.collect();
        let disabled = saved.into_iter().filter(|(server, _)| !known.contains_key(server));
        changes.extend(disabled.map(|(server, disabled)| AdminChange::Disabled(server, disabled)));
        changes
    }

    /// Logs that the folder fails, once until it works again.
    fn log_folder_result(&mut self, result: io::Result<()>) {
        match result {
            Ok(()) => self.is_folder_failing = false,
            Err(e) => {
                if !std::mem::replace(&mut self.is_folder_failing, true) {
                    warn!(event = "shared-folder-unavailable", error = %e, why = "other processes of this balancer do not learn which servers are disabled");
                }
            }
        }
    }
}
