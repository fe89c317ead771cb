//! What can be wrong with the configuration.

use std::path::PathBuf;

use thiserror::Error;

/// What is wrong with the configuration; the text names the key at fault.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Neither the file nor the environment has it.
    #[error("{0}: missing (neither in the file that ROUTER_CONFIG names nor as {1})")]
    Missing(&'static str, &'static str),
    /// The file can't be read.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A key has a value of the wrong form.
    #[error("{0}: {1}")]
    Form(String, String),
}

impl ConfigError {
    /// The key at fault.
    pub fn key(&self) -> &str {
        match self {
            ConfigError::Missing(key, _) => key,
            ConfigError::File(..) => "ROUTER_CONFIG",
            ConfigError::Form(key, _) => key,
        }
    }

    /// What is wrong with it, and what is allowed.
    pub fn why(&self) -> String {
        let text = self.to_string();
        text.strip_prefix(self.key()).and_then(|t| t.strip_prefix(": ")).unwrap_or(&text).to_owned()
    }
}
