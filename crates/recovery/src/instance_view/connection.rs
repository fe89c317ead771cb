//! One connection of an instance, with its load so far.

use shorewharf_decisions::ServerId;
use shorewharf_decisions::interface::Request;

/// The mean load counts as so many seconds of a connection's own load: its load just now is a poor
/// estimate of its load once it has migrated.
const PRIOR_LOAD_SECONDS: f64 = 20.0;

/// Where a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// It waits for a server.
    Waiting,
    /// An attempt is under way at this server.
    Connecting(ServerId),
    /// It is established at this server.
    Established(ServerId),
}

/// A connection of this instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    pub placement: Placement,
    pub attempts: u32,
    /// The client's key; 0 for none.
    pub key: u64,
    /// Its group; 0 for none.
    pub group: u64,
    /// When it was established, or began to wait.
    pub since: f64,
    /// The client had been connected before.
    pub is_returning: bool,
    /// It was asked to migrate.
    pub is_migrating: bool,
    load: Option<f64>,
    load_reported_at: f64,
    /// The past loads' integral over time, and the time.
    load_seconds: f64,
    loaded_seconds: f64,
}

impl Connection {
    pub fn new(request: &Request, placement: Placement, now: f64) -> Self {
        Connection {
            placement,
            attempts: 0,
            key: request.key,
            group: request.group,
            since: now,
            is_returning: request.is_returning,
            is_migrating: false,
            load: request.load.filter(|load| load.is_finite() && *load > 0.0),
            load_reported_at: now,
            load_seconds: 0.0,
            loaded_seconds: 0.0,
        }
    }

    /// The load that it is expected to have from now on: its own mean so far, shrunk towards the mean of all.
    pub fn expected_load(&self, now: f64, mean_load: f64) -> f64 {
        let (load_seconds, seconds) = self.load_integral_until(now);
        (mean_load * PRIOR_LOAD_SECONDS + load_seconds) / (PRIOR_LOAD_SECONDS + seconds)
    }

    /// The integral of its load until now, and the time that it is taken over.
    fn load_integral_until(&self, now: f64) -> (f64, f64) {
        let elapsed = (now - self.load_reported_at).max(0.0);
        match self.load {
            Some(load) => (self.load_seconds + load * elapsed, self.loaded_seconds + elapsed),
            None => (self.load_seconds, self.loaded_seconds),
        }
    }

    /// An attempt was established.
    pub fn on_established(&mut self, now: f64, server: ServerId) {
        self.placement = Placement::Established(server);
        self.since = now;
        self.load_reported_at = now;
    }

    /// The connection reports its load.
    pub fn on_load(&mut self, now: f64, load: f64) {
        (self.load_seconds, self.loaded_seconds) = self.load_integral_until(now);
        self.load = Some(load);
        self.load_reported_at = now;
    }
}
