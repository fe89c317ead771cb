//! The real balancer: reads its configuration, serves, and ends when told to.

use std::process::ExitCode;

use clap::Parser;
use shorewharf::{config::Config, net};
use shorewharf_logging::LogArgs;
use tracing::error;

/// The configuration can't be used: nothing was started.
const BAD_CONFIG: u8 = 2;

/// Balances long-lived connections: decides which server a client's connection lives on, and passes its lines
#[derive(Parser)]
#[command(name = "shorewharf", version)]
struct Cli {
    #[command(flatten)]
    log: LogArgs,
}

fn main() -> ExitCode {
    Cli::parse().log.start();
    let read = || Config::read(|var| std::env::var(var).ok());
    let config = match read() {
        Ok(config) => config,
        Err(e) => {
            error!(event = "bad-config", key = e.key(), why = %e.why());
            return ExitCode::from(BAD_CONFIG);
        }
    };
    match net::run(config, read) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(event = "cannot-run", error = %e);
            ExitCode::FAILURE
        }
    }
}
