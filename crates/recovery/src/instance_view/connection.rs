//! One connection of an instance, with its load over time.

use shorewharf_decisions::ServerId;
use shorewharf_decisions::interface::Request;

/// Weight of the mean load of all connections in a connection's expected load, in seconds of its own load. A
/// connection's present load is a poor estimate of its load after a migration.
const PRIOR_LOAD_SECONDS: f64 = 20.0;

/// The state of a connection and its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// The request waits for a server.
    Waiting,
    /// An attempt is in progress at this server.
    Connecting(ServerId),
    /// The connection is established at this server.
    Established(ServerId),
}

/// A connection of this instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    pub placement: Placement,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The client's key; 0 for none.
    pub key: u64,
    /// The client's group; 0 for none.
    pub group: u64,
    /// When the connection was established or, before that, when the request was received.
    pub since: f64,
    /// Whether the client had been connected before.
    pub is_returning: bool,
    /// Whether the client was asked to migrate.
    pub is_migrating: bool,
    /// The load last reported, or the load that the request announced.
    load: Option<f64>,
    /// When the load was reported, or when the connection was established without a report.
    load_reported_at: f64,
    /// Integral of the load over time until `load_reported_at`.
    load_seconds: f64,
    /// Time that `load_seconds` is taken over.
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

    /// The load that the connection is expected to have from now on: its own mean load so far, shrunk towards the mean
    /// load of all connections.
    pub fn expected_load(&self, now: f64, mean_load: f64) -> f64 {
        let (load_seconds, seconds) = self.load_integral_until(now);
        (mean_load * PRIOR_LOAD_SECONDS + load_seconds) / (PRIOR_LOAD_SECONDS + seconds)
    }

    /// The integral of the connection's load until now, and the time that it is taken over.
    fn load_integral_until(&self, now: f64) -> (f64, f64) {
        let elapsed = (now - self.load_reported_at).max(0.0);
        match self.load {
            Some(load) => (self.load_seconds + load * elapsed, self.loaded_seconds + elapsed),
            None => (self.load_seconds, self.loaded_seconds),
        }
    }

    /// Records that an attempt was established.
    pub fn on_established(&mut self, now: f64, server: ServerId) {
        self.placement = Placement::Established(server);
        self.since = now;
        self.load_reported_at = now;
    }

    /// Records a load report.
    pub fn on_load(&mut self, now: f64, load: f64) {
        (self.load_seconds, self.loaded_seconds) = self.load_integral_until(now);
        self.load = Some(load);
        self.load_reported_at = now;
    }
}
