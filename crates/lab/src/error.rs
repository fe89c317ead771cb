//! Outcomes and errors of commands, and the exit codes that `--help` lists.

use std::process::ExitCode;

use thiserror::Error;

/// Outcome of a command that ran to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// All checks passed.
    Success,
    /// A rule was broken, a connection was lost, or a checked file or value is wrong.
    Failure,
}

/// Why a command could not run to its end.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line or an input file can't be used; the message names it.
    #[error("{0}")]
    Input(String),
    /// A file, process or other part of the system failed; the message names it.
    #[error("{0}")]
    External(String),
}

/// The process's exit code for a command's result.
pub fn exit_code(result: &Result<CommandOutcome, CommandError>) -> ExitCode {
    ExitCode::from(match result {
        Ok(CommandOutcome::Success) => 0,
        Ok(CommandOutcome::Failure) => 1,
        Err(CommandError::Input(_)) => 2,
        Err(CommandError::External(_)) => 3,
    })
}
