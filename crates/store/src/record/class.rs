//! Classes of connections that tenants request.

use super::{NumericId, check_range};
use crate::error::InvalidValue;
use crate::name::ClassName;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

/// Whether a request of a class may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Semantics {
    /// Idempotent: may be repeated.
    #[default]
    #[serde(rename = "safe")]
    Idempotent,
    /// Idempotent by a key: servers drop repeats with the same key for some time.
    #[serde(rename = "keyed")]
    IdempotentWithKey,
    /// Not idempotent: must not be repeated unless no earlier attempt can have run.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// What requests of a class are promised, and how much they matter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassObjectives {
    /// A setup within this time counts in full, in milliseconds.
    pub setup_ms: f64,
    /// A message on an established connection is expected within this time, in milliseconds.
    pub message_ms: f64,
    /// The priority of the class relative to others.
    pub priority_weight: f64,
}

/// A class as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "StoredClass", into = "StoredClass")]
pub struct ClassRecord {
    stored: StoredClass,
}

/// The stored form of a class, before its values are checked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredClass {
    name: ClassName,
    #[serde(rename = "place")]
    id: NumericId,
    #[serde(rename = "set_up_ms")]
    setup_objective_ms: f64,
    #[serde(rename = "message_ms")]
    message_objective_ms: f64,
    #[serde(rename = "worth")]
    priority_weight: f64,
    semantics: Semantics,
    created: Micros,
    changed: Micros,
}

impl ClassRecord {
    /// The longest latency objective in milliseconds: an hour.
    pub const MAX_OBJECTIVE_MS: f64 = 3_600_000.0;

    /// The highest priority weight.
    pub const MAX_PRIORITY_WEIGHT: f64 = 1e9;

    /// A class to be stored, which gives it its id and times.
    ///
    /// # Errors
    /// If an objective is not from 0 to [`ClassRecord::MAX_OBJECTIVE_MS`], or the weight not from 0 to
    /// [`ClassRecord::MAX_PRIORITY_WEIGHT`].
    pub fn new(
        name: ClassName,
        objectives: ClassObjectives,
        semantics: Semantics,
    ) -> Result<ClassRecord, InvalidValue> {
        ClassRecord::try_from(StoredClass {
            name,
            id: NumericId(0),
            setup_objective_ms: objectives.setup_ms,
            message_objective_ms: objectives.message_ms,
            priority_weight: objectives.priority_weight,
            semantics,
            created: 0,
            changed: 0,
        })
    }

    /// The same class with the values that the store assigns.
    pub(crate) fn with_assigned(mut self, id: NumericId, created: Micros, changed: Micros) -> ClassRecord {
        self.stored.id = id;
        self.stored.created = created;
        self.stored.changed = changed;
        self
    }

    /// Its name.
    pub fn name(&self) -> &ClassName {
        &self.stored.name
    }

    /// Its numeric id, which is never reused.
    pub fn id(&self) -> NumericId {
        self.stored.id
    }

    /// A setup within this time counts in full, in milliseconds.
    pub fn setup_objective_ms(&self) -> f64 {
        self.stored.setup_objective_ms
    }

    /// A message on an established connection is expected within this time, in milliseconds.
    pub fn message_objective_ms(&self) -> f64 {
        self.stored.message_objective_ms
    }

    /// The priority of the class relative to others.
    pub fn priority_weight(&self) -> f64 {
        self.stored.priority_weight
    }

    /// Whether a request may be retried.
    pub fn semantics(&self) -> Semantics {
        self.stored.semantics
    }

    /// When it was created.
    pub fn created(&self) -> Micros {
        self.stored.created
    }
}

impl TryFrom<StoredClass> for ClassRecord {
    type Error = InvalidValue;
    fn try_from(stored: StoredClass) -> Result<ClassRecord, InvalidValue> {
        check_range("set_up_ms", stored.setup_objective_ms, ClassRecord::MAX_OBJECTIVE_MS)?;
        check_range("message_ms", stored.message_objective_ms, ClassRecord::MAX_OBJECTIVE_MS)?;
        check_range("worth", stored.priority_weight, ClassRecord::MAX_PRIORITY_WEIGHT)?;
        Ok(ClassRecord { stored })
    }
}

impl From<ClassRecord> for StoredClass {
    fn from(class: ClassRecord) -> StoredClass {
        class.stored
    }
}
