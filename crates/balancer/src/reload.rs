//! A new configuration while the program runs: taken whole or not at all.

use crate::config::proxy_settings::ProxySettings;
use crate::config::{Config, ConfigError};
use crate::event_loop::dispatch::EventLoop;
use shorewharf_driver::{Driver, Effects};
use tracing::info;

/// Takes a configuration that has been read in the place of the one in force, if it may be.
pub fn take(config: &mut Config, next: Config) -> Result<(), ConfigError> {
    config.may_become(&next)?;
    let keys = config.needs_restart(&next).join(",");
    let restart = (!keys.is_empty()).then_some(keys);
    let sockets = next.limits.sockets;
    info!(event = "reloaded", discovery = %next.discovery, sockets, "restart-needed" = restart);
    // Name and address are this process's own until it ends.
    // The list is the tables', and they have a newer one.
    let known = Default::default();
    *config = Config {
        name: config.name.clone(),
        listen: config.listen,
        operator_at: config.operator_at,
        known,
        ..next
    };
    Ok(())
}

/// Puts a configuration in force at a worker. Connections, the list of servers and what the module has learned stay as
/// they are.
pub fn apply(config: &Config, event_loop: &mut EventLoop, driver: &mut Driver) {
    event_loop.update_settings(ProxySettings::from(config), config.discovery);
    if let (Some(tells), Some(peers)) = (&mut event_loop.gossip, &config.peers) {
        tells.take_peers(peers);
    }
    driver.update_settings(event_loop.now(), config.settings.clone(), &config.operator);
}
