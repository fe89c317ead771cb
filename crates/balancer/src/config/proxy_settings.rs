//! The part of the configuration that sessions, attempts and discovery use. A reload replaces it as a whole.

use shorewharf_decisions::interface::Idempotency;
use shorewharf_protocol::name_index::NameIndex;
use shorewharf_units::{Micros, micros_from_seconds};

use crate::config::Config;
use crate::discovery::watch_pacing::WatchPacing;

/// The settings of sessions, attempts and discovery.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// The indices of the names in first lines and endpoint lists.
    pub names: NameIndex,
    /// The idempotency of requests by class.
    idempotency: Vec<Idempotency>,
    /// The client timeout by class, for clients whose first line does not contain one.
    pub client_timeouts: Vec<Micros>,
    /// The time after which connecting to a server has failed.
    pub connect_timeout: Micros,
    /// The shortest message latency objective of all classes.
    pub message_latency_objective: Micros,
    /// Whether servers report message delays in their load reports.
    pub servers_report_delay: bool,
    /// The number of descriptors for connections to clients and servers.
    pub max_descriptors: usize,
    /// The maximum number of servers of an endpoint list. Further ones are ignored, so that a list can't use the memory that
    /// clients need.
    pub max_servers: usize,
    /// Set where the endpoint list is pushed: a watch is kept open without a request of the decisions.
    pub watch_pacing: Option<WatchPacing>,
}

/// The share of the memory limit that endpoint lists may use.
const LIST_MEMORY_RATIO: f64 = 0.25;
/// The memory that one server uses in all tables, including a list that is being received, in KiB.
const SERVER_KIB: f64 = 1.0;
/// The minimum of [`ProxySettings::max_servers`], regardless of the memory limit.
const MIN_MAX_SERVERS: usize = 1000;

#[cfg(test)]
impl ProxySettings {
    /// Settings with one class, for tests.
    pub fn for_tests() -> Self {
        ProxySettings {
            names: NameIndex::default(),
            idempotency: vec![Idempotency::Idempotent],
            client_timeouts: vec![3_000_000],
            connect_timeout: 250_000,
            message_latency_objective: 50_000,
            servers_report_delay: false,
            max_descriptors: 1000,
            max_servers: 1000,
            watch_pacing: None,
        }
    }
}

impl From<&Config> for ProxySettings {
    fn from(config: &Config) -> Self {
        let classes = &config.settings.classes;
        let objectives = classes.iter().map(|class| class.message_latency_objective);
        let shortest_objective = objectives.fold(f64::INFINITY, f64::min);
        let servers_in_memory = config.limits.memory_mb * 1024.0 * LIST_MEMORY_RATIO / SERVER_KIB;
        ProxySettings {
            names: config.names.clone(),
            idempotency: classes.iter().map(|class| class.idempotency).collect(),
            client_timeouts: config.client_timeouts.clone(),
            connect_timeout: micros_from_seconds(config.settings.connect_timeout),
            message_latency_objective: micros_from_seconds(shortest_objective),
            servers_report_delay: config.servers_report_delay,
            max_descriptors: config.connection_sockets(),
            max_servers: (servers_in_memory as usize).max(MIN_MAX_SERVERS),
            watch_pacing: (!config.settings.polls_discovery).then(|| WatchPacing::new(config.drain_grace)),
        }
    }
}

impl ProxySettings {
    /// The idempotency of requests of this class; the strictest kind for an unknown class.
    pub fn idempotency_of(&self, class: usize) -> Idempotency {
        self.idempotency.get(class).copied().unwrap_or(Idempotency::NonIdempotent)
    }
}
