//! A new configuration while the program runs: taken whole or not at all.

use super::{Balancing, log, message_aim};
use crate::config::{Config, ConfigError};
use shorewharf_driver::micros;

impl Balancing {
    /// SIGHUP has come. Several close together may come as one: the file is read as it is now.
    pub(super) fn reload(&mut self) {
        self.net.begin();
        match (self.reread)().and_then(|next| self.take_config(next)) {
            Ok(()) => {}
            // Nothing of a file that is wrong anywhere is applied.
            Err(e) => log!("reload-refused {e}"),
        }
        self.driver.settle(&mut self.net);
    }

    /// Puts a configuration in force that has been read and checked. Connections, the list of servers and
    /// what the module has learned stay as they are.
    fn take_config(&mut self, next: Config) -> Result<(), ConfigError> {
        self.config.may_become(&next)?;
        let restart = match self.config.needs_restart(&next) {
            keys if keys.is_empty() => String::new(),
            keys => format!(" restart-needed={}", keys.join(",")),
        };
        log!("reloaded discovery={} sockets={}{restart}", next.discovery, next.limits.sockets);
        let net = &mut self.net;
        net.sockets = next.limits.sockets;
        net.names = next.names.clone();
        net.give_up = next.give_up.clone();
        net.connect_timeout = micros(next.settings.connect_timeout);
        net.message_aim = message_aim(&next);
        net.tells_delay = next.tells_delay;
        net.director_moves(next.discovery);
        self.driver.take_settings(next.settings.clone());
        // Name and address are this process's own until it ends.
        self.config = Config { name: self.config.name.clone(), listen: self.config.listen, ..next };
        Ok(())
    }
}
