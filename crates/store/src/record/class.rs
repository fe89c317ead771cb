//! Classes of connections that tenants ask for.

use super::{Micros, Place, at_least_zero};
use crate::error::Invalid;
use crate::name::ClassName;
use serde::{Deserialize, Serialize};

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Semantics {
    /// Safe to repeat.
    #[default]
    Safe,
    /// Servers drop repeats that carry the same key, for a time.
    Keyed,
    /// Must not be repeated unless no earlier attempt can have run.
    Unsafe,
}

/// A class as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Raw", into = "Raw")]
pub struct ClassRecord {
    raw: Raw,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: ClassName,
    place: Place,
    set_up_ms: f64,
    message_ms: f64,
    worth: f64,
    semantics: Semantics,
    created: Micros,
    changed: Micros,
}

impl ClassRecord {
    /// The longest time in milliseconds: an hour.
    pub const LONGEST_MS: f64 = 3_600_000.0;

    /// A class; `set_up_ms` and `message_ms` are the times within which a set-up and a message are wanted,
    /// `worth` what a second of it is worth beside other classes. The place is the store's to give.
    pub fn new(
        name: ClassName,
        set_up_ms: f64,
        message_ms: f64,
        worth: f64,
        semantics: Semantics,
    ) -> Result<ClassRecord, Invalid> {
        let place = Place(0);
        let raw = Raw { name, place, set_up_ms, message_ms, worth, semantics, created: 0, changed: 0 };
        ClassRecord::try_from(raw)
    }

    pub(crate) fn placed(mut self, place: Place, created: Micros, changed: Micros) -> ClassRecord {
        (self.raw.place, self.raw.created, self.raw.changed) = (place, created, changed);
        self
    }

    /// Its name.
    pub fn name(&self) -> &ClassName {
        &self.raw.name
    }

    /// Its place: given once and never again, as a tenant's is.
    pub fn place(&self) -> Place {
        self.raw.place
    }

    /// A set-up within this time, in milliseconds, earns full worth.
    pub fn set_up_ms(&self) -> f64 {
        self.raw.set_up_ms
    }

    /// A message on a standing connection is wanted within this time, in milliseconds.
    pub fn message_ms(&self) -> f64 {
        self.raw.message_ms
    }

    /// What a second of it is worth beside other classes.
    pub fn worth(&self) -> f64 {
        self.raw.worth
    }

    /// What repeating a request may do.
    pub fn semantics(&self) -> Semantics {
        self.raw.semantics
    }

    /// When it was made.
    pub fn created(&self) -> Micros {
        self.raw.created
    }
}

impl TryFrom<Raw> for ClassRecord {
    type Error = Invalid;
    fn try_from(raw: Raw) -> Result<ClassRecord, Invalid> {
        at_least_zero("set_up_ms", raw.set_up_ms, ClassRecord::LONGEST_MS)?;
        at_least_zero("message_ms", raw.message_ms, ClassRecord::LONGEST_MS)?;
        at_least_zero("worth", raw.worth, 1e9)?;
        Ok(ClassRecord { raw })
    }
}

impl From<ClassRecord> for Raw {
    fn from(class: ClassRecord) -> Raw {
        class.raw
    }
}
