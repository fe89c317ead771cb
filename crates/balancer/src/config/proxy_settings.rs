//! What the configuration says of the peers; put in force whole, at the start and on a reload.

use shorewharf_decisions::interface::Idempotency;
use shorewharf_protocol::name_index::NameIndex;
use shorewharf_units::{Micros, micros_from_seconds};

use crate::config::Config;

/// What the configuration says of the peers.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Names in first lines and lists.
    pub names: NameIndex,
    /// What repeating a request of each class may do.
    idempotency: Vec<Idempotency>,
    /// How long a client of each class waits whose line does not say.
    pub give_up: Vec<Micros>,
    /// A connect that takes longer has failed.
    pub connect_timeout: Micros,
    /// The shortest message aim.
    pub message_aim: Micros,
    /// Servers tell what messages take there.
    pub tells_delay: bool,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Servers that a list may name. The rest is left out: a list must not take the memory that clients need.
    pub most_servers: usize,
}

/// Of the memory, lists may take this part.
const LIST_PART: f64 = 0.25;
/// What a server takes in all tables, with a list on its way: 0.5 KiB were measured.
const SERVER_KIB: f64 = 1.0;
/// However little memory there is, a list may name so many.
const FEWEST_SERVERS: usize = 1000;

#[cfg(test)]
impl ProxySettings {
    /// What a test needs of them.
    pub fn few() -> Self {
        let (names, give_up, idempotency) =
            (NameIndex::default(), vec![3_000_000], vec![Idempotency::Idempotent]);
        let (connect_timeout, message_aim, tells_delay) = (250_000, 50_000, false);
        let (sockets, most_servers) = (1000, 1000);
        ProxySettings {
            names,
            idempotency,
            give_up,
            connect_timeout,
            message_aim,
            tells_delay,
            sockets,
            most_servers,
        }
    }
}

impl From<&Config> for ProxySettings {
    fn from(config: &Config) -> Self {
        let aims = config.settings.classes.iter().map(|c| c.message_latency_objective);
        ProxySettings {
            names: config.names.clone(),
            idempotency: config.settings.classes.iter().map(|class| class.idempotency).collect(),
            give_up: config.give_up.clone(),
            connect_timeout: micros_from_seconds(config.settings.connect_timeout),
            message_aim: micros_from_seconds(aims.fold(f64::INFINITY, f64::min)),
            tells_delay: config.tells_delay,
            sockets: config.sockets(),
            most_servers: ((config.limits.memory_mb * 1024.0 * LIST_PART / SERVER_KIB) as usize)
                .max(FEWEST_SERVERS),
        }
    }
}

impl ProxySettings {
    /// What repeating a request of this class may do; the strictest for a class that is not known.
    pub fn idempotency_of(&self, class: usize) -> Idempotency {
        self.idempotency.get(class).copied().unwrap_or(Idempotency::NonIdempotent)
    }
}
