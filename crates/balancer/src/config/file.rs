//! The format of the configuration file: its keys, and the part of `settings` that the balancer itself reads.

use serde::Deserialize;
use serde_json::Value;
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_protocol::name_index::NameIndex;
use shorewharf_units::{Micros, micros_from_seconds};

use super::error::{ConfigError, InvalidValue};
use super::limits::{Limits, MAX_DURATION_S};

/// The client timeout of classes without `give_up_s`, in seconds.
const DEFAULT_CLIENT_TIMEOUT_S: f64 = 3.0;
/// The default of `settings.rules.drain_grace_s`.
const DEFAULT_DRAIN_GRACE_S: f64 = 1.0;

/// The keys of the file. Unknown keys are ignored.
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
    /// Parses the text of the file.
    ///
    /// # Errors
    /// Returns an error if the text is not a single JSON object or a key has a value of the wrong type.
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

/// The part of `settings` that the balancer itself reads. The rest is read by `shorewharf_settings`.
#[derive(Deserialize)]
pub(super) struct SettingsSection {
    classes: Vec<ClassEntry>,
    #[serde(default)]
    tenants: Vec<TenantEntry>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    specifics: Specifics,
    #[serde(default)]
    rules: Rules,
}

#[derive(Deserialize, Default)]
struct Specifics {
    #[serde(default, rename = "tells_delay")]
    servers_report_delay: bool,
}

#[derive(Deserialize, Default)]
struct Rules {
    drain_grace_s: Option<f64>,
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
    /// Parses the `settings` object.
    ///
    /// # Errors
    /// Returns an error if a key has a value of the wrong type or the list of classes is empty.
    pub fn parse(settings: &Value) -> Result<Self, ConfigError> {
        let section: SettingsSection =
            serde_path_to_error::deserialize(settings).map_err(|e| wrong_type("settings", e))?;
        if section.classes.is_empty() {
            return Err(ConfigError::invalid("settings.classes", InvalidValue::NoClasses));
        }
        Ok(section)
    }

    /// The client timeouts by class, in microseconds: the total time for which a client waits for an answer.
    ///
    /// # Errors
    /// Returns an error if a timeout is out of range.
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

    /// The time, in microseconds, for which requests may be sent to a server after its drain counts as received.
    pub fn drain_grace(&self) -> Micros {
        micros_from_seconds(self.rules.drain_grace_s.unwrap_or(DEFAULT_DRAIN_GRACE_S))
    }

    /// The indices of classes, tenants and zones by name.
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

/// Checks that a duration is greater than 0 and less than [`MAX_DURATION_S`].
///
/// # Errors
/// Returns an error if the duration is out of that range.
pub(super) fn check_duration(key: &str, seconds: f64) -> Result<(), ConfigError> {
    if seconds > 0.0 && seconds < MAX_DURATION_S {
        return Ok(());
    }
    Err(ConfigError::invalid(key, InvalidValue::DurationOutOfRange(seconds)))
}

/// Converts an error of the deserializer, with the full path of the invalid key.
pub(super) fn wrong_type(section: &str, error: serde_path_to_error::Error<serde_json::Error>) -> ConfigError {
    let path = error.path().to_string();
    let key = match (section, path.as_str()) {
        ("", path) => path.to_owned(),
        (section, ".") => section.to_owned(),
        (section, path) => format!("{section}.{path}"),
    };
    ConfigError::invalid(key, InvalidValue::WrongType(error.into_inner()))
}
