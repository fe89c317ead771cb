//! The lab's log: lines on standard error in logfmt or JSON, filtered by level and module.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::prelude::*;

use crate::cli::LogFormat;
use crate::error::CommandError;

/// Initializes the log. `level` is a level or a list such as `warn,shorewharf_emulator=debug`.
///
/// # Errors
/// `level` can't be parsed, or a log is already initialized.
pub fn init(level: &str, format: LogFormat) -> Result<(), CommandError> {
    let filter = EnvFilter::try_new(level).map_err(|e| CommandError::Input(format!("--log {level}: {e}")))?;
    let registry = tracing_subscriber::registry().with(filter);
    let result = match format {
        LogFormat::Logfmt => {
            registry.with(tracing_logfmt::builder().layer().with_writer(std::io::stderr)).try_init()
        }
        LogFormat::Json => {
            registry.with(tracing_subscriber::fmt::layer().json().with_writer(std::io::stderr)).try_init()
        }
    };
    result.map_err(|e| CommandError::External(format!("cannot initialize the log: {e}")))
}
