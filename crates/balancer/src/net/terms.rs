//! What the configuration says of the peers; put in force whole, at the start and on a reload.

use shorewharf_driver::{Micros, micros};
use shorewharf_protocol::names::Names;

use crate::config::Config;

/// What the configuration says of the peers.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Names in first lines and lists.
    pub names: Names,
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
}

impl From<&Config> for Terms {
    fn from(config: &Config) -> Self {
        let aims = config.settings.classes.iter().map(|c| c.message_aim);
        Terms {
            names: config.names.clone(),
            give_up: config.give_up.clone(),
            connect_timeout: micros(config.settings.connect_timeout),
            message_aim: micros(aims.fold(f64::INFINITY, f64::min)),
            tells_delay: config.tells_delay,
            sockets: config.limits.sockets,
        }
    }
}
