//! Errors in the configuration: the invalid key, and the reason why its value can't be used.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use shorewharf_settings::operator::OperatorSettingsError;
use thiserror::Error;

use super::limits::MAX_DURATION_S;
use crate::fleet::budget_config::BudgetConfigError;
use crate::fleet::gossip_config::GossipConfigError;

/// The reason why a configuration can't be used. The message begins with the invalid key.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required key is set neither in the file nor in the environment.
    #[error(
        "{key}: missing; expected in the file that ROUTER_CONFIG names, or as the environment variable {variable}"
    )]
    Missing {
        /// The key in the file.
        key: &'static str,
        /// The environment variable that replaces the key.
        variable: &'static str,
    },
    /// The configuration file can't be read.
    #[error("ROUTER_CONFIG: cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A key has an invalid value.
    #[error("{key}: {problem}")]
    Invalid {
        /// The full path of the key.
        key: String,
        /// The reason why the value can't be used.
        problem: InvalidValue,
    },
    /// The configuration of the fleet's budgets is invalid.
    #[error(transparent)]
    Budgets(#[from] BudgetConfigError),
    /// The configuration of gossip is invalid.
    #[error(transparent)]
    Gossip(#[from] GossipConfigError),
}

/// The reason why the value of a key can't be used.
#[derive(Debug, Error)]
pub enum InvalidValue {
    /// `ROUTER_CONFIG` is not set.
    #[error("missing; expected the path of the JSON file with the configuration")]
    NoConfigFile,
    /// The file is not JSON.
    #[error("not valid JSON: {0}")]
    NotJson(serde_json::Error),
    /// The file contains text after its JSON object.
    #[error("unexpected text after the JSON object: {0}")]
    TrailingText(serde_json::Error),
    /// The value does not have the expected type, or lacks a field.
    #[error("{}", readable_type_error(.0))]
    WrongType(serde_json::Error),
    /// The text is not an address with a port.
    #[error("'{0}' is not an address; expected ADDRESS:PORT, such as 127.0.0.1:8000")]
    NotAnAddress(String),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("'{0}' is not a number of up to 16 hexadecimal digits")]
    NotHexadecimal(String),
    /// The `settings` object is missing.
    #[error("missing; expected an object with the key classes")]
    NoSettings,
    /// The list of request classes is empty.
    #[error("empty; expected at least one class")]
    NoClasses,
    /// A duration is out of range.
    #[error("{0} s is out of range; expected more than 0 s and less than {MAX_DURATION_S} s")]
    DurationOutOfRange(f64),
    /// The limit is below the number of descriptors that any balancer needs.
    #[error("{sockets} is too few; a balancer needs at least {minimum}")]
    TooFewSockets {
        /// The configured limit.
        sockets: usize,
        /// The lowest valid limit.
        minimum: usize,
    },
    /// The limit is below the number of descriptors that a balancer with an admin listener needs.
    #[error(
        "{sockets} is too few; a balancer with an admin listener (key operator) needs at least {minimum}"
    )]
    TooFewSocketsForAdmin {
        /// The configured limit.
        sockets: usize,
        /// The lowest valid limit.
        minimum: usize,
    },
    /// The limit is below the number of descriptors that all workers need together.
    #[error("{sockets} is too few for {workers} workers; each worker needs at least {minimum}")]
    TooFewSocketsForWorkers {
        /// The configured limit.
        sockets: usize,
        /// The configured number of workers.
        workers: usize,
        /// The number that one worker needs.
        minimum: usize,
    },
    /// The operator's file can't be read.
    #[error("cannot read {path}: {source}")]
    OperatorFileUnreadable {
        /// The path of the file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// The operator's file has an invalid key.
    #[error("{path}: {}", .source.to_string().trim_end())]
    OperatorFileInvalid {
        /// The path of the file.
        path: String,
        /// The invalid key and the reason.
        source: Box<OperatorSettingsError>,
    },
    /// A name that is in use is missing or has another index in a reloaded configuration.
    #[error("'{0}' must keep its position in the list until a restart; add new names at the end")]
    NameMoved(String),
    /// The system refuses to listen at an address.
    #[error("cannot listen at {address}: {source}")]
    CannotListen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// The deserializer's message, with the names of Rust types replaced by words that the author of the file understands.
fn readable_type_error(error: &serde_json::Error) -> String {
    error
        .to_string()
        .replace("expected usize", "expected a whole number")
        .replace("expected f64", "expected a number")
}

impl ConfigError {
    /// Creates an error for an invalid value of `key`.
    pub fn invalid(key: impl Into<String>, problem: InvalidValue) -> Self {
        ConfigError::Invalid { key: key.into(), problem }
    }

    /// The invalid key.
    pub fn key(&self) -> &str {
        match self {
            ConfigError::Missing { key, .. } => key,
            ConfigError::Unreadable { .. } => "ROUTER_CONFIG",
            ConfigError::Invalid { key, .. } => key,
            ConfigError::Budgets(error) => error.key(),
            ConfigError::Gossip(error) => error.key(),
        }
    }

    /// The message without the key: the reason why the value can't be used, and what is expected.
    pub fn reason(&self) -> String {
        let text = self.to_string();
        text.strip_prefix(self.key()).and_then(|rest| rest.strip_prefix(": ")).unwrap_or(&text).to_owned()
    }
}
