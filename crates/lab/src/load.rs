//! Owns `load`: the emulator's load engine on one balancer, for people.

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

// A balancer's tables of descriptors are this long at most where systems are left as they come.
const MOST_SOCKETS: u32 = 1 << 20;

fn us(seconds: f64) -> u64 {
    (seconds.clamp(0.0, 1e9) * 1e6) as u64
}

/// `load`.
pub fn load(args: &Load, style: &Style) -> Result<CommandOutcome, CommandError> {
    let path = balancer::find(args.balancer.as_deref())?;
    let descriptors = raise_descriptors();
    tracing::info!(descriptors, program = %path.display(), "loading");
    let most = u32::try_from(descriptors).unwrap_or(u32::MAX).min(MOST_SOCKETS);
    let sockets = args.sockets.unwrap_or(most);
    if sockets > most {
        return Err(CommandError::Input(format!("--sockets {sockets}: this system allows {most}")));
    }
    let limits = ProcessLimits { sockets, memory_mb: args.memory_mb };
    let options = Options {
        program: Program { path, args: Vec::new(), limits },
        setups_per_s: args.set_ups,
        established_connections: args.standing,
        hold: us(args.hold_s),
        line_interval: us(args.line_every_s),
        duration: us(args.seconds),
        nodes: args.nodes,
        settings: settings::json,
    };
    let folder = tempfile::TempDir::with_prefix("shorewharf-load-")
        .map_err(|e| CommandError::External(format!("a folder for the balancer's files: {e}")))?;
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
        eprintln!("{} {why}", style.bad("none of this counts:"));
    }
    let sound = outcome.void.is_none() && !outcome.life.crashed;
    Ok(if sound { CommandOutcome::Success } else { CommandOutcome::Failure })
}
