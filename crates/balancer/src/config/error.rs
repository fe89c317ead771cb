//! Errors of the configuration: which key is at fault, and what is wrong with its value.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use shorewharf_settings::operator::OperatorError;
use thiserror::Error;

use super::limits::MAX_SECONDS;
use crate::fleet::budget_config::BudgetConfigError;
use crate::fleet::gossip_config::GossipConfigError;

/// A configuration that can't be used. The message begins with the key at fault.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required key is set neither in the file nor in the environment.
    #[error("{key}: missing (neither in the file that ROUTER_CONFIG names nor as {variable})")]
    Missing {
        /// The key in the file.
        key: &'static str,
        /// The environment variable that stands in for it.
        variable: &'static str,
    },
    /// The configuration file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// A key has a value that can't be used.
    #[error("{key}: {problem}")]
    Invalid {
        /// The key, with the keys it stands under.
        key: String,
        /// What is wrong with the value.
        problem: InvalidValue,
    },
    /// The fleet's budgets can't be set up as configured.
    #[error(transparent)]
    Budgets(#[from] BudgetConfigError),
    /// Gossip can't be set up as configured.
    #[error(transparent)]
    Gossip(#[from] GossipConfigError),
}

/// What is wrong with the value of a key.
#[derive(Debug, Error)]
pub enum InvalidValue {
    /// `ROUTER_CONFIG` is not set.
    #[error("missing; it names the JSON file that has the settings")]
    NoConfigFile,
    /// The file is not JSON.
    #[error("no JSON: {0}")]
    NotJson(serde_json::Error),
    /// The file goes on behind its JSON object.
    #[error("{0}")]
    TrailingText(serde_json::Error),
    /// The value has another type than expected, or lacks a field.
    #[error("{}", in_plain_words(.0))]
    WrongType(serde_json::Error),
    /// The text is not an address with a port.
    #[error("'{0}' is not ADDRESS:PORT, such as 127.0.0.1:8000")]
    NotAnAddress(String),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("'{0}' is not up to 16 hexadecimal digits")]
    NotHexadecimal(String),
    /// The `settings` object is missing.
    #[error("missing; an object with the classes is needed")]
    NoSettings,
    /// The list of request classes is empty.
    #[error("at least one class is needed")]
    NoClasses,
    /// A duration is out of range.
    #[error("{0} s is not over 0 and under {MAX_SECONDS} s")]
    DurationOutOfRange(f64),
    /// Fewer descriptors than any balancer needs.
    #[error("{sockets} is too few to serve anybody; at least {least}")]
    TooFewSockets {
        /// The configured limit.
        sockets: usize,
        /// The least that can be used.
        least: usize,
    },
    /// Fewer descriptors than a balancer with an admin listener needs.
    #[error("{sockets} are too few where operators may call; at least {least}")]
    TooFewSocketsForAdmin {
        /// The configured limit.
        sockets: usize,
        /// The least that can be used.
        least: usize,
    },
    /// Fewer descriptors than the workers need together.
    #[error("{sockets} are too few for {workers} workers; at least {least} for each")]
    TooFewSocketsForWorkers {
        /// The configured limit.
        sockets: usize,
        /// The configured number of workers.
        workers: usize,
        /// The least that one worker can use.
        least: usize,
    },
    /// The operator's file can't be read.
    #[error("{path}: {source}")]
    OperatorFileUnreadable {
        /// The file.
        path: String,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The operator's file has an invalid key.
    #[error("{path}: {}", .source.to_string().trim_end())]
    OperatorFileInvalid {
        /// The file.
        path: String,
        /// The key at fault, and why.
        source: Box<OperatorError>,
    },
    /// A name that is in use has another index in a reloaded configuration.
    #[error("'{0}' must stay in its place until a restart; add new names behind")]
    NameMoved(String),
    /// The system refuses to listen at an address.
    #[error("no listening at {address}: {source}")]
    CannotListen {
        /// The address.
        address: SocketAddr,
        /// Why the system refuses.
        source: io::Error,
    },
}

/// The deserializer's message, with its type names replaced by words for whoever writes the file.
fn in_plain_words(error: &serde_json::Error) -> String {
    error
        .to_string()
        .replace("expected usize", "expected a whole number")
        .replace("expected f64", "expected a number")
}

impl ConfigError {
    /// An invalid value of `key`.
    pub fn invalid(key: impl Into<String>, problem: InvalidValue) -> Self {
        ConfigError::Invalid { key: key.into(), problem }
    }

    /// The key at fault.
    pub fn key(&self) -> &str {
        match self {
            ConfigError::Missing { key, .. } => key,
            ConfigError::Unreadable { .. } => "ROUTER_CONFIG",
            ConfigError::Invalid { key, .. } => key,
            ConfigError::Budgets(error) => error.key(),
            ConfigError::Gossip(error) => error.key(),
        }
    }

    /// What is wrong with the key's value, and what is allowed.
    pub fn reason(&self) -> String {
        let text = self.to_string();
        text.strip_prefix(self.key()).and_then(|rest| rest.strip_prefix(": ")).unwrap_or(&text).to_owned()
    }
}
