//! Owns the finding of the balancer's program: the one that is named, the one beside this program, or one that cargo
//! builds.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::error::CommandError;

const NAME: &str = "shorewharf";

/// The program to test.
pub fn find(named: Option<&Path>) -> Result<PathBuf, CommandError> {
    if let Some(path) = named {
        return if path.is_file() {
            Ok(path.to_owned())
        } else {
            Err(CommandError::Input(format!("--balancer {}: no such program", path.display())))
        };
    }
    let exe = std::env::current_exe()
        .map_err(|e| CommandError::External(format!("this program's own path: {e}")))?;
    let beside = exe.with_file_name(NAME);
    if beside.is_file() {
        return Ok(beside);
    }
    let here = std::env::current_dir().unwrap_or_default();
    let root = workspace(&exe).or_else(|| workspace(&here)).ok_or_else(|| {
        CommandError::External(format!(
            "there is no {} and no checkout to build it from; name the program with --balancer",
            beside.display()
        ))
    })?;
    eprintln!("{NAME} is not beside this program; building it: cargo build --release -p {NAME}");
    build(&root)
}

/// The checkout above a path.
fn workspace(path: &Path) -> Option<PathBuf> {
    let above =
        path.ancestors().find(|p| p.join("Cargo.lock").is_file() && p.join("crates/balancer").is_dir());
    above.map(Path::to_owned)
}

fn build(root: &Path) -> Result<PathBuf, CommandError> {
    // Cargo knows where it puts the program; nobody else has to.
    let output = Command::new("cargo")
        .current_dir(root)
        .args(["build", "--release", "--locked", "-p", NAME, "--message-format=json-render-diagnostics"])
        .stderr(Stdio::inherit())
        .output()
        .map_err(|e| CommandError::External(format!("cargo can't be started: {e}")))?;
    if !output.status.success() {
        return Err(CommandError::External(format!("cargo build -p {NAME} failed: {}", output.status)));
    }
    let messages = String::from_utf8_lossy(&output.stdout);
    let built = messages
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter(|m| m["target"]["name"] == NAME)
        .find_map(|m| m["executable"].as_str().map(PathBuf::from));
    built.ok_or_else(|| CommandError::External(format!("cargo built no program {NAME}")))
}
