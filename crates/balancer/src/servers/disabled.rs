//! Which servers operators have taken out, and what that makes of what the list says of them.

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{ServerEntry, ServerId, ServerState};

/// A server that is out.
#[derive(Clone, Debug, PartialEq)]
pub struct DisabledServer {
    /// Its name, as far as it is known.
    pub name: Box<str>,
    /// When it was taken out, in seconds on the module's clock.
    pub disabled_at: f64,
}

/// A server that was put back and may have been restarted while it was out, which the list has not told.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EnabledServer {
    disabled_at: f64,
    enabled_at: f64,
}

/// What has changed by hand.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminChange {
    /// A server is taken out.
    Disabled(ServerId, DisabledServer),
    /// It may serve again, from this time on.
    Enabled(ServerId, f64),
}

impl AdminChange {
    /// The server that it is about.
    pub fn server(&self) -> ServerId {
        match self {
            AdminChange::Disabled(server, _) | AdminChange::Enabled(server, _) => *server,
        }
    }
}

/// Servers taken out, whether the list names them or not. Only a call puts one back.
#[derive(Clone, Debug, Default)]
pub struct DisabledServers {
    disabled: BTreeMap<ServerId, DisabledServer>,
    enabled: BTreeMap<ServerId, EnabledServer>,
}

impl DisabledServers {
    /// Whether a server is out.
    pub fn is_disabled(&self, server: ServerId) -> bool {
        self.disabled.contains_key(&server)
    }

    /// Those that are out.
    pub fn all(&self) -> &BTreeMap<ServerId, DisabledServer> {
        &self.disabled
    }

    /// Takes a change in; false where it was so before.
    pub fn apply(&mut self, change: AdminChange) -> bool {
        match change {
            AdminChange::Disabled(server, out) => {
                self.enabled.remove(&server);
                self.disabled.insert(server, out).is_none()
            }
            AdminChange::Enabled(server, at) => {
                let Some(out) = self.disabled.remove(&server) else { return false };
                self.enabled.insert(server, EnabledServer { disabled_at: out.disabled_at, enabled_at: at });
                true
            }
        }
    }

    /// A server is forgotten unless it is out.
    pub fn forget(&mut self, server: ServerId) {
        self.enabled.remove(&server);
    }

    /// What the module is told of a server that is listed like this: one that is out drains; one that was put back is as
    /// cold as it would be after a restart, unless the list has told of one since.
    pub fn effective_entry(&self, listed: ServerEntry) -> ServerEntry {
        let out = self.is_disabled(listed.server) && listed.state == ServerState::Ready;
        let born = match self.enabled.get(&listed.server) {
            Some(back) if listed.started_at < back.disabled_at => back.enabled_at,
            _ => listed.started_at,
        };
        ServerEntry {
            state: if out { ServerState::Draining } else { listed.state },
            started_at: born,
            ..listed
        }
    }
}

#[cfg(test)]
mod tests;
