//! Configuration: read, checked and given defaults here and nowhere else.

pub mod error;
pub mod proxy_settings;
pub mod summary;

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use shorewharf_decisions::Settings;
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_protocol::name_index::NameIndex;
use shorewharf_settings::operator::Operator;

use crate::admin::server::MAX_CONNECTIONS;
pub use crate::config::error::ConfigError;
use crate::fleet::budget_config::Fleet;
use crate::fleet::peers::Peers;

/// Lengths of time are shorter than this, in seconds: sums of them stay far from the end of the clock.
const LONGEST: f64 = 1e6;
/// Descriptors of the program's own and those kept for refusals leave nothing of fewer.
const FEWEST_SOCKETS: usize = 32;
/// Descriptors that are kept for operators where they may call: their listener and those who call.
const OPERATORS_SOCKETS: usize = MAX_CONNECTIONS + 1;
/// Names the operator's own file (TOML): what the platform's configuration says nothing of.
pub const OPERATOR: &str = "SHOREWHARF_OPERATOR";

/// The limits that this machine sets the program.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Share of a core.
    pub cores: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192.0, cores: 1.0 }
    }
}

/// All that the program is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators call; nowhere without the key `operator`.
    pub operator_at: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// What the machine allows.
    pub limits: Limits,
    /// The list as this balancer had it last.
    pub known: EndpointList,
    /// The module's settings.
    pub settings: Settings,
    /// Names in the settings.
    pub names: NameIndex,
    /// How long a client of each class waits in all, in microseconds.
    pub give_up: Vec<u64>,
    /// Servers tell what messages take there.
    pub tells_delay: bool,
    /// What the operator's own file says.
    pub operator: Operator,
    /// The other balancers of the fleet, where the operator's file names them.
    pub peers: Option<Peers>,
    /// Budgets of the whole fleet, where the operator's file names a store.
    pub fleet: Option<Fleet>,
}

#[derive(Deserialize)]
struct Raw {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    operator: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: Option<Value>,
}

#[derive(Deserialize)]
struct RawNames {
    classes: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<Named>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    specifics: RawSpecifics,
}

#[derive(Deserialize, Default)]
struct RawSpecifics {
    #[serde(default)]
    tells_delay: bool,
}

#[derive(Deserialize)]
struct RawClass {
    name: String,
    give_up_s: Option<f64>,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

fn form(key: impl Into<String>, what: impl ToString) -> ConfigError {
    ConfigError::Form(key.into(), what.to_string())
}

/// Names the key at fault, with the keys it stands under.
fn at<E: std::fmt::Display>(under: &str, e: serde_path_to_error::Error<E>) -> ConfigError {
    let path = e.path().to_string();
    let key = match (under, path.as_str()) {
        ("", p) => p.to_owned(),
        (u, ".") => u.to_owned(),
        (u, p) => format!("{u}.{p}"),
    };
    // The reader names its own types; whoever writes the file knows numbers.
    let why = e.into_inner().to_string().replace("expected usize", "expected a whole number");
    form(key, why.replace("expected f64", "expected a number"))
}

fn address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| form(key, format!("'{text}' is not ADDRESS:PORT, such as 127.0.0.1:8000")))
}

fn places(names: impl IntoIterator<Item = String>) -> HashMap<String, usize> {
    names.into_iter().enumerate().map(|(i, name)| (name, i)).collect()
}

/// Reads the operator's own file, if there is one.
fn operator(path: Option<String>) -> Result<Operator, ConfigError> {
    let Some(path) = path else { return Ok(Operator::default()) };
    let text = std::fs::read_to_string(&path).map_err(|e| form(OPERATOR, format!("{path}: {e}")))?;
    Operator::parse(&text).map_err(|e| form(OPERATOR, format!("{path}: {}", e.to_string().trim_end())))
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names, and the environment for what it leaves out.
    pub fn read(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let text = match env("ROUTER_CONFIG") {
            Some(path) => std::fs::read(&path).map_err(|e| ConfigError::File(path.into(), e))?,
            None => {
                return Err(form("ROUTER_CONFIG", "missing; it names the JSON file that has the settings"));
            }
        };
        Config::parse(&text, env)
    }

    /// Reads the configuration's text, and the environment for what it leaves out.
    pub fn parse(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let raw: Raw =
            serde_path_to_error::deserialize(&mut json).map_err(|e| match e.inner().is_data() {
                true => at("", e),
                false => form("ROUTER_CONFIG", format!("no JSON: {}", e.into_inner())),
            })?;
        json.end().map_err(|e| form("ROUTER_CONFIG", e))?;
        let or = |given: Option<String>, key: &'static str, var: &'static str| {
            given.or_else(|| env(var)).ok_or(ConfigError::Missing(key, var))
        };
        let seed = match raw.seed {
            Some(hex) => u64::from_str_radix(&hex, 16)
                .map_err(|_| form("seed", format!("'{hex}' is not up to 16 hexadecimal digits")))?,
            None => 0,
        };
        let settings =
            raw.settings.ok_or_else(|| form("settings", "missing; an object with the classes is needed"))?;
        let named: RawNames = serde_path_to_error::deserialize(&settings).map_err(|e| at("settings", e))?;
        if named.classes.is_empty() {
            return Err(form("settings.classes", "at least one class is needed"));
        }
        let give_up = named.classes.iter().enumerate().map(|(i, c)| match c.give_up_s.unwrap_or(3.0) {
            s if s > 0.0 && s < LONGEST => Ok((s * 1e6) as u64),
            s => Err(form(
                format!("settings.classes[{i}].give_up_s"),
                format!("{s} s is not over 0 and under {LONGEST} s"),
            )),
        });
        let give_up = give_up.collect::<Result<_, _>>()?;
        let (set, _) = shorewharf_settings::settings(settings.to_string().as_bytes())
            .map_err(|e| at("settings", e.0))?;
        for (key, value) in [
            ("settings.tick_s", set.tick),
            ("settings.limits.connect_timeout_s", set.connect_timeout),
            ("settings.rules.ask_within_s", set.poll_interval),
            ("settings.rules.overload_for_s", set.overload_window),
        ] {
            if !(value > 0.0 && value < LONGEST) {
                return Err(form(key, format!("{value} s is not over 0 and under {LONGEST} s")));
            }
        }
        if raw.limits.sockets < FEWEST_SOCKETS {
            return Err(form(
                "limits.sockets",
                format!("{} is too few to serve anybody; at least {FEWEST_SOCKETS}", raw.limits.sockets),
            ));
        }
        let operator = operator(env(OPERATOR))?;
        let operator_at = raw.operator.or_else(|| env("ROUTER_OPERATOR"));
        let operator_at = operator_at.map(|at| address("operator", &at)).transpose()?;
        let least = FEWEST_SOCKETS + OPERATORS_SOCKETS;
        if operator_at.is_some() && raw.limits.sockets < least {
            let why =
                format!("{} are too few where operators may call; at least {least}", raw.limits.sockets);
            return Err(form("limits.sockets", why));
        }
        if raw.limits.sockets / operator.workers < FEWEST_SOCKETS {
            let (sockets, workers) = (raw.limits.sockets, operator.workers);
            let why =
                format!("{sockets} are too few for {workers} workers; at least {FEWEST_SOCKETS} for each");
            return Err(form("limits.sockets", why));
        }
        let name = or(raw.name, "name", "ROUTER_NAME")?;
        let peers = Peers::read(&operator.gossip, &name)?;
        let names = NameIndex {
            classes: places(named.classes.into_iter().map(|c| c.name)),
            tenants: places(named.tenants.into_iter().map(|t| t.name)),
            zones: named.zones.into_iter().zip(0..).collect(),
        };
        let fleet = Fleet::read(&operator.budgets, &set, &names, &name)?;
        Ok(Config {
            name,
            listen: address("listen", &or(raw.listen, "listen", "ROUTER_LISTEN")?)?,
            discovery: address("discovery", &or(raw.discovery, "discovery", "ROUTER_DISCOVERY")?)?,
            operator_at,
            seed,
            limits: raw.limits,
            known: raw.known,
            settings: set,
            names,
            give_up,
            tells_delay: named.specifics.tells_delay,
            operator,
            peers,
            fleet,
        })
    }

    /// Descriptors that clients and servers may take: all but those that are kept for operators.
    pub fn sockets(&self) -> usize {
        let kept = if self.operator_at.is_some() { OPERATORS_SOCKETS } else { 0 };
        self.limits.sockets.saturating_sub(kept)
    }

    /// What one of several workers goes by: each is an instance of its own, with its share of what the process may hold.
    /// All processes of a fleet have as many workers, or their numbers would not fit together.
    pub fn of_worker(&self, worker: usize, workers: usize) -> Config {
        let mut own = self.clone();
        own.settings.instance_index = self.settings.instance_index * workers as u64 + worker as u64;
        own.settings.instance_count = self.settings.instance_count * workers as f64;
        // Those kept for operators are the first one's.
        own.limits.sockets = self.sockets() / workers + (self.limits.sockets - self.sockets());
        own.limits.memory_mb = self.limits.memory_mb / workers as f64;
        // The first one draws as the only one would.
        own.seed = self.seed ^ (worker as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        own
    }

    /// Whether `next` can take this one's place while the program runs. Reqs and servers that are here
    /// already name their class, tenant and zone by its place, so the names in force must keep theirs.
    pub fn may_become(&self, next: &Config) -> Result<(), ConfigError> {
        let stay = |key: &str, old: &HashMap<String, usize>, new: &HashMap<String, usize>| {
            let moved = old.iter().filter(|(name, at)| new.get(*name) != Some(at)).min_by_key(|(_, at)| **at);
            moved.map_or(Ok(()), |(name, _)| {
                Err(form(
                    key,
                    format!("'{name}' must stay in its place until a restart; add new names behind"),
                ))
            })
        };
        stay("settings.classes", &self.names.classes, &next.names.classes)?;
        stay("settings.tenants", &self.names.tenants, &next.names.tenants)?;
        let wide =
            |zones: &HashMap<String, u32>| zones.iter().map(|(n, i)| (n.clone(), *i as usize)).collect();
        stay("settings.zones", &wide(&self.names.zones), &wide(&next.names.zones))
    }

    /// Keys that a running program can't follow and that `next` has changed.
    pub fn needs_restart(&self, next: &Config) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != next.name),
            ("listen", self.listen != next.listen),
            ("operator", self.operator_at != next.operator_at),
            ("workers", self.operator.workers != next.operator.workers),
            ("snapshot", self.operator.snapshot != next.operator.snapshot),
            ("gossip", self.operator.gossip != next.operator.gossip),
            ("tenancy.on", self.operator.tenancy.is_enabled != next.operator.tenancy.is_enabled),
        ];
        changed.into_iter().filter(|c| c.1).map(|c| c.0).collect()
    }
}

#[cfg(test)]
mod tests;
