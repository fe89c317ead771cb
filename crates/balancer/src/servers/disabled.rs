//! Servers that operators have disabled, and how that changes their endpoint list entries.

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{ServerEntry, ServerId, ServerState};

/// A server that an operator has disabled.
#[derive(Clone, Debug, PartialEq)]
pub struct DisabledServer {
    /// The server's name; empty if it is unknown.
    pub name: Box<str>,
    /// When the server was disabled, in seconds on the clock of the decisions.
    pub disabled_at: f64,
}

/// A server that was disabled and enabled again. It may have been restarted in between, which the endpoint list may not show
/// yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ReenabledServer {
    disabled_at: f64,
    enabled_at: f64,
}

/// A change that an operator makes to a server.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminChange {
    /// The server is disabled.
    Disabled(ServerId, DisabledServer),
    /// The server is enabled again at this time, in seconds on the clock of the decisions.
    Enabled(ServerId, f64),
}

impl AdminChange {
    /// The server that is disabled or enabled.
    pub fn server(&self) -> ServerId {
        match self {
            AdminChange::Disabled(server, _) | AdminChange::Enabled(server, _) => *server,
        }
    }
}

/// The disabled servers, whether or not the endpoint list contains them. Only an operator can enable one again.
#[derive(Clone, Debug, Default)]
pub struct DisabledServers {
    disabled: BTreeMap<ServerId, DisabledServer>,
    enabled: BTreeMap<ServerId, ReenabledServer>,
}

impl DisabledServers {
    /// Whether a server is disabled.
    pub fn is_disabled(&self, server: ServerId) -> bool {
        self.disabled.contains_key(&server)
    }

    /// All disabled servers by id.
    pub fn all(&self) -> &BTreeMap<ServerId, DisabledServer> {
        &self.disabled
    }

    /// Applies a change. Returns false if the server already has the requested state.
    pub fn apply(&mut self, change: AdminChange) -> bool {
        match change {
            AdminChange::Disabled(server, disabled) => {
                self.enabled.remove(&server);
                self.disabled.insert(server, disabled).is_none()
            }
            AdminChange::Enabled(server, enabled_at) => {
                let Some(disabled) = self.disabled.remove(&server) else { return false };
                let disabled_at = disabled.disabled_at;
                self.enabled.insert(server, ReenabledServer { disabled_at, enabled_at });
                true
            }
        }
    }

    /// Removes the record that a server was enabled again. A disabled server stays disabled.
    pub fn forget(&mut self, server: ServerId) {
        self.enabled.remove(&server);
    }

    /// The entry of a listed server as the decisions receive it. A disabled server is draining. A server that was enabled
    /// again is treated as restarted at that time, unless the list shows a restart after it was disabled.
    pub fn effective_entry(&self, listed: ServerEntry) -> ServerEntry {
        let is_draining = self.is_disabled(listed.server) && listed.state == ServerState::Ready;
        let started_at = match self.enabled.get(&listed.server) {
            Some(enabled) if listed.started_at < enabled.disabled_at => enabled.enabled_at,
            _ => listed.started_at,
        };
        let state = if is_draining { ServerState::Draining } else { listed.state };
        ServerEntry { state, started_at, ..listed }
    }
}

#[cfg(test)]
mod tests;
