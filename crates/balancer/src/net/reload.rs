//! A new configuration while the program runs: taken whole or not at all.

use super::hub::Net;
use super::terms::Terms;
use crate::config::{Config, ConfigError};
use shorewharf_driver::{Driver, Peers};
use tracing::info;

/// Puts a configuration in force that has been read and checked. Connections, the list of servers and
/// what the module has learned stay as they are.
pub fn take(
    config: &mut Config,
    next: Config,
    net: &mut Net,
    driver: &mut Driver,
) -> Result<(), ConfigError> {
    config.may_become(&next)?;
    let keys = config.needs_restart(&next).join(",");
    let restart = (!keys.is_empty()).then_some(keys);
    let sockets = next.limits.sockets;
    info!(event = "reloaded", discovery = %next.discovery, sockets, "restart-needed" = restart);
    net.take_terms(Terms::from(&next), next.discovery);
    driver.take_settings(net.now(), next.settings.clone(), &next.operator);
    // Name and address are this process's own until it ends.
    *config = Config { name: config.name.clone(), listen: config.listen, ..next };
    Ok(())
}
