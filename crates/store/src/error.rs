//! What can go wrong with a store; each error names the key, file or endpoint at fault and the cause.

use crate::store::Revision;
use std::path::PathBuf;
use thiserror::Error;

/// An answer from a store that is not what was asked for.
///
/// Nothing was changed, except after [`StoreError::Unsure`], which says that this is not known.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No record stands under the key.
    #[error("{key}: not there")]
    Missing {
        /// The record's key.
        key: String,
    },
    /// A record stands under the key that was to be made.
    #[error("{key}: there already")]
    Exists {
        /// The record's key.
        key: String,
    },
    /// The record has changed since the caller read it.
    #[error("{key}: last changed at {found}, not at {expected}")]
    Conflict {
        /// The record's key.
        key: String,
        /// The revision that the caller knew; 0 for "not there".
        expected: Revision,
        /// The revision that it has; 0 where it is not there.
        found: Revision,
    },
    /// A value that no record may have.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// A name that reads like another one, written in other scripts.
    #[error("name {name:?} looks like {like:?}, which is written in other scripts")]
    LooksLike {
        /// The name that was to be taken.
        name: String,
        /// The name that has it already.
        like: String,
    },
    /// The key of a repeated call came with another call.
    #[error("the idempotency key was used at {made} µs for another call")]
    KeyReused {
        /// When the first call came, in microseconds since 1970.
        made: u64,
    },
    /// Figures for an interval that has other figures already.
    #[error("usage of {instance} in minute {minute}: other figures were counted already")]
    Counted {
        /// The instance that reports.
        instance: String,
        /// The minute since 1970.
        minute: u64,
    },
    /// What is kept is not what was written: the store must be restored from a backup.
    #[error("{what}: damaged: {cause}")]
    Damaged {
        /// The file or key.
        what: String,
        /// What is wrong with it.
        cause: String,
    },
    /// Made by a newer program.
    #[error("{what}: has schema {found}; this program knows schemas up to {known}")]
    NewerSchema {
        /// The file or key prefix.
        what: String,
        /// Its schema.
        found: u32,
        /// The newest that this program knows.
        known: u32,
    },
    /// Another process has the file open.
    #[error("{path}: open in another process")]
    InUse {
        /// The file.
        path: PathBuf,
    },
    /// The disk is full, or the file may not grow.
    #[error("{what}: no space: {cause}")]
    Full {
        /// The file.
        what: String,
        /// The system's words.
        cause: String,
    },
    /// Reading or writing failed.
    #[error("{what}: {cause}")]
    Io {
        /// The file or endpoint.
        what: String,
        /// The system's words.
        cause: String,
    },
    /// Not to be reached now; what is known already stays in force.
    #[error("{endpoint}: not to be reached: {cause}")]
    Unavailable {
        /// The endpoint that was tried last.
        endpoint: String,
        /// Why it failed.
        cause: String,
    },
    /// Written perhaps: the answer never came. The store finds out before it writes anything else.
    #[error("{what}: not known whether the change was kept: {cause}")]
    Unsure {
        /// The file or endpoint.
        what: String,
        /// What happened.
        cause: String,
    },
    /// A member answered with older content than was seen before.
    #[error("{endpoint}: answers with revision {found}, older than {seen} which was seen already")]
    Stale {
        /// The endpoint.
        endpoint: String,
        /// Its revision.
        found: Revision,
        /// The newest that was seen.
        seen: Revision,
    },
    /// More than can be kept or asked for at once.
    #[error("{what}: {found} where at most {limit} may be")]
    TooMuch {
        /// What there is too much of.
        what: String,
        /// How much there is.
        found: u64,
        /// How much may be.
        limit: u64,
    },
    /// The queue to the store's thread is full.
    #[error("{waiting} calls wait for the store already")]
    Busy {
        /// How many wait.
        waiting: usize,
    },
    /// The store's thread has ended.
    #[error("the store is closed")]
    Closed,
}

impl StoreError {
    /// Whether the same call may succeed later without anybody changing anything.
    pub fn passes(&self) -> bool {
        use StoreError::*;
        matches!(
            self,
            Full { .. } | Io { .. } | Unavailable { .. } | Unsure { .. } | Stale { .. } | Busy { .. }
        )
    }

    pub(crate) fn damaged(what: impl ToString, cause: impl ToString) -> StoreError {
        StoreError::Damaged { what: what.to_string(), cause: cause.to_string() }
    }
}

/// A field with a value that it may not have.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {cause}")]
pub struct Invalid {
    /// The field, as a path in the record.
    pub field: String,
    /// What is wrong with its value.
    pub cause: String,
}

impl Invalid {
    /// A fault in a field.
    pub fn new(field: impl Into<String>, cause: impl Into<String>) -> Invalid {
        Invalid { field: field.into(), cause: cause.into() }
    }
}
