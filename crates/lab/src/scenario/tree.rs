//! The tree of values that a scenario is parsed to before it becomes a
//! [`Day`](shorewharf_emulator::day::Day). Each value has its file and line, so that later errors can name
//! them.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// An error in the TOML syntax of a file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{location}: {message}")]
pub struct SyntaxError {
    /// Where the parser stopped.
    pub location: SourceLocation,
    /// The message of the parser.
    pub message: String,
}

/// File and line of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceLocation {
    /// The path of the file as given, or another source of the value, such as `--set KEY`.
    pub file: Arc<str>,
    /// Number of the line, from 1; 0 if the source has no lines.
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

/// A value, with its location and all values below it.
#[derive(Clone, Debug)]
pub struct Tree {
    /// Where the value was set.
    pub location: SourceLocation,
    /// The value itself.
    pub kind: TreeKind,
}

/// The kind of a value, with its content.
#[derive(Clone, Debug)]
pub enum TreeKind {
    /// A table of keys and values.
    Table(BTreeMap<String, Tree>),
    /// A list of values.
    List(Vec<Tree>),
    /// Any other value; never a table or an array.
    Leaf(toml::Value),
}

/// Parses TOML into a tree with source locations.
///
/// # Errors
/// The text is not valid TOML.
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

/// Number of the line, from 1, at a byte offset.
fn line_of(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

// The parser that gives spans leaves numbers as text, and the one that gives values has no spans, so their
// results are traversed together.
fn table(file: &Arc<str>, text: &str, line: usize, spans: &DeTable<'_>, values: toml::Table) -> Tree {
    let lines: BTreeMap<&str, _> = spans.iter().map(|(k, v)| (k.get_ref().as_ref(), (k, v))).collect();
    let entries = values.into_iter().map(|(key, value)| {
        let (spanned_key, spanned) = lines[key.as_str()];
        let line = line_of(text, spanned_key.span().start);
        (key, tree(file, text, line, spanned.get_ref(), value))
    });
    Tree { location: SourceLocation { file: file.clone(), line }, kind: TreeKind::Table(entries.collect()) }
}

fn tree(file: &Arc<str>, text: &str, line: usize, spans: &DeValue<'_>, value: toml::Value) -> Tree {
    match (spans, value) {
        (DeValue::Table(spans), toml::Value::Table(values)) => table(file, text, line, spans, values),
        (DeValue::Array(spans), toml::Value::Array(values)) => {
            let items = spans.iter().zip(values).map(|(s, v)| {
                let line = line_of(text, s.span().start);
                tree(file, text, line, s.get_ref(), v)
            });
            Tree {
                location: SourceLocation { file: file.clone(), line },
                kind: TreeKind::List(items.collect()),
            }
        }
        (_, value) => {
            Tree { location: SourceLocation { file: file.clone(), line }, kind: TreeKind::Leaf(value) }
        }
    }
}

impl Tree {
    /// Converts a value that the program made; `location` is that of the value it was derived from.
    pub fn from_value(location: &SourceLocation, value: toml::Value) -> Self {
        let kind = match value {
            toml::Value::Table(t) => {
                TreeKind::Table(t.into_iter().map(|(k, v)| (k, Self::from_value(location, v))).collect())
            }
            toml::Value::Array(a) => {
                TreeKind::List(a.into_iter().map(|v| Self::from_value(location, v)).collect())
            }
            leaf => TreeKind::Leaf(leaf),
        };
        Self { location: location.clone(), kind }
    }

    /// Merges this value over `base`. Tables are merged key by key. Each named table of a list is merged over
    /// the table of the same name in the base's list; the base's other entries are dropped. Any other value
    /// replaces the base.
    pub fn merge_over(self, base: Tree) -> Tree {
        match (self.kind, base.kind) {
            (TreeKind::Table(own), TreeKind::Table(mut merged_table)) => {
                for (key, value) in own {
                    let merged = match merged_table.remove(&key) {
                        Some(old) => value.merge_over(old),
                        None => value,
                    };
                    merged_table.insert(key, merged);
                }
                Tree { location: self.location, kind: TreeKind::Table(merged_table) }
            }
            (TreeKind::List(own), TreeKind::List(base_items)) => {
                let items = own.into_iter().map(|item| {
                    let same_name =
                        item.name().and_then(|n| base_items.iter().find(|t| t.name() == Some(n)).cloned());
                    match same_name {
                        Some(base) => item.merge_over(base),
                        None => item,
                    }
                });
                Tree { location: self.location, kind: TreeKind::List(items.collect()) }
            }
            (kind, _) => Tree { location: self.location, kind },
        }
    }

    /// The string at the key `name`; none if this is not a table or has no such string.
    pub fn name(&self) -> Option<&str> {
        match self.get("name")?.kind {
            TreeKind::Leaf(toml::Value::String(ref s)) => Some(s),
            _ => None,
        }
    }

    /// The value at a key; none if this is not a table or has no such key.
    pub fn get(&self, key: &str) -> Option<&Tree> {
        match &self.kind {
            TreeKind::Table(t) => t.get(key),
            _ => None,
        }
    }

    /// The entries of a table; none for other values.
    pub fn table_mut(&mut self) -> Option<&mut BTreeMap<String, Tree>> {
        match &mut self.kind {
            TreeKind::Table(t) => Some(t),
            _ => None,
        }
    }

    /// The items of a list; none for other values.
    pub fn list_mut(&mut self) -> Option<&mut Vec<Tree>> {
        match &mut self.kind {
            TreeKind::List(l) => Some(l),
            _ => None,
        }
    }

    /// Location of the value at a path such as `kinds[0].cores`, or of the deepest part of the path that
    /// exists.
    pub fn location_of(&self, path: &str) -> &SourceLocation {
        let mut at = self;
        for step in path.split(['.', '[', ']']).filter(|s| !s.is_empty()) {
            let next = match &at.kind {
                TreeKind::Table(t) => t.get(step),
                TreeKind::List(l) => step.parse::<usize>().ok().and_then(|i| l.get(i)),
                TreeKind::Leaf(_) => None,
            };
            match next {
                Some(next) => at = next,
                None => break,
            }
        }
        &at.location
    }

    /// Converts the tree to a plain TOML value.
    pub fn value(&self) -> toml::Value {
        match &self.kind {
            TreeKind::Table(t) => toml::Value::Table(t.iter().map(|(k, v)| (k.clone(), v.value())).collect()),
            TreeKind::List(l) => toml::Value::Array(l.iter().map(Tree::value).collect()),
            TreeKind::Leaf(v) => v.clone(),
        }
    }
}
