//! The `load` command: runs the emulator's load generator on one balancer and prints the measurements.

use std::path::Path;

use shorewharf_emulator::sockets::load::{self, LoadError, Options};
use shorewharf_emulator::sockets::process::{ProcessLimits, Program};
use shorewharf_emulator::sockets::run::raise_descriptors;
use shorewharf_emulator::world::settings;

use crate::balancer;
use crate::cli::Load;
use crate::error::{CommandError, CommandOutcome};
use crate::files;
use crate::style::{Style, say};

// Linux's default of fs.nr_open: a process can't raise its descriptor limit above this.
const MAX_SOCKETS: u32 = 1 << 20;

fn micros(seconds: f64) -> u64 {
    (seconds.clamp(0.0, 1e9) * 1e6) as u64
}

/// Runs `load`.
///
/// # Errors
/// An argument or the program can't be used, or a process or file failed.
pub fn load(args: &Load, style: &Style) -> Result<CommandOutcome, CommandError> {
    let path = balancer::find(args.balancer.as_deref())?;
    let descriptors = raise_descriptors();
    tracing::info!(descriptors, program = %path.display(), "starting the load generator");
    let max = u32::try_from(descriptors).unwrap_or(u32::MAX).min(MAX_SOCKETS);
    let sockets = args.sockets.unwrap_or(max);
    if sockets > max {
        return Err(CommandError::Input(format!(
            "--sockets {sockets}: expected at most {max}, the number of descriptors that this system allows"
        )));
    }
    let limits = ProcessLimits { sockets, memory_mb: args.memory_mb };
    let options = Options {
        program: Program { path, args: Vec::new(), limits },
        setups_per_s: args.set_ups,
        established_connections: args.standing,
        hold: micros(args.hold_s),
        line_interval: micros(args.line_every_s),
        duration: micros(args.seconds),
        nodes: args.nodes,
        settings: settings::json,
    };
    let folder = tempfile::TempDir::with_prefix("shorewharf-load-").map_err(|e| {
        CommandError::External(format!("cannot create a temporary folder for the balancer's files: {e}"))
    })?;
    let outcome = load::run(&options, folder.path()).map_err(|e| match e {
        LoadError::Figure(..) => CommandError::Input(e.to_string()),
        e => CommandError::External(e.to_string()),
    })?;
    if let Some(path) = &args.json {
        files::write(path, &(serde_json::to_string_pretty(&outcome).expect("keys are text") + "\n"))?;
    }
    if args.json.as_deref() != Some(Path::new("-")) {
        say(&outcome.to_string());
    }
    if let Some(why) = &outcome.void {
        eprintln!("{} {why}", style.bad("the run is void:"));
    }
    let valid = outcome.void.is_none() && !outcome.life.crashed;
    Ok(if valid { CommandOutcome::Success } else { CommandOutcome::Failure })
}
