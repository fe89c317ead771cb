//! Servers that operators have disabled, and what that makes of their list entries.

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{ServerEntry, ServerId, ServerState};

/// A server that an operator has disabled.
#[derive(Clone, Debug, PartialEq)]
pub struct DisabledServer {
    /// Its name, if it is known.
    pub name: Box<str>,
    /// When it was disabled, in seconds on the clock of the decisions.
    pub disabled_at: f64,
}

/// A server that was enabled again. It may have been restarted meanwhile, which the endpoint list may not tell yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EnabledServer {
    disabled_at: f64,
    enabled_at: f64,
}

/// A change by an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminChange {
    /// A server is disabled.
    Disabled(ServerId, DisabledServer),
    /// A server is enabled again, at this time in seconds.
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

/// Disabled servers, whether the endpoint list names them or not. Only an operator enables one again.
#[derive(Clone, Debug, Default)]
pub struct DisabledServers {
    disabled: BTreeMap<ServerId, DisabledServer>,
    enabled: BTreeMap<ServerId, EnabledServer>,
}

impl DisabledServers {
    /// Whether a server is disabled.
    pub fn is_disabled(&self, server: ServerId) -> bool {
        self.disabled.contains_key(&server)
    }

    /// All disabled servers.
    pub fn all(&self) -> &BTreeMap<ServerId, DisabledServer> {
        &self.disabled
    }

    /// Applies a change. Returns false if it changes nothing.
    pub fn apply(&mut self, change: AdminChange) -> bool {
        match change {
            AdminChange::Disabled(server, disabled) => {
                self.enabled.remove(&server);
                self.disabled.insert(server, disabled).is_none()
            }
            AdminChange::Enabled(server, enabled_at) => {
                let Some(disabled) = self.disabled.remove(&server) else { return false };
                let disabled_at = disabled.disabled_at;
                self.enabled.insert(server, EnabledServer { disabled_at, enabled_at });
                true
            }
        }
    }

    /// Forgets a server unless it is disabled.
    pub fn forget(&mut self, server: ServerId) {
        self.enabled.remove(&server);
    }

    /// The entry of a listed server as the decisions see it: a disabled server drains, and one that was enabled again is
    /// as cold as after a restart, unless the list tells of a later one.
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
