//! Owns scenario files: TOML in the form of [`Day`], made pleasant to write. A file may extend another, name zones and
//! kinds, write machines as fleets, and leave out whatever it has no wish to change; what is wrong is told with file,
//! line, key and what is allowed.

mod expand;
pub mod set;
mod tree;
mod validate;

use std::path::{Path, PathBuf};

use shorewharf_emulator::day::Day;
use thiserror::Error;

pub use tree::SourceLocation;
use tree::{Form, Tree};

/// One thing that is wrong or odd.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{place}: {key}: {message}")]
pub struct Problem {
    /// Where it was written.
    pub place: SourceLocation,
    /// The key's path.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub message: String,
}

impl Problem {
    fn at(place: &SourceLocation, key: &str, message: impl Into<String>) -> Self {
        Self { place: place.clone(), key: key.to_owned(), message: message.into() }
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

/// A scenario that can't be played.
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
    #[error("{place}: {message}")]
    Syntax {
        /// Where.
        place: SourceLocation,
        /// What the parser says.
        message: String,
    },
    /// Files that extend one another in a circle.
    #[error("{place}: extends: {path} extends itself by way of other files")]
    Circle {
        /// Where.
        place: SourceLocation,
        /// The file that came again.
        path: PathBuf,
    },
    /// A change from the command line that fits nothing.
    #[error("--set {0}")]
    Set(String),
    /// Keys or values that mean nothing, or lie out of their range.
    #[error("{}", lines(.0))]
    Wrong(Vec<Problem>),
}

fn lines(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")
}

/// A scenario that can be played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// All figures of the run.
    pub day: Day,
    /// What is odd about it, but legal.
    pub odd: Vec<Problem>,
}

/// What every scenario starts from.
pub const DEFAULTS: &str = include_str!("defaults.toml");
// Deeper chains than this are nobody's wish.
const MOST_EXTENDS: usize = 16;

/// Reads a scenario with changes from the command line, `(key, value)` in order, and another seed if there is one.
pub fn load(path: &Path, sets: &[(String, String)], seed: Option<u64>) -> Result<Scenario, ScenarioError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| ScenarioError::Io { path: path.into(), source })?;
    from_text(path, &text, sets, seed)
}

/// Reads a scenario from its text; `path` names it in messages, and files that it extends are looked for beside it.
pub fn from_text(
    path: &Path,
    text: &str,
    sets: &[(String, String)],
    seed: Option<u64>,
) -> Result<Scenario, ScenarioError> {
    let mut tree = chain(path, text, &mut vec![path.to_owned()])?;
    let base = tree::parse("the defaults", DEFAULTS).expect("the defaults are TOML");
    let place = tree.place.clone();
    if let Some(table) = tree.table_mut() {
        let stem = path.file_stem().map_or_else(|| "day".into(), |s| s.to_string_lossy().into_owned());
        table.entry("name".into()).or_insert_with(|| Tree::made(&place, stem.into()));
    }
    tree = tree.over(base);
    for (key, value) in sets {
        set::apply(&mut tree, key, value).map_err(ScenarioError::Set)?;
    }
    if let Some(seed) = seed {
        set::apply(&mut tree, "seed", &seed.to_string()).map_err(ScenarioError::Set)?;
    }
    expand::expand(&mut tree).map_err(|p| ScenarioError::Wrong(vec![p]))?;
    let day: Day = serde_path_to_error::deserialize(tree.value())
        .map_err(|e| ScenarioError::Wrong(vec![misread(&tree, "", &e)]))?;
    let found = validate::validate(&day);
    let problem = |(key, message): (String, String)| Problem::at(tree.place_of(&key), &key, message);
    if !found.wrong.is_empty() {
        return Err(ScenarioError::Wrong(found.wrong.into_iter().map(problem).collect()));
    }
    let odd = found.odd.into_iter().map(problem).collect();
    Ok(Scenario { day, odd })
}

fn chain(path: &Path, text: &str, seen: &mut Vec<PathBuf>) -> Result<Tree, ScenarioError> {
    let mut tree = tree::parse(&path.to_string_lossy(), text)
        .map_err(|(place, message)| ScenarioError::Syntax { place, message })?;
    let Some(extends) = tree.table_mut().and_then(|t| t.remove("extends")) else { return Ok(tree) };
    let Form::Leaf(toml::Value::String(name)) = &extends.form else {
        let problem = Problem::at(&extends.place, "extends", "must be the name of a file, in quotes");
        return Err(ScenarioError::Wrong(vec![problem]));
    };
    let base = path.parent().unwrap_or(Path::new("")).join(name);
    if seen.contains(&base) || seen.len() > MOST_EXTENDS {
        return Err(ScenarioError::Circle { place: extends.place, path: base });
    }
    seen.push(base.clone());
    let text = std::fs::read_to_string(&base).map_err(|e| {
        let problem = Problem::at(&extends.place, "extends", format!("{}: {e}", base.display()));
        ScenarioError::Wrong(vec![problem])
    })?;
    let mut below = chain(&base, &text, seen)?;
    // A name is a scenario's own.
    if let Some(table) = below.table_mut() {
        table.remove("name");
    }
    Ok(tree.over(below))
}

/// What serde found wrong in `tree`, whose own path is `above` (empty for the whole).
fn misread(tree: &Tree, above: &str, e: &serde_path_to_error::Error<toml::de::Error>) -> Problem {
    let message = e.inner().message().trim().to_owned();
    let mut path = e.path().to_string();
    let full = |path: &str| match (above, path) {
        ("", _) => path.to_owned(),
        (_, ".") => above.to_owned(),
        _ => format!("{above}.{path}"),
    };
    let unknown = message.strip_prefix("unknown field `").and_then(|m| m.split('`').next());
    let Some(name) = unknown else { return Problem::at(tree.place_of(&path), &full(&path), message) };
    // Of an unknown key the path may end at its table or at the key itself; the message names it.
    if path == "." {
        path = name.to_owned();
    } else if !path.ends_with(name) {
        path = format!("{path}.{name}");
    }
    let known: Vec<String> = message.split('`').skip(3).step_by(2).map(str::to_owned).collect();
    Problem::unknown(tree.place_of(&path), &full(&path), name, &known)
}

/// The expanded form of a day as TOML, which [`load`] reads again.
pub fn show(day: &Day) -> Result<String, toml::ser::Error> {
    toml::to_string_pretty(day)
}
