//! The configuration file as it is written: its keys, and the part of `settings` that the balancer itself reads.

use serde::Deserialize;
use serde_json::Value;
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_protocol::name_index::NameIndex;

use super::error::{ConfigError, InvalidValue};
use super::limits::{Limits, MAX_SECONDS};

/// How long a client waits whose class says nothing of it, in seconds.
const DEFAULT_CLIENT_TIMEOUT_S: f64 = 3.0;

/// The keys of the file. Unknown ones are ignored.
#[derive(Deserialize)]
pub(super) struct ConfigFile {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
    #[serde(rename = "operator")]
    pub admin: Option<String>,
    pub seed: Option<String>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default, rename = "known")]
    pub initial_endpoints: EndpointList,
    pub settings: Option<Value>,
}

impl ConfigFile {
    /// Parses the file's text.
    ///
    /// # Errors
    /// Text that is not one JSON object, or a key with a value of the wrong type.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let file = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            if e.inner().is_data() {
                wrong_type("", e)
            } else {
                ConfigError::invalid("ROUTER_CONFIG", InvalidValue::NotJson(e.into_inner()))
            }
        })?;
        json.end().map_err(|e| ConfigError::invalid("ROUTER_CONFIG", InvalidValue::TrailingText(e)))?;
        Ok(file)
    }
}

/// The part of `settings` that the balancer itself reads; the rest belongs to `shorewharf_settings`.
#[derive(Deserialize)]
pub(super) struct SettingsSection {
    classes: Vec<ClassEntry>,
    #[serde(default)]
    tenants: Vec<TenantEntry>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    specifics: Specifics,
}

#[derive(Deserialize, Default)]
struct Specifics {
    #[serde(default, rename = "tells_delay")]
    servers_report_delay: bool,
}

#[derive(Deserialize)]
struct ClassEntry {
    name: String,
    #[serde(rename = "give_up_s")]
    client_timeout_s: Option<f64>,
}

#[derive(Deserialize)]
struct TenantEntry {
    name: String,
}

impl SettingsSection {
    /// Reads the section out of the `settings` object.
    ///
    /// # Errors
    /// A key with a value of the wrong type, or no class at all.
    pub fn parse(settings: &Value) -> Result<Self, ConfigError> {
        let section: SettingsSection =
            serde_path_to_error::deserialize(settings).map_err(|e| wrong_type("settings", e))?;
        if section.classes.is_empty() {
            return Err(ConfigError::invalid("settings.classes", InvalidValue::NoClasses));
        }
        Ok(section)
    }

    /// How long a client of each class waits in all, in microseconds.
    ///
    /// # Errors
    /// A time that is out of range.
    pub fn client_timeouts(&self) -> Result<Vec<u64>, ConfigError> {
        let timeout = |(index, class): (usize, &ClassEntry)| {
            let seconds = class.client_timeout_s.unwrap_or(DEFAULT_CLIENT_TIMEOUT_S);
            check_duration(&format!("settings.classes[{index}].give_up_s"), seconds)?;
            Ok((seconds * 1e6) as u64)
        };
        self.classes.iter().enumerate().map(timeout).collect()
    }

    /// Whether servers report message delays in their load reports.
    pub fn servers_report_delay(&self) -> bool {
        self.specifics.servers_report_delay
    }

    /// The index of each class, tenant and zone by its name.
    pub fn into_names(self) -> NameIndex {
        let classes = self.classes.into_iter().map(|class| class.name);
        let tenants = self.tenants.into_iter().map(|tenant| tenant.name);
        NameIndex {
            classes: classes.zip(0..).collect(),
            tenants: tenants.zip(0..).collect(),
            zones: self.zones.into_iter().zip(0..).collect(),
        }
    }
}

/// Checks that a duration is over 0 and under [`MAX_SECONDS`].
///
/// # Errors
/// The duration is out of that range.
pub(super) fn check_duration(key: &str, seconds: f64) -> Result<(), ConfigError> {
    if seconds > 0.0 && seconds < MAX_SECONDS {
        return Ok(());
    }
    Err(ConfigError::invalid(key, InvalidValue::DurationOutOfRange(seconds)))
}

/// An error of the deserializer, under the full path of the key at fault.
pub(super) fn wrong_type(section: &str, error: serde_path_to_error::Error<serde_json::Error>) -> ConfigError {
    let path = error.path().to_string();
    let key = match (section, path.as_str()) {
        ("", path) => path.to_owned(),
        (section, ".") => section.to_owned(),
        (section, path) => format!("{section}.{path}"),
    };
    ConfigError::invalid(key, InvalidValue::WrongType(error.into_inner()))
}
