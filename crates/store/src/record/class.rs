//! Classes of connections, which requests name.

use super::{NumericId, check_range};
use crate::error::InvalidValue;
use crate::name::ClassName;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

/// Whether a request of a class may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Semantics {
    /// Idempotent: a request may be retried.
    #[default]
    #[serde(rename = "safe")]
    Idempotent,
    /// Idempotent with a key: servers drop repeated requests with the same key for some time.
    #[serde(rename = "keyed")]
    IdempotentWithKey,
    /// Not idempotent: a request must not be retried unless no earlier attempt can have run.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// The latency objectives of a class, and its priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassObjectives {
    /// The latency objective of a setup, in milliseconds: a setup within this time counts in full.
    pub setup_ms: f64,
    /// The latency objective of a message on an established connection, in milliseconds.
    pub message_ms: f64,
    /// The priority of the class relative to other classes.
    pub priority_weight: f64,
}

/// The stored definition of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "StoredClass", into = "StoredClass")]
pub struct ClassRecord {
    stored: StoredClass,
}

/// The JSON form of a [`ClassRecord`], whose values are not checked yet.
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
    /// The maximum latency objective in milliseconds: one hour.
    pub const MAX_OBJECTIVE_MS: f64 = 3_600_000.0;

    /// The maximum priority weight.
    pub const MAX_PRIORITY_WEIGHT: f64 = 1e9;

    /// A class to store. The store assigns the id and the times.
    ///
    /// # Errors
    /// If an objective is not from 0 to [`ClassRecord::MAX_OBJECTIVE_MS`], or the weight is not from 0 to
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

    /// This class with the id and the times that the store assigns.
    pub(crate) fn with_assigned(mut self, id: NumericId, created: Micros, changed: Micros) -> ClassRecord {
        self.stored.id = id;
        self.stored.created = created;
        self.stored.changed = changed;
        self
    }

    /// The name of the class.
    pub fn name(&self) -> &ClassName {
        &self.stored.name
    }

    /// The numeric id of the class, which is never reused.
    pub fn id(&self) -> NumericId {
        self.stored.id
    }

    /// The latency objective of a setup, in milliseconds: a setup within this time counts in full.
    pub fn setup_objective_ms(&self) -> f64 {
        self.stored.setup_objective_ms
    }

    /// The latency objective of a message on an established connection, in milliseconds.
    pub fn message_objective_ms(&self) -> f64 {
        self.stored.message_objective_ms
    }

    /// The priority of the class relative to other classes.
    pub fn priority_weight(&self) -> f64 {
        self.stored.priority_weight
    }

    /// Whether a request of the class may be retried.
    pub fn semantics(&self) -> Semantics {
        self.stored.semantics
    }

    /// The time at which the class was created.
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
