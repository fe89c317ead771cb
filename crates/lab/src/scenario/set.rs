//! Changes to a scenario from the command line: `--set traffic.load=0.4`, and grids such as
//! `--set traffic.load=0.3,0.5`. A key is a path of keys, indices, names of entries and `*` for all entries:
//! `kinds.fast.cold_s`, `fleet[0].count`, `faults.*.len_s`.

use thiserror::Error;

use super::tree::{SourceLocation, Tree, TreeKind};

/// A `--set` option that is malformed, or whose key does not exist in the scenario.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SetError {
    /// The option has no `=`.
    #[error("{0}: no = found; expected KEY=VALUE")]
    NoValue(String),
    /// The key before the `=` is empty.
    #[error("{0}: no key before the =; expected KEY=VALUE")]
    NoKey(String),
    /// One of the values is empty.
    #[error("{0}: one of the values is empty; write \"\" for an empty string")]
    EmptyValue(String),
    /// A table on the path has no such key.
    #[error("{key}: unknown key {step}; allowed: {}", known.join(", "))]
    UnknownKey {
        /// The whole path, as given.
        key: String,
        /// The step of the path that does not exist.
        step: String,
        /// The keys of the table.
        known: Vec<String>,
    },
    /// A list on the path has no entry with this index.
    #[error("{key}: no index {step}; the list has {count} entries, counted from 0")]
    UnknownIndex {
        /// The whole path, as given.
        key: String,
        /// The step of the path that does not exist.
        step: String,
        /// Number of entries of the list.
        count: usize,
    },
    /// A list of named entries on the path has no entry with this name or index.
    #[error("{key}: no entry {step}; the entries are {}", names.join(", "))]
    UnknownName {
        /// The whole path, as given.
        key: String,
        /// The step of the path that does not exist.
        step: String,
        /// Names of the list's entries.
        names: Vec<String>,
    },
    /// The path continues after a value that is neither a table nor a list.
    #[error("{key}: the value before .{step} is neither a table nor a list")]
    BelowValue {
        /// The whole path, as given.
        key: String,
        /// The step of the path that follows the single value.
        step: String,
    },
}

/// A key and the values that a sweep gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    /// The path of the key.
    pub key: String,
    /// The values, as written.
    pub values: Vec<String>,
}

/// Parses `key=value,value,…`. Commas within brackets, braces or quotes don't separate values.
///
/// # Errors
/// The key, the `=` or one of the values is missing.
pub fn axis(text: &str) -> Result<Axis, SetError> {
    let (key, values) = text.split_once('=').ok_or_else(|| SetError::NoValue(text.to_owned()))?;
    let key = key.trim();
    if key.is_empty() {
        return Err(SetError::NoKey(text.to_owned()));
    }
    let values: Vec<String> = split_values(values).into_iter().map(|v| v.trim().to_owned()).collect();
    if values.iter().any(String::is_empty) {
        return Err(SetError::EmptyValue(key.to_owned()));
    }
    Ok(Axis { key: key.to_owned(), values })
}

fn split_values(text: &str) -> Vec<String> {
    let (mut depth, mut quoted) = (0i32, false);
    let mut parts = vec![String::new()];
    for c in text.chars() {
        match c {
            '"' => quoted = !quoted,
            '[' | '{' if !quoted => depth += 1,
            ']' | '}' if !quoted => depth -= 1,
            ',' if !quoted && depth == 0 => {
                parts.push(String::new());
                continue;
            }
            _ => {}
        }
        parts.last_mut().expect("never empty").push(c);
    }
    parts
}

/// Every combination of the values of all axes, each as a list of (key, value); one empty combination without
/// axes.
pub fn grid(axes: &[Axis]) -> Vec<Vec<(String, String)>> {
    axes.iter().fold(vec![Vec::new()], |points, axis| {
        points
            .iter()
            .flat_map(|p| {
                axis.values.iter().map(|v| {
                    let mut p = p.clone();
                    p.push((axis.key.clone(), v.clone()));
                    p
                })
            })
            .collect()
    })
}

/// Sets the value at a key; a value that is not valid TOML is used as a string.
///
/// # Errors
/// The path of the key does not exist in the tree.
pub fn apply(tree: &mut Tree, key: &str, value: &str) -> Result<(), SetError> {
    let location = SourceLocation { file: format!("--set {key}").into(), line: 0 };
    let parsed = toml::from_str::<toml::Table>(&format!("v = {value}")).ok().and_then(|mut t| t.remove("v"));
    let value = parsed.unwrap_or_else(|| toml::Value::String(value.to_owned()));
    let steps: Vec<&str> = key.split(['.', '[', ']']).filter(|s| !s.is_empty()).collect();
    set_at(tree, key, &steps, &Tree::from_value(&location, value))
}

/// Sets the value at the rest of a path; `key` is the whole path for error messages.
fn set_at(tree: &mut Tree, key: &str, steps: &[&str], value: &Tree) -> Result<(), SetError> {
    let Some((step, rest)) = steps.split_first() else {
        *tree = value.clone();
        return Ok(());
    };
    let (path, unknown) = (key.to_owned(), (*step).to_owned());
    match &mut tree.kind {
        TreeKind::Table(t) => {
            if !t.contains_key(*step) && !rest.is_empty() {
                let known = t.keys().cloned().collect();
                return Err(SetError::UnknownKey { key: path, step: unknown, known });
            }
            set_at(t.entry((*step).to_owned()).or_insert_with(|| value.clone()), key, rest, value)
        }
        TreeKind::List(items) if *step == "*" => {
            items.iter_mut().try_for_each(|item| set_at(item, key, rest, value))
        }
        TreeKind::List(items) => {
            let names: Vec<String> = items.iter().filter_map(|i| i.name().map(str::to_owned)).collect();
            let index = step.parse().ok().or_else(|| items.iter().position(|i| i.name() == Some(*step)));
            let count = items.len();
            match index.and_then(|i| items.get_mut(i)) {
                Some(item) => set_at(item, key, rest, value),
                None if names.is_empty() => Err(SetError::UnknownIndex { key: path, step: unknown, count }),
                None => Err(SetError::UnknownName { key: path, step: unknown, names }),
            }
        }
        TreeKind::Leaf(_) => Err(SetError::BelowValue { key: path, step: unknown }),
    }
}
