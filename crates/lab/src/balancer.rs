//! Locates the balancer's executable: the one given on the command line, the one next to this executable, or
//! one that cargo builds.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::error::CommandError;

/// Name of the executable and of its package.
const NAME: &str = "shorewharf";

/// Returns the path of the balancer's executable, and builds it if there is none. `explicit` is the path
/// given on the command line.
///
/// # Errors
/// The given path is no file, there is nothing to build from, or the build failed.
pub fn find(explicit: Option<&Path>) -> Result<PathBuf, CommandError> {
    if let Some(path) = explicit {
        return if path.is_file() {
            Ok(path.to_owned())
        } else {
            Err(CommandError::Input(format!("--balancer {}: no such program", path.display())))
        };
    }
    let exe = std::env::current_exe().map_err(|e| {
        CommandError::External(format!("cannot determine the path of the running program: {e}"))
    })?;
    let sibling = exe.with_file_name(NAME);
    if sibling.is_file() {
        return Ok(sibling);
    }
    let current_dir = std::env::current_dir().unwrap_or_default();
    let root = workspace_root(&exe).or_else(|| workspace_root(&current_dir)).ok_or_else(|| {
        CommandError::External(format!(
            "{} does not exist and no checkout of the repository was found to build it from; give the program with \
             --balancer",
            sibling.display()
        ))
    })?;
    eprintln!("{NAME} was not found next to this program; running cargo build --release -p {NAME}");
    build(&root)
}

/// The nearest ancestor directory of a path that is a checkout of the repository.
fn workspace_root(path: &Path) -> Option<PathBuf> {
    let root =
        path.ancestors().find(|p| p.join("Cargo.lock").is_file() && p.join("crates/balancer").is_dir());
    root.map(Path::to_owned)
}

fn build(root: &Path) -> Result<PathBuf, CommandError> {
    // The path of the executable is read from cargo's messages, since the target directory is configurable.
    let output = Command::new("cargo")
        .current_dir(root)
        .args(["build", "--release", "--locked", "-p", NAME, "--message-format=json-render-diagnostics"])
        .stderr(Stdio::inherit())
        .output()
        .map_err(|e| CommandError::External(format!("cannot start cargo: {e}")))?;
    if !output.status.success() {
        return Err(CommandError::External(format!("cargo build -p {NAME} failed: {}", output.status)));
    }
    let messages = String::from_utf8_lossy(&output.stdout);
    let built = messages
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter(|m| m["target"]["name"] == NAME)
        .find_map(|m| m["executable"].as_str().map(PathBuf::from));
    built.ok_or_else(|| {
        CommandError::External(format!(
            "cargo build -p {NAME} succeeded but reported no executable of that name"
        ))
    })
}
