//! Executes the harness's commands: starts and signals of balancers, clients' requests, nodes' messages and list events.

use super::{Driver, RunError};
use crate::edge::{BalancerId, End, RequestLine, ToBalancer};
use crate::sockets::directory::Directory;
use crate::sockets::fleet::StartConfig;
use crate::sockets::harness::Harness;
use serde_json::Value;
use shorewharf_units::Micros;

impl<S: Harness> Driver<'_, S> {
    /// Executes the harness's commands on the sockets.
    pub(super) fn execute_commands(&mut self) -> Result<(), RunError> {
        let mut commands = std::mem::take(&mut self.commands);
        for (who, what) in commands.drain(..) {
            if self.withhold(who, &what) {
                continue;
            }
            self.execute(who, &what)?;
        }
        // Executing a command issues no further commands before the next report.
        self.commands = commands;
        Ok(())
    }

    /// Executes a command and notifies the harness. A list event also completes the pending list events of its balancer.
    pub(super) fn execute(&mut self, who: BalancerId, what: &ToBalancer) -> Result<(), RunError> {
        self.apply_command(who, what)?;
        if matches!(what, ToBalancer::List { .. }) {
            for (_, before) in self.pending_list_events.extract_if(.., |(to, _)| *to == who) {
                self.harness.on_command_executed(self.harness_time, who, &before);
            }
        }
        self.harness.on_command_executed(self.harness_time, who, what);
        Ok(())
    }

    /// Connects a client that sends this request; `remaining` is the client's remaining timeout.
    pub(super) fn open_client(&mut self, who: BalancerId, request: &RequestLine, remaining: Micros) {
        let line = self.connection_log.record_request(who, request, remaining, &self.directory);
        let target = (who, self.fleet.address(who));
        self.clients.connect(&mut self.net, target, (*request, remaining), &line, &mut self.observations);
    }

    /// Executes a command without notifying the harness.
    pub(super) fn apply_command(&mut self, who: BalancerId, what: &ToBalancer) -> Result<(), RunError> {
        let now = self.clock.now();
        let net = &mut self.net;
        match *what {
            ToBalancer::Start { seed, ref known } => {
                let index = self.discovery.on_balancer_start(who, known);
                let text = (self.options.settings)(self.day, who);
                let settings: Value = serde_json::from_str(&text)
                    .map_err(|e| RunError::Settings(Directory::balancer_name(who), e))?;
                let known = self.directory.endpoint_list(who, index, true, known);
                let discovery = self.discovery.address(who);
                self.fleet.start(net, now, who, &StartConfig { seed, known, settings, discovery })?;
            }
            ToBalancer::Kill => self.fleet.kill(who),
            ToBalancer::Terminate => self.fleet.terminate(who),
            ToBalancer::Reload { moved } => {
                if moved {
                    self.discovery.move_address(net, now, who)?;
                }
                self.fleet.reload(now, who, self.discovery.address(who))?;
            }
            ToBalancer::Request { request, remaining } => self.open_client(who, &request, remaining),
            ToBalancer::ClientEnded(conn, how) => self.clients.close(net, now, conn, how),
            ToBalancer::LinkFailed(link) => self.nodes.close(net, link, End::Reset),
            ToBalancer::NodeMessage(link, message) => {
                self.nodes.send(net, link, message, &mut self.connection_log);
            }
            ToBalancer::NodeEnded(link, how) => {
                self.nodes.close(net, link, how);
            }
            ToBalancer::List { full, ref entries } => {
                self.discovery.publish(net, now, who, full, entries, &self.directory);
            }
            ToBalancer::ListFailed => self.discovery.fail_calls(net, who),
            // Clients send lines on their own schedule, and the operating system establishes links.
            ToBalancer::ClientLine(_) | ToBalancer::LinkUp(_) => {}
        }
        Ok(())
    }
}
