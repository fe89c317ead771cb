//! What the primary worker keeps for operators: their connections, the counters of all workers, and the folder in which
//! processes of this balancer share the disabled servers.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use mio::net::TcpListener;
use shorewharf_decisions::interface::ServerId;
use tracing::warn;

use crate::admin::counters::WorkerCounters;
use crate::admin::server::AdminServer;
use crate::admin::shared_folder::SharedFolder;
use crate::servers::disabled::{AdminChange, DisabledServer};

/// What an [`AdminHandler`] is created from, before the event loop starts.
#[derive(Debug)]
pub struct AdminListener {
    /// Where operators connect.
    pub listener: TcpListener,
    /// The counters of each worker.
    pub counters: Vec<WorkerCounters>,
    /// Shared with the other processes of this balancer; none where there is no place for it.
    pub folder: Option<SharedFolder>,
}

/// The admin side of the primary worker.
#[derive(Debug)]
pub struct AdminHandler {
    /// The connections of operators.
    pub server: AdminServer,
    /// The counters of each worker.
    pub counters: Vec<WorkerCounters>,
    folder: Option<SharedFolder>,
    /// Disabled servers that could not be stored: that the folder lacks them does not mean they were enabled.
    unstored: BTreeSet<ServerId>,
    /// The folder could not be read or written, and that was logged.
    has_failed: bool,
}

impl From<AdminListener> for AdminHandler {
    fn from(admin: AdminListener) -> Self {
        AdminHandler {
            server: AdminServer::new(admin.listener),
            counters: admin.counters,
            folder: admin.folder,
            unstored: BTreeSet::new(),
            has_failed: false,
        }
    }
}

impl AdminHandler {
    /// Whether there is a folder to share disabled servers in.
    pub fn has_folder(&self) -> bool {
        self.folder.is_some()
    }

    /// Stores for other processes that a server is disabled.
    pub fn store_disabled(&mut self, server: ServerId, name: &str) {
        let result = self.folder.as_ref().map_or(Ok(()), |folder| folder.store(server, name));
        if result.is_ok() {
            self.unstored.remove(&server);
        } else {
            self.unstored.insert(server);
        }
        self.log_failure(result);
    }

    /// Stores for other processes that a server is enabled.
    pub fn store_enabled(&mut self, server: ServerId) {
        let result = self.folder.as_ref().map_or(Ok(()), |folder| folder.remove(server));
        self.unstored.remove(&server);
        self.log_failure(result);
    }

    /// Reads what other processes have changed since; `disabled` are the servers that this process has disabled, and `now` is
    /// in seconds.
    pub fn read_changes(
        &mut self,
        disabled: &BTreeMap<ServerId, DisabledServer>,
        now: f64,
    ) -> Vec<AdminChange> {
        let Some(folder) = &mut self.folder else { return Vec::new() };
        let stored = match folder.read(disabled) {
            Ok(stored) => stored,
            Err(e) => {
                self.log_failure(Err(e));
                return Vec::new();
            }
        };
        self.has_failed &= !self.unstored.is_empty();
        let is_enabled = |server: &&ServerId| !stored.contains_key(server) && !self.unstored.contains(server);
        let enabled = disabled.keys().filter(is_enabled).map(|server| AdminChange::Enabled(*server, now));
        let mut changes: Vec<_> = enabled.collect();
        let newly = stored.into_iter().filter(|(server, _)| !disabled.contains_key(server));
        changes.extend(newly.map(|(server, entry)| AdminChange::Disabled(server, entry)));
        changes
    }

    /// Logs the first failure in a row.
    fn log_failure(&mut self, result: io::Result<()>) {
        let Err(error) = result else {
            self.has_failed = false;
            return;
        };
        if !std::mem::replace(&mut self.has_failed, true) {
            warn!(event = "not-kept", %error, why = "other processes of this balancer do not hear of calls");
        }
    }
}
