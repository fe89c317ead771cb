//! The configuration of the balancer: reading, validation and defaults, at the start and on a reload.
//!
//! The rest of the program uses [`Config`]. The keys of the configuration file are defined in [`file`], those of the
//! operator's own file in `shorewharf_settings::operator`.

pub mod error;
mod file;
mod limits;
pub mod proxy_settings;
pub mod summary;

use std::collections::HashMap;
use std::net::SocketAddr;

use serde_json::Value;
use shorewharf_decisions::Settings;
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_protocol::name_index::NameIndex;
use shorewharf_settings::operator::OperatorSettings;
use shorewharf_units::Micros;

pub use self::error::{ConfigError, InvalidValue};
use self::file::{ConfigFile, SettingsSection, check_duration, wrong_type};
pub use self::limits::Limits;
use crate::admin::server::MAX_CONNECTIONS;
use crate::fleet::budget_config::BudgetConfig;
use crate::fleet::gossip_config::GossipConfig;

/// The minimum number of descriptors. The program itself and the connections reserved for rejections need nearly as many.
const MIN_SOCKETS: usize = 32;
/// The number of descriptors reserved for operators: the admin listener and its connections.
const ADMIN_SOCKETS: usize = MAX_CONNECTIONS + 1;
/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// The environment variable with the path of the operator's own file (TOML), which configures features that the platform's
/// configuration does not cover.
pub const OPERATOR_VARIABLE: &str = "SHOREWHARF_OPERATOR";
/// Gives each worker a different seed. The value is the 64-bit golden ratio.
const WORKER_SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// The address at which the balancer accepts clients.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the admin listener; `None` without the key `operator`.
    pub admin_address: Option<SocketAddr>,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The resource limits of the process.
    pub limits: Limits,
    /// The endpoint list that was last known, which is used until the discovery service sends one.
    pub initial_endpoints: EndpointList,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The indices of classes, tenants and zones by name.
    pub names: NameIndex,
    /// The client timeouts by class, in microseconds: the total time for which a client waits for an answer.
    pub client_timeouts: Vec<u64>,
    /// Whether servers report message delays in their load reports.
    pub servers_report_delay: bool,
    /// The time for which requests may be sent to a server after its drain counts as received.
    pub drain_grace: Micros,
    /// The operator's own file.
    pub operator: OperatorSettings,
    /// Gossip with the other balancers of the fleet; `None` if the operator's file names no peers.
    pub gossip: Option<GossipConfig>,
    /// The budgets of the whole fleet; `None` if the operator's file names no store.
    pub budgets: Option<BudgetConfig>,
}

/// The value of a required key, or of the environment variable that replaces it.
fn required(
    value: Option<String>,
    key: &'static str,
    variable: &'static str,
    env: impl Fn(&str) -> Option<String>,
) -> Result<String, ConfigError> {
    value.or_else(|| env(variable)).ok_or(ConfigError::Missing { key, variable })
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::invalid(key, InvalidValue::NotAnAddress(text.to_owned())))
}

fn parse_seed(text: Option<String>) -> Result<u64, ConfigError> {
    let Some(text) = text else { return Ok(0) };
    u64::from_str_radix(&text, 16)
        .map_err(|_| ConfigError::invalid("seed", InvalidValue::NotHexadecimal(text)))
}

fn parse_settings(json: &Value) -> Result<Settings, ConfigError> {
    let parsed =
        shorewharf_settings::parse(json.to_string().as_bytes()).map_err(|e| wrong_type("settings", e.0))?;
    let settings = parsed.settings;
    check_duration("settings.tick_s", settings.tick)?;
    check_duration("settings.limits.connect_timeout_s", settings.connect_timeout)?;
    check_duration("settings.rules.ask_within_s", settings.poll_interval)?;
    check_duration("settings.rules.overload_for_s", settings.overload_window)?;
    Ok(settings)
}

fn read_operator_file(path: Option<String>) -> Result<OperatorSettings, ConfigError> {
    let Some(path) = path else { return Ok(OperatorSettings::default()) };
    let invalid = |problem| ConfigError::invalid(OPERATOR_VARIABLE, problem);
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(invalid(InvalidValue::OperatorFileUnreadable { path, source })),
    };
    OperatorSettings::parse(&text)
        .map_err(|error| invalid(InvalidValue::OperatorFileInvalid { path, source: Box::new(error) }))
}

fn check_min_sockets(sockets: usize) -> Result<(), ConfigError> {
    if sockets >= MIN_SOCKETS {
        return Ok(());
    }
    Err(ConfigError::invalid("limits.sockets", InvalidValue::TooFewSockets { sockets, minimum: MIN_SOCKETS }))
}

/// Checks that there are enough descriptors for the admin listener and for each worker.
fn check_divided_sockets(sockets: usize, has_admin: bool, workers: usize) -> Result<(), ConfigError> {
    let minimum = MIN_SOCKETS + ADMIN_SOCKETS;
    let problem = if has_admin && sockets < minimum {
        InvalidValue::TooFewSocketsForAdmin { sockets, minimum }
    } else if sockets / workers < MIN_SOCKETS {
        InvalidValue::TooFewSocketsForWorkers { sockets, workers, minimum: MIN_SOCKETS }
    } else {
        return Ok(());
    };
    Err(ConfigError::invalid("limits.sockets", problem))
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names. `env` looks up environment variables, which replace keys that the file
    /// lacks.
    ///
    /// # Errors
    /// Returns an error if the file can't be read, and the errors of [`Config::parse`].
    pub fn read(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let Some(path) = env(CONFIG_VARIABLE) else {
            return Err(ConfigError::invalid(CONFIG_VARIABLE, InvalidValue::NoConfigFile));
        };
        let text =
            std::fs::read(&path).map_err(|source| ConfigError::Unreadable { path: path.into(), source })?;
        Config::parse(&text, env)
    }

    /// Parses and checks the text of the configuration, and reads the files that it names.
    ///
    /// # Errors
    /// Returns an error for the first key that is missing or has an invalid value.
    pub fn parse(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let file = ConfigFile::parse(text)?;
        let seed = parse_seed(file.seed)?;
        let json = file.settings.ok_or_else(|| ConfigError::invalid("settings", InvalidValue::NoSettings))?;
        let section = SettingsSection::parse(&json)?;
        let client_timeouts = section.client_timeouts()?;
        let settings = parse_settings(&json)?;
        check_min_sockets(file.limits.sockets)?;

        let operator = read_operator_file(env(OPERATOR_VARIABLE))?;
        let admin = file.admin.or_else(|| env("ROUTER_OPERATOR"));
        let admin_address = admin.map(|text| parse_address("operator", &text)).transpose()?;
        check_divided_sockets(file.limits.sockets, admin_address.is_some(), operator.workers)?;

        let name = required(file.name, "name", "ROUTER_NAME", &env)?;
        let servers_report_delay = section.servers_report_delay();
        let drain_grace = section.drain_grace();
        let names = section.into_names();
        let gossip = GossipConfig::read(&operator.gossip, &name)?;
        let budgets = BudgetConfig::read(&operator.budgets, &settings, &names, &name)?;
        let listen = required(file.listen, "listen", "ROUTER_LISTEN", &env)?;
        let listen = parse_address("listen", &listen)?;
        let discovery = required(file.discovery, "discovery", "ROUTER_DISCOVERY", &env)?;
        let discovery = parse_address("discovery", &discovery)?;
        Ok(Config {
            name,
            listen,
            discovery,
            admin_address,
            seed,
            limits: file.limits,
            initial_endpoints: file.initial_endpoints,
            settings,
            names,
            client_timeouts,
            servers_report_delay,
            drain_grace,
            operator,
            gossip,
            budgets,
        })
    }

    /// The number of descriptors for connections to clients and servers: all except those reserved for operators.
    pub fn connection_sockets(&self) -> usize {
        let reserved = if self.admin_address.is_some() { ADMIN_SOCKETS } else { 0 };
        self.limits.sockets.saturating_sub(reserved)
    }

    /// The configuration of worker `index` of `count`. Each worker is an instance of the fleet, with an equal share of the
    /// process's resources, so all balancers of a fleet must have the same number of workers.
    pub fn for_worker(&self, index: usize, count: usize) -> Config {
        let mut own = self.clone();
        own.settings.instance_index = self.settings.instance_index * count as u64 + index as u64;
        own.settings.instance_count = self.settings.instance_count * count as f64;
        // The descriptors reserved for operators are not divided; only the primary worker uses them.
        own.limits.sockets =
            self.connection_sockets() / count + (self.limits.sockets - self.connection_sockets());
        own.limits.memory_mb = self.limits.memory_mb / count as f64;
        // The primary worker has the same seed as a process with one worker.
        own.seed = self.seed ^ (index as u64).wrapping_mul(WORKER_SEED_STEP);
        own
    }

    /// Checks whether `next` can replace this configuration while the program runs. Requests and servers refer to
    /// classes, tenants and zones by index, so all names of this configuration must keep their indices.
    ///
    /// # Errors
    /// Returns an error if a name is missing in `next` or has another index.
    pub fn check_reload(&self, next: &Config) -> Result<(), ConfigError> {
        check_indices("settings.classes", &self.names.classes, &next.names.classes)?;
        check_indices("settings.tenants", &self.names.tenants, &next.names.tenants)?;
        check_indices("settings.zones", &self.names.zones, &next.names.zones)
    }

    /// The keys with changed values in `next` that take effect only after a restart.
    pub fn keys_needing_restart(&self, next: &Config) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != next.name),
            ("listen", self.listen != next.listen),
            ("operator", self.admin_address != next.admin_address),
            ("workers", self.operator.workers != next.operator.workers),
            ("snapshot", self.operator.snapshot != next.operator.snapshot),
            ("gossip", self.operator.gossip != next.operator.gossip),
            ("tenancy.on", self.operator.tenancy.is_enabled != next.operator.tenancy.is_enabled),
        ];
        changed.into_iter().filter(|(_, is_changed)| *is_changed).map(|(key, _)| key).collect()
    }
}

/// Checks that every name of `old` has the same index in `new`. The error contains the first name that does not.
fn check_indices<I: Copy + Ord>(
    key: &str,
    old: &HashMap<String, I>,
    new: &HashMap<String, I>,
) -> Result<(), ConfigError> {
    let moved = old.iter().filter(|(name, index)| new.get(*name) != Some(index));
    match moved.min_by_key(|(_, index)| **index) {
        Some((name, _)) => Err(ConfigError::invalid(key, InvalidValue::NameMoved(name.clone()))),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
