//! What programs write to standard error: one line an event, as logfmt or JSON, from a level on.
//!
//! An event is a `tracing` event without a message. Its first field is `event`, the word that names it, and the
//! others are its keys: `info!(event = "serving", listen = %address)`. A line is put together in a buffer that is
//! used again and goes out with a single write.

use std::io;
use std::str::FromStr;

use clap::{Args, ValueEnum};
use tracing::Subscriber;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{Registry, fmt};

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// `ts=… level=info event=serving listen=127.0.0.1:8000`
    #[default]
    Logfmt,
    /// `{"timestamp":"…","level":"INFO","event":"serving","listen":"127.0.0.1:8000"}`
    Json,
}

/// From which level on events are written, for all or for each module.
#[derive(Clone, Debug, PartialEq)]
pub struct Levels(Targets);

impl FromStr for Levels {
    type Err = String;

    /// Reads `LEVEL`, or a list of `MODULE=LEVEL` with or without a level for the rest. Stricter than the filter's
    /// own reader, which takes a mistyped level for a module and writes nothing any more.
    fn from_str(text: &str) -> Result<Self, String> {
        let mut targets = Targets::new();
        for item in text.split(',').map(str::trim) {
            let (module, level) = item.split_once('=').map_or((None, item), |(m, l)| (Some(m), l));
            let level = LevelFilter::from_str(level)
                .ok()
                .filter(|_| !level.is_empty())
                .ok_or_else(|| format!("'{level}' is none of off, error, warn, info, debug, trace"))?;
            targets = match module {
                Some(module) => targets.with_target(module, level),
                None => targets.with_default(level),
            };
        }
        Ok(Levels(targets))
    }
}

/// The part of a command line that says what is logged.
#[derive(Args, Clone, Debug)]
pub struct LogArgs {
    /// How lines of the log are written
    #[arg(long, value_enum, default_value_t, global = true, value_name = "FORMAT")]
    pub log_format: Format,
    /// From which level on: off, error, warn, info, debug or trace; or MODULE=LEVEL,…
    #[arg(long, env = "SHOREWHARF_LOG", default_value = "info", global = true, value_name = "LEVEL")]
    pub log_level: Levels,
}

impl LogArgs {
    /// Has this process write its events to standard error from now on. The first call counts.
    pub fn start(&self) {
        // Fails only where events are written already.
        let _ = tracing::subscriber::set_global_default(self.subscriber(io::stderr));
    }

    /// What writes the events elsewhere. A writer that fails loses lines and nothing else.
    pub fn subscriber<W>(&self, to: W) -> Box<dyn Subscriber + Send + Sync>
    where
        W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
    {
        let registry = Registry::default().with(self.log_level.0.clone());
        match self.log_format {
            Format::Logfmt => {
                let lines = tracing_logfmt::builder().with_target(false).layer();
                Box::new(registry.with(lines.log_internal_errors(false).with_writer(to)))
            }
            Format::Json => {
                let lines = fmt::layer().json().flatten_event(true).with_target(false);
                let lines = lines.with_current_span(false).with_span_list(false);
                Box::new(registry.with(lines.log_internal_errors(false).with_writer(to)))
            }
        }
    }
}

#[cfg(test)]
mod tests;
