//! Owns changes to a scenario from the command line: `--set traffic.load=0.4` and grids such as
//! `--set traffic.load=0.3,0.5`. A key is a path of keys, places and names: `kinds.fast.cold_s`, `fleet[0].count`,
//! `faults.*.len_s`.

use super::tree::{Form, SourceLocation, Tree};

/// One key with the values that it takes in turn.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    /// The path.
    pub key: String,
    /// The values, as written.
    pub values: Vec<String>,
}

/// Reads `key=value,value,…`; commas within brackets, braces or quotes part nothing.
pub fn axis(text: &str) -> Result<Axis, String> {
    let (key, values) = text.split_once('=').ok_or_else(|| format!("{text}: write KEY=VALUE"))?;
    let key = key.trim();
    if key.is_empty() {
        return Err(format!("{text}: no key before the ="));
    }
    let values: Vec<String> = parts(values).into_iter().map(|v| v.trim().to_owned()).collect();
    if values.iter().any(String::is_empty) {
        return Err(format!("{key}: an empty value; write \"\" for an empty text"));
    }
    Ok(Axis { key: key.to_owned(), values })
}

fn parts(text: &str) -> Vec<String> {
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
pub fn apply(tree: &mut Tree, key: &str, value: &str) -> Result<(), String> {
    let place = SourceLocation { file: format!("--set {key}").into(), line: 0 };
    let parsed = toml::from_str::<toml::Table>(&format!("v = {value}")).ok().and_then(|mut t| t.remove("v"));
    let value = parsed.unwrap_or_else(|| toml::Value::String(value.to_owned()));
    let steps: Vec<&str> = key.split(['.', '[', ']']).filter(|s| !s.is_empty()).collect();
    put(tree, key, &steps, &Tree::made(&place, value))
}

fn put(tree: &mut Tree, key: &str, steps: &[&str], value: &Tree) -> Result<(), String> {
    let Some((step, rest)) = steps.split_first() else {
        *tree = value.clone();
        return Ok(());
    };
    match &mut tree.form {
        Form::Table(t) => {
            if !t.contains_key(*step) && !rest.is_empty() {
                let known: Vec<&str> = t.keys().map(String::as_str).collect();
                return Err(format!("{key}: no {step} here; there are {}", known.join(", ")));
            }
            put(t.entry((*step).to_owned()).or_insert_with(|| value.clone()), key, rest, value)
        }
        Form::List(items) if *step == "*" => {
            items.iter_mut().try_for_each(|item| put(item, key, rest, value))
        }
        Form::List(items) => {
            let names: Vec<String> = items.iter().filter_map(|i| i.name().map(str::to_owned)).collect();
            let place = step.parse().ok().or_else(|| items.iter().position(|i| i.name() == Some(*step)));
            let count = items.len();
            match place.and_then(|i| items.get_mut(i)) {
                Some(item) => put(item, key, rest, value),
                None if names.is_empty() => Err(format!("{key}: no place {step}; there are {count}, from 0")),
                None => Err(format!("{key}: no {step}; there are {}", names.join(", "))),
            }
        }
        Form::Leaf(_) => Err(format!("{key}: what stands before .{step} is a single value")),
    }
}
