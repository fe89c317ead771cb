//! The command line of the balancer: serves by its configuration until it is shut down, or checks a configuration.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use shorewharf::RunError;
use shorewharf::config::summary;
use shorewharf::config::{Config, ConfigError, OPERATOR_VARIABLE};
use shorewharf_logging::LogArgs;
use tracing::error;

/// Exit code when the configuration or the command line can't be used; nothing was started. clap uses the same code.
const BAD_CONFIG: u8 = 2;

const HELP_END: &str = "\
Without a command it serves, by the JSON file that ROUTER_CONFIG names; ROUTER_NAME, ROUTER_LISTEN, \
ROUTER_DISCOVERY and ROUTER_OPERATOR fill in for what the file leaves out. SIGTERM and SIGINT end it in good order, SIGHUP has it read \
the file again.

Exit codes:
  0  it ended as it was told to, or the configuration is good
  1  it can't listen, take over or go on; the log says why
  2  the configuration or the command line can't be used; nothing was started";

/// Balances long-lived connections: decides which server a client's connection lives on, and passes its lines
#[derive(Parser)]
#[command(name = "shorewharf", version, after_help = HELP_END)]
struct Cli {
    #[command(flatten)]
    log: LogArgs,
    /// The operator's own file (TOML): what the platform's configuration says nothing of
    #[arg(long, global = true, value_name = "FILE", env = "SHOREWHARF_OPERATOR")]
    operator: Option<PathBuf>,
    /// Serves at this Unix socket whoever takes this process's place, and takes the place of the one that serves there now,
    /// with its listeners and standing connections; that one ends
    #[arg(long, value_name = "SOCKET", env = "SHOREWHARF_TAKE_OVER")]
    take_over: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Reads and checks a configuration as the start does and shows what is in force by it
    CheckConfig {
        /// The JSON file
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    cli.log.start();
    let operator = cli.operator;
    let env = move |var: &str| match (&operator, var) {
        (Some(path), OPERATOR_VARIABLE) => Some(path.to_string_lossy().into_owned()),
        _ => std::env::var(var).ok(),
    };
    match cli.command {
        None => serve(env, cli.take_over),
        Some(Command::CheckConfig { file }) => check_config(&file, env),
    }
}

fn serve(env: impl Fn(&str) -> Option<String> + Send + 'static, take_over: Option<PathBuf>) -> ExitCode {
    let config = match Config::read(&env) {
        Ok(config) => config,
        Err(e) => {
            error!(event = "bad-config", key = e.key(), why = %e.reason());
            return ExitCode::from(BAD_CONFIG);
        }
    };
    match shorewharf::run(config, take_over, move || Config::read(&env)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(RunError::Config(e)) => {
            error!(event = "bad-config", key = e.key(), why = %e.reason());
            ExitCode::from(BAD_CONFIG)
        }
        Err(RunError::System(e)) => {
            error!(event = "cannot-run", error = %e);
            ExitCode::FAILURE
        }
    }
}

fn check_config(file: &Path, env: impl Fn(&str) -> Option<String>) -> ExitCode {
    let text = std::fs::read(file).map_err(|e| ConfigError::Unreadable { path: file.into(), source: e });
    match text.and_then(|text| summary::table(&text, env)) {
        Ok(table) => {
            // Fails if the reader has closed the pipe, which is no error.
            let _ = writeln!(std::io::stdout(), "{}", table.trim_fmt());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(BAD_CONFIG)
        }
    }
}
