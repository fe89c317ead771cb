//! The commands that only read and write files (`import`, `check` and `show`), and the reading of scenarios for others.

use std::path::Path;

use crate::cli::{Check, Import, ScenarioArgs, Show};
use crate::error::{CommandError, CommandOutcome};
use crate::scenario::set::Axis;
use crate::scenario::{self, Scenario};
use crate::style::{Style, say};

/// Reads the scenario that the command line names, with its changes of keys and of the seed.
///
/// # Errors
/// The file or a change can't be used.
pub fn scenario(which: &ScenarioArgs) -> Result<Scenario, CommandError> {
    load(&which.scenario, &single_values(&which.set)?, which.seed)
}

/// The `--set` arguments of commands that allow only one value for each key.
///
/// # Errors
/// A key has several values.
pub fn single_values(set: &[Axis]) -> Result<Vec<(String, String)>, CommandError> {
    set.iter()
        .map(|axis| match &axis.values[..] {
            [one] => Ok((axis.key.clone(), one.clone())),
            more => Err(CommandError::Input(format!(
                "--set {}: expected one value, found {}; sweep plays several (a list is written [{}])",
                axis.key,
                more.len(),
                more.join(",")
            ))),
        })
        .collect()
}

/// Reads a scenario file (TOML) or a drawn day (JSON), with changes of keys and of the seed.
///
/// # Errors
/// The file or a change can't be used.
pub fn load(path: &Path, sets: &[(String, String)], seed: Option<u64>) -> Result<Scenario, CommandError> {
    if path.extension().is_some_and(|e| e == "json") {
        let day = crate::import::read(path).map_err(|e| CommandError::Input(e.to_string()))?;
        let text =
            scenario::show(&day).map_err(|e| CommandError::Input(format!("{}: {e}", path.display())))?;
        return scenario::from_text(path, &text, sets, seed).map_err(|e| CommandError::Input(e.to_string()));
    }
    scenario::load(path, sets, seed).map_err(|e| CommandError::Input(e.to_string()))
}

/// Runs `import`.
///
/// # Errors
/// The drawn day can't be used, or the scenario file can't be written.
pub fn import(args: &Import) -> Result<CommandOutcome, CommandError> {
    let day = crate::import::read(&args.day).map_err(|e| CommandError::Input(e.to_string()))?;
    let text =
        scenario::show(&day).map_err(|e| CommandError::Input(format!("{}: {e}", args.day.display())))?;
    match &args.output {
        Some(path) => write(path, &text)?,
        None => say(&text),
    }
    Ok(CommandOutcome::Success)
}

/// Runs `check`. Files that can't be used are findings and no errors of the command.
pub fn check(args: &Check, style: &Style) -> Result<CommandOutcome, CommandError> {
    let mut outcome = CommandOutcome::Success;
    for path in &args.scenarios {
        match load(path, &[], None) {
            Err(e) => {
                outcome = CommandOutcome::Failure;
                say(&format!("{} {}\n", style.bad("wrong"), path.display()));
                say(&format!("{}\n", indent(&e.to_string())));
            }
            Ok(scenario) if scenario.warnings.is_empty() => {
                say(&format!(
                    "{} {}  {}\n",
                    style.good("fine "),
                    path.display(),
                    style.dim(&scenario.day.about)
                ));
            }
            Ok(scenario) => {
                if args.strict {
                    outcome = CommandOutcome::Failure;
                }
                say(&format!("{} {}\n", style.warn("odd  "), path.display()));
                for problem in &scenario.warnings {
                    say(&format!("{}\n", indent(&problem.to_string())));
                }
            }
        }
    }
    Ok(outcome)
}

fn indent(text: &str) -> String {
    text.lines().map(|l| format!("      {l}")).collect::<Vec<_>>().join("\n")
}

/// Runs `show`.
///
/// # Errors
/// The scenario can't be used.
pub fn show(args: &Show) -> Result<CommandOutcome, CommandError> {
    let day = scenario(&args.which)?.day;
    let text = if args.json {
        serde_json::to_string_pretty(&day).map_err(|e| CommandError::Input(e.to_string()))? + "\n"
    } else {
        scenario::show(&day).map_err(|e| CommandError::Input(e.to_string()))?
    };
    say(&text);
    Ok(CommandOutcome::Success)
}

/// Writes a text to a file, or to standard output for `-`.
///
/// # Errors
/// The file can't be written.
pub fn write(path: &Path, text: &str) -> Result<(), CommandError> {
    if path == Path::new("-") {
        say(text);
        return Ok(());
    }
    std::fs::write(path, text)
        .map_err(|e| CommandError::External(format!("{}: cannot write the file: {e}", path.display())))
}
