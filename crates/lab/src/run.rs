//! The `run` command: runs one day in virtual time or on sockets, and prints or writes its record.

use std::path::Path;

use crate::balancer;
use crate::cli::{Clock, Run};
use crate::error::{CommandError, CommandOutcome};
use crate::files;
use crate::page;
use crate::record::Record;
use crate::runner;
use crate::sockets;
use crate::style::{Style, say};
use crate::tables;

/// Runs `run`.
///
/// # Errors
/// The scenario, the policy or the program can't be used, or a result file can't be written.
pub fn run(args: &Run, style: &Style) -> Result<CommandOutcome, CommandError> {
    let scenario = files::scenario(&args.which)?;
    for problem in &scenario.warnings {
        tracing::warn!(place = %problem.location, key = problem.key, "{}", problem.message);
    }
    let (record, note) = match args.how.clock {
        Clock::Virtual => {
            if !scenario.day.bad_clients.is_empty() {
                tracing::warn!(
                    "the scenario's bad clients are left out in virtual time; play them with --clock sockets"
                );
            }
            let (record, took) = runner::play_day(&scenario.day, &args.how.policy, args.how.threads)?;
            let note = runner::speed(&record, took);
            (record, note)
        }
        Clock::Sockets => {
            let program = balancer::find(args.how.balancer.as_deref())?;
            let operator = args.how.policy.strip_prefix("module@").map(Path::new);
            (sockets::play_with_progress(&scenario.day, &program, operator)?, String::new())
        }
    };
    show(&record, &note, args.json.as_deref(), args.report.as_deref(), style)
}

/// Prints a record, writes it to the requested files and returns the command's outcome. `note` is printed below it.
///
/// # Errors
/// A file can't be written.
pub fn show(
    record: &Record,
    note: &str,
    json: Option<&Path>,
    report: Option<&Path>,
    style: &Style,
) -> Result<CommandOutcome, CommandError> {
    if json != Some(Path::new("-")) {
        say(&tables::run(record, style));
        if let Some(measurements) = &record.sockets {
            say(&style.dim(&sockets::summary(measurements)));
        }
        say(&style.dim(note));
    }
    if let Some(path) = json {
        files::write(path, &record.to_json())?;
    }
    if let Some(path) = report {
        page::write(path, record)?;
    }
    Ok(if record.is_sound() { CommandOutcome::Success } else { CommandOutcome::Failure })
}
