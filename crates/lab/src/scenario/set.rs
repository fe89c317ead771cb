//! Owns changes to a scenario from the command line: `--set traffic.load=0.4` and grids such as
//! `--set traffic.load=0.3,0.5`. A key is a path of keys, places and names: `kinds.fast.cold_s`, `fleet[0].count`,
//! `faults.*.len_s`.

use thiserror::Error;

use super::tree::{Form, SourceLocation, Tree};

/// A `--set` that can't be read or fits nothing in the scenario.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SetError {
    /// There is no `=`.
    #[error("{0}: write KEY=VALUE")]
    NoValue(String),
    /// Nothing stands before the `=`.
    #[error("{0}: no key before the =")]
    NoKey(String),
    /// One of the values is empty.
    #[error("{0}: an empty value; write \"\" for an empty text")]
    EmptyValue(String),
    /// A table on the path has no such key.
    #[error("{key}: no {step} here; there are {}", known.join(", "))]
    UnknownKey {
        /// The whole path.
        key: String,
        /// The step that fits nothing.
        step: String,
        /// The keys that there are.
        known: Vec<String>,
    },
    /// A list on the path is shorter than this index.
    #[error("{key}: no place {step}; there are {count}, from 0")]
    UnknownIndex {
        /// The whole path.
        key: String,
        /// The step that fits nothing.
        step: String,
        /// Length of the list.
        count: usize,
    },
    /// A list on the path has no entry of this name or index.
    #[error("{key}: no {step}; there are {}", names.join(", "))]
    UnknownName {
        /// The whole path.
        key: String,
        /// The step that fits nothing.
        step: String,
        /// Names of the list's entries.
        names: Vec<String>,
    },
    /// The path goes on below a single value.
    #[error("{key}: what stands before .{step} is a single value")]
    BelowValue {
        /// The whole path.
        key: String,
        /// The step that fits nothing.
        step: String,
    },
}

/// One key with the values that it takes in turn.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    /// The path.
    pub key: String,
    /// The values, as written.
    pub values: Vec<String>,
}

/// Reads `key=value,value,…`; commas within brackets, braces or quotes don't separate values.
///
/// # Errors
/// The key, the `=` or a value is missing.
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
        parts.last_mut().expect("one at least").push(c);
    }
    parts
}

/// Every combination of the axes' values, as lists of (key, value); one empty combination where there are no axes.
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

/// Sets one value; what is no TOML value is taken as text.
///
/// # Errors
/// The key's path fits nothing in the tree.
pub fn apply(tree: &mut Tree, key: &str, value: &str) -> Result<(), SetError> {
    let place = SourceLocation { file: format!("--set {key}").into(), line: 0 };
    let parsed = toml::from_str::<toml::Table>(&format!("v = {value}")).ok().and_then(|mut t| t.remove("v"));
    let value = parsed.unwrap_or_else(|| toml::Value::String(value.to_owned()));
    let steps: Vec<&str> = key.split(['.', '[', ']']).filter(|s| !s.is_empty()).collect();
    set_at(tree, key, &steps, &Tree::from_value(&place, value))
}

fn set_at(tree: &mut Tree, key: &str, steps: &[&str], value: &Tree) -> Result<(), SetError> {
    let Some((step, rest)) = steps.split_first() else {
        *tree = value.clone();
        return Ok(());
    };
    let (path, unknown) = (key.to_owned(), (*step).to_owned());
    match &mut tree.form {
        Form::Table(t) => {
            if !t.contains_key(*step) && !rest.is_empty() {
                let known = t.keys().cloned().collect();
                return Err(SetError::UnknownKey { key: path, step: unknown, known });
            }
            set_at(t.entry((*step).to_owned()).or_insert_with(|| value.clone()), key, rest, value)
        }
        Form::List(items) if *step == "*" => {
            items.iter_mut().try_for_each(|item| set_at(item, key, rest, value))
        }
        Form::List(items) => {
            let names: Vec<String> = items.iter().filter_map(|i| i.name().map(str::to_owned)).collect();
            let place = step.parse().ok().or_else(|| items.iter().position(|i| i.name() == Some(*step)));
            let count = items.len();
            match place.and_then(|i| items.get_mut(i)) {
                Some(item) => set_at(item, key, rest, value),
                None if names.is_empty() => Err(SetError::UnknownIndex { key: path, step: unknown, count }),
                None => Err(SetError::UnknownName { key: path, step: unknown, names }),
            }
        }
        Form::Leaf(_) => Err(SetError::BelowValue { key: path, step: unknown }),
    }
}
