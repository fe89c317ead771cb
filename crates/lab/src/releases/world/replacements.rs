//! The servers of a release: how they are replaced, and how they fail.

use std::collections::BTreeSet;

use rand::Rng;
use shorewharf_decisions::interface::{Outcome, ServerState};

use super::{Happening, World, weight};
use crate::releases::plan::Replacement;
use crate::releases::server::EmulatedServer;

impl World<'_> {
    fn disconnect_clients(&mut self, server: u64, outcome: Outcome) {
        let requests: BTreeSet<u32> = self
            .requests
            .iter()
            .filter(|(_, open)| open.server == Some(server) && open.is_established)
            .map(|(request, _)| *request)
            .collect();
        for request in requests {
            self.disconnect(request, outcome);
        }
    }

    pub(super) fn fail_by_overload(&mut self, id: u64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.is_running = false;
        let overload = server.overload.filter(|overload| overload.notified_ratio > 2.0 / 3.0);
        self.result.overloads.extend(overload);
        self.disconnect_clients(id, Outcome::Reset);
    }

    pub(super) fn on_release_step(&mut self, step: usize) {
        let (count, steps) = (self.leaving.len(), self.plan.steps);
        let part = self.leaving[step * count / steps..(step + 1) * count / steps].to_vec();
        let mut changes = Vec::new();
        for id in part {
            let size = self.servers[&id].size;
            if self.plan.replacement == Replacement::RestartInPlace {
                self.restart_in_place(id, size);
                changes.push(id);
                continue;
            }
            let new_id = self.next_server;
            self.next_server += 1;
            let started = EmulatedServer::new(new_id, size, weight(self.plan, size), self.now);
            self.servers.insert(new_id, started);
            changes.push(new_id);
            changes.extend(self.retire(id));
        }
        self.announce(changes);
    }

    fn restart_in_place(&mut self, id: u64, size: f64) {
        let started = EmulatedServer::new(id, size, weight(self.plan, size), self.now);
        self.servers.insert(id, started);
        self.disconnect_clients(id, Outcome::Reset);
    }

    /// Takes a server out of service. Returns its id if the endpoint list tells it at once.
    fn retire(&mut self, id: u64) -> Option<u64> {
        let server = self.servers.get_mut(&id)?;
        match self.plan.replacement {
            Replacement::Drain => {
                server.entry.state = ServerState::Draining;
                self.disconnect_clients(id, Outcome::Cancelled);
                Some(id)
            }
            Replacement::Removal => {
                server.entry.state = ServerState::Removed;
                server.is_running = false;
                self.disconnect_clients(id, Outcome::Reset);
                Some(id)
            }
            Replacement::Crash | Replacement::RestartInPlace => {
                server.entry.state = ServerState::Removed;
                server.is_running = false;
                self.disconnect_clients(id, Outcome::Reset);
                let after = self.rng.random_range(0.2..2.0);
                self.schedule(after, Happening::DeathIsListed(id));
                None
            }
        }
    }
}
