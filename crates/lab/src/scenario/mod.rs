//! Scenario files: TOML in the form of [`Day`], with shorthands. A file may extend another, refer to zones and kinds by
//! name, describe machines as fleets, and leave out whatever keeps its default. Errors name the file, line and key, and
//! what is allowed.

mod expand;
pub mod set;
mod tree;
mod validate;

use std::path::{Path, PathBuf};

use shorewharf_emulator::day::Day;
use thiserror::Error;

use set::SetError;
use tree::{Form, Tree};
pub use tree::{SourceLocation, SyntaxError};

/// An error or warning about one key of a scenario.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{location}: {key}: {message}")]
pub struct Problem {
    /// Where it was written.
    pub location: SourceLocation,
    /// The key's path.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub message: String,
}

impl Problem {
    fn at(place: &SourceLocation, key: &str, message: impl Into<String>) -> Self {
        Self { location: place.clone(), key: key.to_owned(), message: message.into() }
    }

    fn unknown(place: &SourceLocation, key: &str, name: &str, known: &[String]) -> Self {
        let near = known.iter().max_by(|a, b| strsim::jaro(a, name).total_cmp(&strsim::jaro(b, name)));
        let hint = match near.filter(|k| strsim::jaro(k, name) > 0.75) {
            Some(near) => format!(" (did you mean {near}?)"),
            None => String::new(),
        };
        let allowed = if known.is_empty() { "there are none".to_owned() } else { known.join(", ") };
        Self::at(place, key, format!("no {name}{hint}; allowed: {allowed}"))
    }
}

/// Why a scenario could not be loaded.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// A file can't be read.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// It is no TOML.
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
    /// Files that extend one another in a circle.
    #[error("{location}: extends: {path} extends itself by way of other files")]
    Circle {
        /// Where.
        location: SourceLocation,
        /// The file that came again.
        path: PathBuf,
    },
    /// A change from the command line that fits nothing.
    #[error("--set {0}")]
    Set(#[from] SetError),
    /// Keys or values that mean nothing, or lie out of their range.
    #[error("{}", lines(.0))]
    Invalid(Vec<Problem>),
}

fn lines(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")
}

/// A valid scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// All figures of the run.
    pub day: Day,
    /// Legal values that the author has hardly meant.
    pub warnings: Vec<Problem>,
}

/// What every scenario starts from.
pub const DEFAULTS: &str = include_str!("defaults.toml");
const MAX_EXTENDS_DEPTH: usize = 16;

/// Reads a scenario with changes from the command line, `(key, value)` in order, and another seed if there is one.
///
/// # Errors
/// A file can't be read, or its text is no valid scenario.
pub fn load(path: &Path, sets: &[(String, String)], seed: Option<u64>) -> Result<Scenario, ScenarioError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| ScenarioError::Io { path: path.into(), source })?;
    from_text(path, &text, sets, seed)
}

/// Reads a scenario from its text; `path` names it in messages, and files that it extends are looked for beside it.
///
/// # Errors
/// The text, a file that it extends or a change is no valid scenario.
///
/// # Panics
/// The built-in defaults are no TOML.
pub fn from_text(
    path: &Path,
    text: &str,
    sets: &[(String, String)],
    seed: Option<u64>,
) -> Result<Scenario, ScenarioError> {
    let mut tree = load_with_bases(path, text, &mut vec![path.to_owned()])?;
    let base = tree::parse("the defaults", DEFAULTS).expect("the defaults are TOML");
    let place = tree.location.clone();
    if let Some(table) = tree.table_mut() {
        let stem = path.file_stem().map_or_else(|| "day".into(), |s| s.to_string_lossy().into_owned());
        table.entry("name".into()).or_insert_with(|| Tree::from_value(&place, stem.into()));
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
    let odd = found.warnings.into_iter().map(problem).collect();
    Ok(Scenario { day, warnings: odd })
}

fn load_with_bases(path: &Path, text: &str, seen: &mut Vec<PathBuf>) -> Result<Tree, ScenarioError> {
    let mut tree = tree::parse(&path.to_string_lossy(), text)?;
    let Some(extends) = tree.table_mut().and_then(|t| t.remove("extends")) else { return Ok(tree) };
    let Form::Leaf(toml::Value::String(name)) = &extends.form else {
        let problem = Problem::at(&extends.location, "extends", "must be the name of a file, in quotes");
        return Err(ScenarioError::Invalid(vec![problem]));
    };
    let base = path.parent().unwrap_or(Path::new("")).join(name);
    if seen.contains(&base) || seen.len() > MAX_EXTENDS_DEPTH {
        return Err(ScenarioError::Circle { location: extends.location, path: base });
    }
    seen.push(base.clone());
    let text = std::fs::read_to_string(&base).map_err(|e| {
        let problem = Problem::at(&extends.location, "extends", format!("{}: {e}", base.display()));
        ScenarioError::Invalid(vec![problem])
    })?;
    let mut below = load_with_bases(&base, &text, seen)?;
    // A name is a scenario's own.
    if let Some(table) = below.table_mut() {
        table.remove("name");
    }
    Ok(tree.merge_over(below))
}

/// What serde found wrong in `tree`, whose own path is `above` (empty for the whole).
fn deserialization_problem(
    tree: &Tree,
    above: &str,
    e: &serde_path_to_error::Error<toml::de::Error>,
) -> Problem {
    let message = e.inner().message().trim().to_owned();
    let mut path = e.path().to_string();
    let full = |path: &str| match (above, path) {
        ("", _) => path.to_owned(),
        (_, ".") => above.to_owned(),
        _ => format!("{above}.{path}"),
    };
    let unknown = message.strip_prefix("unknown field `").and_then(|m| m.split('`').next());
    let Some(name) = unknown else { return Problem::at(tree.location_of(&path), &full(&path), message) };
    // Of an unknown key the path may end at its table or at the key itself; the message names it.
    if path == "." {
        path = name.to_owned();
    } else if !path.ends_with(name) {
        path = format!("{path}.{name}");
    }
    let known: Vec<String> = message.split('`').skip(3).step_by(2).map(str::to_owned).collect();
    Problem::unknown(tree.location_of(&path), &full(&path), name, &known)
}

/// The expanded form of a day as TOML, which [`load`] reads again.
///
/// # Errors
/// A value has no form in TOML.
pub fn show(day: &Day) -> Result<String, toml::ser::Error> {
    toml::to_string_pretty(day)
}
