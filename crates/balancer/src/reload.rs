//! Reloads the configuration while the program runs. A new configuration is applied completely or not at all.

use shorewharf_driver::{Driver, Effects};
use shorewharf_protocol::endpoint_list::EndpointList;
use tracing::info;

use crate::config::proxy_settings::ProxySettings;
use crate::config::{Config, ConfigError};
use crate::event_loop::dispatch::EventLoop;

/// Replaces the configuration by `next`, except for the name and the addresses, which only a restart changes.
///
/// # Errors
/// Returns an error if `next` can't replace `config` while the program runs; `config` is unchanged then.
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
        // The server tables already have a newer list than the configuration file.
        initial_endpoints: EndpointList::default(),
        ..next
    };
    Ok(())
}

/// Applies a configuration to one worker. The worker keeps its connections, its endpoint list and the learned
/// state of its decisions.
pub fn apply(config: &Config, event_loop: &mut EventLoop, driver: &mut Driver) {
    event_loop.update_settings(ProxySettings::from(config), config.discovery);
    if let (Some(transport), Some(gossip)) = (&mut event_loop.gossip, &config.gossip) {
        transport.set_peers(gossip);
    }
    driver.update_settings(event_loop.now(), config.settings.clone(), &config.operator);
}
