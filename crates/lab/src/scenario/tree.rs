//! Owns the form of a scenario between its text and [`Day`](shorewharf_emulator::day::Day): a tree of values, each of
//! which knows the file and line that it came from, so that whatever is found wrong later can point there.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// Text that is no TOML.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{location}: {message}")]
pub struct SyntaxError {
    /// Where the parser stopped.
    pub location: SourceLocation,
    /// What the parser says.
    pub message: String,
}

/// Where a value was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceLocation {
    /// The file as it was named, or what else gave the value (`--set`).
    pub file: Arc<str>,
    /// The line, from 1; 0 where there are no lines.
    pub line: usize,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}", self.file),
            line => write!(f, "{}:{line}", self.file),
        }
    }
}

/// A value with its place.
#[derive(Clone, Debug)]
pub struct Tree {
    /// Where it was written.
    pub location: SourceLocation,
    /// What it is.
    pub form: Form,
}

/// What a value is.
#[derive(Clone, Debug)]
pub enum Form {
    /// Keys and values.
    Table(BTreeMap<String, Tree>),
    /// Values in order.
    List(Vec<Tree>),
    /// Anything else; never a table or an array.
    Leaf(toml::Value),
}

/// Parses TOML into a tree with source locations.
///
/// # Errors
/// The text is no TOML.
pub fn parse(file: &str, text: &str) -> Result<Tree, SyntaxError> {
    let file: Arc<str> = file.into();
    let spans = DeTable::parse(text).map_err(|e| {
        let line = e.span().map_or(0, |s| line_of(text, s.start));
        let location = SourceLocation { file: file.clone(), line };
        SyntaxError { location, message: e.message().to_owned() }
    })?;
    let start = SourceLocation { file: file.clone(), line: 1 };
    let values: toml::Table = toml::from_str(text)
        .map_err(|e| SyntaxError { location: start.clone(), message: e.message().to_owned() })?;
    Ok(table(&file, text, 1, spans.get_ref(), values))
}

fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

// The parser with spans leaves numbers as text, the one with values has no spans: the two are walked side by side.
fn table(file: &Arc<str>, text: &str, line: usize, spans: &DeTable<'_>, values: toml::Table) -> Tree {
    let lines: BTreeMap<&str, _> = spans.iter().map(|(k, v)| (k.get_ref().as_ref(), (k, v))).collect();
    let entries = values.into_iter().map(|(key, value)| {
        let (spanned_key, spanned) = lines[key.as_str()];
        let line = line_of(text, spanned_key.span().start);
        (key, tree(file, text, line, spanned.get_ref(), value))
    });
    Tree { location: SourceLocation { file: file.clone(), line }, form: Form::Table(entries.collect()) }
}

fn tree(file: &Arc<str>, text: &str, line: usize, spans: &DeValue<'_>, value: toml::Value) -> Tree {
    match (spans, value) {
        (DeValue::Table(spans), toml::Value::Table(values)) => table(file, text, line, spans, values),
        (DeValue::Array(spans), toml::Value::Array(values)) => {
            let items = spans.iter().zip(values).map(|(s, v)| {
                let line = line_of(text, s.span().start);
                tree(file, text, line, s.get_ref(), v)
            });
            Tree { location: SourceLocation { file: file.clone(), line }, form: Form::List(items.collect()) }
        }
        (_, value) => Tree { location: SourceLocation { file: file.clone(), line }, form: Form::Leaf(value) },
    }
}

impl Tree {
    /// A value made by the program, with the place of what it was made from.
    pub fn from_value(place: &SourceLocation, value: toml::Value) -> Self {
        let form = match value {
            toml::Value::Table(t) => {
                Form::Table(t.into_iter().map(|(k, v)| (k, Self::from_value(place, v))).collect())
            }
            toml::Value::Array(a) => Form::List(a.into_iter().map(|v| Self::from_value(place, v)).collect()),
            leaf => Form::Leaf(leaf),
        };
        Self { location: place.clone(), form }
    }

    /// Lays this over `base`: tables key by key; of a list of tables with names, each over the base's one of the same
    /// name. Anything else takes the base's place.
    pub fn merge_over(self, base: Tree) -> Tree {
        match (self.form, base.form) {
            (Form::Table(mine), Form::Table(mut theirs)) => {
                for (key, value) in mine {
                    let merged = match theirs.remove(&key) {
                        Some(old) => value.merge_over(old),
                        None => value,
                    };
                    theirs.insert(key, merged);
                }
                Tree { location: self.location, form: Form::Table(theirs) }
            }
            (Form::List(mine), Form::List(theirs)) => {
                let items = mine.into_iter().map(|item| {
                    let of_same_name =
                        item.name().and_then(|n| theirs.iter().find(|t| t.name() == Some(n)).cloned());
                    match of_same_name {
                        Some(base) => item.merge_over(base),
                        None => item,
                    }
                });
                Tree { location: self.location, form: Form::List(items.collect()) }
            }
            (form, _) => Tree { location: self.location, form },
        }
    }

    /// The text under the key `name`, in a table.
    pub fn name(&self) -> Option<&str> {
        match self.get("name")?.form {
            Form::Leaf(toml::Value::String(ref s)) => Some(s),
            _ => None,
        }
    }

    /// The value under a key.
    pub fn get(&self, key: &str) -> Option<&Tree> {
        match &self.form {
            Form::Table(t) => t.get(key),
            _ => None,
        }
    }

    /// The entries of a table; none for anything else.
    pub fn table_mut(&mut self) -> Option<&mut BTreeMap<String, Tree>> {
        match &mut self.form {
            Form::Table(t) => Some(t),
            _ => None,
        }
    }

    /// The items of a list; none for anything else.
    pub fn list_mut(&mut self) -> Option<&mut Vec<Tree>> {
        match &mut self.form {
            Form::List(l) => Some(l),
            _ => None,
        }
    }

    /// Place of the value at a path such as `kinds[0].cores`, or of the deepest part of the path that there is.
    pub fn location_of(&self, path: &str) -> &SourceLocation {
        let mut at = self;
        for step in path.split(['.', '[', ']']).filter(|s| !s.is_empty()) {
            let next = match &at.form {
                Form::Table(t) => t.get(step),
                Form::List(l) => step.parse::<usize>().ok().and_then(|i| l.get(i)),
                Form::Leaf(_) => None,
            };
            match next {
                Some(next) => at = next,
                None => break,
            }
        }
        &at.location
    }

    /// The plain value.
    pub fn value(&self) -> toml::Value {
        match &self.form {
            Form::Table(t) => toml::Value::Table(t.iter().map(|(k, v)| (k.clone(), v.value())).collect()),
            Form::List(l) => toml::Value::Array(l.iter().map(Tree::value).collect()),
            Form::Leaf(v) => v.clone(),
        }
    }
}
