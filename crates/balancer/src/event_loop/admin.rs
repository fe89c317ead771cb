//! Executes the commands of operators at the primary worker, and applies to all workers what they change.

use shorewharf_decisions::interface::ServerId;
use shorewharf_driver::NetworkEvent;
use shorewharf_protocol::admin::{Command, CommandError, CommandReply, Metrics};
use shorewharf_units::{Micros, seconds_from_micros};
use tracing::info;

use super::hub::EventLoop;
use super::iteration::TimerEvent;
use super::poll::{EventSource, Readiness};
use crate::admin::counters::WorkerCounters;
use crate::discovery::update::server_id;
use crate::servers::disabled::{AdminChange, DisabledServer};
use crate::workers::pool::WorkerMessage;

/// How often the shared folder is read: other processes must apply a command within a second.
const FOLDER_SYNC_INTERVAL: Micros = 100_000;

impl EventLoop {
    /// Serves operators, ahead of all others. `avoided_servers` returns the servers that get no requests now.
    pub fn serve_admin(
        &mut self,
        ready: impl Iterator<Item = (EventSource, Readiness)>,
        avoided_servers: impl Fn() -> Vec<ServerId>,
    ) {
        let Some(admin) = &mut self.admin else { return };
        for (source, readiness) in ready {
            admin.server.on_ready(&mut self.turn, source, readiness);
        }
        admin.server.accept(&mut self.turn);
        for (connection, command) in admin.server.take_commands() {
            let reply = match command {
                Ok(command) => self.execute_command(command, &avoided_servers),
                Err(error) => CommandReply::Rejected(error),
            };
            let Some(admin) = &mut self.admin else { return };
            admin.server.reply(&mut self.turn, connection, &reply);
        }
    }

    fn execute_command(
        &mut self,
        command: Command,
        avoided_servers: impl Fn() -> Vec<ServerId>,
    ) -> CommandReply {
        match command {
            Command::Readiness if self.shutdown_started_at.is_none() => CommandReply::Done,
            Command::Readiness => CommandReply::Rejected(CommandError::NotReady(
                "this process is about to end and takes no clients",
            )),
            Command::Metrics => CommandReply::Metrics(self.metrics(&avoided_servers()).lines()),
            Command::Disable(name) => self.disable_server(name),
            Command::Enable(name) => self.enable_server(name),
        }
    }

    fn disable_server(&mut self, name: String) -> CommandReply {
        let server = server_id(&name);
        let servers = &self.serving.servers;
        if !servers.taken_out().is_out(server) {
            if !servers.is_known(server, &name) {
                return CommandReply::Rejected(CommandError::UnknownServer(name));
            }
            let since = seconds_from_micros(self.turn.now);
            let entry = DisabledServer { name: name.as_str().into(), since };
            self.broadcast_change(AdminChange::Disabled(server, entry), "a call");
        }
        // Stored again if it was disabled before: the first time may have failed.
        if let Some(admin) = &mut self.admin {
            admin.store_disabled(server, &name);
        }
        CommandReply::Done
    }

    fn enable_server(&mut self, name: String) -> CommandReply {
        let server = server_id(&name);
        let servers = &self.serving.servers;
        if !servers.taken_out().is_out(server) && !servers.is_known(server, &name) {
            return CommandReply::Rejected(CommandError::UnknownServer(name));
        }
        // The file first: as long as it is there, the next sync would disable the server again.
        if let Some(admin) = &mut self.admin {
            admin.store_enabled(server);
        }
        let now = seconds_from_micros(self.turn.now);
        self.broadcast_change(AdminChange::Enabled(server, now), "a call");
        CommandReply::Done
    }

    /// Applies a change at all workers.
    fn broadcast_change(&mut self, change: AdminChange, by: &str) {
        let disabled = self.serving.servers.taken_out().all();
        match &change {
            AdminChange::Disabled(_, entry) => info!(event = "server-taken-out", server = %entry.name, by),
            AdminChange::Enabled(server, _) => {
                if let Some(entry) = disabled.get(server) {
                    info!(event = "server-put-back", server = %entry.name, by);
                }
            }
        }
        self.broadcast(|_| WorkerMessage::ServerChanged(change.clone()));
        self.apply_change(change);
    }

    /// Applies a change at this worker. The decisions see it as an update of the endpoint list that did not come from the
    /// discovery service.
    pub fn apply_change(&mut self, change: AdminChange) {
        if let Some(entry) = self.serving.servers.change(change) {
            self.turn.emit(NetworkEvent::EndpointListReceived {
                full: false,
                cached: true,
                entries: vec![entry],
            });
        }
    }

    /// Applies what other processes of this balancer have changed in the shared folder.
    pub fn sync_shared_folder(&mut self) {
        let Some(admin) = self.admin.as_mut().filter(|admin| admin.has_folder()) else { return };
        let changes =
            admin.read_changes(self.serving.servers.taken_out().all(), seconds_from_micros(self.turn.now));
        self.turn.after(FOLDER_SYNC_INTERVAL, TimerEvent::SyncSharedFolder);
        for change in changes {
            self.broadcast_change(change, "another process");
        }
    }

    /// The metrics of all workers, as they are now.
    fn metrics(&self, avoided_servers: &[ServerId]) -> Metrics {
        self.serving.note_held();
        let counters = self.admin.as_ref().map_or(&[][..], |admin| &admin.counters);
        let totals = WorkerCounters::sum(counters);
        let mut classes: Vec<_> = self.serving.terms.names.classes.iter().collect();
        classes.sort_by_key(|(_, index)| **index);
        let replies = classes
            .into_iter()
            .map(|(name, index)| (name.clone(), totals.replies.get(*index).copied().unwrap_or_default()))
            .collect();
        let servers = &self.serving.servers;
        Metrics {
            replies,
            dispatches: totals.dispatches,
            concurrent: totals.concurrent,
            targets: servers.listed(),
            targets_disabled: servers.listed_of(avoided_servers),
        }
    }
}
