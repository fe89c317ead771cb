//! Reloads the configuration while the program runs: a new one is put in force completely or not at all.

use shorewharf_driver::{Driver, Effects};
use shorewharf_protocol::endpoint_list::EndpointList;
use tracing::info;

use crate::config::proxy_settings::ProxySettings;
use crate::config::{Config, ConfigError};
use crate::event_loop::dispatch::EventLoop;

/// Replaces the configuration in force by `next`. Name and addresses stay until a restart.
///
/// # Errors
/// `next` can't replace the one in force, which stays.
pub fn replace(config: &mut Config, next: Config) -> Result<(), ConfigError> {
    config.check_reload(&next)?;
    let keys = config.keys_needing_restart(&next).join(",");
    let restart_needed = (!keys.is_empty()).then_some(keys);
    let sockets = next.limits.sockets;
    info!(event = "reloaded", discovery = %next.discovery, sockets, "restart-needed" = restart_needed);
    *config = Config {
        name: config.name.clone(),
        listen: config.listen,
        admin_address: config.admin_address,
        // The server tables have a newer list.
        initial_endpoints: EndpointList::default(),
        ..next
    };
    Ok(())
}

/// Puts a configuration in force at one worker. Its connections, the endpoint list and what the decisions have learned stay.
pub fn apply(config: &Config, event_loop: &mut EventLoop, driver: &mut Driver) {
    event_loop.update_settings(ProxySettings::from(config), config.discovery);
    if let (Some(transport), Some(gossip)) = (&mut event_loop.gossip, &config.gossip) {
        transport.set_peers(gossip);
    }
    driver.update_settings(event_loop.now(), config.settings.clone(), &config.operator);
}
