//! Logging of the programs: `tracing` events are written to standard error, one line each, as logfmt or JSON.
//!
//! An event has no message. Its first field, `event`, holds its name, and the others are its keys:
//! `info!(event = "serving", listen = %address)`. Each line is formatted into a reused buffer and written
//! with a single call.

use std::io;
use std::str::FromStr;

use clap::{Args, ValueEnum};
use thiserror::Error;
use tracing::Subscriber;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{Registry, fmt};

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// `ts=… level=info event=serving listen=127.0.0.1:8000`
    #[default]
    Logfmt,
    /// `{"timestamp":"…","level":"INFO","event":"serving","listen":"127.0.0.1:8000"}`
    Json,
}

/// Minimum level of the events that are written, for the whole program or by module.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelFilters(Targets);

/// The error of a list of log levels that has an unknown level.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("'{level}' is not a log level; expected off, error, warn, info, debug or trace")]
pub struct UnknownLevel {
    level: String,
}

impl FromStr for LevelFilters {
    type Err = UnknownLevel;

    /// Parses `LEVEL`, or a comma-separated list of `MODULE=LEVEL` with or without a default `LEVEL`.
    ///
    /// The parser of `Targets` is not used: it takes a mistyped level for a module name, which disables all
    /// events.
    fn from_str(text: &str) -> Result<Self, UnknownLevel> {
        let mut targets = Targets::new();
        for item in text.split(',').map(str::trim) {
            targets = match item.split_once('=') {
                Some((module, level)) => targets.with_target(module, parse_level(level)?),
                None => targets.with_default(parse_level(item)?),
            };
        }
        Ok(LevelFilters(targets))
    }
}

fn parse_level(text: &str) -> Result<LevelFilter, UnknownLevel> {
    let unknown = || UnknownLevel { level: text.to_owned() };
    if text.is_empty() {
        return Err(unknown());
    }
    text.parse().map_err(|_| unknown())
}

/// Command-line options for logging.
#[derive(Args, Clone, Debug)]
pub struct LogArgs {
    /// Format of log lines
    #[arg(long, value_enum, default_value_t, global = true, value_name = "FORMAT")]
    pub log_format: Format,
    /// Minimum level of log lines: off, error, warn, info, debug or trace; or MODULE=LEVEL,…
    #[arg(long, env = "SHOREWHARF_LOG", default_value = "info", global = true, value_name = "LEVEL")]
    pub log_level: LevelFilters,
}

impl LogArgs {
    /// Installs the global subscriber, which writes to standard error. Later calls have no effect.
    pub fn start(&self) {
        // Fails only if a subscriber is already installed.
        let _ = tracing::subscriber::set_global_default(self.subscriber(io::stderr));
    }

    /// Creates a subscriber that writes to `writer`. A line that can't be written is lost.
    pub fn subscriber<W>(&self, writer: W) -> Box<dyn Subscriber + Send + Sync>
    where
        W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
    {
        let registry = Registry::default().with(self.log_level.0.clone());
        match self.log_format {
            Format::Logfmt => {
                let lines = tracing_logfmt::builder().with_target(false).layer();
                Box::new(registry.with(lines.log_internal_errors(false).with_writer(writer)))
            }
            Format::Json => {
                let lines = fmt::layer().json().flatten_event(true).with_target(false);
                let lines = lines.with_current_span(false).with_span_list(false);
                Box::new(registry.with(lines.log_internal_errors(false).with_writer(writer)))
            }
        }
    }
}

#[cfg(test)]
mod tests;
