//! The part of the configuration that sessions, attempts and discovery go by. It is replaced as a whole by a reload.

use shorewharf_decisions::interface::Idempotency;
use shorewharf_protocol::name_index::NameIndex;
use shorewharf_units::{Micros, micros_from_seconds};

use crate::config::Config;

/// Settings of sessions, attempts and discovery.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Indices of the names in first lines and endpoint lists.
    pub names: NameIndex,
    /// By class, what repeating a request may do.
    idempotency: Vec<Idempotency>,
    /// By class, how long a client waits whose first line does not say.
    pub client_timeouts: Vec<Micros>,
    /// A connect that takes longer has failed.
    pub connect_timeout: Micros,
    /// The shortest latency objective of messages, over all classes.
    pub message_latency_objective: Micros,
    /// Servers report message delays in their load reports.
    pub servers_report_delay: bool,
    /// Descriptors that clients and servers may use.
    pub max_descriptors: usize,
    /// Servers of an endpoint list beyond this number are ignored: a list must not take the memory that clients need.
    pub max_servers: usize,
}

/// The share of the memory that endpoint lists may take.
const LIST_MEMORY_RATIO: f64 = 0.25;
/// What a server takes in all tables, with a list being received, in KiB.
const SERVER_KIB: f64 = 1.0;
/// The least value of [`ProxySettings::max_servers`], however little memory there is.
const MIN_MAX_SERVERS: usize = 1000;

#[cfg(test)]
impl ProxySettings {
    /// Settings with one class, for tests.
    pub fn for_tests() -> Self {
        let (names, give_up, idempotency) =
            (NameIndex::default(), vec![3_000_000], vec![Idempotency::Idempotent]);
        let (connect_timeout, message_aim, tells_delay) = (250_000, 50_000, false);
        let (sockets, most_servers) = (1000, 1000);
        ProxySettings {
            names,
            idempotency,
            client_timeouts: give_up,
            connect_timeout,
            message_latency_objective: message_aim,
            servers_report_delay: tells_delay,
            max_descriptors: sockets,
            max_servers: most_servers,
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
        }
    }
}

impl ProxySettings {
    /// What repeating a request of this class may do; the strictest for an unknown class.
    pub fn idempotency_of(&self, class: usize) -> Idempotency {
        self.idempotency.get(class).copied().unwrap_or(Idempotency::NonIdempotent)
    }
}
