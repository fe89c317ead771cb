//! Owns how a command ends, and the exit codes that `--help` promises.

use std::process::ExitCode;

use thiserror::Error;

/// How a command that got to its end ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// Nothing was found wrong.
    Success,
    /// A rule was broken, a connection lost, or something that was checked is wrong.
    Failure,
}

/// Why a command did not get to its end.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line or an input file can't be used; the text names it.
    #[error("{0}")]
    Input(String),
    /// Something outside failed; the text names it.
    #[error("{0}")]
    External(String),
}

/// The exit code of an ending.
pub fn exit_code(ended: &Result<CommandOutcome, CommandError>) -> ExitCode {
    ExitCode::from(match ended {
        Ok(CommandOutcome::Success) => 0,
        Ok(CommandOutcome::Failure) => 1,
        Err(CommandError::Input(_)) => 2,
        Err(CommandError::External(_)) => 3,
    })
}
