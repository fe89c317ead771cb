//! Carries out operators' commands in the event loop of the primary worker.

use shorewharf_decisions::interface::ServerId;
use shorewharf_driver::NetworkEvent;
use shorewharf_protocol::admin::{Command, CommandError, CommandReply, Metrics};
use shorewharf_units::{Micros, seconds_from_micros};
use tracing::info;

use crate::admin::counters::WorkerCounters;
use crate::admin::server::ReceivedCommand;
use crate::discovery::update::server_id;
use crate::event_loop::context::TimerEvent;
use crate::event_loop::dispatch::EventLoop;
use crate::event_loop::poll::EventSource;
use crate::servers::disabled::{AdminChange, DisabledServer};
use crate::transport::readiness::Readiness;
use crate::workers::pool::WorkerMessage;

/// How often the shared folder is checked for changes of other processes: a command that one process has
/// received must be applied by all within a second.
const SHARED_FOLDER_INTERVAL: Micros = 100_000;
/// The cause for which a server was disabled or enabled, in log lines.
const BY_COMMAND: &str = "an operator's command";
const BY_OTHER_PROCESS: &str = "another process";

impl EventLoop {
    /// Serves operators' connections ahead of all others. `avoided_servers` returns the servers that
    /// currently get no requests.
    pub fn serve_admin(
        &mut self,
        ready: impl Iterator<Item = (EventSource, Readiness)>,
        avoided_servers: impl Fn() -> Vec<ServerId>,
    ) {
        let Some(admin) = &mut self.admin else { return };
        for (source, readiness) in ready {
            admin.server.on_ready(&mut self.context, source, readiness);
        }
        admin.server.accept(&mut self.context);
        for ReceivedCommand { connection, command } in admin.server.take_commands() {
            let reply = match command {
                Ok(command) => self.execute_command(command, &avoided_servers),
                Err(error) => CommandReply::Rejected(error),
            };
            let Some(admin) = &mut self.admin else { return };
            admin.server.reply(&mut self.context, connection, &reply);
        }
    }

    fn execute_command(
        &mut self,
        command: Command,
        avoided_servers: impl Fn() -> Vec<ServerId>,
    ) -> CommandReply {
        match command {
            Command::Readiness if !self.is_shutting_down() => CommandReply::Done,
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
        let servers = &self.proxy.servers;
        if !servers.disabled().is_disabled(server) {
            if !servers.has_name(server, &name) {
                return CommandReply::Rejected(CommandError::UnknownServer(name));
            }
            let disabled_at = seconds_from_micros(self.context.now);
            let disabled = DisabledServer { name: name.as_str().into(), disabled_at };
            self.change_servers(AdminChange::Disabled(server, disabled), BY_COMMAND);
        }
        // Saved even if the server was disabled before, since saving may have failed then.
        if let Some(admin) = &mut self.admin {
            admin.save_disabled(server, &name);
        }
        CommandReply::Done
    }

    fn enable_server(&mut self, name: String) -> CommandReply {
        let server = server_id(&name);
        let servers = &self.proxy.servers;
        if !servers.disabled().is_disabled(server) && !servers.has_name(server, &name) {
            return CommandReply::Rejected(CommandError::UnknownServer(name));
        }
        // The file is removed first: as long as it exists, the server would be disabled again.
        if let Some(admin) = &mut self.admin {
            admin.save_enabled(server);
        }
        let enabled_at = seconds_from_micros(self.context.now);
        self.change_servers(AdminChange::Enabled(server, enabled_at), BY_COMMAND);
        CommandReply::Done
    }

    /// Logs a change and applies it at this worker and all others.
    fn change_servers(&mut self, change: AdminChange, by: &str) {
        let disabled = self.proxy.servers.disabled();
        match &change {
            AdminChange::Disabled(_, server) => info!(event = "server-disabled", server = %server.name, by),
            AdminChange::Enabled(id, _) => {
                if let Some(server) = disabled.all().get(id) {
                    info!(event = "server-enabled", server = %server.name, by);
                }
            }
        }
        self.broadcast(|_| WorkerMessage::ServerChanged(change.clone()));
        self.apply_admin_change(change);
    }

    /// Applies a change at this worker. The driver receives it as a change of the endpoint list that does not come from
    /// discovery.
    pub(super) fn apply_admin_change(&mut self, change: AdminChange) {
        if let Some(entry) = self.proxy.servers.apply_admin_change(change) {
            let entries = vec![entry];
            self.context.emit(NetworkEvent::EndpointListReceived {
                is_complete: false,
                is_cached: true,
                entries,
            });
        }
    }

    /// Applies the changes that other processes of this balancer have made in the shared folder.
    pub(super) fn read_shared_folder(&mut self) {
        let Some(admin) = &mut self.admin else { return };
        if admin.folder.is_none() {
            return;
        }
        self.context.schedule_after(SHARED_FOLDER_INTERVAL, TimerEvent::ReadSharedFolder);
        let now = seconds_from_micros(self.context.now);
        for change in admin.read_changes(self.proxy.servers.disabled().all(), now) {
            self.change_servers(change, BY_OTHER_PROCESS);
        }
    }

    /// Returns the current metrics for operators.
    fn metrics(&self, avoided_servers: &[ServerId]) -> Metrics {
        self.proxy.publish_gauges();
        let sums = WorkerCounters::sum(self.admin.as_ref().map_or(&[], |admin| &admin.counters));
        let mut classes: Vec<_> = self.proxy.settings.names.classes.iter().collect();
        classes.sort_by_key(|(_, class)| **class);
        let replies = classes
            .into_iter()
            .map(|(name, class)| (name.clone(), sums.replies.get(*class).copied().unwrap_or_default()))
            .collect();
        Metrics {
            replies,
            dispatches: sums.dispatches,
            concurrent: sums.concurrent,
            targets: self.proxy.servers.listed_count(),
            targets_disabled: self.proxy.servers.listed_count_of(avoided_servers),
        }
    }
}
