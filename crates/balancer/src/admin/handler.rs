//! What the calls ask for, done: the door's words go to those whose they are.

use std::collections::BTreeSet;

use mio::net::TcpListener;
use shorewharf_decisions::interface::ServerId;
use shorewharf_driver::NetworkEvent;
use shorewharf_protocol::admin::{Command, CommandError, CommandReply, Metrics};
use shorewharf_units::{Micros, seconds_from_micros};
use tracing::{info, warn};

use crate::admin::counters::WorkerCounters;
use crate::admin::server::AdminServer;
use crate::admin::shared_folder::SharedFolder;
use crate::discovery::update::server_id;
use crate::event_loop::hub::EventLoop;
use crate::event_loop::iteration::TimerEvent;
use crate::event_loop::poll::{EventSource, Readiness};
use crate::servers::disabled::{AdminChange, DisabledServer};
use crate::workers::pool::WorkerMessage;

/// How often it is looked for what other processes of this balancer have changed: they hear of a call within its second.
const LOOK: Micros = 100_000;

/// What there is of it before the loop starts.
#[derive(Debug)]
pub struct AdminListener {
    /// Where operators call.
    pub listener: TcpListener,
    /// What each loop counts.
    pub counts: Vec<WorkerCounters>,
    /// What is kept for the next process; none where there is no place for it.
    pub folder: Option<SharedFolder>,
}

impl From<AdminListener> for AdminHandler {
    fn from(opened: AdminListener) -> Self {
        let AdminListener { listener, counts, folder } = opened;
        AdminHandler {
            door: AdminServer::new(listener),
            counts,
            folder,
            unkept: BTreeSet::new(),
            ails: false,
        }
    }
}

/// Operators' side at the loop that leads.
#[derive(Debug)]
pub struct AdminHandler {
    /// Where they call.
    pub door: AdminServer,
    /// What each loop counts.
    pub counts: Vec<WorkerCounters>,
    /// What is kept for the next process; none where there is no place for it.
    pub folder: Option<SharedFolder>,
    /// Servers that are out and could not be kept: that the folder does not have them says nothing.
    unkept: BTreeSet<ServerId>,
    /// The folder could not be read or written, and that was told.
    ails: bool,
}

impl AdminHandler {
    fn told(&mut self, done: std::io::Result<()>) {
        match done {
            Ok(()) => self.ails = false,
            Err(e) => {
                if !std::mem::replace(&mut self.ails, true) {
                    warn!(event = "not-kept", error = %e, why = "other processes of this balancer do not hear of calls");
                }
            }
        }
    }
}

impl EventLoop {
    /// Looks at operators, before anybody else, and answers them. `avoided` tells which servers get nothing now.
    pub fn serve_admin(
        &mut self,
        seen: impl Iterator<Item = (EventSource, Readiness)>,
        avoided: impl Fn() -> Vec<ServerId>,
    ) {
        let Some(desk) = &mut self.admin else { return };
        seen.for_each(|(owner, ready)| desk.door.ready(&mut self.turn, owner, ready));
        desk.door.accept(&mut self.turn);
        for (number, call) in desk.door.take_calls() {
            let answer = match call {
                Ok(call) => self.execute_command(call, &avoided),
                Err(why) => CommandReply::Rejected(why),
            };
            let Some(desk) = &mut self.admin else { return };
            desk.door.answer(&mut self.turn, number, &answer);
        }
    }

    fn execute_command(&mut self, call: Command, avoided: impl Fn() -> Vec<ServerId>) -> CommandReply {
        match call {
            Command::Readiness if self.shutdown_started_at.is_none() => CommandReply::Done,
            Command::Readiness => CommandReply::Rejected(CommandError::NotReady(
                "this process is about to end and takes no clients",
            )),
            Command::Metrics => CommandReply::Metrics(self.metrics(&avoided()).lines()),
            Command::Disable(name) => self.disable_server(name),
            Command::Enable(name) => self.enable_server(name),
        }
    }

    fn disable_server(&mut self, name: String) -> CommandReply {
        let server = server_id(&name);
        let servers = &self.serving.servers;
        match (servers.taken_out().is_out(server), servers.is_known(server, &name)) {
            // Kept again: it may not have been the first time.
            (true, _) => {}
            (false, false) => return CommandReply::Rejected(CommandError::UnknownServer(name)),
            (false, true) => {
                let out =
                    DisabledServer { name: name.as_str().into(), since: seconds_from_micros(self.turn.now) };
                self.broadcast_change(AdminChange::Disabled(server, out), "a call");
            }
        }
        if let Some(desk) = &mut self.admin {
            let done = desk.folder.as_ref().map_or(Ok(()), |folder| folder.keep(server, &name));
            match done {
                Ok(()) => desk.unkept.remove(&server),
                Err(_) => desk.unkept.insert(server),
            };
            desk.told(done);
        }
        CommandReply::Done
    }

    fn enable_server(&mut self, name: String) -> CommandReply {
        let server = server_id(&name);
        let servers = &self.serving.servers;
        if !servers.taken_out().is_out(server) && !servers.is_known(server, &name) {
            return CommandReply::Rejected(CommandError::UnknownServer(name));
        }
        // The file first: as long as it is there it would be taken out again.
        if let Some(desk) = &mut self.admin {
            let done = desk.folder.as_ref().map_or(Ok(()), |folder| folder.let_go(server));
            desk.unkept.remove(&server);
            desk.told(done);
        }
        self.broadcast_change(AdminChange::Enabled(server, seconds_from_micros(self.turn.now)), "a call");
        CommandReply::Done
    }

    /// Something is changed by hand, for all workers.
    fn broadcast_change(&mut self, change: AdminChange, by: &str) {
        let name = match &change {
            AdminChange::Disabled(_, out) => out.name.clone(),
            AdminChange::Enabled(server, _) => {
                let out = self.serving.servers.taken_out().all().get(server);
                out.map_or_else(Default::default, |out| out.name.clone())
            }
        };
        match &change {
            AdminChange::Disabled(..) => info!(event = "server-taken-out", server = %name, by),
            AdminChange::Enabled(server, _) if self.serving.servers.taken_out().is_out(*server) => {
                info!(event = "server-put-back", server = %name, by);
            }
            AdminChange::Enabled(..) => {}
        }
        self.broadcast(|_| WorkerMessage::ServerChanged(change.clone()));
        self.apply_change(change);
    }

    /// Something was changed by hand: the module hears of it as of a change of the list, which is no news of
    /// discovery's.
    pub fn apply_change(&mut self, change: AdminChange) {
        if let Some(entry) = self.serving.servers.change(change) {
            self.turn.emit(NetworkEvent::EndpointListReceived {
                full: false,
                cached: true,
                entries: vec![entry],
            });
        }
    }

    /// Looks for what other processes of this balancer have changed.
    pub fn sync_shared_folder(&mut self) {
        let known = self.serving.servers.taken_out().all().clone();
        let Some(desk) = &mut self.admin else { return };
        let Some(folder) = &mut desk.folder else { return };
        self.turn.after(LOOK, TimerEvent::SyncSharedFolder);
        match folder.read(&known) {
            Ok(out) => {
                desk.ails &= !desk.unkept.is_empty();
                // What could not be kept is out all the same.
                let back = known
                    .keys()
                    .filter(|server| !out.contains_key(server) && !desk.unkept.contains(server))
                    .copied();
                let back: Vec<_> = back
                    .map(|server| AdminChange::Enabled(server, seconds_from_micros(self.turn.now)))
                    .collect();
                let news = out.into_iter().filter(|(server, _)| !known.contains_key(server));
                let news: Vec<_> = news.map(|(server, out)| AdminChange::Disabled(server, out)).collect();
                back.into_iter()
                    .chain(news)
                    .for_each(|change| self.broadcast_change(change, "another process"));
            }
            Err(e) => desk.told(Err(e)),
        }
    }

    /// All that is reported, as it is now.
    fn metrics(&self, avoided: &[ServerId]) -> Metrics {
        self.serving.note_held();
        let sums = WorkerCounters::of_all(self.admin.as_ref().map_or(&[], |desk| &desk.counts));
        let mut classes: Vec<_> = self.serving.terms.names.classes.iter().collect();
        classes.sort_by_key(|(_, at)| **at);
        let replies = classes
            .into_iter()
            .map(|(name, at)| (name.clone(), sums.replies.get(*at).copied().unwrap_or_default()))
            .collect();
        let servers = &self.serving.servers;
        let (targets, targets_disabled) = (servers.listed(), servers.listed_of(avoided));
        let (dispatches, concurrent) = (sums.dispatches, sums.concurrent);
        Metrics { replies, dispatches, concurrent, targets, targets_disabled }
    }
}
