//! The admin state of the primary worker: the connections of operators, the counters of all workers, and the
//! folder in which disabled servers are stored for other processes of this balancer.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use mio::net::TcpListener;
use shorewharf_decisions::interface::ServerId;
use tracing::warn;

use crate::admin::counters::WorkerCounters;
use crate::admin::server::AdminServer;
use crate::admin::shared_folder::SharedFolder;
use crate::servers::disabled::{AdminChange, DisabledServer};

/// The resources for serving operators that the primary worker receives at its start.
#[derive(Debug)]
pub struct AdminListener {
    /// The listener that operators connect to.
    pub listener: TcpListener,
    /// The counters of each worker.
    pub counters: Vec<WorkerCounters>,
    /// The folder in which disabled servers are stored; `None` if it could not be opened.
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

/// Serves operators at the primary worker.
#[derive(Debug)]
pub struct AdminHandler {
    /// The listener for operators and their connections.
    pub server: AdminServer,
    /// The counters of each worker.
    pub counters: Vec<WorkerCounters>,
    /// The folder in which disabled servers are stored; `None` if it could not be opened.
    pub folder: Option<SharedFolder>,
    /// Disabled servers that could not be stored. They stay disabled although the folder lacks them.
    unsaved: BTreeSet<ServerId>,
    /// Whether the folder could not be read or written. The failure has been logged.
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

    /// Returns the changes of other processes: the differences of the folder from the servers that are
    /// `known` to be disabled. `now` is in seconds.
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

    /// Logs a failure of the folder, once until the folder works again.
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
