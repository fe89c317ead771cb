//! Scenario files: TOML with the keys of [`Day`] and shorthands for them. A file may extend another file,
//! refer to zones and kinds by name, describe nodes as fleets, and omit keys that keep their defaults. Errors
//! name the file, line and key, and the allowed values.

mod expand;
pub mod set;
mod tree;
mod validate;

use std::path::{Path, PathBuf};

use shorewharf_emulator::day::Day;
use thiserror::Error;

use set::SetError;
pub use tree::{SourceLocation, SyntaxError};
use tree::{Tree, TreeKind};

/// An error or warning about one key of a scenario.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{location}: {key}: {message}")]
pub struct Problem {
    /// Where the key is set.
    pub location: SourceLocation,
    /// Path of the key, such as `kinds[0].cores`.
    pub key: String,
    /// What is wrong with the value, and what is allowed.
    pub message: String,
}

impl Problem {
    fn at(location: &SourceLocation, key: &str, message: impl Into<String>) -> Self {
        Self { location: location.clone(), key: key.to_owned(), message: message.into() }
    }

    fn unknown(location: &SourceLocation, key: &str, name: &str, known: &[String]) -> Self {
        let nearest = known.iter().max_by(|a, b| strsim::jaro(a, name).total_cmp(&strsim::jaro(b, name)));
        let hint = match nearest.filter(|k| strsim::jaro(k, name) > 0.75) {
            Some(nearest) => format!(" (did you mean {nearest}?)"),
            None => String::new(),
        };
        let allowed = if known.is_empty() { "there are none".to_owned() } else { known.join(", ") };
        Self::at(location, key, format!("unknown name {name}{hint}; allowed: {allowed}"))
    }
}

/// Why a scenario could not be loaded.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The scenario file can't be read.
    #[error("{path}: {source}")]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file is not valid TOML.
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
    /// Files extend one another in a cycle, or the chain of files is too long.
    #[error(
        "{location}: extends: {path} extends itself, directly or through other files, or the scenario extends more \
         than {MAX_EXTENDS_DEPTH} files"
    )]
    ExtendsCycle {
        /// Where the last `extends` is set.
        location: SourceLocation,
        /// The file at which reading stopped.
        path: PathBuf,
    },
    /// A `--set` option is malformed, or its key does not exist.
    #[error("--set {0}")]
    Set(#[from] SetError),
    /// Keys are unknown, or values have the wrong type or are out of range.
    #[error("{}", lines(.0))]
    Invalid(Vec<Problem>),
}

fn lines(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")
}

/// A valid scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// All values of the run.
    pub day: Day,
    /// Warnings about valid values that are probably mistakes.
    pub warnings: Vec<Problem>,
}

/// The default values of every scenario, as TOML.
pub const DEFAULTS: &str = include_str!("defaults.toml");
const MAX_EXTENDS_DEPTH: usize = 16;

/// Reads a scenario, applies `sets` (key and value) in order, and replaces the seed if `seed` is given.
///
/// # Errors
/// A file can't be read, or its text is not a valid scenario.
pub fn load(path: &Path, sets: &[(String, String)], seed: Option<u64>) -> Result<Scenario, ScenarioError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| ScenarioError::Io { path: path.into(), source })?;
    from_text(path, &text, sets, seed)
}

/// Reads a scenario from its text. `path` identifies it in messages; files that it extends are relative to
/// its folder.
///
/// # Errors
/// The text, a file that it extends or an entry of `sets` is not valid.
///
/// # Panics
/// The built-in defaults are not valid TOML.
pub fn from_text(
    path: &Path,
    text: &str,
    sets: &[(String, String)],
    seed: Option<u64>,
) -> Result<Scenario, ScenarioError> {
    let mut tree = load_with_bases(path, text, &mut vec![path.to_owned()])?;
    let base = tree::parse("the defaults", DEFAULTS).expect("the built-in defaults are valid TOML");
    let location = tree.location.clone();
    if let Some(table) = tree.table_mut() {
        let stem = path.file_stem().map_or_else(|| "day".into(), |s| s.to_string_lossy().into_owned());
        table.entry("name".into()).or_insert_with(|| Tree::from_value(&location, stem.into()));
    }
    tree = tree.merge_over(base);
    for (key, value) in sets {
        set::apply(&mut tree, key, value)?;
    }
    if let Some(seed) = seed {
        set::apply(&mut tree, "seed", &seed.to_string())?;
    }
    expand::expand(&mut tree).map_err(|p| ScenarioError::Invalid(vec![p]))?;
    let day: Day = serde_path_to_error::deserialize(tree.value())
        .map_err(|e| ScenarioError::Invalid(vec![deserialization_problem(&tree, "", &e)]))?;
    let found = validate::validate(&day);
    let problem = |(key, message): (String, String)| Problem::at(tree.location_of(&key), &key, message);
    if !found.errors.is_empty() {
        return Err(ScenarioError::Invalid(found.errors.into_iter().map(problem).collect()));
    }
    let warnings = found.warnings.into_iter().map(problem).collect();
    Ok(Scenario { day, warnings })
}

/// Parses a scenario and merges it over the files that it extends; `seen` holds the paths read so far.
fn load_with_bases(path: &Path, text: &str, seen: &mut Vec<PathBuf>) -> Result<Tree, ScenarioError> {
    let mut tree = tree::parse(&path.to_string_lossy(), text)?;
    let Some(extends) = tree.table_mut().and_then(|t| t.remove("extends")) else { return Ok(tree) };
    let TreeKind::Leaf(toml::Value::String(name)) = &extends.kind else {
        let problem = Problem::at(&extends.location, "extends", "must be a file name in quotes");
        return Err(ScenarioError::Invalid(vec![problem]));
    };
    let base = path.parent().unwrap_or(Path::new("")).join(name);
    if seen.contains(&base) || seen.len() > MAX_EXTENDS_DEPTH {
        return Err(ScenarioError::ExtendsCycle { location: extends.location, path: base });
    }
    seen.push(base.clone());
    let text = std::fs::read_to_string(&base).map_err(|e| {
        let problem = Problem::at(&extends.location, "extends", format!("{}: {e}", base.display()));
        ScenarioError::Invalid(vec![problem])
    })?;
    let mut base_tree = load_with_bases(&base, &text, seen)?;
    // The name of a scenario is not inherited.
    if let Some(table) = base_tree.table_mut() {
        table.remove("name");
    }
    Ok(tree.merge_over(base_tree))
}

/// Converts an error of serde about `tree` to a problem; `parent` is the path of `tree`, empty for the whole
/// scenario.
fn deserialization_problem(
    tree: &Tree,
    parent: &str,
    e: &serde_path_to_error::Error<toml::de::Error>,
) -> Problem {
    let message = e.inner().message().trim().to_owned();
    let mut path = e.path().to_string();
    let full = |path: &str| match (parent, path) {
        ("", _) => path.to_owned(),
        (_, ".") => parent.to_owned(),
        _ => format!("{parent}.{path}"),
    };
    let unknown = message.strip_prefix("unknown field `").and_then(|m| m.split('`').next());
    let Some(name) = unknown else { return Problem::at(tree.location_of(&path), &full(&path), message) };
    // For an unknown key, the path from serde ends either at its table or at the key; the message names the
    // key.
    if path == "." {
        path = name.to_owned();
    } else if !path.ends_with(name) {
        path = format!("{path}.{name}");
    }
    let known: Vec<String> = message.split('`').skip(3).step_by(2).map(str::to_owned).collect();
    Problem::unknown(tree.location_of(&path), &full(&path), name, &known)
}

/// Formats a day as TOML with all shorthands expanded; [`load`] reads the text as the same day.
///
/// # Errors
/// A value can't be represented in TOML.
pub fn show(day: &Day) -> Result<String, toml::ser::Error> {
    toml::to_string_pretty(day)
}
