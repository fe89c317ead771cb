//! The command line of the balancer: runs the balancer until it is shut down, or checks a configuration.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use shorewharf::RunError;
use shorewharf::config::summary;
use shorewharf::config::{Config, ConfigError, OPERATOR_VARIABLE};
use shorewharf_logging::LogArgs;
use tracing::error;

/// The exit code if the configuration or the command line is invalid. Nothing has been started then. clap
/// uses the same code for an invalid command line.
const BAD_CONFIG_EXIT_CODE: u8 = 2;

const AFTER_HELP: &str = "\
Without a command, runs the balancer with the JSON file that ROUTER_CONFIG names; ROUTER_NAME, ROUTER_LISTEN, \
ROUTER_DISCOVERY and ROUTER_OPERATOR supply the keys that the file omits. SIGTERM and SIGINT shut it down \
gracefully, SIGHUP reloads the file.

Exit codes:
  0  shut down as requested, or the checked configuration is valid
  1  unable to listen, to take over or to continue; the log gives the reason
  2  the configuration or the command line is invalid; nothing was started";

/// Balances long-lived connections: assigns each client's connection to a server and relays its lines
#[derive(Parser)]
#[command(name = "shorewharf", version, after_help = AFTER_HELP)]
struct Cli {
    #[command(flatten)]
    log: LogArgs,
    /// The operator's own file (TOML), with settings that the platform's configuration does not contain
    #[arg(long, global = true, value_name = "FILE", env = "SHOREWHARF_OPERATOR")]
    operator: Option<PathBuf>,
    /// Replaces the process that offers a hand-over at this Unix socket, if there is one: takes its listeners
    /// and established connections and has it terminate. Then offers a hand-over there to the next process
    #[arg(long, value_name = "SOCKET", env = "SHOREWHARF_TAKE_OVER")]
    take_over: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Checks a configuration as at the start and shows the resulting settings
    CheckConfig {
        /// The configuration, a JSON file
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
            return ExitCode::from(BAD_CONFIG_EXIT_CODE);
        }
    };
    match shorewharf::run(config, take_over, move || Config::read(&env)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(RunError::Config(e)) => {
            error!(event = "bad-config", key = e.key(), why = %e.reason());
            ExitCode::from(BAD_CONFIG_EXIT_CODE)
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
            // Writing fails if the reader has closed the pipe, which is not an error of the configuration.
            let _ = writeln!(std::io::stdout(), "{}", table.trim_fmt());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(BAD_CONFIG_EXIT_CODE)
        }
    }
}
